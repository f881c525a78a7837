"""Where a call goes next: a backend server, another home, or the queue."""

from math import inf
from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..messages import SpareNotice
from ..problems import (
    make_no_server,
    make_overloaded,
    make_retry_budget_exhausted,
    make_servers_paused,
)
from ..state import HostState, ServiceRuntime
from ..timers import CallDeadline, QueueReviewDue, SlowServersAllowedDue
from ..verdict import Problem
from .admission import (
    estimate_wait_s,
    get_retry_after_s,
    is_hopeless,
    is_too_late,
)
from .attempts import abandon, end_waiting, forward, send
from .balance import ServerRuntime, choose_server, has_room, has_tried_all, is_draining
from .calls import ActiveCall, Stage
from .candidates import (
    PATIENCE_S,
    choose_among,
    choose_owned,
    estimate_answer_s,
)
from .checks import Choice, send_or_check
from .crossing import is_crossing_worth, may_cross
from .forwarding import choose_peer, list_forwardable, report_spare, take_spare
from .pauses import get_pause_end
from .quarantine import judge_quarantine
from .refusals import forget, refuse
from .repeat_budget import earn_shares
from .run_times import get_usual_s
from .slot_requests import ask_slot, ask_spare
from .speeds import is_slow

OVERTAKEN_LIMIT: Final = 8
# How often a queue that waits for slow servers is looked at, seconds.
REVIEW_S: Final = 0.1
# Part of its time after which a call that still waits is refused.
WAITING_PART: Final = 0.5


