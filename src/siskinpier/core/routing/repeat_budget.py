"""The budget of second sends of a service: what its fresh calls earn.

Each fresh call earns a share of a retry and of a hedge, once, at the host that pays
for its second sends: the home that is asked first for a slot, or its own host.
"""

from ..state import ServiceRuntime
from .calls import ActiveCall


def earn_shares(service: ServiceRuntime, active: ActiveCall) -> None:
    """Count a fresh call here, unless it was counted."""
    if active.has_earned:
        return
    active.has_earned = True
    add_shares(service)


def add_shares(service: ServiceRuntime) -> None:
    """Add what one fresh call earns."""
    service.retries.add(service.intent.retry_share)
    service.hedges.add(service.intent.hedge_share)
