"""Asking a home for a slot, from the host that holds the call.

The holder keeps the request and its body. The home names a backend server, and
the holder calls it; so a body crosses no other host.
"""

from math import inf
from typing import Final

from ..cluster.members import Member
from ..cluster.rendezvous import rank_nodes
from ..effects import Effect, SendMessage, SetTimer
from ..messages import Message, SlotEnd, SlotRequest, SlotUse
from ..state import HostState, ServiceRuntime
from ..timers import SlotResponseDue
from .calls import ActiveCall, Ask, Stage
from .crossing import may_cross
from .forwarding import choose_peer
from .pauses import get_paused

# A home in the same failure domain gives word within this long, seconds.
NEAR_ANSWER_S: Final = 0.08
# A home in another failure domain.
FAR_ANSWER_S: Final = 0.15
# A home that left a request without a word is asked nothing for this long, seconds.
DOUBT_S: Final = 0.5
# Homes that one attempt asks before its host chooses a server by itself.
ASKS_LIMIT: Final = 3


def ask_slot(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> bool:
    """Ask a home for a slot; return False when there is none left to ask."""
    if len(active.refused_by) >= ASKS_LIMIT:
        return False
    home = _choose_home(state, service, active, now)
    if home is None:
        return False
    member = state.members[home]
    active.stage = Stage.ASKING
    active.asked = home
    active.asked_at = now
    active.is_queued_there = False
    _ask(state, service, active, member, now, out, is_spare=False)
    is_near = member.failure_domain == state.identity.failure_domain
    wait_s = NEAR_ANSWER_S if is_near else FAR_ANSWER_S
    timer = SlotResponseDue(call_id=active.call.call_id)
    out.append(SetTimer(timer=timer, at=now + wait_s))
    return True


def ask_spare(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
    *,
    near_only: bool = False,
) -> bool:
    """Ask another home for a slot that is free at once.

    The call keeps its place at its own home meanwhile. Homes of this failure domain
    come first; with `near_only` no other is asked.
    """
    own = state.identity
    slots: dict[str, int] = {}
    for server, home in service.placement.owners.items():
        slots[home] = slots.get(home, 0) + service.servers[server].intent.slots
    homes = [
        member
        for name in slots
        if (member := state.members.get(name)) is not None
        and name not in (own.name, active.asked)
        and member.silent_since is None
        and name not in active.refused_by | active.without_spare
    ]
    near = [m for m in homes if m.failure_domain == own.failure_domain]
    homes = near or ([] if near_only else homes)
    if not homes:
        return False
    best = max(homes, key=lambda member: (slots[member.name], member.name))
    _ask(state, service, active, best, now, out, is_spare=True)
    return True


def drop_asks(active: ActiveCall, out: list[Effect], kept: int | None = None) -> None:
    """Withdraw the requests for a slot that are on their way, but for one."""
    for number, ask in active.asks.items():
        if number == kept:
            continue
        message = _make_withdrawal(ask.holder, active.call.call_id, number, None)
        out.append(SendMessage(host=ask.home, address=ask.address, message=message))
    active.asks.clear()


def _ask(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    home: Member,
    now: float,
    out: list[Effect],
    *,
    is_spare: bool,
) -> None:
    active.ask += 1
    active.asks[active.ask] = Ask(
        home=home.name,
        address=home.peers,
        holder=state.identity.name,
        is_spare=is_spare,
    )
    message = SlotRequest(
        host=state.identity.name,
        call=active.call.call_id,
        ask=active.ask,
        service=active.call.service,
        urgency=active.urgency,
        idempotent=active.idempotent,
        attempts_left=active.attempts_limit - len(active.attempts),
        left_s=round(active.call.deadline - now, 4),
        aim_left_s=round(active.aim_s - (now - active.arrived), 4),
        tried=tuple(sorted(active.get_tried() | get_paused(service, now))),
        fingerprint=active.call.fingerprint,
        is_repeat=active.has_been_sent(),
        earns_budget=not active.has_earned,
        may_cross=not is_spare and may_cross(active),
        spare_only=is_spare,
        route=active.route_name,
    )
    active.has_earned = True
    out.append(SendMessage(host=home.name, address=home.peers, message=message))


def withdraw(
    state: HostState,
    home: str,
    call_id: str,
    ask: int,
    out: list[Effect],
    number: int | None = None,
) -> None:
    """Tell a home that no slot is wanted, or that one of its grants is not used."""
    message = _make_withdrawal(state.identity.name, call_id, ask, number)
    send_to(state, home, message, out)


def _make_withdrawal(
    holder: str, call_id: str, ask: int, number: int | None
) -> SlotEnd:
    return SlotEnd(
        host=holder,
        call=call_id,
        ask=ask,
        number=number,
        use=SlotUse.UNUSED,
        latency_s=0.0,
    )


def send_to(state: HostState, host: str, message: Message, out: list[Effect]) -> None:
    """Send a message to a host if it is known."""
    member = state.members.get(host)
    if member is not None:
        out.append(SendMessage(host=host, address=member.peers, message=message))


def _choose_home(
    state: HostState, service: ServiceRuntime, active: ActiveCall, now: float
) -> str | None:
    """Return the home of this failure domain, else the one with most room."""
    own = state.identity
    owners = {
        name
        for name in set(service.placement.owners.values()) - active.refused_by
        if (member := state.members.get(name)) and member.doubted_until <= now
    }
    owners.discard(own.name)
    near = [
        n for n in service.placement.homes.get(own.failure_domain, ()) if n in owners
    ]
    if near:
        return rank_nodes(active.call.call_id, near)[0]
    others = set(service.placement.get_all_homes()) - owners
    peer = choose_peer(state, service, others, inf)
    return peer.name if peer is not None else None
