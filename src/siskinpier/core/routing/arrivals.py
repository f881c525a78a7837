"""Lifecycle of a call: arrival, claim, cancellation, deadline."""

from typing import Final

from ..claims.holder import has_valid_key, needs_claim, start_claim
from ..cluster.readiness import can_admit_calls
from ..configuration.intents import Route, Workspace, get_rule
from ..effects import CutReply, Effect, LogDecision, SetTimer
from ..events import CallArrived, CallCancelled, CallFailed
from ..problems import (
    make_deadline_passed,
    make_host_stopped,
    make_internal_error,
    make_key_invalid,
    make_no_server,
    make_not_ready,
    make_route_suspended,
    make_unknown_route,
    make_unknown_service,
)
from ..state import HostState
from ..timers import CallDeadline
from ..verdict import Problem, Verdict
from .attempts import cancel_attempts, record_missed_deadline
from .calls import ActiveCall, Call, Stage
from .dispatch import dispatch_call
from .quarantine import find_quarantine_refusal
from .queueing import dispatch_queued_calls, refuse_waiting_call
from .refusals import (
    get_untracked_verdict,
    make_not_admitting,
    refuse_call,
    refuse_untracked_call,
    remove_call,
)
from .retry_budget import credit_budgets_once
from .routes import apply_route, make_route_rule
from .workspaces import assign_workspace, find_unknown_route_refusal, find_workspace

# Time for a reply to finish that started to arrive just before its deadline.
REPLY_GRACE_S: Final = 0.25
UNCLAIMED_DETAIL: Final = "forwarded without a claim, under older routing intents"


def handle_call_arrived(
    state: HostState, event: CallArrived, out: list[Effect]
) -> None:
    """Dispatch an arriving call, start its claim, or refuse it."""
    call = event.call
    if not can_admit_calls(state):
        refuse_untracked_call(call, make_not_admitting(state, call), out)
        return
    route: Route | None = None
    if call.virtual_host:
        route = state.routes.find(call.virtual_host, call.path)
        if route is None:
            problem = make_unknown_route(call.virtual_host)
            if state.intents.requires_keys:
                problem = find_unknown_route_refusal(state, call, event.now)
            refuse_untracked_call(call, problem, out)
            return
        if route.is_suspended:
            refuse_untracked_call(call, make_route_suspended(call.virtual_host), out)
            return
        name = state.routes.choose_service(route, state.rng) or ""
        call = apply_route(call, route, name, event.now)
    workspace: Workspace | None = None
    if state.intents.requires_keys:
        found = find_workspace(state, call, route, event.now)
        if isinstance(found, Problem):
            refuse_untracked_call(call, found, out)
            return
        workspace = found
    service = state.services.get(call.service)
    if service is None:
        refuse_untracked_call(call, _make_undeclared_problem(call, route), out)
        return
    if call.deadline <= event.now:
        refuse_untracked_call(
            call, make_deadline_passed(get_untracked_verdict(call)), out
        )
        return
    quarantined = find_quarantine_refusal(state, call, event.now)
    if quarantined is not None:
        refuse_untracked_call(call, quarantined, out)
        return
    rule = (
        get_rule(service.intent, call.method, call.path)
        if route is None
        else make_route_rule(route)
    )
    requested = rule.urgency if call.urgency is None else call.urgency
    active = ActiveCall(
        call=call,
        urgency=max(rule.most_urgent, requested),
        idempotent=rule.idempotent and not call.at_most_once,
        arrived=event.now,
    )
    if route is not None:
        active.attempts_limit = route.attempts
        active.aim_s = route.aim_s
        load = state.routes.get_load(route)
        load.count(event.now)
        active.route = route
        active.route_name = route.name
        active.size = call.size + load.reply_bytes
    if state.intents.requires_keys:
        assign_workspace(active, workspace)
    if needs_claim(active) and call.hops > 0:
        # Only the first host may claim, else two hosts would claim with one call id.
        problem = make_not_ready(UNCLAIMED_DETAIL, get_untracked_verdict(call))
        refuse_untracked_call(call, problem, out)
        return
    if needs_claim(active) and not has_valid_key(active):
        refuse_untracked_call(call, make_key_invalid(), out)
        return
    state.calls[call.call_id] = active
    # A forwarded call was counted by the host that forwarded it; a call whose slot
    # another host grants is counted by that host.
    grants_slots = state.settings.grants_slots
    if service.owned if grants_slots else call.hops == 0:
        credit_budgets_once(service, active)
    out.append(SetTimer(timer=CallDeadline(call_id=call.call_id), at=call.deadline))
    if needs_claim(active):
        start_claim(state, active, event.now, out)
        return
    dispatch_call(state, service, active, event.now, out)


