"""How many calls a backend server may have in flight, whatever it declares.

The declared slots are the most. A server that answers much slower than the
others of the home gets fewer at a time, by the ratio of latencies, as in the
gradient limit of Netflix' concurrency-limits library (2018). A service that
turns slow as a whole keeps its slots: then fewer calls would not help.
"""

from statistics import median_low
from typing import Final

from ..state import ServiceRuntime
from .balance import ServerRuntime

LATENCY_TOLERANCE: Final = 1.6
FEWEST_COMPARED: Final = 2


def refresh_limits(service: ServiceRuntime) -> None:
    """Recompute the limits of the owned servers from their latencies."""
    measured = [s for s in service.owned if s.steady_latency_s > 0.0]
    if len(measured) < FEWEST_COMPARED:
        return
    typical_run_s = median_low(server.steady_latency_s for server in measured)
    for server in measured:
        server.limit = _get_limit(server, typical_run_s)


def _get_limit(server: ServerRuntime, typical_run_s: float) -> int:
    slots = server.intent.slots
    ratio = LATENCY_TOLERANCE * typical_run_s / server.steady_latency_s
    return max(1, min(slots, int(slots * ratio)))
