"""Which entry hosts the callers of a virtual host are led to.

Callers pick one of the addresses at random. So the answer names the more hosts of a
failure domain, the more slots the services behind the virtual host have there: calls
then find a free slot in the failure domain that they reached.
"""

from collections.abc import Mapping
from math import ceil

from ..cluster.rendezvous import rank_strongest
from ..cluster.views import get_live_hosts
from ..state import HostState
from .addresses import AddressAnswer
from .balance import is_draining


def choose_addresses(
    state: HostState, *, virtual_host: str, now: float, limit: int
) -> AddressAnswer | None:
    """Return the hosts for the callers of a virtual host; None while none is known.

    No more than `limit` are named, the same ones by every host.
    """
    by_domain: dict[str, dict[str, float]] = {}
    for host in get_live_hosts(state, now):
        by_domain.setdefault(host.failure_domain, {})[host.name] = host.strength
    if not by_domain:
        return None
    shares = compute_domain_shares(state, virtual_host, now)
    sizes = {domain: len(hosts) for domain, hosts in by_domain.items()}
    counts = compute_host_counts(sizes, shares, limit)
    chosen = [
        name
        for domain, strengths in sorted(by_domain.items())
        for name in rank_strongest(virtual_host, strengths)[: counts[domain]]
    ]
    return AddressAnswer(
        service=virtual_host,
        addresses=tuple(_get_address(state, name) for name in chosen),
        keep_s=state.settings.address_ttl_s,
        revision=state.intents.revision,
    )


def compute_domain_shares(
    state: HostState, virtual_host: str, now: float
) -> dict[str, float]:
    """Return each failure domain's part of the slots that the calls need.

    A virtual host leads to several services; each counts by its part of the calls.
    """
    shares: dict[str, float] = {}
    for route in state.routes.by_virtual_host.get(virtual_host, ()):
        weight = state.routes.get_load(route).get_calls(now) + 1.0
        total = sum(part.weight for part in route.services) or 1.0
        for part in route.services:
            for domain, share in _get_slot_shares(state, part.service).items():
                gain = weight * part.weight / total * share
                shares[domain] = shares.get(domain, 0.0) + gain
    total = sum(shares.values())
    return {domain: share / total for domain, share in shares.items() if total > 0.0}


def compute_host_counts(
    sizes: Mapping[str, int], shares: Mapping[str, float], limit: int
) -> dict[str, int]:
    """Return how many of each failure domain's hosts to name, in the given parts.

    As many as possible are named, up to `limit` in all; a domain with hosts is never
    left out.
    """
    total = sum(sizes.values())
    if not any(shares.get(domain) for domain in sizes):
        shares = {domain: size / total for domain, size in sizes.items()}
    scales = [sizes[domain] / shares[domain] for domain in sizes if shares.get(domain)]
    # A domain that has few hosts for its part bounds the others only so far.
    scale = min(float(limit), max(min(scales), total / 2))
    counts = _scale_shares(sizes, shares, scale)
    while sum(counts.values()) > max(limit, len(counts)):
        # Rounding up went beyond the limit.
        scale -= 1.0
        counts = _scale_shares(sizes, shares, scale)
    return counts


def _scale_shares(
    sizes: Mapping[str, int], shares: Mapping[str, float], scale: float
) -> dict[str, int]:
    return {
        domain: min(size, max(1, ceil(scale * shares.get(domain, 0.0) - 0.5)))
        for domain, size in sizes.items()
    }


def _get_slot_shares(state: HostState, name: str) -> dict[str, float]:
    service = state.services.get(name)
    if service is None:
        return {}
    slots: dict[str, float] = {}
    for server in service.servers.values():
        if not is_draining(server):
            domain = server.intent.failure_domain
            slots[domain] = slots.get(domain, 0.0) + server.intent.slots
    total = sum(slots.values())
    return {domain: count / total for domain, count in slots.items()}


def _get_address(state: HostState, name: str) -> str:
    if name == state.identity.name:
        return state.identity.callers
    return state.members[name].callers
