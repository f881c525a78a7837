"""What a host does when it becomes isolated from the backend servers, and afterwards.

An isolated host owns no servers, so it grants no slots. It gives back the slots that it
holds, and forwards its calls to hosts that reach the servers (`gateways.py`).
"""

from ..cluster.heartbeats import announce_status
from ..cluster.views import update_placement
from ..effects import AbandonAttempt, ClearTimer, Effect
from ..problems import make_no_server
from ..state import HostState, IsolationStatus, ServiceRuntime
from ..timers import SpeedCheckDue
from .attempts import release_slot, restore_deadline_timer
from .balance import is_ejected
from .calls import ActiveCall, Stage
from .dispatch import dispatch_call
from .gateways import choose_gateway
from .isolation import run_isolation_check
from .quarantine import retract_suspicions
from .refusals import refuse_call, remove_call
from .slot_requests import withdraw_slot_requests
from .speed_checks import end_check


def check_isolation(state: HostState, now: float, out: list[Effect]) -> None:
    """Check whether this host is isolated, and react to a change."""
    if not run_isolation_check(state, now, out):
        return
    is_isolated = state.isolation.status is IsolationStatus.ISOLATED
    if is_isolated:
        # Before others hear from this host, and tell it of suspicions that they know.
        retract_suspicions(state, state.isolation.last_reply_at, out)
    update_placement(state, now, out)
    announce_status(state, now, out)
    if is_isolated:
        _redirect_calls(state, now, out)
    else:
        _forget_health(state, now)


def _redirect_calls(state: HostState, now: float, out: list[Effect]) -> None:
    """Forward the calls that wait here or were sent in vain, if a host takes them."""
    for active in list(state.calls.values()):
        service = state.services.get(active.call.service)
        if service is None:
            continue
        if active.holder:
            _return_to_holder(state, service, active, out)
        elif choose_gateway(state, active, now) is None:
            continue
        elif active.stage is Stage.SENT:
            _redirect_sent_call(state, service, active, now, out)
        elif active.stage in (Stage.ASKING, Stage.QUEUED, Stage.CHECKING):
            _leave_queue(service, active, out)
            withdraw_slot_requests(active, out)
            dispatch_call(state, service, active, now, out)


def _return_to_holder(
    state: HostState, service: ServiceRuntime, active: ActiveCall, out: list[Effect]
) -> None:
    """Refuse a waiting slot request, so that its holder asks another home."""
    if active.stage not in (Stage.QUEUED, Stage.CHECKING):
        return
    _leave_queue(service, active, out)
    remove_call(state, active, out)
    refuse_call(active, make_no_server(active.call.service, active.worst_verdict), out)


def _leave_queue(
    service: ServiceRuntime, active: ActiveCall, out: list[Effect]
) -> None:
    """Remove a call from the queue, or from the check of a server's speed."""
    service.queue.remove(active)
    restore_deadline_timer(active, out)
    if active.stage is not Stage.CHECKING:
        return
    call_id = active.call.call_id
    for name, server in service.servers.items():
        if end_check(server, call_id) is not None:
            timer = SpeedCheckDue(
                service=service.intent.name, server=name, call_id=call_id
            )
            out.append(ClearTimer(timer=timer))


def _redirect_sent_call(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Free the slots of a call; forward it if it may run more than once.

    A call that may not be repeated waits on: its server may run it, and the answer may
    still arrive.
    """
    if any(attempt.is_forward for attempt in active.list_running_attempts()):
        return
    for attempt in active.list_running_attempts():
        release_slot(service, attempt, out)
    if not active.idempotent or not active.call.replayable:
        return
    for attempt in active.list_running_attempts():
        out.append(AbandonAttempt(call_id=active.call.call_id, attempt=attempt.number))
    active.other_attempt = None
    dispatch_call(state, service, active, now, out)


def _forget_health(state: HostState, now: float) -> None:
    """Forget what the isolation made this host believe of servers."""
    for service in state.services.values():
        for server in service.servers.values():
            if is_ejected(server, now):
                server.ejected_until = now
            server.is_on_trial = False
            server.is_unreachable = False
            server.is_silent = False
            server.unanswered_since = 0.0
            server.failure_share = 0.0
            server.ejections = 0
