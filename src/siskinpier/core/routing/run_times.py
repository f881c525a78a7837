"""How long the calls of a route usually run, as a home learns it.

The routes of a service may differ a hundredfold in their work, so that what is usual
for the service says little of one of them.
"""

from typing import Final

from ..state import ServiceRuntime
from .calls import ActiveCall

# Until runs of a route were seen, a run is taken for this part of the route's aim.
PART_OF_AIM: Final = 1.0 / 3.0
# Routes of a service whose run times are kept.
ROUTES_LIMIT: Final = 200
# Step of a median of run times, as a share of it.
MEDIAN_STEP: Final = 0.05


def follow_median(median_s: float, latency_s: float) -> float:
    """Return a median of run times after another one; slow spells hardly move it."""
    if median_s == 0.0:
        return latency_s
    step_s = MEDIAN_STEP * median_s
    return median_s + (step_s if latency_s > median_s else -step_s)


def get_usual_s(service: ServiceRuntime, active: ActiveCall) -> float:
    """Return how long a call's run usually takes in seconds; 0 if nobody knows."""
    known_s = service.run_times.get(active.route_name)
    if known_s is not None:
        return known_s
    if active.aim_s > 0.0:
        return PART_OF_AIM * active.aim_s
    return service.typical_run_s


def learn_run_time(service: ServiceRuntime, route_name: str, run_s: float) -> None:
    """Take in a run of a route's call."""
    if not route_name:
        return
    run_times = service.run_times
    known_s = run_times.pop(route_name, 0.0)
    run_times[route_name] = follow_median(known_s, run_s)
    if len(run_times) > ROUTES_LIMIT:
        # The one whose runs ended longest ago.
        del run_times[next(iter(run_times))]
