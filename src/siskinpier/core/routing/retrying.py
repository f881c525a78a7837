"""Another attempt of a call, within the budget of its service."""

from ..effects import AbandonAttempt, Effect, LogDecision
from ..state import HostState, ServiceRuntime
from ..verdict import Verdict, is_retry_safe
from .attempts import release
from .calls import ActiveCall
from .dispatch import has_other_target, place_call
from .quarantine import is_quarantined


def note_verdict(active: ActiveCall, verdict: Verdict) -> None:
    """Keep that an attempt may have run."""
    if verdict is not Verdict.NOT_RUN:
        active.worst = verdict


def try_again(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    verdict: Verdict,
    reason: str,
    now: float,
    out: list[Effect],
) -> bool:
    """Start another attempt and return True, or return False."""
    note_verdict(active, verdict)
    if not is_retry_safe(verdict, idempotent=active.idempotent):
        return False
    if active.call.hops > 0:
        # The first host of a call retries it, lest the tries of two multiply.
        return False
    if not active.call.replayable or len(active.attempts) >= active.attempts_limit:
        return False
    if is_quarantined(state, active.call, now):
        return False
    if not has_other_target(state, service, active, now):
        return False
    if now >= active.call.deadline:
        return False
    # Where another host grants slots, it holds the budget too.
    is_own_budget = bool(service.owned) or not state.settings.grants_slots
    if is_own_budget and active.has_been_sent() and not service.retries.take(now):
        return False
    attempt = active.attempt
    if attempt is not None:
        release(service, attempt, out)
        out.append(AbandonAttempt(call_id=active.call.call_id, attempt=attempt.number))
    out.append(
        LogDecision(
            event="retry",
            fields={
                "call": active.call.call_id,
                "reason": reason,
                "verdict": verdict,
            },
        )
    )
    active.refused_by.clear()
    active.without_spare.clear()
    place_call(state, service, active, now, out)
    return True
