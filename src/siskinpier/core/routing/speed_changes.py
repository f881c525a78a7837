"""What follows when a backend server reports another speed than before."""

from typing import Final

from ..effects import Effect, LogDecision
from ..state import HostState, ServiceRuntime
from .balance import ServerRuntime
from .calls import LoadReport
from .dispatch import drain_queue
from .hedging import hedge_slowed
from .load_reports import take_load
from .speeds import is_slow

# A gap between two reports counts for this much at the most, seconds.
LONGEST_GAP_S: Final = 0.2


def note_silence(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
) -> None:
    """Use a server last that leaves probes unanswered, and hedge its calls."""
    _log_silence(service, server, now, out, is_silent=True)
    server.is_silent = True
    hedge_slowed(state, service, server, now, out)


def take_speed(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    report: LoadReport,
    now: float,
    out: list[Effect],
) -> None:
    """Take in a report; use a server that is fast again, hedge where it slowed."""
    was_slow = is_slow(server, now)
    if server.is_silent:
        _log_silence(service, server, now, out, is_silent=False)
    last_s = min(LONGEST_GAP_S, now - server.reported_at)
    take_load(server, report, now)
    now_slow = is_slow(server, now)
    _note_change(service, server, last_s, now, was_slow=was_slow, now_slow=now_slow)
    if server not in service.owned:
        return
    if now_slow:
        hedge_slowed(state, service, server, now, out)
    elif was_slow:
        drain_queue(state, service, now, out)


def _note_change(
    service: ServiceRuntime,
    server: ServerRuntime,
    last_s: float,
    now: float,
    *,
    was_slow: bool,
    now_slow: bool,
) -> None:
    """Note when a server changed its speed: halfway between two reports.

    `last_s` is the time between them.
    """
    changed_at = now - last_s / 2.0
    if not was_slow:
        service.slow_period_stats.note_fast(last_s, has_ended=now_slow)
    if now_slow:
        server.spell_slowdown = server.slowdown
    if now_slow and not was_slow:
        server.slow_since = changed_at
    if was_slow and not now_slow:
        server.fast_since = changed_at
        service.slow_period_stats.note_spell(
            changed_at - server.slow_since, server.spell_slowdown
        )


def _log_silence(
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
    *,
    is_silent: bool,
) -> None:
    fields: dict[str, object] = {
        "service": service.intent.name,
        "server": server.intent.name,
        "silent": is_silent,
        "unheard_s": round(now - server.reported_at, 3),
    }
    out.append(LogDecision(event="server-silent", fields=fields))
