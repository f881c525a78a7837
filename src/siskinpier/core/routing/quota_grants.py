"""Credits that arrive, and the calls that waited for them."""

from math import inf

from ..cluster.quota_allocators import is_allocating
from ..cluster.quota_issuing import ANSWER_TIMEOUT_S, keep_transferred
from ..cluster.quota_shares import (
    avoid_allocator,
    request_credits,
    schedule_requests,
    send_credit_requests,
)
from ..effects import Effect
from ..messages import CreditGrant
from ..state import HostState
from .calls import ActiveCall, Stage
from .dispatch import dispatch_call
from .quota_credits import IDLE_S, RESERVE_IDLE_S, CreditAccount
from .quotas import (
    CREDIT_WAIT_S,
    refuse_over_quota,
    refuse_without_answer,
    resume_call,
    stop_waiting,
)
from .slot_notices import send_queued_notice
from .slots import grant_spare_slot


def handle_credit_grant(
    state: HostState, grant: CreditGrant, sender: str, now: float, out: list[Effect]
) -> None:
    """Keep the credits of an allocator, and send or refuse the calls that waited."""
    quotas = state.quotas
    if not grant.is_allocator:
        quotas.transfer_peers.discard(sender)
        avoid_allocator(state, sender, now)
        send_credit_requests(state, now, out)
        return
    if sender == quotas.asked:
        quotas.unanswered_since = None
    if is_allocating(state, now):
        keep_transferred(state, grant, sender, now, out)
        _release_own(state, now, out)
        return
    for name, credits, wait_s in grant.issued:
        account = quotas.accounts.get(name)
        if account is not None:
            account.keep(credits, wait_s, now)
            _release_waiting(state, account, wait_s, now, out)


def run_credit_requests(state: HostState, now: float, out: list[Effect]) -> None:
    """Send the requests that are due, and refuse calls that waited too long."""
    quotas = state.quotas
    quotas.timer_at = inf
    since = quotas.unanswered_since
    if since is not None and now - since >= ANSWER_TIMEOUT_S:
        avoid_allocator(state, quotas.asked, now)
    for name in sorted(quotas.waiting):
        # Credits of other calls that ended may have come back meanwhile.
        _release_waiting(state, quotas.accounts[name], 0.0, now, out)
        _expire_waiting(state, quotas.accounts[name], now, out)
    send_credit_requests(state, now, out)
    if is_allocating(state, now):
        # This host may have become the allocator while the calls waited.
        _release_own(state, now, out)
    if quotas.waiting:
        schedule_requests(state, now + ANSWER_TIMEOUT_S, out)


def return_idle_credits(state: HostState, now: float, out: list[Effect]) -> None:
    """Return reserves that were not used, and drop accounts without calls."""
    quotas = state.quotas
    for name, account in list(quotas.accounts.items()):
        idle_s = now - account.used_at
        if account.credits > 0 and idle_s > RESERVE_IDLE_S:
            request_credits(state, name, now, out)
        elif not account.waiting and not account.credits and idle_s > IDLE_S:
            del quotas.accounts[name]


def _release_own(state: HostState, now: float, out: list[Effect]) -> None:
    """Send or refuse the calls that wait here, at the allocator."""
    for name in sorted(state.quotas.waiting):
        account = state.quotas.accounts[name]
        _release_waiting(state, account, account.get_wait_s(now), now, out)


def _release_waiting(
    state: HostState,
    account: CreditAccount,
    wait_s: float,
    now: float,
    out: list[Effect],
) -> None:
    """Send the calls for which there are credits; refuse the others if none come."""
    for call_id in list(account.waiting):
        active = _find_waiting(state, account, call_id)
        if active is None:
            continue
        if account.take():
            stop_waiting(state, account, active)
            _resume(state, active, now, out)
        elif wait_s > 0.0:
            stop_waiting(state, account, active)
            refuse_over_quota(state, active, wait_s, now, out)


def _expire_waiting(
    state: HostState, account: CreditAccount, now: float, out: list[Effect]
) -> None:
    for call_id, since in list(account.waiting.items()):
        active = _find_waiting(state, account, call_id)
        if active is not None and now - since >= CREDIT_WAIT_S:
            stop_waiting(state, account, active)
            refuse_without_answer(state, active, "no-answer", now, out)


def _find_waiting(
    state: HostState, account: CreditAccount, call_id: str
) -> ActiveCall | None:
    """Return a call that still waits for a credit; forget it if it has ended."""
    active = state.calls.get(call_id)
    if active is not None and active.stage is Stage.ADMITTING:
        return active
    account.waiting.pop(call_id, None)
    if not account.waiting:
        state.quotas.waiting.discard(account.limit.name)
    return None


def _resume(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Dispatch a call that has its credit now."""
    resume_call(state, active, now)
    service = state.services.get(active.call.service)
    if service is None:
        return  # The deadline timer ends the call.
    if active.spare_only:
        grant_spare_slot(state, service, active, now, out)
        return
    dispatch_call(state, service, active, now, out)
    if active.holder:
        send_queued_notice(state, service, active, now, out)
