"""Handling of replies and of failed attempts."""

from typing import Final

from ..effects import CutReply, Effect, LogDecision, RelayReply
from ..events import AttemptFailed, ReplyFinished, ReplyStarted
from ..problems import make_attempt_failed
from ..state import HostState, ServiceRuntime
from ..verdict import AttemptFailure, Verdict, get_failure_verdict, get_reply_verdict
from .attempts import (
    find_call_of_attempt,
    handle_replaced_server,
    record_attempt_failure,
    record_service_time,
    release_slot,
)
from .balance import ServerRuntime
from .calls import ActiveCall, Attempt, Stage
from .health import record_success
from .hedging import (
    cancel_other_attempt,
    fall_back_to_other_attempt,
    record_run_length,
    update_hedge_delay,
)
from .last_slots import record_run
from .queueing import dispatch_queued_calls
from .rate_limit_answers import LimitAnswer, handle_limit_answer
from .refusals import refuse_call, remove_call
from .retrying import record_verdict, retry_if_allowed
from .run_times import record_run_time
from .server_availability import apply_pause, record_leaving_flag
from .speed_changes import handle_load_report
from .speeds import record_slow_period_effect

SERVER_ERROR_STATUSES: Final = range(500, 600)
# Failures of this host or the caller, which say nothing about the backend server.
OTHER_FAILURES: Final = frozenset(
    {
        AttemptFailure.NO_CONNECTION_FREE,
        AttemptFailure.BODY_BROKEN,
        AttemptFailure.INTERNAL,
    }
)


def handle_reply_started(
    state: HostState, event: ReplyStarted, out: list[Effect]
) -> None:
    """Relay a reply, or retry the call if the verdict allows it."""
    active = find_call_of_attempt(state, event.call_id, event.attempt)
    attempt = active.attempt if active is not None else None
    _process_reply(state, event, out)
    if active is None or attempt is None or event.report is None:
        return
    # Handled after the reply, so that its call is no longer hedged.
    service = state.services.get(active.call.service)
    server = service.servers.get(attempt.target) if service is not None else None
    if service is not None and server is not None:
        handle_load_report(state, service, server, event.report, event.now, out)


def _process_reply(state: HostState, event: ReplyStarted, out: list[Effect]) -> None:
    active = find_call_of_attempt(state, event.call_id, event.attempt)
    if active is None:
        return
    service = state.services.get(active.call.service)
    attempt = active.attempt
    if service is None or attempt is None:
        _relay_reply(
            active, event, get_reply_verdict(event.status, (), event.verdict), out
        )
        return
    server = service.servers.get(attempt.target)
    is_error = event.status in SERVER_ERROR_STATUSES or event.is_other_server
    if server is not None and not attempt.is_forward:
        _record_rate_limit(
            state, service, server, attempt, event, out, is_error=is_error
        )
        record_leaving_flag(
            state, service, server, event.now, out, is_leaving=event.draining
        )
        if event.pause_s is not None:
            apply_pause(state, service, server, event.pause_s, event.now, out)
            attempt.pause_s = event.pause_s
        server.reported_load = event.load
        attempt.load = event.report
    verdict = get_reply_verdict(
        event.status, service.intent.not_run_statuses, event.verdict
    )
    if not is_error:
        if active.other_attempt is not None:
            # The other attempt, which is cancelled below, may have run.
            record_verdict(active, Verdict.MAY_HAVE_RUN)
        cancel_other_attempt(service, active, event.now, out)
    if event.is_other_server and server is not None:
        attempt.is_misdirected = True
        attempt.has_failed = True
        handle_replaced_server(service, server, event.now, out)
    elif is_error and not attempt.is_forward:
        record_attempt_failure(service, attempt, event.now, out)
    if is_error and fall_back_to_other_attempt(service, active, attempt, out):
        record_verdict(active, verdict)
        dispatch_queued_calls(state, service, event.now, out)
        return
    if is_error and retry_if_allowed(
        state, service, active, verdict, f"status-{event.status}", event.now, out
    ):
        dispatch_queued_calls(state, service, event.now, out)
        return
    _relay_reply(active, event, verdict, out)


