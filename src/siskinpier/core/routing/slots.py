"""Slots granted by the home that owns a service's backend servers.

The home keeps the only queue of its servers, ordered by urgency and deadline, and
counts the calls in flight. A grant is used once: the holder sends a call only while the
request of that grant is outstanding, and reports to the home how each grant ended.
"""

from typing import Final

from ..cluster.members import Member
from ..effects import Effect, LogDecision, SetTimer
from ..messages import (
    SlotEnd,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotRequest,
    SlotUse,
)
from ..problems import make_no_retry, make_no_server
from ..state import HostState, ServiceRuntime
from ..timers import CallDeadline, SlotDue
from ..verdict import AttemptFailure, Problem
from .attempts import (
    learn_service_time,
    note_failure,
    note_other_server,
    release,
    send,
)
from .balance import (
    ServerRuntime,
    get_slot_limit,
    has_room,
    is_draining,
    is_paused,
)
from .calls import ActiveCall, Attempt, Call, Grant, Stage
from .candidates import PATIENCE_S, choose_fast
from .checks import Choice, send_or_check
from .crossing import is_crossing_worth
from .dispatch import drain_queue, place_call
from .full_servers import learn_run
from .health import record_success
from .hedging import update_hedge_delay
from .refusals import refuse_call, remove_call
from .retry_budget import credit_budgets
from .run_times import record_run_time
from .server_availability import apply_pause
from .slot_notices import send_queued_notice
from .slot_requests import (
    UNRESPONSIVE_S,
    request_slot,
    request_spare_slot,
    send_withdrawal,
    withdraw_slot_requests,
)
from .speed_changes import handle_load_report
from .speeds import is_slow, record_slow_period_effect

# How often the holder of a queued call checks that its home is alive, in seconds.
QUEUED_CHECK_INTERVAL_S: Final = 0.5
# Free slots of fast servers with which a home grants one to a call of another home.
MIN_SPARE_SLOTS: Final = 2
# A call asks other homes nearby if its answer is expected after more than this many
# usual run times.
NEARBY_REQUEST_FACTOR: Final = 1.2


def handle_slot_request(
    state: HostState, request: SlotRequest, now: float, out: list[Effect]
) -> None:
    """Grant a slot, queue the request, or refuse it."""
    holder = state.members.get(request.host)
    if holder is None:
        return
    active = _make_proxy(request, holder, now)
    call_id = active.call.call_id
    if call_id in state.calls:
        return
    service = state.services.get(request.service)
    if service is None or not service.owned:
        refuse_call(active, make_no_server(request.service, active.worst), out)
        return
    if not _charge_budget(service, request, now):
        refuse_call(active, make_no_retry(request.service), out)
        return
    state.calls[call_id] = active
    out.append(SetTimer(timer=CallDeadline(call_id=call_id), at=active.call.deadline))
    if request.spare_only:
        _grant_spare(state, service, active, now, out)
        return
    place_call(state, service, active, now, out)
    if active.stage is Stage.QUEUED:
        send_queued_notice(state, service, active, now, out)


