"""Credits of workspace quotas: how many exist, and who may hold them.

A call of a workspace with a quota takes one credit when it is admitted. In each failure
domain one host, the allocator, issues credits from a bucket that holds the domain's
share of the rate; the shares of all domains add up to one, whoever can reach whom.
Other hosts hold a bounded reserve of credits. The rule for R calls a second and a burst
of B is at most 1.1 (5 R + B) + 20 calls in any 5 s. The parts of it:

- 5 R;
- the credits in all buckets and reserves, B / 2 + max(B / 2, 6, R / 5) + R / 10 + 10;
- calls that took a credit earlier and waited in a queue, R / 2 + 3.
"""

from dataclasses import dataclass, field
from math import ceil, floor, inf
from typing import Final

from ..configuration.intents import Workspace
from .budgets import RateMeter, TokenBucket

# Credits of all allocators and reserves together, beside the burst: seconds of the
# rate, and a number.
POOL_S: Final = 0.1
POOL_CREDITS: Final = 10.0
# Least part of them that takes the place of half of the burst, in seconds of the rate
# and in credits. With less, a domain that gets all the calls could not take over the
# credits of the others between two transfers.
MIN_BUCKET_S: Final = 0.2
MIN_BUCKET_CREDITS: Final = 6.0
# Share of these credits that hosts hold as reserves.
RESERVE_SHARE: Final = 0.5
# A credit taken this long ago, in seconds of the rate and in credits, counts no more.
QUEUED_S: Final = 0.5
QUEUED_CREDITS: Final = 3.0
# A host keeps a reserve for the calls of this time, in seconds, and returns one that
# was not used for so long.
RESERVE_TARGET_S: Final = 1.0
RESERVE_IDLE_S: Final = 2.0
# Accounts and buckets without calls for this time, in seconds, are dropped.
IDLE_S: Final = 5.0
# Credits that an allocator keeps from other domains, as seconds of its own demand.
OWN_DEMAND_S: Final = 0.3
# Time constant of the demand of a workspace, in seconds.
DEMAND_TIME_CONSTANT_S: Final = 1.0
MIN_WAIT_S: Final = 0.02
# Calls wait for credits of other domains for at most 0.06 s.
PENDING_LIFETIME_S: Final = 0.1
MAX_WAIT_S: Final = 30.0


def compute_reserve_limit(limit: Workspace, share: float, hosts: int) -> int:
    """Return the reserve that each of `hosts` may hold of a `share` of the quota."""
    return floor(RESERVE_SHARE * _compute_pool(limit) * share / max(1, hosts))


def compute_bucket_capacity(limit: Workspace, share: float, hosts: int) -> float:
    """Return the credits that the allocator of `hosts` may hold.

    It holds what their reserves leave, which is all of it for a small quota.
    """
    reserved = hosts * compute_reserve_limit(limit, share, hosts)
    return _compute_pool(limit) * share - reserved


def _compute_pool(limit: Workspace) -> float:
    """Return the credits that may exist at a time, issued or not."""
    half = limit.burst / 2
    least = max(MIN_BUCKET_CREDITS, MIN_BUCKET_S * limit.requests_per_s)
    return half + max(half, least) + POOL_S * limit.requests_per_s + POOL_CREDITS


def compute_credit_lifetime_s(limit: Workspace) -> float:
    """Return how long a call may wait in a queue on the credit that it took."""
    return QUEUED_S + QUEUED_CREDITS / limit.requests_per_s


def make_demand_meter() -> RateMeter:
    """Return a meter of the calls a second of a workspace."""
    return RateMeter(time_constant_s=DEMAND_TIME_CONSTANT_S)


