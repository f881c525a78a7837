"""Which entry hosts the callers of a virtual host are led to.

Callers pick one of the addresses at random, so a host that should get more of
them is no stronger in the list than another; the list itself is what steers.
"""

from typing import Final

from .addresses import AddressAnswer
from .cluster import get_live_hosts
from .state import HostState

# Fewer hosts of the caller's own failure domain than this are too few.
FEWEST_NEAR: Final = 2
KEEP_S: Final = 2.0


def choose_addresses(
    state: HostState, *, virtual_host: str, failure_domain: str, now: float
) -> AddressAnswer | None:
    """Return the hosts of the caller's failure domain, or all where few live."""
    hosts = get_live_hosts(state, now)
    if not hosts:
        return None
    near = [host for host in hosts if host.failure_domain == failure_domain]
    chosen = near if len(near) >= FEWEST_NEAR else hosts
    return AddressAnswer(
        service=virtual_host,
        addresses=tuple(_get_address(state, host.name) for host in chosen),
        keep_s=min(KEEP_S, state.settings.address_ttl_s),
        revision=state.intents.revision,
    )


def _get_address(state: HostState, name: str) -> str:
    if name == state.identity.name:
        return state.identity.callers
    return state.members[name].callers
