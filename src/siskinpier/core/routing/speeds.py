"""Current speed of backend servers, from their load reports.

Other work on a server's machine slows the server for fractions of a second at a time. A
report of that is valid for a short time; then the server is treated like any other.
"""

from typing import Final

from ..state import ServiceRuntime
from .balance import ServerRuntime
from .calls import ActiveCall, Attempt

# How long a load report is valid, in seconds.
REPORT_TTL_S: Final = 0.5
# Time after which a server that leaves probes unanswered counts as silent, in seconds,
# and the slowdown that is then assumed.
SILENT_AFTER_S: Final = 0.35
SILENT_SLOWDOWN: Final = 20.0
PROBE_LEAD_S: Final = 0.1
# Slowdown from which a server counts as slow.
SLOW_FACTOR: Final = 2.0
# A run that takes up to this many times the usual run time is still ordinary.
ORDINARY_RUN_FACTOR: Final = 1.2
# Uncertainty of the onset of a slow period, in seconds: a run surely began before the
# period if it began at least this long before the onset.
ONSET_UNCERTAINTY_S: Final = 0.1
# Share of the usual run time that a slow period must be able to add, so that a run
# shows whether it did.
MIN_EFFECT_SHARE: Final = 0.5


def get_slowdown(server: ServerRuntime, now: float) -> float:
    """Return how many times longer than usual work takes; 1 if unknown."""
    if server.is_silent:
        return SILENT_SLOWDOWN
    if server.report is None or now - server.reported_at > REPORT_TTL_S:
        return 1.0
    return server.slowdown


def has_stopped_reporting(server: ServerRuntime, now: float) -> bool:
    """Return True if a server that has reported before leaves probes unanswered.

    Probes come at least `PROBE_LEAD_S` after the last report, and much later if the
    server names a rate limit.
    """
    if server.report is None or server.unanswered_since == 0.0:
        return False
    since = max(server.reported_at, server.unanswered_since - PROBE_LEAD_S)
    return now - since > SILENT_AFTER_S


def is_slow(server: ServerRuntime, now: float) -> bool:
    """Return True if the server is silent or recently reported a large slowdown."""
    return get_slowdown(server, now) >= SLOW_FACTOR


def estimate_run_s(
    service: ServiceRuntime, server: ServerRuntime, typical_run_s: float, now: float
) -> float:
    """Return the expected time of a run that begins now, in seconds.

    `typical_run_s` is the run time on a server that is not slow.
    """
    slowdown = get_slowdown(server, now)
    if slowdown < SLOW_FACTOR or server.is_silent:
        return typical_run_s * slowdown
    return service.slow_period_stats.estimate_begun_slow_s(typical_run_s, slowdown)


def estimate_remaining_s(
    service: ServiceRuntime,
    server: ServerRuntime,
    typical_run_s: float,
    started: float,
    now: float,
) -> float:
    """Return the expected remaining time of a running call, in seconds.

    A call that began in the server's slow period may be slow to its end. One that began
    before may progress slowly for as long as the period lasts, or be unaffected.
    """
    slowdown = get_slowdown(server, now)
    if server.is_silent:
        return typical_run_s * slowdown
    slow_period_stats = service.slow_period_stats
    run_s = ORDINARY_RUN_FACTOR * typical_run_s
    unslowed_s = max(0.0, started + run_s - now)
    if slowdown < SLOW_FACTOR:
        return unslowed_s
    slow_from = max(started, server.slow_since)
    done_s = (slow_from - started) + (now - slow_from) / slowdown
    left_s = max(0.0, run_s - done_s)
    slowed_s = min(left_s * slowdown, slow_period_stats.length_s + left_s)
    if started < server.slow_since:
        return unslowed_s + slow_period_stats.midway_slow_share * max(
            0.0, slowed_s - unslowed_s
        )
    begun_s = max(
        0.0, started + slow_period_stats.estimate_begun_slow_s(run_s, slowdown) - now
    )
    return max(begun_s, slow_period_stats.midway_slow_share * slowed_s)


def record_slow_period_effect(
    service: ServiceRuntime,
    server: ServerRuntime,
    active: ActiveCall,
    attempt: Attempt,
    run_s: float,
    now: float,
) -> None:
    """Record a finished run in the statistics of slow periods."""
    typical_run_s = service.run_times.get(active.route_name, service.typical_run_s)
    if typical_run_s == 0.0:
        return
    if attempt.slowdown >= SLOW_FACTOR:
        service.slow_period_stats.record_begun_slow(
            run_s, typical_run_s, attempt.slowdown
        )
        return
    if server.slow_since < attempt.started + ONSET_UNCERTAINTY_S:
        return  # No slow period began after the run, or the order is uncertain.
    ended = server.fast_since if server.fast_since > server.slow_since else now
    period_s = min(now, ended) - server.slow_since
    max_extra_s = period_s * (1.0 - 1.0 / server.slow_period_slowdown)
    if max_extra_s >= MIN_EFFECT_SHARE * typical_run_s:
        service.slow_period_stats.record_slowed_midway(
            run_s - typical_run_s, max_extra_s
        )
