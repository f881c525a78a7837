"""Graceful shutdown of a host without interrupting calls in flight."""

from typing import Final

from ..claims.owner import flush_shards, has_unwritten_changes
from ..effects import Effect, LogDecision, SetTimer, StopHost
from ..routing.arrivals import end_all_calls
from ..routing.queueing import dispatch_queued_calls
from ..state import HostState, Lifecycle
from ..timers import ShutdownCheckDue
from .heartbeats import run_heartbeat
from .views import update_placement

# Interval between two checks whether the host can stop.
CHECK_INTERVAL_S: Final = 0.05


def start_shutdown(state: HostState, now: float, out: list[Effect]) -> None:
    """Announce that this host leaves; stop at once on a second request."""
    if state.lifecycle in (Lifecycle.LEAVING, Lifecycle.CLOSING, Lifecycle.STOPPED):
        _stop(state, "asked twice", out, at_once=True)
        return
    state.lifecycle = Lifecycle.LEAVING
    state.leaving_since = now
    out.append(LogDecision(event="leave", fields={"calls": len(state.calls)}))
    update_placement(state, now, out)
    for service in state.services.values():
        dispatch_queued_calls(state, service, now, out)
    run_heartbeat(state, now, out)
    out.append(SetTimer(timer=ShutdownCheckDue(), at=now + state.settings.announce_s))


def run_shutdown_check(state: HostState, now: float, out: list[Effect]) -> None:
    """Stop the host once nothing is in flight or the shutdown bound has passed.

    The first check comes `announce_s` after the announcement, when callers use other
    hosts; later checks follow every `CHECK_INTERVAL_S` seconds.
    """
    if state.lifecycle not in (Lifecycle.LEAVING, Lifecycle.CLOSING):
        return
    state.lifecycle = Lifecycle.CLOSING
    settings = state.settings
    stop_at = state.leaving_since + settings.announce_s + settings.shutdown_bound_s
    flush_shards(state, now, out)
    if not state.calls and not state.orders and not has_unwritten_changes(state, now):
        _stop(state, "nothing in flight", out)
    elif now >= stop_at:
        reason = f"bound reached with {len(state.calls)} calls"
        _stop(state, reason, out, at_once=True)
    else:
        out.append(SetTimer(timer=ShutdownCheckDue(), at=now + CHECK_INTERVAL_S))


def _stop(
    state: HostState, reason: str, out: list[Effect], *, at_once: bool = False
) -> None:
    state.lifecycle = Lifecycle.STOPPED
    end_all_calls(state, out)
    out.append(StopHost(reason=reason, at_once=at_once))
