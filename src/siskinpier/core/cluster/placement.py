"""Placement of services on home hosts and of backend servers on owners.

All functions are pure functions of a view of live hosts, so hosts with equal views get
equal results without communication.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Final

from ..configuration.intents import ServiceIntent
from .rendezvous import choose_node, rank_nodes

# A home probes the speed of each of its servers ten times a second. Small hosts can do
# that for this many servers.
SERVERS_PER_HOME: Final = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class LiveHost:
    """The properties of a live entry host that placement depends on."""

    name: str
    failure_domain: str
    strength: float = 1.0
    # The host speaks an earlier version of the protocol.
    is_earlier: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePlacement:
    """The placement of one service.

    `homes` maps a failure domain to its home hosts. `owners` maps the name of each
    backend server to its owner, the only home that sends calls to it.
    """

    homes: Mapping[str, tuple[str, ...]]
    owners: Mapping[str, str]

    def get_all_homes(self) -> tuple[str, ...]:
        """Return the home hosts of all failure domains, without duplicates."""
        return tuple(name for homes in self.homes.values() for name in homes)

    def list_owned(self, host: str) -> tuple[str, ...]:
        """Return the names of the backend servers that a host owns."""
        return tuple(name for name, owner in self.owners.items() if owner == host)


def count_homes(service: ServiceIntent, failure_domain: str) -> int:
    """Return how many homes a service needs in a failure domain."""
    servers = sum(s.failure_domain == failure_domain for s in service.servers)
    return max(1, ceil(servers / SERVERS_PER_HOME))


def count_all_homes(service: ServiceIntent, placement: ServicePlacement) -> int:
    """Return how many homes a service has when all failure domains are reachable.

    A host that is cut off sees fewer homes and must not act as if it were all of them.
    """
    domains = {server.failure_domain for server in service.servers}
    expected = sum(count_homes(service, domain) for domain in domains)
    return max(1, expected, len(placement.get_all_homes()))


def place_service(
    service: ServiceIntent, hosts: Iterable[LiveHost], *, is_split: bool = False
) -> ServicePlacement:
    """Choose the homes of a service and the owner of each backend server.

    With `is_split`, a failure domain with many servers gets several homes. A failure
    domain without live hosts has no home; its backend servers are distributed over the
    homes of the other domains.
    """
    by_domain: dict[str, list[str]] = {}
    for host in hosts:
        by_domain.setdefault(host.failure_domain, []).append(host.name)
    homes = {
        domain: tuple(
            rank_nodes(service.name, names)[
                : count_homes(service, domain) if is_split else 1
            ]
        )
        for domain, names in sorted(by_domain.items())
    }
    all_homes = [name for names in homes.values() for name in names]
    owners: dict[str, str] = {}
    for server in service.servers:
        candidates = homes.get(server.failure_domain) or all_homes
        owner = choose_node(f"{service.name}/{server.name}", candidates)
        if owner is not None:
            owners[server.name] = owner
    return ServicePlacement(homes=homes, owners=owners)


def order_homes(
    placement: ServicePlacement, failure_domain: str, caller_key: str
) -> list[str]:
    """Return the homes in the order in which a caller should try them.

    Homes in the caller's `failure_domain` come first. Within both groups, `caller_key`
    determines the order, so that callers are distributed over the homes.
    """
    own = placement.homes.get(failure_domain, ())
    others = [name for name in placement.get_all_homes() if name not in own]
    return [*rank_nodes(caller_key, own), *rank_nodes(caller_key, others)]
