"""Leaving without cutting off a call in flight."""

from typing import Final

from ..claims.owner import flush_shards, has_unwritten_changes
from ..effects import Effect, LogDecision, SetTimer, StopHost
from ..routing.arrivals import give_up_calls
from ..routing.dispatch import drain_queue
from ..state import HostState, Lifecycle
from ..timers import ShutdownStep
from .heartbeats import beat
from .views import refresh_placement

CHECK_S: Final = 0.05


def start_shutdown(state: HostState, now: float, out: list[Effect]) -> None:
    """Announce that this host leaves; a second request stops it at once."""
    if state.lifecycle in (Lifecycle.LEAVING, Lifecycle.CLOSING, Lifecycle.STOPPED):
        _stop(state, "asked twice", out, at_once=True)
        return
    state.lifecycle = Lifecycle.LEAVING
    state.leaving_since = now
    out.append(LogDecision(event="leave", fields={"calls": len(state.calls)}))
    refresh_placement(state, now, out)
    for service in state.services.values():
        drain_queue(state, service, now, out)
    beat(state, now, out)
    out.append(SetTimer(timer=ShutdownStep(), at=now + state.settings.announce_s))


def step_shutdown(state: HostState, now: float, out: list[Effect]) -> None:
    """Stop once callers went elsewhere and nothing is in flight, or at the bound."""
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
        out.append(SetTimer(timer=ShutdownStep(), at=now + CHECK_S))


def _stop(
    state: HostState, reason: str, out: list[Effect], *, at_once: bool = False
) -> None:
    state.lifecycle = Lifecycle.STOPPED
    give_up_calls(state, out)
    out.append(StopHost(reason=reason, at_once=at_once))
