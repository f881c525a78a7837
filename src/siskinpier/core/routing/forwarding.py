"""Forwarding of calls between the homes of a service, by their spare slots.

A home reports to the other homes of a service how many free slots it has, or how many
calls wait there. It reports only changes that affect their choice, at most once per
`SPARE_NOTICE_INTERVAL_S`, so the work is bounded at any call rate.
"""

from typing import Final

from ..cluster.members import Member
from ..effects import Effect, SendMessage, SetTimer
from ..messages import SpareNotice
from ..state import HostState, ServiceRuntime
from ..timers import SpareNoticeDue
from .balance import get_slot_limit, has_free_slot
from .calls import ActiveCall

SPARE_NOTICE_INTERVAL_S: Final = 0.02
# Spare slots are reported only up to this share of all slots and to this number.
MAX_REPORTED_SHARE: Final = 0.25
MAX_REPORTED_SLOTS: Final = 16
# Round trip of a forwarded call between failure domains, in seconds.
FORWARD_ROUND_TRIP_S: Final = 0.003
# Assumed until a service time was measured, in seconds.
DEFAULT_SERVICE_TIME_S: Final = 0.005


def count_spare_slots(
    service: ServiceRuntime, now: float, most: int | None = None
) -> int:
    """Return the free slots of the owned servers minus the waiting calls.

    Counting stops at `most`, if given.
    """
    spare_slots = -len(service.queue)
    for server in service.owned:
        if has_free_slot(server, now):
            spare_slots += get_slot_limit(server, now) - server.in_flight
        if most is not None and spare_slots >= most:
            return most
    return spare_slots


def report_spare_slots(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Report spare slots to the other homes, now or at the end of the interval."""
    if not service.owned or service.spare_timer_set or state.settings.grants_slots:
        return
    if not _is_relevant_change(service, _count_reported_spare(state, service, now)):
        return
    due = service.spare_sent_at + SPARE_NOTICE_INTERVAL_S
    if now < due:
        service.spare_timer_set = True
        out.append(SetTimer(timer=SpareNoticeDue(service=service.intent.name), at=due))
        return
    _send_spare_notices(state, service, now, out)


def handle_spare_notice_due(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Report spare slots to the other homes if the change is still relevant."""
    service.spare_timer_set = False
    report_spare_slots(state, service, now, out)


def record_spare_notice(state: HostState, notice: SpareNotice, sender: str) -> bool:
    """Record the notice of another home; return True if it has spare slots."""
    member = state.members.get(sender)
    if member is None:
        return False
    member.spare[notice.service] = notice.spare
    return notice.spare > 0


def choose_peer_home(
    state: HostState,
    service: ServiceRuntime,
    tried: set[str],
    wait_s: float,
) -> Member | None:
    """Return the untried home with the shortest wait, or None if none beats `wait_s`.

    `wait_s` is the expected wait here in seconds; a host that owns no servers passes
    infinity.
    """
    best: Member | None = None
    best_wait_s = wait_s
    for name in service.placement.get_all_homes():
        member = state.members.get(name)
        if member is None or name in tried or name == state.identity.name:
            continue
        peer_wait_s = FORWARD_ROUND_TRIP_S + _estimate_peer_wait_s(service, member)
        if peer_wait_s < best_wait_s:
            best, best_wait_s = member, peer_wait_s
    return best


def record_forward(service: ServiceRuntime, peer: Member) -> None:
    """Subtract a forwarded call from the spare slots that the peer reported."""
    name = service.intent.name
    peer.spare[name] = peer.spare.get(name, 0) - 1


def list_forwardable_calls(
    state: HostState, service: ServiceRuntime, spare_slots: int
) -> list[ActiveCall]:
    """Return up to `spare_slots` waiting calls that another home would serve sooner.

    The first calls in the queue are left out: they get a slot here before a
    forwarded call could reach the other home.
    """
    slots = sum(server.intent.slots for server in service.owned)
    skipped = round(FORWARD_ROUND_TRIP_S / 2 * slots / _get_service_time_s(service))
    entries = service.queue.get_call_ids(first=skipped, last=skipped + 4 * spare_slots)
    calls = [state.calls[call_id] for call_id in entries]
    return [active for active in calls if active.call.hops == 0][:spare_slots]


def _estimate_peer_wait_s(service: ServiceRuntime, member: Member) -> float:
    spare = member.spare.get(service.intent.name, 0)
    if spare > 0:
        # Among homes with spare slots, the one with the most of them comes first.
        return FORWARD_ROUND_TRIP_S / (1 + spare) * 0.01
    slots = _get_owner_slots(service, member.name)
    return (1 - spare) * _get_service_time_s(service) / max(1, slots)


def _get_owner_slots(service: ServiceRuntime, name: str) -> int:
    if service.slots_placement is not service.placement:
        service.slots_placement = service.placement
        service.slots_by_owner = {}
        for server, owner in service.placement.owners.items():
            slots = service.servers[server].intent.slots
            service.slots_by_owner[owner] = service.slots_by_owner.get(owner, 0) + slots
    return service.slots_by_owner.get(name, 0)


def _get_service_time_s(service: ServiceRuntime) -> float:
    return service.service_time_s or DEFAULT_SERVICE_TIME_S


def _count_reported_spare(state: HostState, service: ServiceRuntime, now: float) -> int:
    slots = _get_owner_slots(service, state.identity.name)
    most = max(1, min(MAX_REPORTED_SLOTS, round(slots * MAX_REPORTED_SHARE)))
    return count_spare_slots(service, now, most)


def _is_relevant_change(service: ServiceRuntime, spare: int) -> bool:
    sent = service.spare_sent
    if (spare > 0) != (sent > 0):
        return True
    return abs(spare - sent) > max(1, abs(sent) // 4)


def _send_spare_notices(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    spare = _count_reported_spare(state, service, now)
    service.spare_sent = spare
    service.spare_sent_at = now
    message = SpareNotice(service=service.intent.name, spare=spare)
    for name in service.placement.get_all_homes():
        member = state.members.get(name)
        if member is not None and name != state.identity.name:
            out.append(SendMessage(host=name, address=member.peers, message=message))
