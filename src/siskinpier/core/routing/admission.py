"""Admission: whether a call can still be answered before its deadline."""

from typing import Final

from ..state import COMPLETION_RATE_WINDOW_S, ServiceRuntime
from .balance import get_slot_limit, is_draining, is_ejected
from .calls import ActiveCall
from .run_times import get_usual_s

# How much longer a late call waits, as others come in before it.
OVERTAKING: Final = 2.0
LONGEST_RETRY_AFTER_S: Final = 30.0
SHORTEST_RETRY_AFTER_S: Final = 0.1


def estimate_wait_s(
    service: ServiceRuntime, urgency: int, deadline: float, now: float
) -> float:
    """Return the expected wait for a slot, in seconds."""
    ahead = service.queue.count_ahead(urgency, deadline) + 1
    return ahead * service.service_time_s / _count_slots(service, now)


def is_too_late(
    service: ServiceRuntime, urgency: int, deadline: float, now: float
) -> bool:
    """Return True if a call that waits here would be answered too late."""
    wait_s = estimate_wait_s(service, urgency, deadline, now)
    return now + wait_s + service.service_time_s > deadline


def is_hopeless(service: ServiceRuntime, active: ActiveCall, now: float) -> bool:
    """Return True if a call had better not wait here.

    One that is likely to keep its aim waits. One that is not comes behind all calls
    that are, those that arrive meanwhile included, so it waits only if it would be
    answered well before its deadline.
    """
    deadline = active.call.deadline
    wait_s = estimate_turn_s(service, active, now, is_late=False)
    if not active.is_late(wait_s + get_usual_s(service, active), now):
        return False
    wait_s = estimate_turn_s(service, active, now, is_late=True)
    return now + OVERTAKING * wait_s + service.service_time_s > deadline


def estimate_turn_s(
    service: ServiceRuntime, active: ActiveCall, now: float, *, is_late: bool
) -> float:
    """Return the expected wait for a slot, from how fast calls ended lately."""
    queue = service.queue
    ahead = queue.count_ahead(active.urgency, active.call.deadline, is_late=is_late)
    slots_s = (ahead + 1) * service.service_time_s / _count_slots(service, now)
    rate = service.completions.get_rate(now)
    if (
        len(queue) == 0
        or now - service.queued_since < COMPLETION_RATE_WINDOW_S
        or rate <= 0.0
    ):
        # What ended before there was a queue says little of what could.
        return slots_s
    return max(slots_s, (ahead + 1) / rate)


def get_retry_after_s(service: ServiceRuntime, now: float) -> float:
    """Return when coming back is likely to find a slot, in seconds."""
    length = len(service.queue) + 1
    wait_s = length * service.service_time_s / _count_slots(service, now)
    return min(LONGEST_RETRY_AFTER_S, max(SHORTEST_RETRY_AFTER_S, wait_s))


def _count_slots(service: ServiceRuntime, now: float) -> int:
    slots = sum(
        get_slot_limit(server, now)
        for server in service.owned
        if not is_draining(server) and not is_ejected(server, now)
    )
    return max(1, slots)
