"""Choice of a backend server for a call, or the decision to wait for one.

A home that owns many servers compares a part of them for each call, and the next part
for the next call: the best of many random choices is close to the best of all
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), and
the cost of a decision stays bounded.

If only servers that are slow at the moment have free slots, a call waits for a fast
server where that is likely to give an earlier answer.
"""

from collections.abc import Sequence
from math import inf
from typing import Final

from ..state import ServiceRuntime
from .balance import (
    ServerRuntime,
    choose_server,
    get_slot_limit,
    get_sustained_slots,
    has_free_slot,
    is_draining,
    is_ejected,
)
from .calls import ActiveCall
from .run_times import get_typical_run_s
from .speeds import estimate_run_s, is_slow

MAX_COMPARED_SERVERS: Final = 32
# How long a call waits for a free slot at another home before it accepts a slow
# server, in seconds.
FAST_SERVER_WAIT_S: Final = 0.025
# Runs on slow servers to observe before their estimated time is reliable enough to
# keep a non-idempotent call waiting rather than send it to a slow server.
MIN_SLOW_RUNS: Final = 3
# Wait that is assumed where it cannot be estimated, in seconds.
UNKNOWN_WAIT_S: Final = 60.0


def choose_owned_server(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> ServerRuntime | None:
    """Return an owned server with a free slot that the call has not tried, or None."""
    owned = service.owned
    if len(owned) > MAX_COMPARED_SERVERS:
        first = service.comparison_start % len(owned)
        service.comparison_start = first + MAX_COMPARED_SERVERS
        part = owned[first : first + MAX_COMPARED_SERVERS]
        server = choose_fast_server(part, active, now)
        if server is not None:
            return server
    return choose_candidate(service, owned, active, now)


def choose_candidate(
    service: ServiceRuntime,
    servers: Sequence[ServerRuntime],
    active: ActiveCall,
    now: float,
) -> ServerRuntime | None:
    """Return a fast server with a free slot, else a slow one; None to wait instead."""
    server = choose_fast_server(servers, active, now)
    if server is not None:
        return server
    if now < active.accepts_slow_from:
        return None
    slow = [s for s in servers if is_slow(s, now)]
    server = _choose_untried([s for s in slow if not s.is_silent], active, now)
    if server is None:
        server = _choose_untried([s for s in slow if s.is_silent], active, now)
    if server is None or _is_wait_better(service, servers, active, server, now):
        return None
    return server


def choose_fast_server(
    servers: Sequence[ServerRuntime], active: ActiveCall, now: float
) -> ServerRuntime | None:
    """Return the best server with a free slot that is not slow now, or None."""
    fast = [s for s in servers if not is_slow(s, now)]
    return _choose_untried(fast, active, now)


def _choose_untried(
    servers: Sequence[ServerRuntime], active: ActiveCall, now: float
) -> ServerRuntime | None:
    return choose_server(
        servers,
        now,
        active.list_tried_targets(),
        idempotent=active.idempotent,
        holder=active.holder,
    )


def estimate_answer_s(service: ServiceRuntime, active: ActiveCall, now: float) -> float:
    """Return the expected time until a waiting call is answered, in seconds."""
    fast_s = _estimate_fast_answer_s(service, service.owned, active, now)
    slow = [s for s in service.owned if is_slow(s, now) and has_free_slot(s, now)]
    typical_run_s = get_typical_run_s(service, active)
    slow_s = min(
        (estimate_run_s(service, s, typical_run_s, now) for s in slow), default=inf
    )
    return min(fast_s, slow_s)


def _estimate_fast_answer_s(
    service: ServiceRuntime,
    servers: Sequence[ServerRuntime],
    active: ActiveCall,
    now: float,
) -> float:
    """Return the expected time until an answer from a fast server, in seconds.

    Either a fast server completes a call, or a slow one with a free slot becomes fast.
    """
    typical_run_s = get_typical_run_s(service, active)
    usable = [s for s in servers if not is_draining(s)]
    slots = sum(
        get_sustained_slots(s, typical_run_s, now)
        for s in usable
        if not is_slow(s, now)
    )
    ahead = service.queue.count_ahead(active) + 1
    wait_s = ahead * typical_run_s / slots if slots else UNKNOWN_WAIT_S
    slow = [s for s in usable if is_slow(s, now) and not s.is_silent]
    recovering = [s for s in slow if has_free_slot(s, now)]
    if recovering:
        slow_ages_s = [now - s.slow_since for s in recovering]
        recovery_s = service.slow_period_stats.estimate_recovery_s(slow_ages_s)
        if not service.shares_queues:
            return min(wait_s, recovery_s) + typical_run_s
        # The first that becomes fast takes as many calls as it has free slots; those
        # behind them wait for its slots and for those of the fast servers.
        limits = [get_slot_limit(s, now) for s in recovering]
        free = max(get_slot_limit(s, now) - s.in_flight for s in recovering)
        behind_s = max(0, ahead - free) * typical_run_s / (slots + max(limits))
        wait_s = min(wait_s, recovery_s + behind_s)
    return wait_s + typical_run_s


def _has_responsive(servers: Sequence[ServerRuntime], now: float) -> bool:
    """Return True if a server that accepts calls, now or later, answers probes."""
    return any(
        not s.is_silent and not is_draining(s) and not is_ejected(s, now)
        for s in servers
    )


def _is_wait_better(
    service: ServiceRuntime,
    servers: Sequence[ServerRuntime],
    active: ActiveCall,
    slow: ServerRuntime,
    now: float,
) -> bool:
    """Return True if waiting for a fast server is better than using a slow one.

    A non-idempotent call never uses a slow server on which it would certainly miss its
    deadline, nor a silent server while another one may answer.
    """
    if slow.is_silent and not active.idempotent and _has_responsive(servers, now):
        return True
    typical_run_s = get_typical_run_s(service, active)
    run_s = estimate_run_s(service, slow, typical_run_s, now)
    is_reliable = (
        service.slow_period_stats.begun_slow_runs >= MIN_SLOW_RUNS
        and not slow.is_silent
    )
    if is_reliable and not active.idempotent and now + run_s > active.call.deadline:
        return True
    return _estimate_fast_answer_s(service, servers, active, now) < run_s
