"""Which backend server a call goes to, or whether it had better wait.

A home that owns many servers compares a part of them for each call, the next part
for the next call: the best of many random choices is close to the best of all
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), and
the cost of a decision stays bounded.

Where only servers have room that are slow at this moment, a call waits for a fast
one if that is likely to answer it sooner.
"""

from collections.abc import Sequence
from typing import Final

from .balance import ServerRuntime, choose_server, get_slot_limit, is_draining
from .calls import ActiveCall
from .speeds import estimate_run_s, is_slow
from .state import ServiceRuntime

COMPARED_SERVERS: Final = 32


def choose_owned(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> ServerRuntime | None:
    """Return an owned server with room that the call has not tried, or None."""
    owned = service.owned
    if len(owned) > COMPARED_SERVERS:
        first = service.compared_from % len(owned)
        service.compared_from = first + COMPARED_SERVERS
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
    slow = [s for s in servers if is_slow(s, now)]
    server = choose_server(slow, now, active.get_tried(), idempotent=active.idempotent)
    if server is None or _is_wait_better(service, servers, active, server, now):
        return None
    return server


def choose_fast(
    servers: Sequence[ServerRuntime], active: ActiveCall, now: float
) -> ServerRuntime | None:
    """Return the best server with room that is not slow now, or None."""
    fast = [s for s in servers if not is_slow(s, now)]
    return choose_server(fast, now, active.get_tried(), idempotent=active.idempotent)


def _is_wait_better(
    service: ServiceRuntime,
    servers: Sequence[ServerRuntime],
    active: ActiveCall,
    slow: ServerRuntime,
    now: float,
) -> bool:
    """Return True if a fast server's next free slot is likely to be sooner."""
    slots = sum(
        get_slot_limit(server, now)
        for server in servers
        if not is_slow(server, now) and not is_draining(server)
    )
    if slots == 0:
        return False
    ahead = service.queue.count_ahead(active.urgency, active.call.deadline) + 1
    wait_s = ahead * service.usual_s / slots
    return wait_s + service.usual_s < estimate_run_s(service, slow, now)
