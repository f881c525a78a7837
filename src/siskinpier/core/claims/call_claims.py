"""Connects claims to the lifecycle of calls, once after each event of a host.

Ended calls are found in the effects of the event, so no code path that ends a
call can leave its claim behind. An ended call counts as MAY_HAVE_RUN unless it is
certain that it did not run or that it ran.
"""

from ..effects import ClearTimer, Effect, RefuseCall, RelayReply, ReplayReply
from ..events import Event, ReplyFinished, TimerFired
from ..problems import (
    make_claim_unanswered,
    make_claim_unavailable,
    make_key_mismatch,
    make_not_run_again,
)
from ..routing.arrivals import dispatch_claimed_call, finish_unsent_call
from ..routing.calls import Stage
from ..state import HostState
from ..timers import CallDeadline, HeartbeatDue
from ..verdict import Problem, Verdict
from .holder import end_claim, handle_claim_end_ack, handle_claim_reply
from .messages import (
    ClaimEnd,
    ClaimEndAck,
    ClaimMessage,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    KeptReply,
)
from .owner import answer_orphaned_requests, handle_claim_end, handle_claim_request
from .state import ClaimDecision, HeldClaim

# Retry-After of refusals while the platform is down, and while a shard is full.
PLATFORM_RETRY_AFTER_S = 1.0
FULL_RETRY_AFTER_S = 30.0
NOT_LOOKED_UP_DETAIL = (
    "the platform is down; this call did not run, earlier ones were not looked up"
)


def update_claims(state: HostState, event: Event, out: list[Effect]) -> None:
    """Apply results of claim requests, and report ended calls to owners."""
    claims = state.claims
    if isinstance(event, TimerFired) and isinstance(event.timer, HeartbeatDue):
        answer_orphaned_requests(state, event.now, out)
    processed_count = 0
    while (
        claims.local_messages
        or claims.decisions
        or (claims.held and processed_count < len(out))
    ):
        if claims.held and processed_count < len(out):
            effect_count = len(out)
            _report_ended_calls(state, event, out, processed_count)
            processed_count = effect_count
        elif claims.decisions:
            _apply_decision(state, claims.decisions.pop(0), event.now, out)
        else:
            message = claims.local_messages.pop(0)
            handle_claim_message(state, state.identity.name, message, event.now, out)


def handle_claim_message(
    state: HostState, sender: str, message: ClaimMessage, now: float, out: list[Effect]
) -> None:
    """Dispatch a claim message from another host or from this host."""
    match message:
        case ClaimRequest():
            handle_claim_request(state, sender, message, now, out)
        case ClaimEnd():
            handle_claim_end(state, sender, message, now, out)
        case ClaimReply():
            handle_claim_reply(state, message, now, out)
        case ClaimEndAck():
            handle_claim_end_ack(state, message)


def _report_ended_calls(
    state: HostState, event: Event, out: list[Effect], start: int
) -> None:
    refusals: dict[str, Verdict] = {}
    ended: list[str] = []
    for effect in out[start:]:
        match effect:
            case RelayReply(call_id=call_id, verdict=verdict):
                held = state.claims.held.get(call_id)
                if held is not None:
                    held.relayed_verdict = verdict
            case RefuseCall(call_id=call_id, problem=problem):
                refusals[call_id] = problem.verdict
            case ClearTimer(timer=CallDeadline(call_id=call_id)):
                ended.append(call_id)
    for call_id in ended:
        held = state.claims.held.get(call_id)
        if held is None:
            continue
        verdict, kept = _get_end_verdict(held, event, refusals.get(call_id))
        end_claim(state, held, verdict, kept, event.now, out)


def _get_end_verdict(
    held: HeldClaim, event: Event, refusal: Verdict | None
) -> tuple[Verdict, KeptReply | None]:
    """Return the verdict on an ended call, and its reply if it was kept."""
    active = held.active
    if not active.attempts:
        return Verdict.NOT_RUN, None
    if active.worst_verdict is not Verdict.NOT_RUN and refusal is Verdict.NOT_RUN:
        return Verdict.MAY_HAVE_RUN, None
    if refusal is not None:
        return refusal, None
    if isinstance(event, ReplyFinished) and event.call_id == active.call.call_id:
        return held.relayed_verdict or Verdict.MAY_HAVE_RUN, event.kept
    return Verdict.MAY_HAVE_RUN, None


def _apply_decision(
    state: HostState, decision: ClaimDecision, now: float, out: list[Effect]
) -> None:
    active = state.calls.get(decision.call_id)
    if active is None or active.stage is not Stage.CLAIMING:
        return
    match decision.outcome:
        case ClaimOutcome.GRANTED:
            dispatch_claimed_call(state, active, now, out)
        case ClaimOutcome.REPLAY if decision.kept is not None:
            out.append(ReplayReply(call_id=decision.call_id, kept=decision.kept))
            finish_unsent_call(state, active, None, out)
        case _:
            problem = _make_problem(decision.outcome)
            finish_unsent_call(state, active, problem, out)


def _make_problem(outcome: ClaimOutcome) -> Problem:
    match outcome:
        case ClaimOutcome.MISMATCH:
            return make_key_mismatch()
        case ClaimOutcome.UNAVAILABLE | ClaimOutcome.FOUND_OWN:
            return make_claim_unavailable(
                "claims cannot be written now", PLATFORM_RETRY_AFTER_S
            )
        case ClaimOutcome.NOT_LOOKED_UP:
            return make_claim_unavailable(NOT_LOOKED_UP_DETAIL, PLATFORM_RETRY_AFTER_S)
        case ClaimOutcome.FULL:
            return make_claim_unavailable("no room for more claims", FULL_RETRY_AFTER_S)
        case ClaimOutcome.RAN:
            return make_not_run_again(Verdict.RAN)
        case ClaimOutcome.SILENT:
            return make_claim_unanswered()
        case _:
            return make_not_run_again(Verdict.MAY_HAVE_RUN)