def _record_rate_limit(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    attempt: Attempt,
    event: ReplyStarted,
    out: list[Effect],
    *,
    is_error: bool,
) -> None:
    if event.is_other_server:
        return
    attempt.rate_limit = event.rate_limit
    answer = LimitAnswer(
        report=event.rate_limit, sent_at=attempt.started, is_success=not is_error
    )
    handle_limit_answer(state, service, server, answer, event.now, out)


def handle_reply_finished(
    state: HostState, event: ReplyFinished, out: list[Effect]
) -> None:
    """Finish a call whose reply was relayed completely."""
    active = find_call_of_attempt(state, event.call_id, event.attempt)
    if active is None or active.attempt is None:
        return
    attempt = active.attempt
    service = state.services.get(active.call.service)
    remove_call(state, active, out)
    latency_s = event.now - attempt.started
    attempt.latency_s = latency_s
    _log_answer(active, attempt, event.now, out)
    if active.route is not None:
        state.routes.get_load(active.route).record_reply(event.size)
    release_slot(service, attempt, out)
    if service is None:
        return
    service.completions.count(event.now)
    service.queue.correct_run(active, latency_s)
    if not attempt.is_forward:
        server = service.servers.get(attempt.target)
        if server is not None and not attempt.has_failed:
            record_success(server, latency_s, event.now)
            record_service_time(service, latency_s)
            update_hedge_delay(service, latency_s)
            record_run_length(service, active, attempt, latency_s)
            record_run(service, latency_s, took_last_slot=attempt.took_last_slot)
            record_slow_period_effect(
                service, server, active, attempt, latency_s, event.now
            )
            record_run_time(service, active.route_name, latency_s)
    dispatch_queued_calls(state, service, event.now, out)


def handle_attempt_failed(
    state: HostState, event: AttemptFailed, out: list[Effect]
) -> None:
    """Retry a call whose attempt failed if the verdict allows it, else end the call."""
    active = find_call_of_attempt(state, event.call_id, event.attempt)
    if active is None or active.attempt is None:
        return
    service = state.services.get(active.call.service)
    verdict = get_failure_verdict(event.failure)
    if active.stage is Stage.RELAYING:
        remove_call(state, active, out)
        out.append(CutReply(call_id=event.call_id))
        if service is not None:
            if event.failure not in OTHER_FAILURES:
                record_attempt_failure(service, active.attempt, event.now, out)
            release_slot(service, active.attempt, out)
            dispatch_queued_calls(state, service, event.now, out)
        return
    if service is None:
        remove_call(state, active, out)
        refuse_call(active, make_attempt_failed(event.failure, verdict), out)
        return
    if event.failure not in OTHER_FAILURES:
        record_attempt_failure(service, active.attempt, event.now, out, event.failure)
    if fall_back_to_other_attempt(service, active, active.attempt, out):
        record_verdict(active, verdict)
        dispatch_queued_calls(state, service, event.now, out)
        return
    if retry_if_allowed(state, service, active, verdict, event.failure, event.now, out):
        dispatch_queued_calls(state, service, event.now, out)
        return
    release_slot(service, active.attempt, out)
    remove_call(state, active, out)
    refuse_call(active, make_attempt_failed(event.failure, active.worst_verdict), out)
    dispatch_queued_calls(state, service, event.now, out)


def _log_answer(
    active: ActiveCall, attempt: Attempt, now: float, out: list[Effect]
) -> None:
    fields: dict[str, object] = {
        "call": active.call.call_id,
        "service": active.call.service,
        "target": attempt.target,
        "attempt": len(active.attempts),
        "latency_s": round(now - attempt.started, 4),
        "total_s": round(now - active.arrived, 4),
    }
    if attempt.load is not None:
        fields["slowdown"] = attempt.load.slowdown
        fields["running"] = attempt.load.running
    out.append(LogDecision(event="answer", fields=fields))


def _relay_reply(
    active: ActiveCall, event: ReplyStarted, verdict: Verdict, out: list[Effect]
) -> None:
    active.stage = Stage.RELAYING
    active.reply_started_at = event.now
    if verdict is Verdict.NOT_RUN:
        # An earlier attempt may have run even if this one did not.
        verdict = active.worst_verdict
    out.append(
        RelayReply(call_id=event.call_id, attempt=event.attempt, verdict=verdict)
    )
