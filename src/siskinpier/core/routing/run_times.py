"""Usual run times of the calls of a route, as measured by a home.

The routes of a service may differ a hundredfold in their work, so the usual run time of
the service says little about a single route.
"""

from typing import Final

from ..state import ServiceRuntime
from .calls import ActiveCall

# Assumed run time of a route without measured runs, as a share of its latency
# objective.
OBJECTIVE_RUN_SHARE: Final = 1.0 / 3.0
# Upper bound on the routes of a service whose run times are kept.
ROUTES_LIMIT: Final = 200
# Step of a running median, as a share of its value.
MEDIAN_STEP_SHARE: Final = 0.05


def estimate_median(median_s: float, latency_s: float) -> float:
    """Return a running median after one more run; slow periods hardly move it."""
    if median_s == 0.0:
        return latency_s
    step_s = MEDIAN_STEP_SHARE * median_s
    return median_s + (step_s if latency_s > median_s else -step_s)


def get_typical_run_s(service: ServiceRuntime, active: ActiveCall) -> float:
    """Return the usual run time of a call in seconds, or 0 if it is unknown."""
    known_s = service.run_times.get(active.route_name)
    if known_s is not None:
        return known_s
    if active.aim_s > 0.0:
        return OBJECTIVE_RUN_SHARE * active.aim_s
    return service.typical_run_s


def record_run_time(service: ServiceRuntime, route_name: str, run_s: float) -> None:
    """Record the run time of a call in its route's median."""
    if not route_name:
        return
    run_times = service.run_times
    known_s = run_times.pop(route_name, 0.0)
    run_times[route_name] = estimate_median(known_s, run_s)
    if len(run_times) > ROUTES_LIMIT:
        # Remove the route whose last run ended longest ago.
        del run_times[next(iter(run_times))]
