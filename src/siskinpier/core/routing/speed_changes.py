"""Reactions to backend servers whose load reports change or stop."""

from dataclasses import replace
from typing import Final

from ..effects import Effect, LogDecision
from ..state import HostState, ServiceRuntime
from .balance import ServerRuntime
from .calls import LoadReport
from .hedging import hedge_slowed_calls
from .load_reports import record_load_report
from .queueing import dispatch_queued_calls
from .speeds import is_slow
from .warmup_tokens import COLD_RUN_FACTOR

# Longest time between two reports that is counted, in seconds.
MAX_REPORT_GAP_S: Final = 0.2


def handle_unresponsive_server(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
) -> None:
    """Rank a server that leaves probes unanswered last, and hedge its calls."""
    _log_silence(service, server, now, out, is_silent=True)
    server.is_silent = True
    hedge_slowed_calls(state, service, server, now, out)


def handle_load_report(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    report: LoadReport,
    now: float,
    out: list[Effect],
) -> None:
    """Record a load report; hedge calls of a slow server, use it when fast again."""
    was_slow = is_slow(server, now)
    if server.is_silent:
        _log_silence(service, server, now, out, is_silent=False)
    gap_s = min(MAX_REPORT_GAP_S, now - server.reported_at)
    record_load_report(server, _without_warmup(server, report, now), now)
    is_now_slow = is_slow(server, now)
    _record_change(
        service, server, gap_s, now, was_slow=was_slow, is_now_slow=is_now_slow
    )
    if server not in service.owned:
        return
    if is_now_slow:
        hedge_slowed_calls(state, service, server, now, out)
    elif was_slow:
        dispatch_queued_calls(state, service, now, out)


def _without_warmup(
    server: ServerRuntime, report: LoadReport, now: float
) -> LoadReport:
    """Return a report without the slowness of a warm-up, which lasts for seconds.

    A cold server must not count as one in a slow period: nothing else takes its pace.
    """
    if server.warmup is None or not server.warmup.is_cold(now):
        return report
    return replace(report, slowdown=max(1.0, report.slowdown / COLD_RUN_FACTOR))


def _record_change(
    service: ServiceRuntime,
    server: ServerRuntime,
    gap_s: float,
    now: float,
    *,
    was_slow: bool,
    is_now_slow: bool,
) -> None:
    """Record a change of speed, which is assumed halfway between two reports.

    `gap_s` is the time between the reports in seconds.
    """
    changed_at = now - gap_s / 2.0
    if not was_slow:
        service.slow_period_stats.record_fast_time(gap_s, has_ended=is_now_slow)
    if is_now_slow:
        server.slow_period_slowdown = server.slowdown
    if is_now_slow and not was_slow:
        server.slow_since = changed_at
    if was_slow and not is_now_slow:
        server.fast_since = changed_at
        service.slow_period_stats.record_slow_period(
            changed_at - server.slow_since, server.slow_period_slowdown
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
