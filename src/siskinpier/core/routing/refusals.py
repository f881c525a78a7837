"""Final refusals of calls, and the end of what is kept of a call."""

from dataclasses import replace

from ..effects import ClearTimer, Effect, LogDecision, RefuseCall, SendMessage
from ..messages import SlotRefusal
from ..state import HostState
from ..timers import CallDeadline, HedgeDue, SlotResponseDue
from ..verdict import Problem, Verdict
from .calls import ActiveCall, Call


def forget(state: HostState, active: ActiveCall, out: list[Effect]) -> None:
    """Drop a call that has its final answer."""
    del state.calls[active.call.call_id]
    out.append(ClearTimer(timer=CallDeadline(call_id=active.call.call_id)))
    if active.hedge_timer_set:
        out.append(ClearTimer(timer=HedgeDue(call_id=active.call.call_id)))
    if active.asked:
        out.append(ClearTimer(timer=SlotResponseDue(call_id=active.call.call_id)))


def refuse(active: ActiveCall, problem: Problem, out: list[Effect]) -> None:
    """Give a call its final refusal."""
    if problem.verdict is Verdict.NOT_RUN:
        # The reason alone proves nothing about earlier attempts.
        problem = replace(problem, verdict=active.worst)
    if active.holder:
        _refuse_holder(active, problem, out)
        return
    refuse_unseen(active.call, problem, out)


def _refuse_holder(active: ActiveCall, problem: Problem, out: list[Effect]) -> None:
    """Tell the host that holds a call that it gets no slot here."""
    message = SlotRefusal(
        call=active.holders_id,
        ask=active.ask,
        is_final=active.queue_entry is not None or active.has_waiting_bound,
        title=problem.title,
        detail=problem.detail,
        retry_after_s=problem.retry_after_s,
    )
    out.append(
        SendMessage(host=active.holder, address=active.holder_address, message=message)
    )


def refuse_unseen(call: Call, problem: Problem, out: list[Effect]) -> None:
    """Refuse a call of which nothing is kept."""
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


def judge_unseen(call: Call) -> Verdict:
    """Return the verdict of a refusal before anything is looked up.

    An earlier call with the same key may have run through another host.
    """
    if call.key is not None and not call.claimed:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
