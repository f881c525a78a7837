"""Choice of a backend server by calls in flight and smoothed latency."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, sqrt
from typing import Final

from ..configuration.intents import BackendServer, ServerState
from .calls import LoadReport
from .rate_limit_tokens import RateLimit, has_token
from .warmup_tokens import Warmup, allows_request, get_sustained_rate

# Increase of a server's cost, as a multiple, at a failure share of 1.
FAILURE_PENALTY: Final = 8.0
SLOW_START_S: Final = 2.0
# Assumed before a latency was measured, in seconds.
UNKNOWN_LATENCY_S: Final = 0.001
# Added cost that ranks a server on trial last for a non-idempotent call.
TRIAL_COST: Final = 1e9


@dataclass(slots=True, kw_only=True)
class ServerRuntime:
    """The state of one backend server as this host observes it.

    The latencies and `failure_share` are exponentially weighted means over
    calls; `steady_latency_s` has the smaller weight. A latency of 0 means that
    nothing was measured yet, a `limit` of 0 that the declared slots apply. A
    server `is_on_trial` from its ejection until it answers a call.
    """

    intent: BackendServer
    in_flight: int = 0
    latency_s: float = 0.0
    steady_latency_s: float = 0.0
    limit: int = 0
    failure_share: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    slow_start_at: float = 0.0
    is_leaving: bool = False
    # Its failure domain is evacuated.
    is_evacuated: bool = False
    is_on_trial: bool = False
    is_unreachable: bool = False
    last_heard: float = 0.0
    probed_at: float = 0.0
    reported_load: int | None = None
    report: LoadReport | None = None
    reported_at: float = 0.0
    # Current run time divided by the usual one, according to the last report.
    slowdown: float = 1.0
    # Start and end of the last slow period, each estimated as the middle between two
    # reports, and the slowdown during it.
    slow_since: float = 0.0
    fast_since: float = 0.0
    slow_period_slowdown: float = 1.0
    # Calls that hold a slot during a speed check, by call id, with the reasons for
    # which the server was chosen.
    pending_checks: dict[str, str] = field(default_factory=dict)
    # The server does not answer this host's probes.
    is_silent: bool = False
    # End of the pause that the server requested from each host, by host name; the
    # empty name stands for this host.
    paused_until: dict[str, float] = field(default_factory=dict)
    rate_limit: RateLimit | None = None
    # The latest warm-up, if the service declares a pace; kept until shortly after it.
    warmup: Warmup | None = None
    # The limit that this host last announced to its failure domain, and when.
    announced_limit_per_s: float | None = None
    limit_announced_at: float = -inf
    # When the first unanswered probe was sent; 0 if there is none.
    unanswered_since: float = 0.0


def get_slot_limit(server: ServerRuntime, now: float) -> int:
    """Return how many calls may be in flight; 1 on trial, fewer in slow start."""
    if server.is_on_trial:
        return 1
    slots = min(server.intent.slots, server.intent.connections)
    limit = min(slots, server.limit or slots)
    age_s = now - server.slow_start_at
    if age_s >= SLOW_START_S or _has_warmed_up(server):
        return limit
    return max(1, min(limit, int(slots * age_s / SLOW_START_S)))


def _has_warmed_up(server: ServerRuntime) -> bool:
    """Return True if the pace of a warm-up replaces the slow start."""
    return server.warmup is not None and server.slow_start_at <= server.warmup.until


def is_draining(server: ServerRuntime) -> bool:
    """Return True if the backend server accepts no new calls."""
    return (
        server.is_leaving
        or server.is_evacuated
        or server.intent.state is ServerState.DRAINING
    )


def is_ejected(server: ServerRuntime, now: float) -> bool:
    """Return True while the backend server is ejected."""
    return now < server.ejected_until


def is_paused(server: ServerRuntime, now: float, holder: str = "") -> bool:
    """Return True during a pause requested from a host, by default this one."""
    return now < server.paused_until.get(holder, 0.0)


def has_free_slot(server: ServerRuntime, now: float) -> bool:
    """Return True if the backend server can be sent one more call now."""
    if is_draining(server) or is_ejected(server, now):
        return False
    if server.in_flight >= get_slot_limit(server, now):
        return False
    return has_token(server.rate_limit, now) and allows_request(server.warmup, now)


def get_sustained_slots(server: ServerRuntime, run_s: float, now: float) -> float:
    """Return how many calls that run for `run_s` seconds can be in flight all the time.

    A rate limit or a warm-up may keep some of the server's slots empty.
    """
    slots = get_slot_limit(server, now)
    if run_s <= 0.0:
        return slots
    rate = get_sustained_rate(server.warmup, now)
    if server.rate_limit is not None:
        rate = min(rate, server.rate_limit.bucket.rate)
    return min(slots, rate * run_s)


def has_tried_all(
    servers: Iterable[ServerRuntime], tried: set[str], now: float
) -> bool:
    """Return True if each server was tried, is draining or is ejected."""
    return all(
        server.intent.name in tried or is_draining(server) or is_ejected(server, now)
        for server in servers
    )


def compute_cost(server: ServerRuntime) -> float:
    """Return the cost of sending one more call; lower is better."""
    latency_s = server.latency_s or UNKNOWN_LATENCY_S
    penalty = 1.0 + FAILURE_PENALTY * server.failure_share
    if server.report is not None:
        # Calls in the other slots of the server hardly slow a call down.
        slots = max(1, server.intent.slots)
        return (slots + server.in_flight) / slots * sqrt(latency_s) * penalty
    return (server.in_flight + 1) * sqrt(latency_s) * penalty


def choose_server(
    servers: Iterable[ServerRuntime],
    now: float,
    avoid: set[str],
    *,
    idempotent: bool = True,
    holder: str = "",
) -> ServerRuntime | None:
    """Return the backend server of the lowest cost that has a free slot, or None.

    Servers that requested a pause from the holder of the call are skipped. A server on
    trial gets a non-idempotent call only if no other has a free slot.
    """
    best: ServerRuntime | None = None
    best_cost = 0.0
    for server in servers:
        if server.intent.name in avoid or not has_free_slot(server, now):
            continue
        if is_paused(server, now, holder):
            continue
        cost = compute_cost(server)
        if server.is_on_trial and not idempotent:
            cost += TRIAL_COST
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best
