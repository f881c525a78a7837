"""Admission control: whether a call is likely to be answered in time."""

from typing import Final

from ..state import COMPLETION_RATE_TIME_CONSTANT_S, ServiceRuntime
from .balance import get_sustained_slots, is_draining, is_ejected
from .calls import ActiveCall
from .run_times import get_typical_run_s

# Factor on the wait of a late call, as calls that arrive after it overtake it.
OVERTAKEN_WAIT_FACTOR: Final = 2.0
MAX_RETRY_AFTER_S: Final = 30.0
MIN_RETRY_AFTER_S: Final = 0.1


def estimate_wait_s(service: ServiceRuntime, active: ActiveCall, now: float) -> float:
    """Return the expected wait for a slot, in seconds."""
    ahead = service.queue.count_ahead(active) + 1
    return ahead * service.service_time_s / _count_slots(service, now)


def is_deadline_unlikely(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> bool:
    """Return True if a call queued here would probably miss its deadline."""
    wait_s = estimate_wait_s(service, active, now)
    return now + wait_s + service.service_time_s > active.call.deadline


def is_not_worth_queueing(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> bool:
    """Return True if a call should be refused here rather than queued.

    A call that is likely to meet its latency objective is queued. Any other call is
    queued behind all calls that can meet theirs, later arrivals included, so it is
    queued only if it would be answered well before its deadline.
    """
    deadline = active.call.deadline
    wait_s = estimate_queue_wait_s(service, active, now, is_late=False)
    if not active.is_late(wait_s + get_typical_run_s(service, active), now):
        return False
    wait_s = estimate_queue_wait_s(service, active, now, is_late=True)
    return now + OVERTAKEN_WAIT_FACTOR * wait_s + service.service_time_s > deadline


def estimate_queue_wait_s(
    service: ServiceRuntime, active: ActiveCall, now: float, *, is_late: bool
) -> float:
    """Return the expected wait in seconds, no less than recent completions suggest."""
    queue = service.queue
    ahead = queue.count_ahead(active, is_late=is_late)
    slots_s = (ahead + 1) * service.service_time_s / _count_slots(service, now)
    rate = service.completions.get_rate(now)
    if (
        len(queue) == 0
        or now - service.queued_since < COMPLETION_RATE_TIME_CONSTANT_S
        or rate <= 0.0
    ):
        # Completions from before the queue formed do not show the maximum rate.
        return slots_s
    return max(slots_s, (ahead + 1) / rate)


def estimate_retry_after_s(service: ServiceRuntime, now: float) -> float:
    """Return the time after which a retry is likely to find a slot, in seconds."""
    length = len(service.queue) + 1
    wait_s = length * service.service_time_s / _count_slots(service, now)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def _count_slots(service: ServiceRuntime, now: float) -> float:
    """Return how many slots can be in use all the time, 1 if there is none."""
    slots = sum(
        get_sustained_slots(server, service.service_time_s, now)
        for server in service.owned
        if not is_draining(server) and not is_ejected(server, now)
    )
    return slots or 1.0
