"""Choice of the host to which an isolated host forwards a call.

Each call goes to a random one, so that the load is shared. Hosts of the same failure
domain come first: bytes between domains are dear.
"""

from typing import Final

from ..cluster.members import Member, is_live
from ..state import HostState, IsolationStatus
from .calls import ActiveCall

# Hosts that a call is forwarded to in turn, while none of them can be reached.
MAX_FORWARDS: Final = 2


def choose_gateway(state: HostState, active: ActiveCall, now: float) -> Member | None:
    """Return a host to forward a call to; None if there is none, or no need."""
    if state.isolation.status is not IsolationStatus.ISOLATED:
        return None
    if active.call.hops > 0 or active.holder or not state.settings.grants_slots:
        return None
    if sum(attempt.is_forward for attempt in active.attempts) >= MAX_FORWARDS:
        return None
    tried = active.list_tried_targets()
    members = [
        member
        for member in state.members.values()
        if is_live(member, now, state.settings.heartbeat_s)
        and member.last_heard is not None
        and not member.is_isolated
        and member.name not in tried
        and member.name not in state.intents.leaving_hosts
    ]
    own = state.identity.failure_domain
    near = [member for member in members if member.failure_domain == own]
    candidates = near or members
    return state.rng.choice(candidates) if candidates else None


def is_stranded(state: HostState, active: ActiveCall) -> bool:
    """Return True if a call was forwarded to this host, which is isolated itself.

    It is not forwarded again, so that no call travels in circles. While no host
    reaches the servers, this one tries as any other.
    """
    own = state.identity.name
    is_isolated = state.isolation.status is IsolationStatus.ISOLATED
    return active.call.hops > 0 and is_isolated and own not in state.serving
