"""Health of backend servers from call outcomes: ejection, trial, slow start.

Health is derived from calls. A probe only shows that a server which refused
connections is reachable again, because health endpoints lag and mislead.
"""

from collections.abc import Sequence
from typing import Final

from .balance import ServerRuntime, is_ejected

# Weight of the newest call in the failure share.
FAILURE_WEIGHT: Final = 0.2
EJECT_FAILURE_SHARE: Final = 0.5
# The failure share after an ejection: one more failure ejects the server again.
TRIAL_FAILURE_SHARE: Final = 0.45
# Failure share below which the number of successive ejections is reset.
EJECTIONS_RESET_SHARE: Final = 0.125
BASE_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
MAX_EJECTED_SHARE: Final = 0.34
# How long a server whose address now belongs to another one is ejected, in seconds. By
# then its registry entry has expired for lack of heartbeats.
REPLACED_EJECTION_S: Final = 5.0
# Weights of the newest latency in `latency_s` and in `steady_latency_s`.
LATENCY_WEIGHT: Final = 0.2
STEADY_LATENCY_WEIGHT: Final = 0.05


def record_success(server: ServerRuntime, latency_s: float, now: float) -> None:
    """Record a call that a backend server answered."""
    if server.latency_s == 0.0:
        server.latency_s = latency_s
        server.steady_latency_s = latency_s
    server.latency_s += LATENCY_WEIGHT * (latency_s - server.latency_s)
    server.steady_latency_s += STEADY_LATENCY_WEIGHT * (
        latency_s - server.steady_latency_s
    )
    server.failure_share *= 1.0 - FAILURE_WEIGHT
    server.last_heard = now
    if server.is_on_trial:
        server.is_on_trial = False
        server.slow_start_at = now
    if server.failure_share < EJECTIONS_RESET_SHARE:
        server.ejections = 0


def record_slow_attempt(server: ServerRuntime, elapsed_s: float) -> None:
    """Record an attempt that was cancelled as too slow after `elapsed_s` seconds."""
    if elapsed_s > server.latency_s:
        server.latency_s += LATENCY_WEIGHT * (elapsed_s - server.latency_s)
    if elapsed_s > server.steady_latency_s:
        excess_s = elapsed_s - server.steady_latency_s
        server.steady_latency_s += STEADY_LATENCY_WEIGHT * excess_s


def record_failure(
    server: ServerRuntime,
    peers: Sequence[ServerRuntime],
    now: float,
    *,
    is_unreachable: bool = False,
) -> bool:
    """Record a failed call; return True if it ejects the backend server.

    At most `MAX_EJECTED_SHARE` of `peers`, the servers that this host may choose
    from, is ejected at a time, so that a false alarm cannot empty a service.
    """
    server.failure_share += FAILURE_WEIGHT * (1.0 - server.failure_share)
    server.last_heard = now
    if server.failure_share < EJECT_FAILURE_SHARE or is_ejected(server, now):
        return False
    ejected = sum(1 for peer in peers if is_ejected(peer, now))
    if ejected >= _count_ejectable(len(peers)):
        return False
    ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**server.ejections)
    server.ejected_until = now + ejection_s
    server.ejections += 1
    server.failure_share = TRIAL_FAILURE_SHARE
    server.is_on_trial = True
    server.is_unreachable = is_unreachable
    return True


def eject_replaced_server(server: ServerRuntime, now: float) -> bool:
    """Eject a server whose address another one has; return True if that is new.

    The other server rejects calls quickly, and its low latency would attract most
    of the calls. The result is False if the server was ejected already.
    """
    is_new = not is_ejected(server, now)
    server.ejected_until = now + REPLACED_EJECTION_S
    server.is_on_trial = True
    server.is_unreachable = False
    return is_new


def record_probe(server: ServerRuntime, now: float, *, is_healthy: bool) -> bool:
    """Record a probe result; return True if it ends the server's ejection."""
    server.last_heard = now
    if not is_healthy or not server.is_unreachable or not is_ejected(server, now):
        return False
    server.ejected_until = now
    server.is_unreachable = False
    return True


def _count_ejectable(peers: int) -> int:
    """Return how many of `peers` servers may be ejected, never all of them."""
    return min(peers - 1, max(1, int(MAX_EJECTED_SHARE * peers)))
