"""Retries of calls, within the retry budget of their service."""

from ..effects import AbandonAttempt, Effect, LogDecision
from ..state import HostState, ServiceRuntime
from ..verdict import Verdict, is_retry_safe
from .attempts import release_slot
from .calls import ActiveCall, Attempt
from .dispatch import dispatch_call, has_untried_target
from .quarantine import is_quarantined
from .workspaces import find_key_refusal


def record_verdict(active: ActiveCall, verdict: Verdict) -> None:
    """Record the verdict of an attempt that may have run."""
    if verdict is not Verdict.NOT_RUN:
        active.worst_verdict = verdict


def _is_gateway_lost(state: HostState, attempt: Attempt | None) -> bool:
    """Return True if a forward by this isolated host did not reach the other host.

    It counts towards no limit, as it did not reach a backend server.
    """
    if attempt is None or not state.settings.grants_slots:
        return False
    return attempt.is_forward and attempt.is_unreachable


def retry_if_allowed(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    verdict: Verdict,
    reason: str,
    now: float,
    out: list[Effect],
) -> bool:
    """Retry the call if that is allowed; return True if a retry was started."""
    record_verdict(active, verdict)
    if not is_retry_safe(verdict, idempotent=active.idempotent):
        return False
    attempt = active.attempt
    is_gateway_lost = _is_gateway_lost(state, attempt)
    if state.settings.grants_slots:
        # The host that a call was forwarded to retries it.
        if attempt is not None and attempt.is_forward and not is_gateway_lost:
            return False
    elif active.call.hops > 0:
        # Only the first host of a call retries it, so that retries do not multiply.
        return False
    if not active.call.replayable:
        return False
    if not is_gateway_lost and len(active.attempts) >= active.attempts_limit:
        return False
    if is_quarantined(state, active.call, now):
        return False
    if state.intents.requires_keys and find_key_refusal(state, active, now):
        return False
    if not is_gateway_lost and not has_untried_target(state, service, active, now):
        return False
    if now >= active.call.deadline:
        return False
    # Where another host grants slots, that host also charges the budget.
    is_charged_here = bool(service.owned) or not state.settings.grants_slots
    if is_charged_here and active.has_been_sent() and not service.retries.take(now):
        return False
    if attempt is not None:
        release_slot(service, attempt, out)
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
    active.homes_without_spare.clear()
    dispatch_call(state, service, active, now, out)
    return True
