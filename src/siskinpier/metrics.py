"""Prometheus metrics of one host."""

from collections import Counter as Counts
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .core.cluster.revisions import list_hosts_behind
from .core.cluster.views import list_live_hosts
from .core.routing.calls import Stage
from .core.state import HostState, IsolationStatus

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


class StateCollector(Collector):
    """Collects metrics from the state of a host whenever they are scraped.

    `clock` returns the time of the state in seconds.
    """

    def __init__(
        self,
        *,
        state: HostState,
        clock: Callable[[], float],
        platform_calls: Mapping[str, int],
        dropped_lines: Mapping[str, int],
    ) -> None:
        self._state = state
        self._clock = clock
        self._platform_calls = platform_calls
        self._dropped_lines = dropped_lines

    def collect(self) -> Iterator[Metric]:
        """Yield each metric with its current value."""
        calls = CounterMetricFamily(
            "siskinpier_platform_calls", "Calls to the platform.", labels=["kind"]
        )
        for kind, count in self._platform_calls.items():
            calls.add_metric([kind], count)
        yield calls
        lines = CounterMetricFamily(
            "siskinpier_log_lines_left_out",
            "Log lines that found no room as their reader lagged.",
            labels=["event"],
        )
        for event, count in self._dropped_lines.items():
            lines.add_metric([event], count)
        yield lines
        state, now = self._state, self._clock()
        queue = _make_gauge("queue_length", "Calls that wait here.", "service")
        in_flight = _make_gauge(
            "calls_in_flight", "Calls at the backend servers owned here.", "service"
        )
        budget = _make_gauge(
            "probe_budget", "This host's share of the probes a second.", "service"
        )
        retries = _make_gauge(
            "retry_budget", "Second attempts that this host may make now.", "service"
        )
        limited = _make_gauge(
            "rate_limited_servers", "Owned servers that name a rate limit.", "service"
        )
        limits = _make_gauge(
            "rate_limit_per_second",
            "Sum of the rate limits that owned servers name.",
            "service",
        )
        budgets = CounterMetricFamily(
            "siskinpier_repeats",
            "Second sends that the budget of a service earned here, let pass, denied.",
            labels=["service", "kind", "outcome"],
        )
        for name, service in state.services.items():
            for kind, bucket in (("retry", service.retries), ("hedge", service.hedges)):
                budgets.add_metric([name, kind, "earned"], bucket.added)
                budgets.add_metric([name, kind, "passed"], bucket.taken)
                budgets.add_metric([name, kind, "denied"], bucket.denied)
            retries.add_metric([name], service.retries.tokens)
            queue.add_metric([name], len(service.queue))
            in_flight.add_metric([name], sum(s.in_flight for s in service.owned))
            budget.add_metric([name], service.probes.rate)
            named = [s.rate_limit.per_s for s in service.owned if s.rate_limit]
            limited.add_metric([name], len(named))
            limits.add_metric([name], sum(named))
        yield queue
        yield limited
        yield limits
        yield in_flight
        yield budget
        yield retries
        yield budgets
        age = _make_gauge(
            "platform_word_age_seconds",
            "Age of the last word that configuration and server list are current.",
        )
        last_confirmed_at = max(state.relay.confirmed_at, state.relay.relay_heard_at)
        if last_confirmed_at > 0.0:
            age.add_metric([], max(0.0, now - last_confirmed_at))
        yield age
        claims = _make_gauge("claims", "Claims in the shards that this host serves.")
        shards = state.claims.shards.values()
        claims.add_metric([], sum(len(shard.entries) for shard in shards))
        yield claims
        isolated = _make_gauge(
            "isolated", "1 while this host reaches no backend server, else 0."
        )
        is_isolated = state.isolation.status is IsolationStatus.ISOLATED
        isolated.add_metric([], float(is_isolated))
        yield isolated
        yield _make_granted_slots(state)
        hosts = _make_gauge("live_hosts", "Entry hosts that are live from here.")
        hosts.add_metric([], len(list_live_hosts(state, now)))
        yield hosts
        behind = _make_gauge(
            "hosts_behind", "Live hosts not known to have this host's revision."
        )
        count = len(list_hosts_behind(state, state.intents.revision, now))
        behind.add_metric([], count)
        yield behind


def _make_granted_slots(state: HostState) -> GaugeMetricFamily:
    """Return the slots that this host granted, by the host that holds them."""
    granted = _make_gauge(
        "granted_slots", "Slots granted here that are in use.", "service", "holder"
    )
    counts = Counts(
        (active.call.service, active.holder)
        for active in state.calls.values()
        if active.holder and active.stage is Stage.SENT
    )
    for (service, holder), count in counts.items():
        granted.add_metric([service, holder], count)
    return granted


def _make_gauge(name: str, meaning: str, *labels: str) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"siskinpier_{name}", meaning, labels=labels)


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