def place_call(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Send, forward, queue or refuse a call that needs a target."""
    tried = active.get_tried()
    if state.settings.grants_slots and not active.holder and may_cross(active):
        active.slow_from = now + PATIENCE_S
    server = choose_owned(service, active, now)
    if server is not None and len(service.queue) > 0:
        _wait(service, active, now, out)
        drain_queue(state, service, now, out)
        return
    if server is not None:
        choice = Choice(server=server, reason="own-server")
        send_or_check(state, service, active, choice, now, out)
        report_spare(state, service, now, out)
        return
    if active.call.hops == 0 and state.settings.grants_slots:
        if not service.owned and ask_slot(state, service, active, now, out):
            return
    elif active.call.hops == 0:
        wait_s = _get_wait_s(service, active, now)
        peer = choose_peer(state, service, tried, wait_s)
        if peer is None and not service.owned:
            peer = choose_peer(state, service, set(), wait_s)
        if peer is not None:
            forward(service, active, peer, now, out)
            return
    if not service.owned:
        _place_without_home(state, service, active, now, out)
        return
    _enqueue(state, service, active, now, out)
    report_spare(state, service, now, out)


def has_other_target(
    state: HostState, service: ServiceRuntime, active: ActiveCall, now: float
) -> bool:
    """Return True if a call may go to a server or home that it has not tried."""
    tried = active.get_tried()
    if not has_tried_all(service.owned, tried, now):
        return True
    if choose_peer(state, service, tried, inf) is not None:
        return True
    servers = service.servers.values()
    return not service.owned and not has_tried_all(servers, tried, now)


def drain_queue(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Send waiting calls while backend servers have room."""
    # A host that lost its servers to another owner still answers what it queued.
    servers = service.owned or list(service.servers.values())
    while len(service.queue) > 0 and any(has_room(s, now) for s in servers):
        found = _find_next(state, service, servers, now, out)
        if found is None:
            break
        active, server = found
        service.queue.remove(active)
        if _refuse_quarantined(state, active, now, out):
            continue
        choice = Choice(server=server, reason="queued")
        send_or_check(state, service, active, choice, now, out)
    _plan_review(service, now, out)
    report_spare(state, service, now, out)


def _plan_review(service: ServiceRuntime, now: float, out: list[Effect]) -> None:
    """Look at the queue again soon if it waits for slow servers with room.

    Nothing may happen meanwhile, and a spell that goes on changes the choice.
    """
    if len(service.queue) == 0:
        return
    if any(is_slow(s, now) and has_room(s, now) for s in service.owned):
        timer = QueueReviewDue(service=service.intent.name)
        out.append(SetTimer(timer=timer, at=now + REVIEW_S))


def take_spare_notice(
    state: HostState,
    notice: SpareNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Forward waiting calls to a home that has room again."""
    service = state.services.get(notice.service)
    if not take_spare(state, notice, sender) or service is None:
        return
    peer = state.members[sender]
    for active in list_forwardable(state, service, notice.spare):
        if sender in active.get_tried():
            continue
        service.queue.remove(active)
        if not _refuse_quarantined(state, active, now, out):
            forward(service, active, peer, now, out)
    report_spare(state, service, now, out)


def _refuse_quarantined(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> bool:
    """Refuse a call that came to be quarantined while it waited."""
    problem = judge_quarantine(state, active.call, now)
    if problem is None:
        return False
    forget(state, active, out)
    refuse(active, problem, out)
    return True


def _find_next(
    state: HostState,
    service: ServiceRuntime,
    servers: list[ServerRuntime],
    now: float,
    out: list[Effect],
) -> tuple[ActiveCall, ServerRuntime] | None:
    """Return the first waiting call that a server with room may take.

    A call that avoids the servers it tried holds up no call behind it.
    """
    _put_late_calls_last(state, service, now, out)
    for call_id in service.queue.get_call_ids(last=OVERTAKEN_LIMIT):
        active = state.calls[call_id]
        server = choose_among(service, servers, active, now)
        if server is not None:
            return active, server
    return None


def give_up_waiting(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Refuse a call that waited in vain, while its caller can still come back."""
    abandon(state, active, out)
    forget(state, active, out)
    refuse(active, _make_overloaded(service, active, now), out)


def _get_waiting_bound(active: ActiveCall) -> float:
    """Return the time at which a call that still waits is refused."""
    half = active.arrived + WAITING_PART * (active.call.deadline - active.arrived)
    return min(active.call.deadline, max(active.arrived + active.aim_s, half))


def _put_late_calls_last(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Move first calls that cannot keep their aim behind those that can.

    Those that are not likely to be answered at all are refused.
    """
    while (call_id := service.queue.peek()) is not None:
        active = state.calls[call_id]
        entry = active.queue_entry
        if (
            entry is None
            or entry[1]
            or not active.is_late(get_usual_s(service, active), now)
        ):
            return
        service.queue.remove(active)
        if is_hopeless(service, active, now):
            give_up_waiting(state, service, active, now, out)
        else:
            service.queue.push(active, is_late=True)


def _get_wait_s(service: ServiceRuntime, active: ActiveCall, now: float) -> float:
    """Return the expected wait here; infinity where no untried server is owned."""
    if has_tried_all(service.owned, active.get_tried(), now):
        return inf
    return estimate_wait_s(service, active.urgency, active.call.deadline, now)


def _place_without_home(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Serve a call from any backend server, as no home can be reached.

    Servers of this host's failure domain come first. A second send is paid for here,
    as no home has done so.
    """
    earn_shares(service, active)
    is_unpaid = state.settings.grants_slots and active.has_been_sent()
    if is_unpaid and not service.retries.take(now):
        forget(state, active, out)
        refuse(active, make_retry_budget_exhausted(active.call.service), out)
        return
    own = state.identity.failure_domain
    near = [s for s in service.servers.values() if s.intent.failure_domain == own]
    for servers in (near, service.servers.values()):
        server = choose_server(
            servers, now, active.get_tried(), idempotent=active.idempotent
        )
        if server is not None:
            send(active, server, now, "no-home", out)
            return
    forget(state, active, out)
    refuse(active, make_no_server(active.call.service, active.worst), out)


def _enqueue(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    if not _has_usable(service):
        problem = make_no_server(active.call.service, active.worst)
        _ask_or_refuse(state, service, active, problem, now, out)
        return
    pause_end = get_pause_end(service.owned, active, now)
    if pause_end is not None and _is_pause_too_long(service, active, pause_end):
        problem = make_servers_paused(
            active.call.service, pause_end - now, active.worst
        )
        _ask_or_refuse(state, service, active, problem, now, out)
        return
    deadline = active.call.deadline
    if active.aim_s > 0.0 and state.settings.grants_slots:
        is_late = is_hopeless(service, active, now)
    else:
        is_late = is_too_late(service, active.urgency, deadline, now)
    is_full = len(service.queue) >= service.intent.queue_limit
    if is_late or (is_full and not _make_room(state, service, active, now, out)):
        problem = _make_overloaded(service, active, now)
        _ask_or_refuse(state, service, active, problem, now, out)
        return
    _wait(service, active, now, out)
    if active.slow_from > now and not active.holder:
        expected_s = estimate_answer_s(service, active, now)
        typical_run_s = get_usual_s(service, active)
        if is_crossing_worth(active, expected_s, typical_run_s, now):
            ask_spare(state, service, active, now, out)


def place_stranded(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Place waiting calls again for which no owned server will have room.

    All owned servers leave, or want nothing from the hosts of the calls.
    """
    if not service.owned:
        return
    is_usable = _has_usable(service)
    for call_id in service.queue.get_call_ids():
        active = state.calls[call_id]
        pause_end = get_pause_end(service.owned, active, now)
        is_long = pause_end is not None and _is_pause_too_long(
            service, active, pause_end
        )
        if is_usable and not is_long:
            continue
        service.queue.remove(active)
        end_waiting(active, out)
        _enqueue(state, service, active, now, out)


def _has_usable(service: ServiceRuntime) -> bool:
    return any(not is_draining(server) for server in service.owned)


def _is_pause_too_long(
    service: ServiceRuntime, active: ActiveCall, pause_end: float
) -> bool:
    """Return True if a call that waits for the end of a pause misses its aim."""
    typical_run_s = get_usual_s(service, active)
    if active.aim_s == 0.0:
        return pause_end + typical_run_s > active.call.deadline
    return active.is_late(typical_run_s, pause_end)


def _ask_or_refuse(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    problem: Problem,
    now: float,
    out: list[Effect],
) -> None:
    """Ask another home for a call that this one cannot serve, or refuse it."""
    is_own = active.call.hops == 0 and state.settings.grants_slots
    if is_own and ask_slot(state, service, active, now, out):
        return
    forget(state, active, out)
    refuse(active, problem, out)


def _wait(
    service: ServiceRuntime, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    active.stage = Stage.QUEUED
    if len(service.queue) == 0:
        service.queued_since = now
    service.queue.push(
        active, is_late=active.is_late(get_usual_s(service, active), now)
    )
    _plan_review(service, now, out)
    if active.aim_s > 0.0:
        # Refused once half its time is over and its aim missed; see `send`.
        active.has_waiting_bound = True
        bound = CallDeadline(call_id=active.call.call_id)
        out.append(SetTimer(timer=bound, at=_get_waiting_bound(active)))
    if active.slow_from > now:
        patience = SlowServersAllowedDue(service=active.call.service)
        out.append(SetTimer(timer=patience, at=active.slow_from))
    out.append(
        LogDecision(
            event="queue",
            fields={
                "call": active.call.call_id,
                "service": active.call.service,
                "urgency": active.urgency,
                "length": len(service.queue),
            },
        )
    )


def _make_room(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> bool:
    """Refuse the last waiting call if it is less urgent than `active`."""
    last = service.queue.peek_last()
    if last is None or last[0] <= active.urgency:
        return False
    victim = state.calls[last[1]]
    service.queue.remove(victim)
    forget(state, victim, out)
    refuse(victim, _make_overloaded(service, victim, now), out)
    return True


def _make_overloaded(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> Problem:
    retry_after_s = get_retry_after_s(service, now)
    return make_overloaded(active.call.service, retry_after_s, active.worst)
