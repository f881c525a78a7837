"""Which backend server a call goes to, or whether it had better wait.

A home that owns many servers compares a part of them for each call, the next part
for the next call: the best of many random choices is close to the best of all
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), and
the cost of a decision stays bounded.

Where only servers have room that are slow at this moment, a call waits for a fast
one if that is likely to answer it sooner.
"""

from collections.abc import Sequence
from math import inf
from typing import Final

from ..state import ServiceRuntime
from .balance import (
    ServerRuntime,
    choose_server,
    get_slot_limit,
    has_room,
    is_draining,
    is_ejected,
)
from .calls import ActiveCall
from .run_times import get_usual_s
from .speeds import estimate_run_s, is_slow

COMPARED_SERVERS: Final = 32
# How long a call waits for word of a free slot elsewhere before it settles for a
# slow server, seconds.
PATIENCE_S: Final = 0.025
# Runs on slow servers that must be known before a call is refused for want of others.
RUNS_NEEDED: Final = 3
# Stands for a wait whose end nobody can tell.
LONGEST_WAIT_S: Final = 60.0


def choose_owned(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> ServerRuntime | None:
    """Return an owned server with room that the call has not tried, or None."""
    owned = service.owned
    if len(owned) > COMPARED_SERVERS:
        first = service.comparison_start % len(owned)
        service.comparison_start = first + COMPARED_SERVERS
        part = owned[first : first + COMPARED_SERVERS]
        server = choose_fast(part, active, now)
        if server is not None:
            return server
    return choose_among(service, owned, active, now)


def choose_among(
    service: ServiceRuntime,
    servers: Sequence[ServerRuntime],
    active: ActiveCall,
    now: float,
) -> ServerRuntime | None:
    """Return a fast server with room, or a slow one where waiting is no better."""
    server = choose_fast(servers, active, now)
    if server is not None:
        return server
    if now < active.slow_from:
        return None
    slow = [s for s in servers if is_slow(s, now)]
    server = _choose([s for s in slow if not s.is_silent], active, now)
    if server is None:
        server = _choose([s for s in slow if s.is_silent], active, now)
    if server is None or _is_wait_better(service, servers, active, server, now):
        return None
    return server


def choose_fast(
    servers: Sequence[ServerRuntime], active: ActiveCall, now: float
) -> ServerRuntime | None:
    """Return the best server with room that is not slow now, or None."""
    fast = [s for s in servers if not is_slow(s, now)]
    return _choose(fast, active, now)


def _choose(
    servers: Sequence[ServerRuntime], active: ActiveCall, now: float
) -> ServerRuntime | None:
    return choose_server(
        servers,
        now,
        active.get_tried(),
        idempotent=active.idempotent,
        holder=active.holder,
    )


def estimate_answer_s(service: ServiceRuntime, active: ActiveCall, now: float) -> float:
    """Return the time until a waiting call is likely to be answered, in seconds."""
    fast_s = _estimate_fast_s(service, service.owned, active, now)
    slow = [s for s in service.owned if is_slow(s, now) and has_room(s, now)]
    typical_run_s = get_usual_s(service, active)
    slow_s = min(
        (estimate_run_s(service, s, typical_run_s, now) for s in slow), default=inf
    )
    return min(fast_s, slow_s)


def _estimate_fast_s(
    service: ServiceRuntime,
    servers: Sequence[ServerRuntime],
    active: ActiveCall,
    now: float,
) -> float:
    """Return the time until an answer from the next free slot of a fast server.

    A fast server may end a call first, or a slow one with room be fast again.
    """
    typical_run_s = get_usual_s(service, active)
    usable = [s for s in servers if not is_draining(s)]
    slots = sum(get_slot_limit(s, now) for s in usable if not is_slow(s, now))
    ahead = service.queue.count_ahead(active.urgency, active.call.deadline) + 1
    wait_s = ahead * typical_run_s / slots if slots else LONGEST_WAIT_S
    slow = [s for s in usable if is_slow(s, now) and not s.is_silent]
    ages_s = [now - s.slow_since for s in slow if has_room(s, now)]
    if ages_s:
        wait_s = min(wait_s, service.slow_period_stats.get_wait_s(ages_s))
    return wait_s + typical_run_s


def _has_sound(servers: Sequence[ServerRuntime], now: float) -> bool:
    """Return True if a server answers that takes calls, if only later."""
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
    """Return True if a fast server's next free slot is likely to be sooner.

    A run that may not be repeated and would surely not end in its time is never worth
    it; nor is one on a silent server while another may answer.
    """
    if slow.is_silent and not active.idempotent and _has_sound(servers, now):
        return True
    typical_run_s = get_usual_s(service, active)
    run_s = estimate_run_s(service, slow, typical_run_s, now)
    is_sure = service.slow_period_stats.begun_runs >= RUNS_NEEDED and not slow.is_silent
    if is_sure and not active.idempotent and now + run_s > active.call.deadline:
        return True
    return _estimate_fast_s(service, servers, active, now) < run_s
