"""What becomes of calls whose server was asked for its speed first."""

from ..effects import ClearTimer, Effect
from ..state import HostState, ServiceRuntime
from ..timers import SpeedCheckDue
from .balance import (
    ServerRuntime,
    has_room,
    is_draining,
    is_ejected,
    is_paused,
)
from .calls import ActiveCall, Stage
from .checks import Choice, end_check, send_planned
from .dispatch import place_call
from .slot_notices import tell_queued
from .speeds import is_slow


def settle_checks(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
) -> None:
    """Send the calls that waited for word of a server, or place them elsewhere."""
    for call_id in list(server.checks):
        _settle(state, service, server, call_id, now, out)


def expire_check(
    state: HostState, timer: SpeedCheckDue, now: float, out: list[Effect]
) -> None:
    """Place a call elsewhere whose server gave no word in time, if there is one."""
    service = state.services.get(timer.service)
    server = service.servers.get(timer.server) if service is not None else None
    active = _get_checking(state, timer.call_id, now)
    if service is None or active is None:
        return
    if server is not None and not _has_other(service, server, active, now):
        _settle(state, service, server, timer.call_id, now, out)
        return
    if server is not None:
        end_check(server, timer.call_id)
        # It may be gone; the next probe tells.
        active.avoided |= {timer.server}
    _place_again(state, service, active, now, out)


def _has_other(
    service: ServiceRuntime, server: ServerRuntime, active: ActiveCall, now: float
) -> bool:
    """Return True if another server is likely to take the call."""
    tried = active.get_tried()
    return any(
        other is not server
        and other.intent.name not in tried
        and not other.is_silent
        and not is_draining(other)
        and not is_ejected(other, now)
        and not is_paused(other, now, active.holder)
        for other in service.owned
    )


def _settle(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    call_id: str,
    now: float,
    out: list[Effect],
) -> None:
    reason = end_check(server, call_id)
    active = _get_checking(state, call_id, now)
    if reason is None or active is None:
        return
    timer = SpeedCheckDue(
        service=service.intent.name, server=server.intent.name, call_id=call_id
    )
    out.append(ClearTimer(timer=timer))
    if has_room(server, now) and not is_slow(server, now):
        choice = Choice(server=server, reason=reason)
        send_planned(service, active, choice, now, out)
        return
    _place_again(state, service, active, now, out)


def _place_again(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    active.stage = Stage.QUEUED
    place_call(state, service, active, now, out)
    if active.holder:
        tell_queued(state, service, active, now, out)


def _get_checking(state: HostState, call_id: str, now: float) -> ActiveCall | None:
    """Return a call that still waits for word of a server, in its time."""
    active = state.calls.get(call_id)
    if active is None or active.stage is not Stage.CHECKING:
        return None
    if now >= active.call.deadline:
        return None  # The timer of its deadline gives the answer.
    return active
