"""Retry and hedge budgets of a service, earned by its fresh calls.

The rule adds a slack, for all hosts together, which the homes share. Each home keeps
no more earned tokens than its share of the slack, and a new home starts with fewer,
because its predecessor may just have spent its own.

Each fresh call earns a share of a retry and of a hedge. It is counted once, at the host
whose budget pays for its retries: the first home asked for a slot, or its own host.
"""

from typing import Final

from ..cluster.placement import count_all_homes
from ..state import ServiceRuntime
from .calls import ActiveCall

# Share of the slack that the homes of a service together may keep, for retries and
# again for hedges.
MAX_SLACK_SHARE: Final = 0.2
# Share with which new homes together start. All homes may be replaced twice in the
# rule's window of ten seconds.
INITIAL_SLACK_SHARE: Final = 0.1
# With a smaller capacity a bucket could never hold the token of one retry.
MIN_CAPACITY_TOKENS: Final = 1.0


def assign_slack_share(service: ServiceRuntime, slack: float) -> None:
    """Give this host its share of the slack if it is a home, else empty its budgets."""
    homes = count_all_homes(service.intent, service.placement)
    for bucket in (service.retries, service.hedges):
        bucket.capacity = max(MIN_CAPACITY_TOKENS, slack * MAX_SLACK_SHARE / homes)
        if not service.owned:
            bucket.tokens = 0.0
            continue
        # Nothing is added to a share that the operator set as the limit of hedges.
        is_limited = bucket is service.hedges and service.limits_hedges
        if not service.was_home and not is_limited:
            bucket.tokens += slack * INITIAL_SLACK_SHARE / homes
        bucket.tokens = min(bucket.tokens, bucket.capacity)
    service.was_home = service.was_home or bool(service.owned)


def credit_budgets_once(service: ServiceRuntime, active: ActiveCall) -> None:
    """Credit the budgets for a fresh call, unless it was counted before."""
    if active.has_earned_budget:
        return
    active.has_earned_budget = True
    credit_budgets(service)


def credit_budgets(service: ServiceRuntime) -> None:
    """Add what one fresh call earns to the retry and hedge budgets."""
    service.retries.add(service.intent.retry_share)
    service.hedges.add(service.intent.hedge_share)
