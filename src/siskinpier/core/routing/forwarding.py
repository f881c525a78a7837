"""Forwarding calls between the homes of a service, from what homes tell of room.

A home tells the other homes of a service how many free slots it has, or how
many calls wait there. It tells only what changes their choice, and not more
often than `SPARE_INTERVAL_S`, so the work is bounded whatever the calls do.
"""

from typing import Final

from ..cluster.members import Member
from ..effects import Effect, SendMessage, SetTimer
from ..messages import SpareNotice
from ..state import HostState, ServiceRuntime
from ..timers import SpareNoticeDue
from .balance import get_slot_limit, has_room
from .calls import ActiveCall

SPARE_INTERVAL_S: Final = 0.02
# More room than this share of the slots, or this many, is told as just this much.
PLENTY_SHARE: Final = 0.25
PLENTY_SLOTS: Final = 16
# There and back between failure domains.
FORWARD_S: Final = 0.003
UNKNOWN_SERVICE_S: Final = 0.005


def count_spare(service: ServiceRuntime, now: float, most: int | None = None) -> int:
    """Return the free slots of the owned servers, less the calls that wait.

    Counting ends at `most`, where more makes no difference.
    """
    room = -len(service.queue)
    for server in service.owned:
        if has_room(server, now):
            room += get_slot_limit(server, now) - server.in_flight
        if most is not None and room >= most:
            return most
    return room


def report_spare(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Tell the other homes of the room here, now or when the interval is over."""
    if not service.owned or service.spare_timer_set or state.settings.grants_slots:
        return
    if not _is_news(service, _limit_spare(state, service, now)):
        return
    due = service.spare_sent_at + SPARE_INTERVAL_S
    if now < due:
        service.spare_timer_set = True
        out.append(SetTimer(timer=SpareNoticeDue(service=service.intent.name), at=due))
        return
    _send_spare(state, service, now, out)


def send_due_spare(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Tell the other homes of the room here if it is still news."""
    service.spare_timer_set = False
    report_spare(state, service, now, out)


def take_spare(state: HostState, notice: SpareNotice, sender: str) -> bool:
    """Take in what another home told; return True if it has room."""
    member = state.members.get(sender)
    if member is None:
        return False
    member.spare[notice.service] = notice.spare
    return notice.spare > 0


def choose_peer(
    state: HostState,
    service: ServiceRuntime,
    tried: set[str],
    wait_s: float,
) -> Member | None:
    """Return the home where a call is served soonest, if sooner than here.

    `wait_s` is the expected wait here; a host without own servers passes
    infinity.
    """
    best: Member | None = None
    best_wait_s = wait_s
    for name in service.placement.get_all_homes():
        member = state.members.get(name)
        if member is None or name in tried or name == state.identity.name:
            continue
        peer_wait_s = FORWARD_S + _estimate_peer_wait_s(service, member)
        if peer_wait_s < best_wait_s:
            best, best_wait_s = member, peer_wait_s
    return best


def note_forward(service: ServiceRuntime, peer: Member) -> None:
    """Count a forwarded call against the room that the peer told of."""
    name = service.intent.name
    peer.spare[name] = peer.spare.get(name, 0) - 1


def list_forwardable(
    state: HostState, service: ServiceRuntime, room: int
) -> list[ActiveCall]:
    """Return waiting calls that another home would serve sooner.

    The first calls in the queue get a slot here before a forwarded call could
    reach the other home.
    """
    slots = sum(server.intent.slots for server in service.owned)
    kept = round(FORWARD_S / 2 * slots / _get_service_s(service))
    entries = service.queue.get_call_ids(first=kept, last=kept + 4 * room)
    calls = [state.calls[call_id] for call_id in entries]
    return [active for active in calls if active.call.hops == 0][:room]


def _estimate_peer_wait_s(service: ServiceRuntime, member: Member) -> float:
    spare = member.spare.get(service.intent.name, 0)
    if spare > 0:
        # Among homes with room, the one with the most of it comes first.
        return FORWARD_S / (1 + spare) * 0.01
    slots = _get_slots(service, member.name)
    return (1 - spare) * _get_service_s(service) / max(1, slots)


def _get_slots(service: ServiceRuntime, name: str) -> int:
    if service.slots_placement is not service.placement:
        service.slots_placement = service.placement
        service.slots_by_owner = {}
        for server, owner in service.placement.owners.items():
            slots = service.servers[server].intent.slots
            service.slots_by_owner[owner] = service.slots_by_owner.get(owner, 0) + slots
    return service.slots_by_owner.get(name, 0)


def _get_service_s(service: ServiceRuntime) -> float:
    return service.service_time_s or UNKNOWN_SERVICE_S


def _limit_spare(state: HostState, service: ServiceRuntime, now: float) -> int:
    slots = _get_slots(service, state.identity.name)
    plenty = max(1, min(PLENTY_SLOTS, round(slots * PLENTY_SHARE)))
    return count_spare(service, now, plenty)


def _is_news(service: ServiceRuntime, spare: int) -> bool:
    sent = service.spare_sent
    if (spare > 0) != (sent > 0):
        return True
    return abs(spare - sent) > max(1, abs(sent) // 4)


def _send_spare(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    spare = _limit_spare(state, service, now)
    service.spare_sent = spare
    service.spare_sent_at = now
    message = SpareNotice(service=service.intent.name, spare=spare)
    for name in service.placement.get_all_homes():
        member = state.members.get(name)
        if member is not None and name != state.identity.name:
            out.append(SendMessage(host=name, address=member.peers, message=message))