@dataclass(slots=True, kw_only=True)
class CreditAccount:
    """The credits of one workspace at a host that admits its calls.

    `waiting` maps the calls that wait for credits to the time since when they do.
    `refused_until` is when the allocator expects the next credit.
    """

    limit: Workspace
    credits: int = 0
    used_at: float = 0.0
    demand: RateMeter = field(default_factory=make_demand_meter)
    # Calls since the last request for credits.
    arrived: int = 0
    waiting: dict[str, float] = field(default_factory=dict)
    refused_until: float = 0.0

    def count_call(self, now: float) -> None:
        """Count a call that asks for a credit."""
        self.arrived += 1
        self.demand.count(now)
        self.used_at = now

    def take(self) -> bool:
        """Take a credit; return False if none is held."""
        if self.credits < 1:
            return False
        self.credits -= 1
        return True

    def keep(self, credits: int, wait_s: float, now: float) -> None:
        """Keep issued credits; with a `wait_s` no more come until then."""
        self.credits += credits
        if wait_s > 0.0:
            self.refused_until = now + wait_s

    def get_wait_s(self, now: float) -> float:
        """Return the time until the allocator expects the next credit, in seconds."""
        return max(0.0, self.refused_until - now)

    def take_idle(self, now: float) -> int:
        """Take the whole reserve if it was not used for a time, to return it."""
        if self.waiting or now - self.used_at <= RESERVE_IDLE_S:
            return 0
        returned, self.credits = self.credits, 0
        return returned

    def count_wanted(self, now: float) -> int:
        """Return the reserve that this host's demand justifies, in credits."""
        return round(self.demand.get_rate(now) * RESERVE_TARGET_S)


@dataclass(slots=True, kw_only=True)
class CreditBucket:
    """The credits of one workspace that an allocator has not issued yet."""

    bucket: TokenBucket
    demand: RateMeter = field(default_factory=make_demand_meter)
    # Hosts of this domain that asked for credits, with the time.
    clients: dict[str, float] = field(default_factory=dict)
    # Credits that hosts of this domain wait for while other domains are asked.
    pending: dict[str, int] = field(default_factory=dict)
    # When the first of them began to wait, seconds.
    pending_since: float = 0.0
    used_at: float = 0.0
    # Hosts of this domain that may hold a reserve.
    hosts: int = 1

    def update(self, limit: Workspace, share: float, hosts: int, now: float) -> None:
        """Set rate and capacity for a `share` of a quota that `hosts` use."""
        self.bucket.refill(now)
        self.bucket.rate = limit.requests_per_s * share
        self.hosts = max(hosts, len(self.clients))
        self.bucket.capacity = compute_bucket_capacity(limit, share, self.hosts)
        self.bucket.tokens = min(self.bucket.tokens, self.bucket.capacity)

    def count_calls(self, client: str, calls: int, now: float) -> None:
        """Count the calls of a host of this domain; forget hosts that are idle."""
        self.used_at = now
        self.demand.count(now, float(calls))
        self.clients[client] = now
        for name, asked_at in list(self.clients.items()):
            if now - asked_at > IDLE_S:
                del self.clients[name]

    def issue(self, wanted: int, kept: float = 0.0) -> int:
        """Issue up to `wanted` credits, and leave `kept` of them."""
        issued = max(0, min(wanted, floor(self.bucket.tokens - kept)))
        self.bucket.tokens -= issued
        self.bucket.taken += issued
        return issued

    def can_issue(self) -> bool:
        """Return False if a share of the quota is too small to hold one credit."""
        return self.bucket.capacity >= 1.0

    def get_wait_s(self) -> float:
        """Return the time until the next credit, in seconds."""
        missing = max(0.0, 1.0 - self.bucket.tokens)
        if self.bucket.rate <= 0.0 or not self.can_issue():
            return MAX_WAIT_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, missing / self.bucket.rate))

    def add_pending(self, host: str, wanted: int, now: float) -> None:
        """Record that a host waits for credits of other domains."""
        self.drop_expired(now)
        if not self.pending:
            self.pending_since = now
        self.pending[host] = max(self.pending.get(host, 0), wanted)

    def drop_expired(self, now: float) -> None:
        """Forget hosts whose calls do not wait any more.

        Otherwise an answer that is lost would have credits of other domains requested
        for nobody.
        """
        if now - self.pending_since > PENDING_LIFETIME_S:
            self.pending.clear()

    def count_missing(self, now: float) -> int:
        """Return the credits that the demand before the next transfer lacks."""
        self.drop_expired(now)
        expected = max(1.0, self.demand.get_rate(now) * OWN_DEMAND_S)
        missing = ceil(expected - self.bucket.tokens) + sum(self.pending.values())
        room = self.bucket.capacity - self.bucket.tokens
        return max(0, min(floor(room), missing))

    def issue_pending(self, *, is_last: bool) -> list[tuple[str, int, float]]:
        """Issue credits to the hosts that wait for other domains' credits.

        Return each host with its credits and the time until the next one. With
        `is_last` no more credits come, and all hosts are answered.
        """
        answers: list[tuple[str, int, float]] = []
        for host, wanted in list(self.pending.items()):
            issued = self.issue(wanted)
            self.pending[host] -= issued
            is_answered = issued == wanted or is_last
            if is_answered:
                del self.pending[host]
            if issued or is_answered:
                wait_s = self.get_wait_s() if is_last and issued < wanted else 0.0
                answers.append((host, issued, wait_s))
        return answers


