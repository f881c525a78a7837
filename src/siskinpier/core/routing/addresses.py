"""Addresses of the entry hosts that the callers of a service should use."""

from dataclasses import dataclass
from typing import Final

from ..cluster.placement import order_homes
from ..cluster.views import list_serving_hosts
from ..state import HostState

# Each TTL is shortened at random by up to this share.
ADDRESS_TTL_JITTER_SHARE: Final = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressAnswer:
    """Addresses in the order in which to try them, and their TTL `keep_s` in seconds.

    `revision` is that of the routing intents from which the answer was made.
    """

    service: str
    addresses: tuple[str, ...]
    keep_s: float
    revision: int


def get_addresses(
    state: HostState, service: str, failure_domain: str, caller_key: str, now: float
) -> AddressAnswer | None:
    """Return the live home hosts of a service, or None if it is not declared."""
    runtime = state.services.get(service)
    if runtime is None:
        return None
    names = order_homes(runtime.placement, failure_domain, caller_key)
    live = {host.name for host in list_serving_hosts(state, now)}
    addresses = tuple(_get_address(state, name) for name in names if name in live)
    jitter = 1.0 - ADDRESS_TTL_JITTER_SHARE * state.rng.random()
    return AddressAnswer(
        service=service,
        addresses=addresses,
        keep_s=round(state.settings.address_ttl_s * jitter, 3),
        revision=state.intents.revision,
    )


def _get_address(state: HostState, name: str) -> str:
    if name == state.identity.name:
        return state.identity.callers
    return state.members[name].callers
