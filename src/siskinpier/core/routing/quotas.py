"""Admission of calls by the quota of their workspace.

A call is admitted by the host that decides on its first send: the home that grants its
slot, or its own host if it reaches no home. It takes a credit of the reserve, or waits
for one from the allocator of the failure domain (`cluster.quota_shares`), for at most
`CREDIT_WAIT_S`. Retries and hedges take none.
"""

from typing import Final

from ..cluster.quota_allocators import is_allocating, sync_quotas
from ..cluster.quota_issuing import ANSWER_TIMEOUT_S
from ..cluster.quota_shares import (
    has_allocator,
    request_credits,
    schedule_requests,
)
from ..effects import Effect, LogDecision
from ..problems import make_quota_exceeded, make_quota_unknown
from ..state import HostState
from ..verdict import Problem
from .attempts import restore_deadline_timer
from .calls import ActiveCall, Stage
from .quota_credits import CreditAccount, compute_credit_lifetime_s
from .refusals import refuse_call, remove_call

# How long a call waits for a credit, in seconds; the holder of the call asks another
# home after 0.08 s without an answer.
CREDIT_WAIT_S: Final = 2 * ANSWER_TIMEOUT_S
# When to come back where no host issues credits: a new allocator begins within this
# time of its first live view.
NO_ALLOCATOR_RETRY_S: Final = 0.5


def admit_call(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> bool:
    """Return True if a call may be sent; else it waits for a credit or is refused."""
    account = _find_account(state, active)
    if account is None:
        return True
    account.count_call(now)
    if account.waiting:
        _wait_for_credit(state, account, active, now, out)
        return False
    if account.take():
        _admit(state, active, now)
        if account.credits < account.count_wanted(now) / 2:
            request_credits(state, active.workspace, now, out)
        return True
    if now < account.refused_until:
        refuse_over_quota(state, active, account.refused_until - now, now, out)
        return False
    if not has_allocator(state, now):
        refuse_without_answer(state, active, "no-allocator", now, out)
        return False
    _wait_for_credit(state, account, active, now, out)
    if not is_allocating(state, now):
        return False
    # This host issued the credits itself, unless it asks other failure domains.
    if account.take():
        stop_waiting(state, account, active)
        resume_call(state, active, now)
        return True
    if account.get_wait_s(now) > 0.0:
        stop_waiting(state, account, active)
        refuse_over_quota(state, active, account.get_wait_s(now), now, out)
    elif not state.quotas.buckets[active.workspace].can_issue():
        stop_waiting(state, account, active)
        refuse_without_answer(state, active, "no-allocator", now, out)
    return False


def renew_credit(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> bool:
    """Take another credit for a call that waited so long that its first one lapsed.

    Return False if the call must wait for it, or is refused.
    """
    limit = state.quotas.find_limit(active.workspace)
    if active.credit_at is None or limit is None:
        return True
    if now - active.credit_at <= compute_credit_lifetime_s(limit):
        return True
    active.credit_at = None
    return admit_call(state, active, now, out)


def resume_call(state: HostState, active: ActiveCall, now: float) -> None:
    """Record that a call which waited has its credit."""
    active.stage = Stage.QUEUED
    _admit(state, active, now)


def refuse_over_quota(
    state: HostState,
    active: ActiveCall,
    retry_after_s: float,
    now: float,
    out: list[Effect],
) -> None:
    """Refuse a call beyond the quota of its workspace."""
    problem = make_quota_exceeded(round(retry_after_s, 3))
    _refuse(state, active, problem, "used-up", now, out)


def refuse_without_answer(
    state: HostState, active: ActiveCall, reason: str, now: float, out: list[Effect]
) -> None:
    """Refuse a call because no allocator has said whether its quota is used up."""
    problem = make_quota_unknown(NO_ALLOCATOR_RETRY_S)
    _refuse(state, active, problem, reason, now, out)


def _refuse(
    state: HostState,
    active: ActiveCall,
    problem: Problem,
    reason: str,
    now: float,
    out: list[Effect],
) -> None:
    state.quotas.refused += 1
    fields: dict[str, object] = {
        "call": active.call.call_id,
        "service": active.call.service,
        "workspace": active.workspace,
        "reason": reason,
        "retry_after_s": problem.retry_after_s,
        "waited_s": round(now - active.arrived, 4),
    }
    out.append(LogDecision(event="quota", fields=fields))
    remove_call(state, active, out)
    refuse_call(active, problem, out)


def stop_waiting(state: HostState, account: CreditAccount, active: ActiveCall) -> None:
    """Remove a call from those that wait for credits."""
    account.waiting.pop(active.call.call_id, None)
    if not account.waiting:
        state.quotas.waiting.discard(active.workspace)


def _find_account(state: HostState, active: ActiveCall) -> CreditAccount | None:
    """Return the account that a call takes a credit from; None if it needs none."""
    if not active.workspace or not state.settings.grants_slots:
        return None
    if active.credit_at is not None or active.is_retry or active.has_been_sent():
        return None
    quotas = sync_quotas(state)
    limit = quotas.find_limit(active.workspace)
    if limit is None:
        return None
    account = quotas.accounts.get(active.workspace)
    if account is None:
        account = quotas.accounts[active.workspace] = CreditAccount(limit=limit)
    return account


def _admit(state: HostState, active: ActiveCall, now: float) -> None:
    active.credit_at = now
    state.quotas.admitted += 1


def _wait_for_credit(
    state: HostState,
    account: CreditAccount,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    active.stage = Stage.ADMITTING
    restore_deadline_timer(active, out)
    account.waiting[active.call.call_id] = now
    state.quotas.waiting.add(active.workspace)
    request_credits(state, active.workspace, now, out)
    schedule_requests(state, now + CREDIT_WAIT_S, out)
