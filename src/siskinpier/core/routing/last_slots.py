"""Whether the last slot of a service's servers is worth using.

Some servers slow down so much when nearly full that they complete fewer calls with
their last slot in use than without it. A home detects this by comparing the run times
of calls that took a last slot with those of calls that did not; it then limits every
server of the service to one call less than its slots.
"""

from typing import Final

from ..state import ServiceRuntime
from .run_times import estimate_median

# Runs of each kind that are needed before the limit depends on them.
MIN_RUNS: Final = 20
# How often, and for how long, the last slots are used again as a trial, seconds.
LAST_SLOT_TRIAL_INTERVAL_S: Final = 60.0
LAST_SLOT_TRIAL_S: Final = 1.0


def record_run(
    service: ServiceRuntime, latency_s: float, *, took_last_slot: bool
) -> None:
    """Record a run time in seconds, and whether its call took the last slot."""
    if took_last_slot:
        service.full_server_run_count += 1
        service.full_server_run_s = estimate_median(
            service.full_server_run_s, latency_s
        )
    else:
        service.typical_run_count += 1
        service.typical_run_s = estimate_median(service.typical_run_s, latency_s)


def update_last_slot_limits(service: ServiceRuntime, now: float) -> None:
    """Update the limits of the owned servers from the benefit of their last slots."""
    is_trial = now % LAST_SLOT_TRIAL_INTERVAL_S < LAST_SLOT_TRIAL_S
    for server in service.owned:
        slots = server.intent.slots
        is_left_free = not is_trial and is_last_slot_harmful(service, slots)
        server.limit = slots - 1 if is_left_free else 0


def is_last_slot_harmful(service: ServiceRuntime, slots: int) -> bool:
    """Return True if servers complete more calls with one slot less.

    In an overload every call takes a last slot. The last slots are then left free for
    a moment, to measure run times without them.
    """
    if slots < 2 or service.full_server_run_count < MIN_RUNS:
        return False
    if service.typical_run_count < MIN_RUNS:
        return True
    return service.full_server_run_s / service.typical_run_s > slots / (slots - 1)
