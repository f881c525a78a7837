"""Placement: home hosts of services and owners of backend servers.

Pure functions of a view of live hosts, so that hosts with equal views answer
alike without talking to each other.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Final

from ..configuration.intents import ServiceIntent
from .rendezvous import pick_node, rank_nodes

# A home asks each of its servers for its speed ten times a second, which small hosts
# can do for so many.
SERVERS_PER_HOME: Final = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class LiveHost:
    """What placement needs to know of a live entry host."""

    name: str
    failure_domain: str
    strength: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePlacement:
    """Where one service lives.

    `homes` maps a failure domain to its home hosts; `owners` maps the name of
    each backend server to the home that alone sends calls to it.
    """

    homes: Mapping[str, tuple[str, ...]]
    owners: Mapping[str, str]

    def get_all_homes(self) -> tuple[str, ...]:
        """Return every home host, each once."""
        return tuple(name for homes in self.homes.values() for name in homes)

    def get_owned(self, host: str) -> tuple[str, ...]:
        """Return the names of the backend servers that a host owns."""
        return tuple(name for name, owner in self.owners.items() if owner == host)


def count_homes(service: ServiceIntent, failure_domain: str) -> int:
    """Return how many homes a service needs in a failure domain."""
    servers = sum(s.failure_domain == failure_domain for s in service.servers)
    return max(1, ceil(servers / SERVERS_PER_HOME))


def count_all_homes(service: ServiceIntent, placement: ServicePlacement) -> int:
    """Return how many homes a service has when no failure domain is away.

    A host that is cut off sees fewer, and must not take itself for all of them.
    """
    domains = {server.failure_domain for server in service.servers}
    expected = sum(count_homes(service, domain) for domain in domains)
    return max(1, expected, len(placement.get_all_homes()))


def place_service(
    service: ServiceIntent, hosts: Iterable[LiveHost], *, is_split: bool = False
) -> ServicePlacement:
    """Choose the homes of a service and the owner of each backend server.

    With `is_split` a failure domain with many servers has several homes.
    A failure domain without live hosts has no home; its backend servers are
    shared out over the homes of the other domains.
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
    everywhere = [name for names in homes.values() for name in names]
    owners: dict[str, str] = {}
    for server in service.servers:
        candidates = homes.get(server.failure_domain) or everywhere
        owner = pick_node(f"{service.name}/{server.name}", candidates)
        if owner is not None:
            owners[server.name] = owner
    return ServicePlacement(homes=homes, owners=owners)


def order_addresses(
    placement: ServicePlacement, failure_domain: str, caller_key: str
) -> list[str]:
    """Return the homes in the order a caller of a failure domain should try.

    Homes of its own domain come first; the rest are spread by `caller_key`.
    """
    own = placement.homes.get(failure_domain, ())
    others = [name for name in placement.get_all_homes() if name not in own]
    return [*rank_nodes(caller_key, own), *rank_nodes(caller_key, others)]
