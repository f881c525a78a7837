"""Metrics that are read from the state of a host whenever they are scraped."""

from collections import Counter as Counts
from collections.abc import Callable, Iterator, Mapping

from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .core.cluster.confirmation import is_in_doubt
from .core.cluster.revisions import list_hosts_behind
from .core.cluster.views import list_live_hosts
from .core.routing.calls import Stage
from .core.routing.warmup import count_cold_servers
from .core.state import HostState, IsolationStatus


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
        state, now = self._state, self._clock()
        yield from self._collect_process()
        yield from _collect_services(state, now)
        yield from _collect_host(state, now)

    def _collect_process(self) -> Iterator[Metric]:
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


def _collect_services(state: HostState, now: float) -> Iterator[Metric]:
    queue = _make_gauge("queue_length", "Calls that wait here.", "service")
    workspaces = _make_gauge(
        "queue_workspaces", "Workspaces whose calls wait or were just sent.", "service"
    )
    in_flight = _make_gauge(
        "calls_in_flight", "Calls at the backend servers owned here.", "service"
    )
    budget = _make_gauge(
        "probe_budget", "This host's share of the probes a second.", "service"
    )
    retries = _make_gauge(
        "retry_budget", "Second attempts that this host may make now.", "service"
    )
    delays = _make_gauge(
        "hedge_delay_factor",
        "Usual run times after which a run counts as late, where hedges are limited.",
        "service",
    )
    limited = _make_gauge(
        "rate_limited_servers", "Owned servers that name a rate limit.", "service"
    )
    limits = _make_gauge(
        "rate_limit_per_second",
        "Sum of the rate limits that owned servers name.",
        "service",
    )
    cold = _make_gauge("cold_servers", "Owned servers that are warming up.", "service")
    evacuated = _make_gauge(
        "evacuated_servers", "Known servers whose domain is evacuated.", "service"
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
        if service.limits_hedges:
            delays.add_metric([name], service.hedge_after_factor)
        queue.add_metric([name], len(service.queue))
        workspaces.add_metric([name], service.queue.count_flows())
        in_flight.add_metric([name], sum(s.in_flight for s in service.owned))
        budget.add_metric([name], service.probes.rate)
        named = [s.rate_limit.per_s for s in service.owned if s.rate_limit]
        limited.add_metric([name], len(named))
        limits.add_metric([name], sum(named))
        known = service.servers.values()
        evacuated.add_metric([name], sum(s.is_evacuated for s in known))
        cold.add_metric([name], count_cold_servers(service.owned, now))
    yield queue
    yield delays
    yield workspaces
    yield limited
    yield limits
    yield cold
    yield evacuated
    yield in_flight
    yield budget
    yield retries
    yield budgets


def _collect_host(state: HostState, now: float) -> Iterator[Metric]:
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
    yield from _collect_quotas(state)
    yield _make_granted_slots(state)
    hosts = _make_gauge("live_hosts", "Entry hosts that are live from here.")
    hosts.add_metric([], len(list_live_hosts(state, now)))
    yield hosts
    earlier = _make_gauge(
        "earlier_hosts", "Live hosts that speak an earlier protocol version."
    )
    earlier.add_metric([], len(state.earlier))
    yield earlier
    behind = _make_gauge(
        "hosts_behind", "Live hosts not known to have this host's revision."
    )
    count = len(list_hosts_behind(state, state.intents.revision, now))
    behind.add_metric([], count)
    yield behind
    workspaces = _make_gauge("workspaces", "Workspaces whose callers present keys.")
    workspaces.add_metric([], len(state.intents.workspaces))
    yield workspaces
    doubted = _make_gauge(
        "intents_doubted", "1 while this host accepts no key as it may be outdated."
    )
    is_doubted = state.intents.requires_keys and is_in_doubt(state, now)
    doubted.add_metric([], float(is_doubted))
    yield doubted


def _collect_quotas(state: HostState) -> Iterator[Metric]:
    """Yield the metrics of workspace quotas, for all workspaces together."""
    quotas = state.quotas
    allocator = _make_gauge(
        "quota_allocator", "1 while this host issues its domain's credits, else 0."
    )
    allocator.add_metric([], float(quotas.allocating_since is not None))
    yield allocator
    calls = CounterMetricFamily(
        "siskinpier_quota_calls",
        "Calls admitted and refused here by quotas, and credits returned unused.",
        labels=["outcome"],
    )
    for outcome in ("admitted", "refused", "returned"):
        calls.add_metric([outcome], getattr(quotas, outcome))
    yield calls
    transfers = CounterMetricFamily(
        "siskinpier_quota_transfers",
        "Times that this host asked other failure domains for credits.",
    )
    transfers.add_metric([], quotas.transfers)
    yield transfers


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