def _grant_spare(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Grant a slot that is unlikely to be needed here, or refuse the request."""
    server = None
    if len(service.queue) == 0:
        fast = [s for s in service.owned if not is_slow(s, now) and has_room(s, now)]
        free = sum(get_slot_limit(s, now) - s.in_flight for s in fast)
        if free >= MIN_SPARE_SLOTS:
            server = choose_fast(fast, active, now)
    if server is not None:
        choice = Choice(server=server, reason="spare")
        send_or_check(state, service, active, choice, now, out)
        return
    remove_call(state, active, out)
    refuse_call(active, make_no_server(active.call.service, active.worst), out)


def handle_slot_end(
    state: HostState, message: SlotEnd, now: float, out: list[Effect]
) -> None:
    """Release an ended slot and record its outcome, or remove a withdrawn request."""
    active = state.calls.get(_make_proxy_id(message.host, message.call, message.ask))
    if active is None:
        return
    service = state.services.get(active.call.service)
    if service is None:
        remove_call(state, active, out)
        return
    if message.number is None:
        service.queue.remove(active)
        for attempt in active.list_running():
            release(service, attempt, out)
        remove_call(state, active, out)
        drain_queue(state, service, now, out)
        return
    ended = active.get_running(message.number)
    if ended is None:
        return
    _record_slot_end(state, service, active, ended, message, now, out)
    service.ends.count(now)
    release(service, ended, out)
    if not active.end_attempt(ended):
        remove_call(state, active, out)
    drain_queue(state, service, now, out)


def handle_slot_grant(
    state: HostState, grant: SlotGrant, sender: str, now: float, out: list[Effect]
) -> None:
    """Send a call to the backend server that its home granted, at most once."""
    active = state.calls.get(grant.call)
    if active is not None and grant.is_hedge:
        _send_granted_hedge(state, active, grant, sender, now, out)
        return
    is_over = active is not None and now >= active.call.deadline
    if active is None or is_over or not _is_outstanding(active, sender, grant.ask):
        # A host that was suspended may receive a grant after the call's deadline.
        send_withdrawal(state, sender, grant.call, grant.ask, out, grant.number)
        return
    service = state.services.get(active.call.service)
    server = service.servers.get(grant.server) if service is not None else None
    home = state.members.get(sender)
    if service is None or server is None or home is None or is_draining(server):
        send_withdrawal(state, sender, grant.call, grant.ask, out)
        ask = active.asks.pop(grant.ask)
        if not ask.is_spare:
            _place_elsewhere(state, active, now, out)
        return
    if is_paused(server, now):
        # Granted before the home learned of the pause.
        send_withdrawal(state, sender, grant.call, grant.ask, out)
        del active.asks[grant.ask]
        place_call(state, service, active, now, out)
        return
    service.queue.remove(active)
    _send_granted(state, active, server, grant, home, "granted", now, out)


def _send_granted(
    state: HostState,
    active: ActiveCall,
    server: ServerRuntime,
    grant: SlotGrant,
    home: Member,
    reason: str,
    now: float,
    out: list[Effect],
) -> None:
    active.asks.pop(grant.ask, None)
    send(active, server, now, reason, out)
    if active.attempt is not None:
        active.attempt.grant = Grant(
            home=home.name,
            address=home.peers,
            holder=state.identity.name,
            call_id=grant.call,
            ask=grant.ask,
            number=grant.number,
        )


def _send_granted_hedge(
    state: HostState,
    active: ActiveCall,
    grant: SlotGrant,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Send a hedge on a granted slot if the first attempt still waits for its reply."""
    service = state.services.get(active.call.service)
    server = service.servers.get(grant.server) if service is not None else None
    home = state.members.get(sender)
    can_send = (
        active.stage is Stage.SENT
        and now < active.call.deadline
        and active.rival is None
        and active.idempotent
        and active.call.replayable
        and len(active.attempts) < active.attempts_limit
        and grant.server not in active.get_tried()
    )
    is_usable = server is not None and not is_draining(server)
    if server is None or not is_usable or is_paused(server, now):
        can_send = False
    if server is None or home is None or not can_send:
        send_withdrawal(state, sender, grant.call, grant.ask, out, grant.number)
        return
    active.rival = active.attempt
    _send_granted(state, active, server, grant, home, "hedge", now, out)


def handle_slot_queued(
    state: HostState,
    message: SlotQueued,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Record that a call is queued at its home, and request a free slot elsewhere."""
    active = state.calls.get(message.call)
    if active is None or not _is_outstanding(active, sender, message.ask):
        return
    active.is_queued_there = True
    service = state.services.get(active.call.service)
    if service is None:
        return
    if is_crossing_worth(active, message.expected_s, message.usual_s, now):
        request_spare_slot(state, service, active, now, out)
    elif message.expected_s > NEARBY_REQUEST_FACTOR * message.usual_s:
        request_spare_slot(state, service, active, now, out, near_only=True)


def handle_slot_refusal(
    state: HostState,
    message: SlotRefusal,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Request a slot from another home, or refuse the call as its home did."""
    active = state.calls.get(message.call)
    if active is None or not _is_outstanding(active, sender, message.ask):
        return
    ask = active.asks.pop(message.ask)
    service = state.services.get(active.call.service)
    if ask.is_spare:
        active.without_spare.add(sender)
        if service is not None:
            request_spare_slot(state, service, active, now, out)
        return
    active.refused_by.add(sender)
    can_ask = service is not None and not message.is_final
    if can_ask and service and request_slot(state, service, active, now, out):
        return
    problem = Problem(
        status=503,
        title=message.title,
        detail=message.detail,
        verdict=active.worst,
        retry_after_s=message.retry_after_s,
    )
    remove_call(state, active, out)
    refuse_call(active, problem, out)


def handle_slot_response_due(
    state: HostState, call_id: str, now: float, out: list[Effect]
) -> None:
    """Place a call elsewhere if its home left the request unanswered or is silent."""
    active = state.calls.get(call_id)
    if active is None or active.stage is not Stage.ASKING:
        return
    member = state.members.get(active.asked)
    is_lost = member is None or member.silent_since is not None
    if active.is_queued_there and not is_lost:
        timer = SlotDue(call_id=call_id)
        out.append(SetTimer(timer=timer, at=now + QUEUED_CHECK_INTERVAL_S))
        return
    fields: dict[str, object] = {
        "call": call_id,
        "home": active.asked,
        "after_s": round(now - active.asked_at, 3),
    }
    out.append(LogDecision(event="slot-unanswered", fields=fields))
    if member is not None:
        member.unresponsive_until = now + UNRESPONSIVE_S
    withdraw_slot_requests(active, out)
    _place_elsewhere(state, active, now, out)


def _is_outstanding(active: ActiveCall, sender: str, number: int) -> bool:
    if active.stage not in (Stage.ASKING, Stage.QUEUED):
        return False
    ask = active.asks.get(number)
    return ask is not None and ask.home == sender


def _place_elsewhere(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    active.refused_by.add(active.asked)
    service = state.services.get(active.call.service)
    if service is not None:
        place_call(state, service, active, now, out)
        return
    remove_call(state, active, out)
    refuse_call(active, make_no_server(active.call.service, active.worst), out)


def _make_proxy(request: SlotRequest, holder: Member, now: float) -> ActiveCall:
    """Return the record that represents a call of another host at the home."""
    call = Call(
        call_id=_make_proxy_id(request.host, request.call, request.ask),
        service=request.service,
        method="",
        path="",
        caller="",
        deadline=now + request.left_s,
        urgency=request.urgency,
        hops=1,
        fingerprint=request.fingerprint,
    )
    return ActiveCall(
        call=call,
        urgency=request.urgency,
        idempotent=request.idempotent,
        arrived=now,
        attempts_limit=request.attempts_left,
        aim_s=request.aim_left_s,
        ask=request.ask,
        holder=request.host,
        holder_address=holder.peers,
        holders_id=request.call,
        avoided=frozenset(request.tried),
        is_repeat=request.is_repeat,
        route_name=request.route,
        slow_from=now + PATIENCE_S if request.may_cross else 0.0,
    )


def _charge_budget(service: ServiceRuntime, request: SlotRequest, now: float) -> bool:
    """Credit a fresh call, or take a token for a retry; return False without one."""
    if request.is_repeat:
        return service.retries.take(now)
    if request.earns_shares:
        credit_budgets(service)
    return True


def _record_slot_end(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    attempt: Attempt,
    message: SlotEnd,
    now: float,
    out: list[Effect],
) -> None:
    server = service.servers.get(attempt.target)
    if server is None:
        return
    if message.load is not None:
        handle_load_report(state, service, server, message.load, now, out)
    if message.pause_s > 0.0:
        apply_pause(
            state, service, server, message.pause_s, now, out, holder=message.host
        )
    match message.use:
        case SlotUse.ANSWERED:
            record_success(server, message.latency_s, now)
            learn_service_time(service, message.latency_s)
            update_hedge_delay(service, message.latency_s)
            learn_run(service, message.latency_s, was_full=attempt.was_full)
            record_slow_period_effect(
                service, server, active, attempt, message.latency_s, now
            )
            record_run_time(service, active.route_name, message.latency_s)
        case SlotUse.FAILED:
            note_failure(service, attempt, now, out)
        case SlotUse.MISDIRECTED:
            note_other_server(service, server, now, out)
        case SlotUse.UNREACHABLE:
            failure = AttemptFailure.CONNECT_REFUSED
            note_failure(service, attempt, now, out, failure)
        case SlotUse.CANCELLED | SlotUse.UNUSED:
            pass


def _make_proxy_id(host: str, call_id: str, ask: int) -> str:
    return f"{host}/{call_id}/{ask}"
