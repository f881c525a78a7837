"""Slots granted by the home that owns a service's backend servers.

The home keeps the only queue of its servers, ordered by urgency and deadline, and
counts the calls in flight. A grant is used at most once: the holder sends a call only
while the request of that grant is outstanding, and reports to the home how each grant
ended.
"""

from typing import Final

from ..cluster.members import Member
from ..effects import Effect, SetTimer
from ..messages import (
    SlotEnd,
    SlotRequest,
    SlotUse,
)
from ..problems import make_no_server, make_retry_budget_exhausted
from ..state import HostState, ServiceRuntime
from ..timers import CallDeadline
from ..verdict import AttemptFailure
from .attempts import (
    handle_replaced_server,
    record_attempt_failure,
    record_service_time,
    release_slot,
)
from .balance import (
    ServerRuntime,
    get_slot_limit,
    has_free_slot,
)
from .calls import ActiveCall, Attempt, Call, Stage
from .candidates import FAST_SERVER_WAIT_S, choose_fast_server, estimate_answer_s
from .cross_domain import CROSS_DOMAIN_DELAY_S, compute_on_time_probability
from .dispatch import dispatch_call
from .health import record_success
from .hedging import record_run_length, update_hedge_delay
from .holder_failures import is_failure_of_holder, record_holder_success
from .last_slots import record_run
from .queueing import dispatch_queued_calls
from .quotas import admit_call
from .rate_limit_answers import LimitAnswer, handle_limit_answer
from .rate_limit_tokens import return_token
from .refusals import refuse_call, remove_call
from .retry_budget import credit_budgets
from .run_times import record_run_time
from .server_availability import apply_pause
from .slot_notices import send_queued_notice
from .speed_changes import handle_load_report
from .speed_checks import ServerChoice, send_or_check
from .speeds import is_slow, record_slow_period_effect
from .warmup_tokens import return_request

# Free slots on fast servers that a home must have to grant one of them to a call that
# is queued at another home.
MIN_SPARE_SLOTS: Final = 2
# A call that waits at another home is queued here too if that raises the probability
# that it meets its objective by this much.
MIN_QUEUEING_GAIN: Final = 0.25


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
        refuse_call(active, make_no_server(request.service, active.worst_verdict), out)
        return
    if not _charge_budget(service, request, now):
        refuse_call(active, make_retry_budget_exhausted(request.service), out)
        return
    state.calls[call_id] = active
    out.append(SetTimer(timer=CallDeadline(call_id=call_id), at=active.call.deadline))
    if request.spare_only:
        if not _should_queue_here(state, service, active, request, now):
            grant_spare_slot(state, service, active, now, out)
            return
        active.spare_only = False
    dispatch_call(state, service, active, now, out)
    if active.stage is Stage.QUEUED:
        send_queued_notice(state, service, active, now, out)


def _should_queue_here(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    request: SlotRequest,
    now: float,
) -> bool:
    """Return True if a call that waits elsewhere should wait here as well.

    Otherwise the calls of one failure domain miss their objective while those of
    another, which have a shorter queue, meet theirs.
    """
    if not state.settings.shares_queues or request.expected_s == 0.0:
        return False
    if _find_spare_server(service, active, now) is not None:
        return False
    left_s = request.aim_left_s if request.aim_left_s > 0.0 else request.left_s
    answer_s = estimate_answer_s(service, active, now) + CROSS_DOMAIN_DELAY_S
    probability_here = compute_on_time_probability(answer_s, left_s)
    probability_there = compute_on_time_probability(request.expected_s, left_s)
    return probability_here - probability_there > MIN_QUEUEING_GAIN


