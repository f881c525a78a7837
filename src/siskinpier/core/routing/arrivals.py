"""The life of a call: arrival, claim, cancellation, deadline."""

from typing import Final

from ..claims.holder import has_valid_key, needs_claim, start_claim
from ..configuration.intents import Route, get_rule
from ..effects import CutReply, Effect, LogDecision, SetTimer
from ..events import CallArrived, CallCancelled
from ..problems import (
    make_deadline_passed,
    make_host_stopped,
    make_key_invalid,
    make_no_server,
    make_not_ready,
    make_route_suspended,
    make_unknown_route,
    make_unknown_service,
)
from ..state import HostState, Lifecycle
from ..timers import CallDeadline
from ..verdict import Problem, Verdict
from .attempts import abandon, note_late
from .calls import ActiveCall, Call, Stage
from .dispatch import drain_queue, give_up_waiting, place_call
from .quarantine import judge_quarantine
from .refusals import forget, judge_unseen, refuse, refuse_unseen
from .repeat_budget import earn_shares
from .routes import apply_route, make_route_rule

# How long a reply may take that began to arrive just before its deadline.
RELAY_GRACE_S: Final = 0.25
UNCLAIMED: Final = "forwarded without a claim, under older routing intents"


def start_call(state: HostState, event: CallArrived, out: list[Effect]) -> None:
    """Admit a call, or refuse it at once."""
    call = event.call
    if state.lifecycle not in (Lifecycle.READY, Lifecycle.LEAVING):
        problem = make_not_ready(f"host is {state.lifecycle}", judge_unseen(call))
        refuse_unseen(call, problem, out)
        return
    route: Route | None = None
    if call.virtual_host:
        route = state.routes.find(call.virtual_host, call.path)
        if route is None:
            refuse_unseen(call, make_unknown_route(call.virtual_host), out)
            return
        if route.is_suspended:
            refuse_unseen(call, make_route_suspended(call.virtual_host), out)
            return
        name = state.routes.choose_service(route, state.rng) or ""
        call = apply_route(call, route, name, event.now)
    service = state.services.get(call.service)
    if service is None:
        refuse_unseen(call, _make_undeclared(call, route), out)
        return
    if call.deadline <= event.now:
        refuse_unseen(call, make_deadline_passed(judge_unseen(call)), out)
        return
    quarantined = judge_quarantine(state, call, event.now)
    if quarantined is not None:
        refuse_unseen(call, quarantined, out)
        return
    rule = (
        get_rule(service.intent, call.method, call.path)
        if route is None
        else make_route_rule(route)
    )
    asked = rule.urgency if call.urgency is None else call.urgency
    active = ActiveCall(
        call=call,
        urgency=max(rule.most_urgent, asked),
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
    if needs_claim(active) and call.hops > 0:
        # Only the entry host may claim: two hosts would claim under one call id.
        problem = make_not_ready(UNCLAIMED, judge_unseen(call))
        refuse_unseen(call, problem, out)
        return
    if needs_claim(active) and not has_valid_key(active):
        refuse_unseen(call, make_key_invalid(), out)
        return
    state.calls[call.call_id] = active
    # A call that was forwarded is counted where it came from, and one whose slot
    # another host grants is counted there.
    if call.hops == 0 and (service.owned or not state.settings.grants_slots):
        earn_shares(service, active)
    out.append(SetTimer(timer=CallDeadline(call_id=call.call_id), at=call.deadline))
    if needs_claim(active):
        start_claim(state, active, event.now, out)
        return
    place_call(state, service, active, event.now, out)


def place_claimed(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Send a call that was granted its dispatch."""
    service = state.services.get(active.call.service)
    if service is None:
        finish_claiming(state, active, make_unknown_service(active.call.service), out)
        return
    if active.call.deadline <= now:
        finish_claiming(state, active, make_deadline_passed(Verdict.NOT_RUN), out)
        return
    active.stage = Stage.QUEUED
    place_call(state, service, active, now, out)


def finish_claiming(
    state: HostState, active: ActiveCall, problem: Problem | None, out: list[Effect]
) -> None:
    """End a call that was not sent; None when its answer was given otherwise."""
    forget(state, active, out)
    if problem is not None:
        refuse(active, problem, out)


def cancel_call(state: HostState, event: CallCancelled, out: list[Effect]) -> None:
    """Give up a call whose caller went away."""
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
    abandon(state, active, out)
    forget(state, active, out)
    if service is not None:
        drain_queue(state, service, event.now, out)


def expire_call(state: HostState, call_id: str, now: float, out: list[Effect]) -> None:
    """Give a call its final answer at its deadline."""
    active = state.calls.get(call_id)
    if active is None:
        return
    service = state.services.get(active.call.service)
    was_relaying = active.stage is Stage.RELAYING
    if was_relaying and now < active.relayed_from + RELAY_GRACE_S:
        # The rest of the answer is most likely on its way.
        timer = CallDeadline(call_id=call_id)
        out.append(SetTimer(timer=timer, at=active.relayed_from + RELAY_GRACE_S))
        return
    is_waiting = active.stage is Stage.QUEUED and now < active.call.deadline
    if is_waiting and service is not None:
        give_up_waiting(state, service, active, now, out)
        drain_queue(state, service, now, out)
        return
    attempt = active.attempt
    if service is not None and attempt is not None and active.stage is Stage.SENT:
        note_late(service, attempt, now, out)
    abandon(state, active, out)
    forget(state, active, out)
    if was_relaying:
        out.append(CutReply(call_id=call_id))
    else:
        verdict = active.worst
        # While a claim is awaited, an earlier call with the key may have run.
        if active.stage in (Stage.SENT, Stage.CLAIMING):
            verdict = Verdict.MAY_HAVE_RUN
        refuse(active, make_deadline_passed(verdict), out)
    if service is not None:
        drain_queue(state, service, now, out)


def give_up_calls(state: HostState, out: list[Effect]) -> None:
    """Give every call its final answer, as the host ends at once."""
    for active in list(state.calls.values()):
        verdict = active.worst
        if active.stage in (Stage.SENT, Stage.CLAIMING):
            verdict = Verdict.MAY_HAVE_RUN
        is_relaying = active.stage is Stage.RELAYING
        abandon(state, active, out)
        forget(state, active, out)
        if is_relaying:
            out.append(CutReply(call_id=active.call.call_id))
        else:
            refuse(active, make_host_stopped(verdict), out)


def _make_undeclared(call: Call, route: Route | None) -> Problem:
    """Return the refusal of a call whose service is not declared.

    A call with a route is proper: its service may be declared soon.
    """
    if route is None:
        return make_unknown_service(call.service)
    return make_no_server(call.service, Verdict.NOT_RUN)
