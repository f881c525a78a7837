"""What becomes of calls whose server was asked for its speed first."""

from ..effects import ClearTimer, Effect
from ..state import HostState, ServiceRuntime
from ..timers import CheckDue
from .balance import ServerRuntime, has_room
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
    state: HostState, timer: CheckDue, now: float, out: list[Effect]
) -> None:
    """Go on with a call whose server gave no word in time."""
    service = state.services.get(timer.service)
    server = service.servers.get(timer.server) if service is not None else None
    if service is not None and server is not None:
        _settle(state, service, server, timer.call_id, now, out)
        return
    active = _get_checking(state, timer.call_id)
    if active is not None and service is not None:
        _place_again(state, service, active, now, out)


def _settle(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    call_id: str,
    now: float,
    out: list[Effect],
) -> None:
    reason = end_check(server, call_id)
    active = _get_checking(state, call_id)
    if reason is None or active is None:
        return
    timer = CheckDue(
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


def _get_checking(state: HostState, call_id: str) -> ActiveCall | None:
    active = state.calls.get(call_id)
    if active is None or active.stage is not Stage.CHECKING:
        return None
    return active
