"""Prometheus metrics of one host."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from .core.problems import KEY_NOT_ACCEPTED, NOT_KNOWN_YET
from .core.state import HostState
from .state_metrics import StateCollector

LATENCY_BUCKETS_S: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
# Number of routes with their own histogram; all further routes share one. This limits
# memory use, as a configuration may contain thousands of routes.
MAX_ROUTES: Final = 50
OTHER_ROUTES: Final = "(others)"
KEY_REFUSALS: Final = frozenset({KEY_NOT_ACCEPTED, NOT_KNOWN_YET})


class HostMetrics:
    """The metrics of one host and the registry that exports them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latency = Histogram(
            "siskinpier_call_seconds",
            "Time from a call's arrival to its final answer.",
            ["service", "urgency"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.route_latency = Histogram(
            "siskinpier_route_seconds",
            "Time from a call's arrival to its final answer, by route.",
            ["route", "urgency"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.waits = Histogram(
            "siskinpier_queue_wait_seconds",
            "Time from a call's arrival until it is first sent.",
            ["service", "urgency"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.refusals = Counter(
            "siskinpier_refusals",
            "Calls refused, by verdict.",
            ["service", "verdict"],
            registry=self.registry,
        )
        self.decisions = Counter(
            "siskinpier_decisions",
            "Decisions, by kind.",
            ["decision"],
            registry=self.registry,
        )
        self.connections = Gauge(
            "siskinpier_caller_connections",
            "Open connections from callers.",
            registry=self.registry,
        )
        self.revision = Gauge(
            "siskinpier_intents_revision",
            "Revision of the routing intents in force.",
            registry=self.registry,
        )
        self.probes = Counter(
            "siskinpier_probes",
            "Probes sent, to compare with the probe budget.",
            ["service"],
            registry=self.registry,
        )
        self.probe_bytes = Counter(
            "siskinpier_probe_bytes",
            "Bytes of probes' answers.",
            ["service"],
            registry=self.registry,
        )
        self.key_refusals = Counter(
            "siskinpier_key_refusals",
            "Calls refused because of their key, or as it may be newer, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.failures = Counter(
            "siskinpier_failures",
            "Unexpected errors, by the loop, event, effect or task.",
            ["where"],
            registry=self.registry,
        )
        # Caches of labelled metrics: `labels()` costs more than the increment itself.
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[tuple[Histogram, str, int], Histogram] = {}
        self._routes: set[str] = set()

    def register_state(
        self,
        state: HostState,
        clock: Callable[[], float],
        platform_calls: Mapping[str, int],
        dropped_lines: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Register the metrics that are read from the host at each scrape.

        `platform_calls` counts calls to the platform by kind, `dropped_lines` the
        dropped log lines by event.
        """
        collector = StateCollector(
            state=state,
            clock=clock,
            platform_calls=platform_calls,
            dropped_lines=dropped_lines,
        )
        self.registry.register(collector)

    def observe_call(self, service: str, urgency: int, latency_s: float) -> None:
        """Record the latency of a call whose reply was complete."""
        self._observe(self.latency, service, urgency, latency_s)

    def observe_route(self, route: str, urgency: int, latency_s: float) -> None:
        """Record the latency by route of a call whose reply was complete."""
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        self._routes.add(route)
        self._observe(self.route_latency, route, urgency, latency_s)

    def observe_wait(self, service: str, urgency: int, wait_s: float) -> None:
        """Record how long a call waited before it was first sent."""
        self._observe(self.waits, service, urgency, wait_s)

    def count_failure(self, where: str) -> None:
        """Count an unexpected error; `where` is one of a bounded set of names."""
        self.failures.labels(where).inc()

    def count_decision(self, event: str, fields: dict[str, object]) -> None:
        """Count one decision of the core, and update the metrics derived from it."""
        counter = self._counters.get(event)
        if counter is None:
            counter = self._counters[event] = self.decisions.labels(event)
        counter.inc()
        if event == "refuse":
            self.refusals.labels(fields["service"], fields["verdict"]).inc()
            if fields["reason"] in KEY_REFUSALS:
                self.key_refusals.labels(fields["reason"]).inc()
        if event == "intents":
            self.revision.set(float(str(fields["revision"])))

    def _observe(
        self, histogram: Histogram, name: str, urgency: int, value_s: float
    ) -> None:
        key = (histogram, name, urgency)
        child = self._histograms.get(key)
        if child is None:
            child = self._histograms[key] = histogram.labels(name, urgency)
        child.observe(value_s)

    def render(self) -> bytes:
        """Return the text exposition of all metrics."""
        return generate_latest(self.registry)
