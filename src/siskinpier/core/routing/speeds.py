"""How fast backend servers are at this moment, from what they report.

Neighbours on a server's machine slow it for a part of a second at a time. A report
of that counts for a short while; then the server is as good as any other.
"""

from typing import Final

from ..state import ServiceRuntime
from .balance import ServerRuntime

# A report says nothing any more of the speed after this long, seconds.
SPEED_KNOWN_S: Final = 0.5
# A server that left probes unanswered for this long is taken for silent, seconds, and
# for so many times slower than usual.
SILENT_AFTER_S: Final = 0.35
SILENT_SLOWDOWN: Final = 20.0
# A server that takes this many times longer than usual counts as slow.
SLOW_FROM: Final = 2.0
# How long a server that is slow now stays so, on average, seconds.
SLOW_LASTS_S: Final = 0.35
# A run of this many times the usual one is still an ordinary one.
USUAL_SPREAD: Final = 1.2
# Step of the median of run times, as a share of it.
MEDIAN_STEP: Final = 0.05


def get_slowdown(server: ServerRuntime, now: float) -> float:
    """Return how many times longer than usual work takes; 1 where it is unknown."""
    if server.is_silent:
        return SILENT_SLOWDOWN
    if server.report is None or now - server.reported_at > SPEED_KNOWN_S:
        return 1.0
    return server.slowdown


def has_fallen_silent(server: ServerRuntime, now: float) -> bool:
    """Return True if a server that used to report leaves probes unanswered."""
    if server.report is None or server.probed_at <= server.reported_at:
        return False
    return now - server.reported_at > SILENT_AFTER_S


def is_slow(server: ServerRuntime, now: float) -> bool:
    """Return True if the server reported lately that its work takes much longer."""
    return get_slowdown(server, now) >= SLOW_FROM


def estimate_run_s(service: ServiceRuntime, server: ServerRuntime, now: float) -> float:
    """Return how long a call that is sent now is likely to take, in seconds."""
    slowdown = get_slowdown(server, now)
    if slowdown < SLOW_FROM or server.is_silent:
        return service.usual_s * slowdown
    # The server is likely to become fast again before work ends.
    return min(service.usual_s * slowdown, SLOW_LASTS_S + service.usual_s)


def estimate_rest_s(
    service: ServiceRuntime, server: ServerRuntime, started: float, now: float
) -> float:
    """Return how much longer a call that runs there is likely to take.

    Since the server became slow, the call got ahead slowly.
    """
    slowdown = get_slowdown(server, now)
    if server.is_silent:
        return service.usual_s * slowdown
    slow_from = max(started, server.slow_since)
    done_s = (slow_from - started) + (now - slow_from) / slowdown
    work_s = max(0.0, USUAL_SPREAD * service.usual_s - done_s)
    if slowdown < SLOW_FROM:
        return work_s
    return min(work_s * slowdown, SLOW_LASTS_S + work_s)


def follow_median(median_s: float, latency_s: float) -> float:
    """Return a median of run times after another one; slow spells hardly move it."""
    if median_s == 0.0:
        return latency_s
    step_s = MEDIAN_STEP * median_s
    return median_s + (step_s if latency_s > median_s else -step_s)
