"""Replies and failures of attempts."""

from typing import Final

from ..effects import CutReply, Effect, LogDecision, RelayReply
from ..events import AttemptFailed, ReplyFinished, ReplyStarted
from ..problems import make_attempt_failed
from ..state import HostState
from ..verdict import AttemptFailure, Verdict, get_failure_verdict, get_reply_verdict
from .attempts import (
    get_current,
    learn_service_time,
    note_failure,
    note_other_server,
    release,
)
from .calls import ActiveCall, Attempt, Stage
from .dispatch import drain_queue
from .full_servers import learn_run
from .health import record_success
from .hedging import drop_rival, fall_back_to_rival, learn_hedge_time
from .refusals import forget, refuse
from .retrying import note_verdict, try_again
from .run_times import learn_run_time
from .server_words import note_leaving_word, take_pause
from .speed_changes import take_speed
from .speeds import learn_spells

SERVER_ERROR_STATUSES: Final = range(500, 600)


def take_reply(state: HostState, event: ReplyStarted, out: list[Effect]) -> None:
    """Relay a reply, or try again where the verdict allows it."""
    active = get_current(state, event.call_id, event.attempt)
    attempt = active.attempt if active is not None else None
    _take_reply(state, event, out)
    if active is None or attempt is None or event.report is None:
        return
    # After the reply is dealt with, as its call needs no second attempt any more.
    service = state.services.get(active.call.service)
    server = service.servers.get(attempt.target) if service is not None else None
    if service is not None and server is not None:
        take_speed(state, service, server, event.report, event.now, out)


def _take_reply(state: HostState, event: ReplyStarted, out: list[Effect]) -> None:
    active = get_current(state, event.call_id, event.attempt)
    if active is None:
        return
    service = state.services.get(active.call.service)
    attempt = active.attempt
    if service is None or attempt is None:
        _relay(active, event, get_reply_verdict(event.status, (), event.verdict), out)
        return
    server = service.servers.get(attempt.target)
    if server is not None and not attempt.is_forward:
        note_leaving_word(
            state, service, server, event.now, out, is_leaving=event.draining
        )
        if event.pause_s is not None:
            take_pause(state, service, server, event.pause_s, event.now, out)
            attempt.pause_s = event.pause_s
        server.reported_load = event.load
        attempt.load = event.report
    verdict = get_reply_verdict(
        event.status, service.intent.not_run_statuses, event.verdict
    )
    is_error = event.status in SERVER_ERROR_STATUSES or event.is_other_server
    if not is_error:
        if active.rival is not None:
            # The attempt that is given up here may have run.
            note_verdict(active, Verdict.MAY_HAVE_RUN)
        drop_rival(service, active, event.now, out)
    if event.is_other_server and server is not None:
        attempt.is_misdirected = True
        attempt.has_failed = True
        note_other_server(service, server, event.now, out)
    elif is_error and not attempt.is_forward:
        note_failure(service, attempt, event.now, out)
    if is_error and fall_back_to_rival(service, active, attempt, out):
        note_verdict(active, verdict)
        drain_queue(state, service, event.now, out)
        return
    if is_error and try_again(
        state, service, active, verdict, f"status-{event.status}", event.now, out
    ):
        drain_queue(state, service, event.now, out)
        return
    _relay(active, event, verdict, out)


def finish_reply(state: HostState, event: ReplyFinished, out: list[Effect]) -> None:
    """Close a call whose reply was relayed whole."""
    active = get_current(state, event.call_id, event.attempt)
    if active is None or active.attempt is None:
        return
    attempt = active.attempt
    service = state.services.get(active.call.service)
    forget(state, active, out)
    latency_s = event.now - attempt.started
    attempt.latency_s = latency_s
    _log_answer(active, attempt, event.now, out)
    if active.route is not None:
        state.routes.get_load(active.route).note_reply(event.size)
    release(service, attempt, out)
    if service is None:
        return
    service.completions.count(event.now)
    if not attempt.is_forward:
        server = service.servers.get(attempt.target)
        if server is not None and not attempt.has_failed:
            record_success(server, latency_s, event.now)
            learn_service_time(service, latency_s)
            learn_hedge_time(service, latency_s)
            learn_run(service, latency_s, was_full=attempt.was_full)
            learn_spells(service, server, active, attempt, latency_s, event.now)
            learn_run_time(service, active.route_name, latency_s)
    drain_queue(state, service, event.now, out)


def fail_attempt(state: HostState, event: AttemptFailed, out: list[Effect]) -> None:
    """Try again where the verdict allows it, else give the final answer."""
    active = get_current(state, event.call_id, event.attempt)
    if active is None or active.attempt is None:
        return
    service = state.services.get(active.call.service)
    verdict = get_failure_verdict(event.failure)
    if active.stage is Stage.RELAYING:
        forget(state, active, out)
        out.append(CutReply(call_id=event.call_id))
        if service is not None:
            note_failure(service, active.attempt, event.now, out)
            release(service, active.attempt, out)
            drain_queue(state, service, event.now, out)
        return
    if service is None:
        forget(state, active, out)
        refuse(active, make_attempt_failed(event.failure, verdict), out)
        return
    if event.failure is not AttemptFailure.NO_CONNECTION_FREE:
        note_failure(service, active.attempt, event.now, out, event.failure)
    if fall_back_to_rival(service, active, active.attempt, out):
        note_verdict(active, verdict)
        drain_queue(state, service, event.now, out)
        return
    if try_again(state, service, active, verdict, event.failure, event.now, out):
        drain_queue(state, service, event.now, out)
        return
    release(service, active.attempt, out)
    forget(state, active, out)
    refuse(active, make_attempt_failed(event.failure, active.worst), out)
    drain_queue(state, service, event.now, out)


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


def _relay(
    active: ActiveCall, event: ReplyStarted, verdict: Verdict, out: list[Effect]
) -> None:
    active.stage = Stage.RELAYING
    active.relayed_from = event.now
    if verdict is Verdict.NOT_RUN:
        # An earlier attempt may have run even if this one surely did not.
        verdict = active.worst
    out.append(
        RelayReply(call_id=event.call_id, attempt=event.attempt, verdict=verdict)
    )