def grant_spare_slot(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Grant a slot that is unlikely to be needed here, or refuse the request."""
    server = _find_spare_server(service, active, now)
    if server is None:
        remove_call(state, active, out)
        problem = make_no_server(active.call.service, active.worst_verdict)
        refuse_call(active, problem, out)
        return
    if admit_call(state, active, now, out):
        choice = ServerChoice(server=server, reason="spare")
        send_or_check(state, service, active, choice, now, out)


def _find_spare_server(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> ServerRuntime | None:
    """Return a fast server with a slot that no queued call needs, or None."""
    if len(service.queue) > 0:
        return None
    fast = [s for s in service.owned if not is_slow(s, now) and has_free_slot(s, now)]
    free = sum(get_slot_limit(s, now) - s.in_flight for s in fast)
    if free < MIN_SPARE_SLOTS:
        return None
    return choose_fast_server(fast, active, now)


def handle_slot_end(
    state: HostState, message: SlotEnd, now: float, out: list[Effect]
) -> None:
    """Release an ended slot and record its outcome, or remove a withdrawn request."""
    active = state.calls.get(
        _make_proxy_id(message.host, message.call, message.request_number)
    )
    if active is None:
        return
    service = state.services.get(active.call.service)
    if service is None:
        remove_call(state, active, out)
        return
    _return_unused_credit(state, active, message)
    if message.number is None:
        service.queue.remove(active)
        service.queue.correct_run(active, 0.0)
        for attempt in active.list_running_attempts():
            _return_unused_token(service, attempt, message)
            release_slot(service, attempt, out)
        remove_call(state, active, out)
        dispatch_queued_calls(state, service, now, out)
        return
    ended = active.find_running_attempt(message.number)
    if ended is None:
        return
    _return_unused_token(service, ended, message)
    _record_slot_end(state, service, active, ended, message, now, out)
    service.completions.count(now)
    service.queue.correct_run(active, message.latency_s or now - ended.started)
    release_slot(service, ended, out)
    if not active.end_attempt(ended):
        remove_call(state, active, out)
    dispatch_queued_calls(state, service, now, out)


def _return_unused_token(
    service: ServiceRuntime, attempt: Attempt, message: SlotEnd
) -> None:
    server = service.servers.get(attempt.target)
    if server is not None and message.use is SlotUse.UNUSED:
        return_token(server.rate_limit)
        return_request(server.warmup)


def _return_unused_credit(
    state: HostState, active: ActiveCall, message: SlotEnd
) -> None:
    """Return the credit of a call that did not reach the server of its only grant."""
    is_unused = message.use in (SlotUse.UNUSED, SlotUse.UNREACHABLE)
    if is_unused and active.credit_at is not None and len(active.attempts) == 1:
        taken_at, active.credit_at = active.credit_at, None
        state.quotas.return_credit(active.workspace, taken_at)


def _make_proxy(request: SlotRequest, holder: Member, now: float) -> ActiveCall:
    """Return the record that represents a call of another host at the home."""
    call = Call(
        call_id=_make_proxy_id(request.host, request.call, request.request_number),
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
        request_number=request.request_number,
        holder=request.host,
        holder_address=holder.peers,
        holder_call_id=request.call,
        avoided=frozenset(request.tried),
        is_retry=request.is_retry,
        route_name=request.route,
        workspace=request.workspace,
        spare_only=request.spare_only,
        accepts_slow_from=(
            now + FAST_SERVER_WAIT_S if request.can_cross_domains else 0.0
        ),
    )


def _charge_budget(service: ServiceRuntime, request: SlotRequest, now: float) -> bool:
    """Credit a fresh call, or take a token for a retry; return False if none."""
    if request.is_retry:
        return service.retries.take(now)
    if request.earns_budget:
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
    answer = LimitAnswer(
        report=message.rate_limit,
        sent_at=attempt.started,
        is_success=message.use is SlotUse.ANSWERED,
    )
    handle_limit_answer(state, service, server, answer, now, out)
    if message.pause_s > 0.0:
        apply_pause(
            state, service, server, message.pause_s, now, out, holder=message.host
        )
    match message.use:
        case SlotUse.ANSWERED:
            record_holder_success(state, message.host)
            record_success(server, message.latency_s, now)
            record_service_time(service, message.latency_s)
            update_hedge_delay(service, message.latency_s)
            record_run_length(service, active, attempt, message.latency_s)
            record_run(
                service, message.latency_s, took_last_slot=attempt.took_last_slot
            )
            record_slow_period_effect(
                service, server, active, attempt, message.latency_s, now
            )
            record_run_time(service, active.route_name, message.latency_s)
        case SlotUse.FAILED | SlotUse.UNREACHABLE if is_failure_of_holder(
            state, message.host, attempt.target
        ):
            pass
        case SlotUse.FAILED:
            record_attempt_failure(service, attempt, now, out)
        case SlotUse.MISDIRECTED:
            handle_replaced_server(service, server, now, out)
        case SlotUse.UNREACHABLE:
            failure = AttemptFailure.CONNECT_REFUSED
            record_attempt_failure(service, attempt, now, out, failure)
        case SlotUse.CANCELLED:
            run_s = now - attempt.started
            record_run_length(service, active, attempt, run_s, is_complete=False)
        case SlotUse.UNUSED:
            pass


def _make_proxy_id(host: str, call_id: str, request_number: int) -> str:
    return f"{host}/{call_id}/{request_number}"
