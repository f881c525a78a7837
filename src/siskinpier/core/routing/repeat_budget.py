"""The budget of second sends of a service: what its fresh calls earn.

The rule adds a slack, for all hosts together. The homes share it: each keeps no more
of what was earned than its part, and a home that is new begins with less, since
what its predecessor held may just have been used.

Each fresh call earns a share of a retry and of a hedge, once, at the host that pays
for its second sends: the home that is asked first for a slot, or its own host.
"""

from typing import Final

from ..cluster.placement import count_all_homes
from ..state import ServiceRuntime
from .calls import ActiveCall

# Parts of the slack that the homes of a service may keep, for retries and for hedges.
KEPT_PART: Final = 0.2
# Parts with which they begin. All homes may be new twice in the rule's ten seconds.
FIRST_PART: Final = 0.1
# With less kept, what calls earn would never make up a second send.
KEPT_LEAST: Final = 1.0


def share_slack(service: ServiceRuntime, slack: float) -> None:
    """Give a host its part of the slack if it is a home now, else nothing."""
    homes = count_all_homes(service.intent, service.placement)
    for bucket in (service.retries, service.hedges):
        bucket.capacity = max(KEPT_LEAST, slack * KEPT_PART / homes)
        if not service.owned:
            bucket.tokens = 0.0
            continue
        if not service.was_home:
            bucket.tokens += slack * FIRST_PART / homes
        bucket.tokens = min(bucket.tokens, bucket.capacity)
    service.was_home = service.was_home or bool(service.owned)


def earn_shares(service: ServiceRuntime, active: ActiveCall) -> None:
    """Count a fresh call here, unless it was counted."""
    if active.has_earned_budget:
        return
    active.has_earned_budget = True
    add_shares(service)


def add_shares(service: ServiceRuntime) -> None:
    """Add what one fresh call earns."""
    service.retries.add(service.intent.retry_share)
    service.hedges.add(service.intent.hedge_share)
