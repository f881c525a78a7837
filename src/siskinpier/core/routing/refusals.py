"""Final refusals of calls, and removal of finished calls from the state."""

from dataclasses import replace

from ..effects import ClearTimer, Effect, LogDecision, RefuseCall, SendMessage
from ..messages import SlotRefusal
from ..problems import make_not_ready
from ..state import HostState
from ..timers import CallDeadline, HedgeDue, SlotResponseDue
from ..verdict import Problem, Verdict
from .calls import ActiveCall, Call


def remove_call(state: HostState, active: ActiveCall, out: list[Effect]) -> None:
    """Remove a call that has its final answer, and clear its timers."""
    del state.calls[active.call.call_id]
    return_unused_credit(state, active)
    out.append(ClearTimer(timer=CallDeadline(call_id=active.call.call_id)))
    if active.hedge_timer_set:
        out.append(ClearTimer(timer=HedgeDue(call_id=active.call.call_id)))
    if active.requested_home:
        out.append(ClearTimer(timer=SlotResponseDue(call_id=active.call.call_id)))


def return_unused_credit(state: HostState, active: ActiveCall) -> None:
    """Return the credit of a call's quota that was taken here, unless it was sent."""
    if active.credit_at is not None and not active.has_been_sent():
        taken_at, active.credit_at = active.credit_at, None
        state.quotas.return_credit(active.workspace, taken_at)


def refuse_call(active: ActiveCall, problem: Problem, out: list[Effect]) -> None:
    """Refuse a call, towards its caller or the host that holds it."""
    if problem.verdict is Verdict.NOT_RUN:
        # The reason for this refusal does not rule out that earlier attempts ran.
        problem = replace(problem, verdict=active.worst_verdict)
    if active.holder:
        _send_slot_refusal(active, problem, out)
        return
    refuse_untracked_call(active.call, problem, out)


def _send_slot_refusal(active: ActiveCall, problem: Problem, out: list[Effect]) -> None:
    """Notify the holder of a call that the call gets no slot here."""
    message = SlotRefusal(
        call=active.holder_call_id,
        request_number=active.request_number,
        is_final=active.queue_entry is not None or active.has_wait_limit,
        title=problem.title,
        detail=problem.detail,
        retry_after_s=problem.retry_after_s,
        status=problem.status,
    )
    out.append(
        SendMessage(host=active.holder, address=active.holder_address, message=message)
    )


def refuse_untracked_call(call: Call, problem: Problem, out: list[Effect]) -> None:
    """Refuse a call that the state does not contain."""
    out.append(RefuseCall(call_id=call.call_id, problem=problem))
    out.append(
        LogDecision(
            event="refuse",
            fields={
                "call": call.call_id,
                "service": call.service,
                "status": problem.status,
                "verdict": problem.verdict,
                "reason": problem.title,
                "detail": problem.detail,
                "retry_after_s": problem.retry_after_s,
            },
        )
    )


def make_not_admitting(state: HostState, call: Call) -> Problem:
    """Return the problem for a call to a host that starts, or stops."""
    detail = f"host is {state.lifecycle}"
    if not state.is_informed:
        detail += ", and was never ready"
    return make_not_ready(detail, get_untracked_verdict(call))


def get_untracked_verdict(call: Call) -> Verdict:
    """Return the verdict for a call that is refused before its key is looked up.

    An earlier call with the same key may have run through another host.
    """
    if call.key is not None and not call.claimed:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
