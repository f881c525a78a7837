"""How fast backend servers are at this moment, from what they report.

Neighbours on a server's machine slow it for a part of a second at a time. A report
of that counts for a short while; then the server is as good as any other.
"""

from typing import Final

from ..state import ServiceRuntime
from .balance import ServerRuntime
from .calls import ActiveCall, Attempt

# A report says nothing any more of the speed after this long, seconds.
SPEED_KNOWN_S: Final = 0.5
# A server that left probes unanswered for this long is taken for silent, seconds, and
# for so many times slower than usual.
SILENT_AFTER_S: Final = 0.35
SILENT_SLOWDOWN: Final = 20.0
# A server that takes this many times longer than usual counts as slow.
SLOW_FROM: Final = 2.0
# A run of this many times the usual one is still an ordinary one.
USUAL_SPREAD: Final = 1.2
# A run that began this long before its server was seen to be slow began before the
# spell, seconds.
DOUBT_S: Final = 0.1
# Part of the usual run that a spell must add for a run to tell whether it did.
TOLD_APART: Final = 0.5


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


def estimate_run_s(
    service: ServiceRuntime, server: ServerRuntime, typical_run_s: float, now: float
) -> float:
    """Return how long a run that begins now is likely to take, in seconds.

    `typical_run_s` is how long it takes on a server that is not slow.
    """
    slowdown = get_slowdown(server, now)
    if slowdown < SLOW_FROM or server.is_silent:
        return typical_run_s * slowdown
    return service.slow_period_stats.get_begun_s(typical_run_s, slowdown)


def estimate_rest_s(
    service: ServiceRuntime,
    server: ServerRuntime,
    typical_run_s: float,
    started: float,
    now: float,
) -> float:
    """Return how much longer a call that runs there is likely to take, in seconds.

    One that began in the server's slow spell may be slow to its end; one that began
    before may get ahead slowly for as long as the spell lasts, or not be touched.
    """
    slowdown = get_slowdown(server, now)
    if server.is_silent:
        return typical_run_s * slowdown
    slow_period_stats = service.slow_period_stats
    run_s = USUAL_SPREAD * typical_run_s
    plain_s = max(0.0, started + run_s - now)
    if slowdown < SLOW_FROM:
        return plain_s
    slow_from = max(started, server.slow_since)
    done_s = (slow_from - started) + (now - slow_from) / slowdown
    left_s = max(0.0, run_s - done_s)
    slowed_s = min(left_s * slowdown, slow_period_stats.length_s + left_s)
    if started < server.slow_since:
        return plain_s + slow_period_stats.midway_part * max(0.0, slowed_s - plain_s)
    begun_s = max(0.0, started + slow_period_stats.get_begun_s(run_s, slowdown) - now)
    return max(begun_s, slow_period_stats.midway_part * slowed_s)


def learn_spells(
    service: ServiceRuntime,
    server: ServerRuntime,
    active: ActiveCall,
    attempt: Attempt,
    run_s: float,
    now: float,
) -> None:
    """Take in a run that ended, for what slow spells do to runs."""
    typical_run_s = service.run_times.get(active.route_name, service.typical_run_s)
    if typical_run_s == 0.0:
        return
    if attempt.slowdown >= SLOW_FROM:
        service.slow_period_stats.note_begun(run_s, typical_run_s, attempt.slowdown)
        return
    if server.slow_since < attempt.started + DOUBT_S:
        return  # No spell came after it began, or nobody knows which was first.
    ended = server.fast_since if server.fast_since > server.slow_since else now
    spell_s = min(now, ended) - server.slow_since
    most_s = spell_s * (1.0 - 1.0 / server.spell_slowdown)
    if most_s >= TOLD_APART * typical_run_s:
        service.slow_period_stats.note_midway(run_s - typical_run_s, most_s)
