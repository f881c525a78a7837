"""Choice of the entry hosts that the callers of a virtual host are sent to.

Callers pick one of the addresses at random. So each failure domain gets addresses in
proportion to the slots that the services of the virtual host have there: calls then
find a free slot in the failure domain that they reach.
"""

from collections.abc import Mapping
from math import ceil
from typing import Final

from ..cluster.rendezvous import rank_strongest
from ..cluster.views import list_serving_hosts
from ..state import HostState, ServiceRuntime
from .addresses import AddressAnswer
from .balance import ServerRuntime, is_draining

# Run time on a cold server that is assumed before one was measured, in seconds.
COLD_RUN_S: Final = 0.1


def choose_addresses(
    state: HostState, *, virtual_host: str, now: float, limit: int
) -> AddressAnswer | None:
    """Return the hosts for the callers of a virtual host, or None if none is known.

    At most `limit` hosts are named; all hosts give the same answer. One that was never
    ready gives none: callers leave hosts that an answer does not name.
    """
    if not state.is_informed:
        return None
    by_domain: dict[str, dict[str, float]] = {}
    for host in list_serving_hosts(state, now):
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
    """Return each failure domain's share of the slots that the calls need.

    Each service of the virtual host is weighted by its share of the calls.
    """
    shares: dict[str, float] = {}
    for route in state.routes.by_virtual_host.get(virtual_host, ()):
        weight = state.routes.get_load(route).get_calls(now) + 1.0
        total = sum(part.weight for part in route.services) or 1.0
        for part in route.services:
            for domain, share in _get_slot_shares(state, part.service, now).items():
                amount = weight * part.weight / total * share
                shares[domain] = shares.get(domain, 0.0) + amount
    total = sum(shares.values())
    return {domain: share / total for domain, share in shares.items() if total > 0.0}


def compute_host_counts(
    sizes: Mapping[str, int], shares: Mapping[str, float], limit: int
) -> dict[str, int]:
    """Return how many hosts to name of each failure domain, in the given shares.

    As many hosts as possible are named, up to `limit` in total, and at least one of
    each domain that has hosts.
    """
    total = sum(sizes.values())
    if not any(shares.get(domain) for domain in sizes):
        shares = {domain: size / total for domain, size in sizes.items()}
    scales = [sizes[domain] / shares[domain] for domain in sizes if shares.get(domain)]
    # A domain with few hosts for its share limits the total to half the hosts at most.
    scale = min(float(limit), max(min(scales), total / 2))
    counts = _scale_shares(sizes, shares, scale)
    while sum(counts.values()) > max(limit, len(counts)):
        # Rounding up exceeded the limit.
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


def _get_usable_slots(
    service: ServiceRuntime, server: ServerRuntime, now: float
) -> float:
    """Return a server's slots, or those that its pace fills while it is cold."""
    if server.warmup is None or not server.warmup.is_cold(now):
        return server.intent.slots
    run_s = service.typical_run_s or COLD_RUN_S
    return min(server.intent.slots, service.intent.warmup_per_s * run_s)


def _get_slot_shares(state: HostState, name: str, now: float) -> dict[str, float]:
    service = state.services.get(name)
    if service is None:
        return {}
    slots: dict[str, float] = {}
    for server in service.servers.values():
        if not is_draining(server):
            domain = server.intent.failure_domain
            usable = _get_usable_slots(service, server, now)
            slots[domain] = slots.get(domain, 0.0) + usable
    total = sum(slots.values())
    return {domain: count / total for domain, count in slots.items()}


def _get_address(state: HostState, name: str) -> str:
    if name == state.identity.name:
        return state.identity.callers
    return state.members[name].callers
