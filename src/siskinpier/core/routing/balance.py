"""Choosing a backend server by calls in flight and smoothed latency."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import sqrt
from typing import Final

from ..configuration.intents import BackendServer, ServerState
from .calls import LoadReport

FAILURE_PENALTY: Final = 8.0
SLOW_START_S: Final = 2.0
UNKNOWN_LATENCY_S: Final = 0.001
TRIAL_COST: Final = 1e9


@dataclass(slots=True, kw_only=True)
class ServerRuntime:
    """What this host has seen of one backend server.

    The latencies and `failure_share` are exponentially weighted means over
    calls, `steady_latency_s` over more of them; a latency of 0 means that
    nothing was measured yet. `limit` is 0 while the declared slots count. A
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
    is_on_trial: bool = False
    is_unreachable: bool = False
    last_heard: float = 0.0
    probed_at: float = 0.0
    reported_load: int | None = None
    report: LoadReport | None = None
    reported_at: float = 0.0
    # How many times longer than usual work took at the last report.
    slowdown: float = 1.0
    # When it last became slow and fast again, each between two reports, and how many
    # times longer work took in between.
    slow_since: float = 0.0
    fast_since: float = 0.0
    slow_period_slowdown: float = 1.0
    # Calls that hold a slot while the server is asked for its speed, with the reasons
    # for which it was chosen.
    checks: dict[str, str] = field(default_factory=dict)
    # Left this host's probes unanswered.
    is_silent: bool = False
    # Times until which it wants nothing from a host, by its name; empty for this one.
    paused_until: dict[str, float] = field(default_factory=dict)


def get_slot_limit(server: ServerRuntime, now: float) -> int:
    """Return how many calls may be in flight, fewer during slow start."""
    if server.is_on_trial:
        return 1
    slots = min(server.intent.slots, server.intent.connections)
    limit = min(slots, server.limit or slots)
    age_s = now - server.slow_start_at
    if age_s >= SLOW_START_S:
        return limit
    return max(1, min(limit, int(slots * age_s / SLOW_START_S)))


def is_draining(server: ServerRuntime) -> bool:
    """Return True if the backend server takes no new calls."""
    return server.is_leaving or server.intent.state is ServerState.DRAINING


def is_ejected(server: ServerRuntime, now: float) -> bool:
    """Return True while the backend server is set aside for its failures."""
    return now < server.ejected_until


def is_paused(server: ServerRuntime, now: float, holder: str = "") -> bool:
    """Return True while the server wants nothing from a host, by default this one."""
    return now < server.paused_until.get(holder, 0.0)


def has_free_slot(server: ServerRuntime, now: float) -> bool:
    """Return True if the backend server may be sent one more call now."""
    if is_draining(server) or is_ejected(server, now):
        return False
    return server.in_flight < get_slot_limit(server, now)


def has_tried_all(
    servers: Iterable[ServerRuntime], tried: set[str], now: float
) -> bool:
    """Return True if no server is left that was not tried and may serve calls."""
    return all(
        server.intent.name in tried or is_draining(server) or is_ejected(server, now)
        for server in servers
    )


def compute_cost(server: ServerRuntime) -> float:
    """Return the cost of sending one more call; lower is better."""
    latency_s = server.latency_s or UNKNOWN_LATENCY_S
    penalty = 1.0 + FAILURE_PENALTY * server.failure_share
    if server.report is not None:
        # Calls beside it in other slots slow a call little.
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
    """Return the backend server of the lowest score that has room, or None.

    One that wants nothing from the host that holds the call is passed over. A server
    on trial gets a non-idempotent call only when no other has room.
    """
    best: ServerRuntime | None = None
    best_score = 0.0
    for server in servers:
        if server.intent.name in avoid or not has_free_slot(server, now):
            continue
        if is_paused(server, now, holder):
            continue
        score = compute_cost(server)
        if server.is_on_trial and not idempotent:
            score += TRIAL_COST
        if best is None or score < best_score:
            best, best_score = server, score
    return best
