"""Latency-based limits on the calls in flight to a backend server.

The declared slots are the upper bound. A server that answers much more slowly than
the other servers of its home gets fewer calls at a time, by the ratio of latencies,
as in the gradient limit of Netflix's concurrency-limits library (2018). If a service
slows down as a whole, its limits stay: fewer calls in flight would not help.
"""

from statistics import median_low
from typing import Final

from ..state import ServiceRuntime
from .balance import ServerRuntime

# Multiple of the typical latency up to which a server keeps all its slots.
LATENCY_TOLERANCE_FACTOR: Final = 1.6
MIN_COMPARED_SERVERS: Final = 2


def update_limits(service: ServiceRuntime) -> None:
    """Recompute the limits of the owned servers from their latencies."""
    measured = [s for s in service.owned if s.steady_latency_s > 0.0]
    if len(measured) < MIN_COMPARED_SERVERS:
        return
    typical_run_s = median_low(server.steady_latency_s for server in measured)
    for server in measured:
        server.limit = _compute_limit(server, typical_run_s)


def _compute_limit(server: ServerRuntime, typical_run_s: float) -> int:
    slots = server.intent.slots
    ratio = LATENCY_TOLERANCE_FACTOR * typical_run_s / server.steady_latency_s
    return max(1, min(slots, int(slots * ratio)))
