"""Credits of workspace quotas that an allocator issues.

An allocator whose domain needs more than its share asks those of the other domains for
what they can spare. Calls wait for the answers.
"""

from typing import Final

from ..effects import Effect, SendMessage, SetTimer
from ..messages import CreditGrant, CreditRequest, CreditWant, IssuedCredits
from ..routing.budgets import TokenBucket
from ..routing.quota_credits import (
    OWN_DEMAND_S,
    CreditBucket,
    QuotaState,
    compute_reserve_limit,
)
from ..state import HostState
from ..timers import CreditTransferDue
from .members import Member
from .quota_allocators import (
    find_allocator,
    is_allocating,
    order_domains,
    sync_quotas,
)

# Least time between two requests to other domains, in seconds.
TRANSFER_INTERVAL_S: Final = 0.2
# Time within which an allocator must answer, and how long one that does not, or that
# issues no credits, is not asked, in seconds.
ANSWER_TIMEOUT_S: Final = 0.03
UNAVAILABLE_S: Final = 1.0
# Credits of a new allocator, so that small workspaces are served at once after a
# restart of the whole fleet. The rule has room for 7 more than the other parts need.
INITIAL_TOKENS: Final = 2.0


def handle_credit_request(
    state: HostState,
    request: CreditRequest,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Issue credits to a host, or say that this host does not issue any."""
    member = state.members.get(sender)
    if member is None:
        return
    sync_quotas(state)
    answer = CreditGrant(issued=(), is_allocator=False)
    if is_allocating(state, now):
        is_local = member.failure_domain == state.identity.failure_domain
        answers = [
            issue_credits(state, want, sender, now, out, is_local=is_local)
            for want in request.wants
        ]
        answer = CreditGrant(
            issued=tuple(issued for issued in answers if issued is not None),
            is_allocator=True,
        )
    out.append(SendMessage(host=sender, address=member.peers, message=answer))


def issue_credits(
    state: HostState,
    want: CreditWant,
    sender: str,
    now: float,
    out: list[Effect],
    *,
    is_local: bool,
) -> IssuedCredits | None:
    """Issue credits; hosts of other domains get what this domain does not need.

    Return None if this host does not know the quota yet, or its part of it is less than
    one credit: it says nothing of the quota then, so that the calls which wait are not
    refused as beyond it.
    """
    name, waiting, reserve, arrived, held, returned = want
    bucket = _get_bucket(state, name, now)
    if bucket is None:
        return None
    if returned > 0:
        bucket.bucket.add(float(returned))
    if not is_local:
        kept = bucket.demand.get_rate(now) * OWN_DEMAND_S
        issued = bucket.issue(waiting, kept)
        return name, issued, bucket.get_wait_s() if issued < waiting else 0.0
    bucket.count_calls(sender, arrived, now)
    if waiting > 0 and not bucket.can_issue():
        return None
    issued = bucket.issue(waiting)
    wait_s = 0.0
    if issued < waiting:
        wait_s = _get_wait_s(state, bucket, now)
        if wait_s == 0.0:
            # Other domains are asked now; the host is answered when they were.
            bucket.add_pending(sender, waiting - issued, now)
    elif reserve > 0:
        quotas = state.quotas
        limit = quotas.limits[name]
        most = compute_reserve_limit(limit, quotas.share, bucket.hosts)
        issued += bucket.issue(min(reserve, most - held))
    if bucket.count_missing(now) >= 1:
        _schedule_transfer(state, name, now, out)
    return name, issued, round(wait_s, 4)


def keep_transferred(
    state: HostState, grant: CreditGrant, sender: str, now: float, out: list[Effect]
) -> None:
    """Add credits of another domain to those that this host issues, and issue them.

    This host's own calls are left to the caller, which must release them.
    """
    quotas = state.quotas
    quotas.transfer_peers.discard(sender)
    for name, credits, _ in grant.issued:
        bucket = _get_bucket(state, name, now)
        if bucket is not None:
            bucket.drop_expired(now)
            bucket.bucket.add(float(credits))
    is_last = not quotas.transfer_peers
    for name, _, _ in grant.issued:
        bucket = quotas.buckets.get(name)
        answers = bucket.issue_pending(is_last=is_last) if bucket is not None else []
        for host, credits, wait_s in answers:
            _answer(state, host, (name, credits, round(wait_s, 4)), now, out)


def send_transfer_requests(state: HostState, now: float, out: list[Effect]) -> None:
    """Ask the allocators of the other domains for the credits that this one lacks."""
    quotas = state.quotas
    quotas.is_transfer_timer_set = False
    peers = _list_remote_allocators(state, now)
    names, quotas.to_transfer = sorted(quotas.to_transfer), set()
    if not peers or not is_allocating(state, now):
        return
    wants: dict[str, list[CreditWant]] = {member.name: [] for member in peers}
    for name in names:
        bucket = quotas.buckets.get(name)
        missing = bucket.count_missing(now) if bucket is not None else 0
        for number, member in enumerate(_rotate(peers, quotas.transfers)):
            part = (missing + number) // len(peers)
            if part >= 1:
                wants[member.name].append((name, part, 0, 0, 0, 0))
    quotas.transferred_at = now
    quotas.transfers += 1
    quotas.transfer_peers = {name for name, parts in wants.items() if parts}
    for member in peers:
        if wants[member.name]:
            message = CreditRequest(wants=tuple(wants[member.name]))
            out.append(
                SendMessage(host=member.name, address=member.peers, message=message)
            )


def keep_issued(quotas: QuotaState, issued: IssuedCredits, now: float) -> None:
    """Add credits to the account of a workspace."""
    name, credits, wait_s = issued
    account = quotas.accounts.get(name)
    if account is not None:
        account.keep(credits, wait_s, now)


def _answer(
    state: HostState, host: str, issued: IssuedCredits, now: float, out: list[Effect]
) -> None:
    if host == state.identity.name:
        keep_issued(state.quotas, issued, now)
        return
    member = state.members.get(host)
    if member is not None:
        message = CreditGrant(issued=(issued,), is_allocator=True)
        out.append(SendMessage(host=host, address=member.peers, message=message))


def _rotate(members: list[Member], first: int) -> list[Member]:
    first %= max(1, len(members))
    return [*members[first:], *members[:first]]


def _get_wait_s(state: HostState, bucket: CreditBucket, now: float) -> float:
    """Return the time until a credit may come; 0 if other domains can be asked now."""
    wait_s = bucket.get_wait_s()
    if bucket.bucket.capacity < 1.0 or not _list_remote_allocators(state, now):
        return wait_s
    since_s = now - state.quotas.transferred_at
    if bucket.pending and state.quotas.transfer_peers and since_s < ANSWER_TIMEOUT_S:
        return 0.0
    due_s = TRANSFER_INTERVAL_S - since_s
    return min(wait_s, max(0.0, due_s))


def _schedule_transfer(
    state: HostState, name: str, now: float, out: list[Effect]
) -> None:
    quotas = state.quotas
    quotas.to_transfer.add(name)
    if quotas.is_transfer_timer_set:
        return
    due = quotas.transferred_at + TRANSFER_INTERVAL_S
    if now >= due:
        send_transfer_requests(state, now, out)
        return
    quotas.is_transfer_timer_set = True
    out.append(SetTimer(timer=CreditTransferDue(), at=due))


def _get_bucket(state: HostState, name: str, now: float) -> CreditBucket | None:
    """Return the bucket of a quota, as full as it is since this host issues credits."""
    quotas = state.quotas
    limit = quotas.limits.get(name)
    if limit is None or quotas.allocating_since is None:
        return None
    bucket = quotas.buckets.get(name)
    if bucket is None:
        tokens = TokenBucket(rate=0.0, capacity=0.0, updated=now)
        bucket = quotas.buckets[name] = CreditBucket(bucket=tokens)
        bucket.update(limit, quotas.share, quotas.homes, now)
        earned = (now - quotas.allocating_since) * tokens.rate
        tokens.add(INITIAL_TOKENS + earned)
    bucket.update(limit, quotas.share, quotas.homes, now)
    return bucket


def _list_remote_allocators(state: HostState, now: float) -> list[Member]:
    names = [find_allocator(state, domain, now) for domain in order_domains(state)[1:]]
    return [state.members[name] for name in names if name is not None]
