"""Results of speed checks: the calls that waited for them are sent."""

from ..effects import ClearTimer, Effect
from ..state import HostState, ServiceRuntime
from ..timers import SpeedCheckDue
from .balance import (
    ServerRuntime,
    has_free_slot,
    is_draining,
    is_ejected,
    is_paused,
)
from .calls import ActiveCall, Stage
from .dispatch import dispatch_call
from .queueing import dispatch_queued_calls
from .slot_notices import send_queued_notice
from .speed_checks import ServerChoice, end_check, send_with_hedge
from .speeds import is_slow
from .workspaces import refuse_without_key


def finish_checks(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
) -> None:
    """Send the calls that waited for a server's speed, or dispatch them again."""
    for call_id in list(server.pending_checks):
        _finish_check(state, service, server, call_id, now, out)


def expire_check(
    state: HostState, timer: SpeedCheckDue, now: float, out: list[Effect]
) -> None:
    """Handle a speed check that timed out.

    The call is dispatched again if another server is likely to take it. Otherwise the
    check ends as if it had been answered.
    """
    service = state.services.get(timer.service)
    server = service.servers.get(timer.server) if service is not None else None
    active = _find_checked_call(state, timer.call_id, now)
    if service is None or active is None:
        return
    if server is not None and not _has_other_candidate(service, server, active, now):
        _finish_check(state, service, server, timer.call_id, now, out)
        return
    if server is not None:
        end_check(server, timer.call_id)
        # The server may be gone; the next probe will show whether it is.
        active.avoided |= {timer.server}
    _dispatch_again(state, service, active, now, out)


def _has_other_candidate(
    service: ServiceRuntime, server: ServerRuntime, active: ActiveCall, now: float
) -> bool:
    """Return True if another server is likely to take the call."""
    tried = active.list_tried_targets()
    return any(
        other is not server
        and other.intent.name not in tried
        and not other.is_silent
        and not is_draining(other)
        and not is_ejected(other, now)
        and not is_paused(other, now, active.holder)
        for other in service.owned
    )


def _finish_check(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    call_id: str,
    now: float,
    out: list[Effect],
) -> None:
    reason = end_check(server, call_id)
    active = _find_checked_call(state, call_id, now)
    if reason is None or active is None:
        return
    timer = SpeedCheckDue(
        service=service.intent.name, server=server.intent.name, call_id=call_id
    )
    out.append(ClearTimer(timer=timer))
    if state.intents.requires_keys and refuse_without_key(state, active, now, out):
        dispatch_queued_calls(state, service, now, out)
        return
    if has_free_slot(server, now) and not is_slow(server, now):
        choice = ServerChoice(server=server, reason=reason)
        send_with_hedge(service, active, choice, now, out)
        return
    _dispatch_again(state, service, active, now, out)


def _dispatch_again(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    active.stage = Stage.QUEUED
    dispatch_call(state, service, active, now, out)
    if active.holder:
        send_queued_notice(state, service, active, now, out)


def _find_checked_call(state: HostState, call_id: str, now: float) -> ActiveCall | None:
    """Return a call that still waits for a speed check, or None."""
    active = state.calls.get(call_id)
    if active is None or active.stage is not Stage.CHECKING:
        return None
    if now >= active.call.deadline:
        return None  # The deadline timer ends the call.
    return active
