"""Whether the last slot of a service's servers is worth using.

Some servers slow down when they are nearly full, so much that they finish less with
their last slot in use than without it. Homes learn that from the run times of calls
that took a last slot against those that did not; the limit of every server of the
service then lies one below its slots.
"""

from typing import Final

from ..state import ServiceRuntime
from .run_times import follow_median

# Runs of each kind that must be known before a limit is drawn from them.
RUNS_NEEDED: Final = 20
# How often, and for how long, the last slots are tried again, seconds.
TRY_EVERY_S: Final = 60.0
TRY_FOR_S: Final = 1.0


def learn_run(service: ServiceRuntime, latency_s: float, *, was_full: bool) -> None:
    """Take in a run time, and whether its call took the last slot."""
    if was_full:
        service.full_server_run_count += 1
        service.full_server_run_s = follow_median(service.full_server_run_s, latency_s)
    else:
        service.typical_run_count += 1
        service.typical_run_s = follow_median(service.typical_run_s, latency_s)


def refresh_full_limits(service: ServiceRuntime, now: float) -> None:
    """Set the limits of the owned servers from what last slots are worth."""
    is_trying = now % TRY_EVERY_S < TRY_FOR_S
    for server in service.owned:
        slots = server.intent.slots
        is_kept_free = not is_trying and is_last_slot_harmful(service, slots)
        server.limit = slots - 1 if is_kept_free else 0


def is_last_slot_harmful(service: ServiceRuntime, slots: int) -> bool:
    """Return True if servers finish more calls with one slot less.

    In an overload every call takes a last slot; they stay free for a moment then, to
    learn what calls take without.
    """
    if slots < 2 or service.full_server_run_count < RUNS_NEEDED:
        return False
    if service.typical_run_count < RUNS_NEEDED:
        return True
    return service.full_server_run_s / service.typical_run_s > slots / (slots - 1)
