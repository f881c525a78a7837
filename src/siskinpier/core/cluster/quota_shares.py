"""Requests for credits of workspace quotas, from the hosts that admit calls.

A host asks the allocator of its own failure domain, and those of the others while its
own does not answer. An allocator that admits calls itself issues to itself.
"""

from typing import Final

from ..effects import Effect, SendMessage, SetTimer
from ..messages import CreditRequest, CreditWant
from ..routing.quota_credits import QuotaState
from ..state import HostState
from ..timers import CreditsDue
from .members import Member
from .quota_allocators import find_allocator, is_allocating, order_domains
from .quota_issuing import (
    ANSWER_TIMEOUT_S,
    UNAVAILABLE_S,
    issue_credits,
    keep_issued,
)

# Least time between two requests, in seconds: if calls wait for credits, and if only a
# reserve is refilled.
URGENT_INTERVAL_S: Final = 0.005
RESERVE_INTERVAL_S: Final = 0.1


def request_credits(
    state: HostState, workspace: str, now: float, out: list[Effect]
) -> None:
    """Request credits for the calls that wait, and for the reserve."""
    state.quotas.to_request.add(workspace)
    send_credit_requests(state, now, out)


def send_credit_requests(state: HostState, now: float, out: list[Effect]) -> None:
    """Request the outstanding credits now, or as soon as the next request is due."""
    quotas, own = state.quotas, state.identity.name
    if not quotas.to_request:
        return
    if is_allocating(state, now):
        for want in _take_wants(quotas, now):
            issued = issue_credits(state, want, own, now, out, is_local=True)
            if issued is not None:
                keep_issued(quotas, issued, now)
        return
    is_urgent = not quotas.waiting.isdisjoint(quotas.to_request)
    interval_s = URGENT_INTERVAL_S if is_urgent else RESERVE_INTERVAL_S
    if now < quotas.requested_at + interval_s:
        schedule_requests(state, quotas.requested_at + interval_s, out)
        return
    member = _choose_allocator(state, now)
    if member is None:
        return
    quotas.requested_at = now
    message = CreditRequest(wants=_take_wants(quotas, now))
    out.append(SendMessage(host=member.name, address=member.peers, message=message))
    if is_urgent and (quotas.unanswered_since is None or quotas.asked != member.name):
        quotas.unanswered_since = now
        schedule_requests(state, now + ANSWER_TIMEOUT_S, out)
    quotas.asked = member.name


def schedule_requests(state: HostState, at: float, out: list[Effect]) -> None:
    """Set the timer of the requests, unless it is due earlier."""
    if at < state.quotas.timer_at:
        state.quotas.timer_at = at
        out.append(SetTimer(timer=CreditsDue(), at=at))


def has_allocator(state: HostState, now: float) -> bool:
    """Return True if an allocator is left to ask for credits."""
    return is_allocating(state, now) or _choose_allocator(state, now) is not None


def avoid_allocator(state: HostState, host: str, now: float) -> None:
    """Ask others for a time, and request the credits again that calls wait for."""
    quotas = state.quotas
    quotas.unavailable_until[host] = now + UNAVAILABLE_S
    quotas.unanswered_since = None
    quotas.requested_at = 0.0
    quotas.to_request |= quotas.waiting


def _take_wants(quotas: QuotaState, now: float) -> tuple[CreditWant, ...]:
    """Return what to request, and forget it as a request to come."""
    names, quotas.to_request = sorted(quotas.to_request), set()
    wants: list[CreditWant] = []
    for name in names:
        account = quotas.accounts.get(name)
        if account is None:
            continue
        returned = account.take_idle(now)
        wanted = account.count_wanted(now) - account.credits if not returned else 0
        wants.append(
            (
                name,
                len(account.waiting),
                max(0, wanted),
                account.arrived,
                account.credits,
                returned,
            )
        )
        account.arrived = 0
    return tuple(wants)


def _choose_allocator(state: HostState, now: float) -> Member | None:
    """Return the allocator of this domain, else one of another, that may answer."""
    quotas = state.quotas
    own = state.identity
    for domain in order_domains(state):
        name = find_allocator(state, domain, now)
        if name is None or name == own.name:
            continue
        if quotas.unavailable_until.get(name, 0.0) <= now:
            return state.members[name]
    return None
