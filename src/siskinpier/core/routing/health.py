"""Health of backend servers as calls show it: ejection, trial, slow start.

Calls come first; a probe shows only that a server which refused connections
is reachable again, as health endpoints lag and mislead.
"""

from collections.abc import Sequence
from typing import Final

from .balance import ServerRuntime, is_ejected

FAILURE_WEIGHT: Final = 0.2
EJECT_FAILURE_SHARE: Final = 0.5
# After an ejection one more failure is enough for the next.
TRIAL_FAILURE_SHARE: Final = 0.45
FORGIVE_FAILURE_SHARE: Final = 0.125
EJECT_BASE_S: Final = 1.0
EJECT_LONGEST_S: Final = 30.0
EJECTED_SHARE_LIMIT: Final = 0.34
# For how long a server is set aside whose address another one has, seconds: until its
# entry lapses for want of heartbeats.
OTHER_SERVER_S: Final = 5.0
LATENCY_WEIGHT: Final = 0.2
STEADY_WEIGHT: Final = 0.05


def record_success(server: ServerRuntime, latency_s: float, now: float) -> None:
    """Take in a call that a backend server answered."""
    if server.latency_s == 0.0:
        server.latency_s = latency_s
        server.steady_latency_s = latency_s
    server.latency_s += LATENCY_WEIGHT * (latency_s - server.latency_s)
    server.steady_latency_s += STEADY_WEIGHT * (latency_s - server.steady_latency_s)
    server.failure_share *= 1.0 - FAILURE_WEIGHT
    server.last_heard = now
    if server.is_on_trial:
        server.is_on_trial = False
        server.slow_start_at = now
    if server.failure_share < FORGIVE_FAILURE_SHARE:
        server.ejections = 0


def record_slow(server: ServerRuntime, elapsed_s: float) -> None:
    """Take in a call that was cancelled for its slowness after so long."""
    if elapsed_s > server.latency_s:
        server.latency_s += LATENCY_WEIGHT * (elapsed_s - server.latency_s)
    if elapsed_s > server.steady_latency_s:
        gain_s = elapsed_s - server.steady_latency_s
        server.steady_latency_s += STEADY_WEIGHT * gain_s


def record_failure(
    server: ServerRuntime,
    peers: Sequence[ServerRuntime],
    now: float,
    *,
    is_unreachable: bool = False,
) -> bool:
    """Take in a failed call; return True if the backend server is now ejected.

    No more than a set share of `peers`, the servers that this host may choose
    from, is ejected at a time, so that a false alarm cannot empty a service.
    """
    server.failure_share += FAILURE_WEIGHT * (1.0 - server.failure_share)
    server.last_heard = now
    if server.failure_share < EJECT_FAILURE_SHARE or is_ejected(server, now):
        return False
    ejected = sum(1 for peer in peers if is_ejected(peer, now))
    if ejected >= _count_ejectable(len(peers)):
        return False
    length_s = min(EJECT_LONGEST_S, EJECT_BASE_S * 2.0**server.ejections)
    server.ejected_until = now + length_s
    server.ejections += 1
    server.failure_share = TRIAL_FAILURE_SHARE
    server.is_on_trial = True
    server.is_unreachable = is_unreachable
    return True


def set_aside(server: ServerRuntime, now: float) -> bool:
    """Set a server aside whose address another one has; return True if that is news.

    Its answers are quick, so that without this it would draw most calls.
    """
    is_news = not is_ejected(server, now)
    server.ejected_until = now + OTHER_SERVER_S
    server.is_on_trial = True
    server.is_unreachable = False
    return is_news


def record_probe(server: ServerRuntime, now: float, *, is_healthy: bool) -> bool:
    """Take in a probe; return True if it ends the server's ejection."""
    server.last_heard = now
    if not is_healthy or not server.is_unreachable or not is_ejected(server, now):
        return False
    server.ejected_until = now
    server.is_unreachable = False
    return True


def _count_ejectable(peers: int) -> int:
    """Return how many of so many servers may be ejected; never the last one."""
    return min(peers - 1, max(1, int(EJECTED_SHARE_LIMIT * peers)))