def dispatch_claimed_call(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Dispatch a call whose claim was granted."""
    service = state.services.get(active.call.service)
    if service is None:
        finish_unsent_call(
            state, active, make_unknown_service(active.call.service), out
        )
        return
    if active.call.deadline <= now:
        finish_unsent_call(state, active, make_deadline_passed(Verdict.NOT_RUN), out)
        return
    active.stage = Stage.QUEUED
    dispatch_call(state, service, active, now, out)


def finish_unsent_call(
    state: HostState, active: ActiveCall, problem: Problem | None, out: list[Effect]
) -> None:
    """Remove a call that was not sent, and refuse it with `problem`.

    `problem` is None if the call already has another answer.
    """
    remove_call(state, active, out)
    if problem is not None:
        refuse_call(active, problem, out)


def handle_call_cancelled(
    state: HostState, event: CallCancelled, out: list[Effect]
) -> None:
    """Cancel a call whose caller has gone away."""
    active = state.calls.get(event.call_id)
    if active is None:
        return
    service = state.services.get(active.call.service)
    out.append(
        LogDecision(
            event="cancelled",
            fields={
                "call": active.call.call_id,
                "stage": active.stage.name.lower(),
                "after_s": round(event.now - active.arrived, 3),
            },
        )
    )
    cancel_attempts(state, active, out)
    remove_call(state, active, out)
    if service is not None:
        dispatch_queued_calls(state, service, event.now, out)


def handle_call_failed(state: HostState, event: CallFailed, out: list[Effect]) -> None:
    """End a call with its final answer after an unexpected error.

    What is in flight may run, so only a call that was not sent can be called not run.
    """
    active = state.calls.get(event.call_id)
    if active is None:
        return
    service = state.services.get(active.call.service)
    verdict = active.worst_verdict
    if active.has_been_sent() or active.stage is Stage.CLAIMING:
        verdict = Verdict.MAY_HAVE_RUN
    is_relaying = active.stage is Stage.RELAYING
    cancel_attempts(state, active, out)
    remove_call(state, active, out)
    if is_relaying and not event.has_reply:
        out.append(CutReply(call_id=event.call_id))
    elif not event.has_reply:
        refuse_call(active, make_internal_error(verdict), out)
    if service is not None:
        dispatch_queued_calls(state, service, event.now, out)


def expire_call(state: HostState, call_id: str, now: float, out: list[Effect]) -> None:
    """End a call at its deadline, or refuse it at its limit on waiting for a slot."""
    active = state.calls.get(call_id)
    if active is None:
        return
    service = state.services.get(active.call.service)
    was_relaying = active.stage is Stage.RELAYING
    if was_relaying and now < active.reply_started_at + REPLY_GRACE_S:
        # The rest of the reply is probably about to arrive.
        timer = CallDeadline(call_id=call_id)
        out.append(SetTimer(timer=timer, at=active.reply_started_at + REPLY_GRACE_S))
        return
    is_waiting = active.stage is Stage.QUEUED and now < active.call.deadline
    if is_waiting and service is not None:
        refuse_waiting_call(state, service, active, now, out)
        dispatch_queued_calls(state, service, now, out)
        return
    attempt = active.attempt
    if service is not None and attempt is not None and active.stage is Stage.SENT:
        record_missed_deadline(service, attempt, now, out)
    cancel_attempts(state, active, out)
    remove_call(state, active, out)
    if was_relaying:
        out.append(CutReply(call_id=call_id))
    else:
        verdict = active.worst_verdict
        # Before the claim is granted, an earlier call with the same key may have run.
        if active.stage in (Stage.SENT, Stage.CLAIMING):
            verdict = Verdict.MAY_HAVE_RUN
        refuse_call(active, make_deadline_passed(verdict), out)
    if service is not None:
        dispatch_queued_calls(state, service, now, out)


def end_all_calls(state: HostState, out: list[Effect]) -> None:
    """End every call with its final answer because the host stops now."""
    for active in list(state.calls.values()):
        verdict = active.worst_verdict
        if active.stage in (Stage.SENT, Stage.CLAIMING):
            verdict = Verdict.MAY_HAVE_RUN
        is_relaying = active.stage is Stage.RELAYING
        cancel_attempts(state, active, out)
        remove_call(state, active, out)
        if is_relaying:
            out.append(CutReply(call_id=active.call.call_id))
        else:
            refuse_call(active, make_host_stopped(verdict), out)


def _make_undeclared_problem(call: Call, route: Route | None) -> Problem:
    """Return the problem for a call whose service is not declared.

    A call with a route is valid: its service may be declared soon.
    """
    if route is None:
        return make_unknown_service(call.service)
    return make_no_server(call.service, Verdict.NOT_RUN)