def _has_equal_quota(one: Workspace, other: Workspace) -> bool:
    return (one.requests_per_s, one.burst) == (other.requests_per_s, other.burst)


@dataclass(slots=True, kw_only=True)
class QuotaState:
    """What this host knows of quotas: its own credits, and those it allocates.

    `ranked` holds the hosts of each failure domain, the first live one of which is its
    allocator. This host is first in its domain since `first_since`, and issues the
    `share` of each quota.
    """

    workspaces: tuple[Workspace, ...] = ()
    limits: dict[str, Workspace] = field(default_factory=dict)
    accounts: dict[str, CreditAccount] = field(default_factory=dict)
    buckets: dict[str, CreditBucket] = field(default_factory=dict)
    ranked: dict[str, list[str]] = field(default_factory=dict)
    # Time of the current event, seconds.
    now: float = 0.0
    homes: int = 1
    share: float = 0.0
    first_since: float | None = None
    checked_at: float = -inf
    # Since when this host issues credits; None if it does not.
    allocating_since: float | None = None
    # Allocators that did not answer, or are none, are not asked before these times.
    unavailable_until: dict[str, float] = field(default_factory=dict)
    # Workspaces to request credits for with the next request.
    to_request: set[str] = field(default_factory=set)
    requested_at: float = 0.0
    # The allocator that the last request went to, and since when it owes an answer.
    asked: str = ""
    unanswered_since: float | None = None
    # Workspaces with calls that wait for credits.
    waiting: set[str] = field(default_factory=set)
    # When the timer of the requests is due; infinity if it is not set.
    timer_at: float = inf
    # Workspaces for which other domains are asked for credits.
    to_transfer: set[str] = field(default_factory=set)
    # Hosts that have not answered the last request to other domains.
    transfer_peers: set[str] = field(default_factory=set)
    transferred_at: float = 0.0
    transfers: int = 0
    is_transfer_timer_set: bool = False
    admitted: int = 0
    refused: int = 0
    returned: int = 0

    def find_limit(self, workspace: str) -> Workspace | None:
        """Return the quota of a workspace, or None if it has none."""
        return self.limits.get(workspace) if workspace else None

    def return_credit(self, workspace: str, taken_at: float) -> None:
        """Put the credit of a call that was not sent back into the reserve.

        A lapsed credit is dropped: others were issued since then, so it would come on
        top of what the rule allows.
        """
        account = self.accounts.get(workspace)
        limit = self.limits.get(workspace)
        if account is None or limit is None:
            return
        if self.now - taken_at <= compute_credit_lifetime_s(limit):
            account.credits += 1
            self.returned += 1

    def set_workspaces(self, workspaces: tuple[Workspace, ...]) -> None:
        """Put other quotas in force; reserves of changed quotas are dropped."""
        self.workspaces = workspaces
        self.limits = {w.name: w for w in workspaces if w.requests_per_s > 0.0}
        for name, account in list(self.accounts.items()):
            limit = self.limits.get(name)
            if limit is None:
                if not account.waiting:
                    del self.accounts[name]
            elif not _has_equal_quota(limit, account.limit):
                account.limit = limit
                account.credits = 0
                account.refused_until = 0.0
        for name in self.buckets.keys() - self.limits.keys():
            del self.buckets[name]
