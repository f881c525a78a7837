"""Slot requests to a home, from the host that holds the call.

The holder keeps the caller's request and its body. The home names a backend server and
the holder calls it, so that a body passes through no other host.
"""

from math import inf
from typing import Final

from ..cluster.members import Member
from ..cluster.rendezvous import compute_weight, rank_nodes
from ..effects import Effect, SendMessage, SetTimer
from ..messages import Message, SlotEnd, SlotRequest, SlotUse
from ..state import HostState, ServiceRuntime
from ..timers import SlotResponseDue
from .balance import ServerRuntime
from .calls import ActiveCall, PendingSlotRequest, Stage
from .cross_domain import can_cross_domains
from .forwarding import choose_peer_home
from .pauses import list_paused_servers

# Time within which a home in the same failure domain must answer, in seconds.
NEAR_TIMEOUT_S: Final = 0.08
# Time within which a home in another failure domain must answer, in seconds.
FAR_TIMEOUT_S: Final = 0.15
# How long a home that left a request unanswered gets no more requests, in seconds.
UNRESPONSIVE_S: Final = 0.5
# Homes that one attempt requests a slot from before its host chooses a server itself.
HOME_REQUESTS_LIMIT: Final = 3


def request_slot(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> bool:
    """Request a slot from a home; return False if no home is left to try."""
    if len(active.refused_by) >= HOME_REQUESTS_LIMIT:
        return False
    home = _choose_home(state, service, active, now)
    if home is None:
        return False
    member = state.members[home]
    active.stage = Stage.ASKING
    active.requested_home = home
    active.requested_at = now
    active.is_queued_at_home = False
    _send_request(state, service, active, member, now, out, is_spare=False)
    is_near = member.failure_domain == state.identity.failure_domain
    wait_s = NEAR_TIMEOUT_S if is_near else FAR_TIMEOUT_S
    timer = SlotResponseDue(call_id=active.call.call_id)
    out.append(SetTimer(timer=timer, at=now + wait_s))
    return True


def request_spare_slot(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
    *,
    near_only: bool = False,
) -> bool:
    """Request a free slot from another home; return False if none is left.

    The call keeps its place in the queue of its own home. Homes of this failure domain
    are preferred; with `near_only` no others get a request.
    """
    own = state.identity
    slots: dict[str, int] = {}
    for server, home in service.placement.owners.items():
        if service.servers[server].is_evacuated:
            continue
        slots[home] = slots.get(home, 0) + service.servers[server].intent.slots
    pending = set()
    if state.settings.shares_queues:
        pending = {request.home for request in active.pending_requests.values()}
    homes = [
        member
        for name in slots
        if (member := state.members.get(name)) is not None
        and name not in (own.name, active.requested_home)
        and member.silent_since is None
        and name not in active.refused_by | active.homes_without_spare | pending
    ]
    near = [m for m in homes if m.failure_domain == own.failure_domain]
    homes = near or ([] if near_only else homes)
    if not homes:
        return False
    best = max(homes, key=lambda member: (slots[member.name], member.name))
    _send_request(state, service, active, best, now, out, is_spare=True)
    return True


def withdraw_slot_requests(
    active: ActiveCall, out: list[Effect], kept: int | None = None
) -> None:
    """Withdraw the outstanding slot requests of a call, except the `kept` one."""
    for number, pending in active.pending_requests.items():
        if number == kept:
            continue
        message = _make_withdrawal(pending.holder, active.call.call_id, number, None)
        out.append(
            SendMessage(host=pending.home, address=pending.address, message=message)
        )
    active.pending_requests.clear()


def _send_request(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    home: Member,
    now: float,
    out: list[Effect],
    *,
    is_spare: bool,
) -> None:
    active.request_number += 1
    active.pending_requests[active.request_number] = PendingSlotRequest(
        home=home.name,
        address=home.peers,
        holder=state.identity.name,
        is_spare=is_spare,
    )
    message = SlotRequest(
        host=state.identity.name,
        call=active.call.call_id,
        request_number=active.request_number,
        service=active.call.service,
        urgency=active.urgency,
        idempotent=active.idempotent,
        attempts_left=active.attempts_limit - len(active.attempts),
        left_s=round(active.call.deadline - now, 4),
        aim_left_s=round(active.aim_s - (now - active.arrived), 4),
        tried=tuple(
            sorted(active.list_tried_targets() | list_paused_servers(service, now))
        ),
        fingerprint=active.call.fingerprint,
        is_retry=active.has_been_sent(),
        earns_budget=not active.has_earned_budget,
        can_cross_domains=not is_spare and can_cross_domains(active),
        spare_only=is_spare,
        route=active.route_name,
        workspace=active.workspace,
        expected_s=(
            round(active.expected_s, 4)
            if is_spare and state.settings.shares_queues
            else 0.0
        ),
    )
    active.has_earned_budget = True
    out.append(SendMessage(host=home.name, address=home.peers, message=message))


def send_withdrawal(
    state: HostState,
    home: str,
    call_id: str,
    request_number: int,
    out: list[Effect],
    number: int | None = None,
) -> None:
    """Withdraw a slot request, or only its grant `number`, without using a slot."""
    message = _make_withdrawal(state.identity.name, call_id, request_number, number)
    send_message(state, home, message, out)


def _make_withdrawal(
    holder: str, call_id: str, request_number: int, number: int | None
) -> SlotEnd:
    return SlotEnd(
        host=holder,
        call=call_id,
        request_number=request_number,
        number=number,
        use=SlotUse.UNUSED,
        latency_s=0.0,
    )


def send_message(
    state: HostState, host: str, message: Message, out: list[Effect]
) -> None:
    """Send a message to a host if it is a known member."""
    member = state.members.get(host)
    if member is not None:
        out.append(SendMessage(host=host, address=member.peers, message=message))


def _choose_home(
    state: HostState, service: ServiceRuntime, active: ActiveCall, now: float
) -> str | None:
    """Return a home of this failure domain, else the one with the most free slots."""
    own = state.identity
    owners = {
        name
        for name in set(service.placement.owners.values()) - active.refused_by
        if (member := state.members.get(name)) and member.unresponsive_until <= now
    }
    owners.discard(own.name)
    if state.evacuations.list_all():
        owners &= {
            service.placement.owners[s.intent.name] for s in _list_usable(service)
        }
    near = [
        n for n in service.placement.homes.get(own.failure_domain, ()) if n in owners
    ]
    if near:
        return rank_nodes(active.call.call_id, near)[0]
    if state.evacuations.list_all():
        return _choose_home_elsewhere(service, active, owners)
    excluded = set(service.placement.get_all_homes()) - owners
    peer = choose_peer_home(state, service, excluded, inf)
    return peer.name if peer is not None else None


def _choose_home_elsewhere(
    service: ServiceRuntime, active: ActiveCall, owners: set[str]
) -> str | None:
    """Return a home of another failure domain while one is evacuated.

    All calls of the evacuated domain go there, so they are spread by the servers that
    the homes own. Homes that grant slots do not report how many are free.
    """
    names = [
        server.intent.name
        for server in _list_usable(service)
        if service.placement.owners[server.intent.name] in owners
    ]
    if not names:
        return None
    number = compute_weight(active.call.call_id, service.intent.name) % len(names)
    return service.placement.owners[names[number]]


def _list_usable(service: ServiceRuntime) -> list[ServerRuntime]:
    """Return the servers that have an owner and are not evacuated."""
    return [
        server
        for name, server in service.servers.items()
        if not server.is_evacuated and name in service.placement.owners
    ]
