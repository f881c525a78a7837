"""Builds complete deployments in virtual time: hosts, servers and intents."""

from dataclasses import asdict
from typing import Final

from siskinpier.core.configuration.intents import BackendServer, RoutingIntents
from siskinpier.core.configuration.updates import INTENTS_NAME
from siskinpier.core.platform_results import HOSTS, ROUTING_INTENTS

from .host import VirtualHost
from .platform import VirtualPlatform
from .servers import VirtualServer
from .world import World

SETTLE_S: Final = 3.0


def make_deployment(
    *,
    intents: RoutingIntents,
    hosts: int,
    seed: int,
    mean_service_time_s: float = 0.005,
) -> World:
    """Return a world whose hosts have started and applied the intents.

    `mean_service_time_s` is the mean service time of the backend servers, in seconds.
    """
    world = World(seed=seed)
    platform = VirtualPlatform(scheduler=world)
    world.platform = platform
    domains = list_domains(intents)
    for service in intents.services:
        for server in service.servers:
            make_server(world, server, mean_service_time_s)
    spec = asdict(intents) | {"revision": max(1, intents.revision)}
    platform.store.create(kind=ROUTING_INTENTS, name=INTENTS_NAME, spec=spec)
    for index in range(hosts):
        add_host(world, f"host-{index}", domains[index % len(domains)], seed + index)
    for host in world.hosts.values():
        host.start()
    world.run_for(SETTLE_S)
    return world


def add_host(world: World, name: str, failure_domain: str, seed: int) -> VirtualHost:
    """Add a host to the world and to the platform's host list without starting it."""
    host = world.add_host(name=name, failure_domain=failure_domain, seed=seed)
    spec = {
        "failure_domain": failure_domain,
        "region": "main",
        "callers": host.identity.callers,
        "peers": host.identity.peers,
        "leaving": False,
    }
    if world.platform is not None:
        world.platform.store.create(kind=HOSTS, name=name, spec=spec)
    return host


def make_server(
    world: World, server: BackendServer, mean_service_time_s: float
) -> VirtualServer:
    """Add a fake of a declared backend server to the world."""
    virtual_server = VirtualServer(
        scheduler=world,
        name=server.name,
        address=server.address,
        failure_domain=server.failure_domain,
        slots=server.slots,
        mean_service_time_s=mean_service_time_s,
    )
    return world.add_server(virtual_server)


def list_domains(intents: RoutingIntents) -> list[str]:
    """Return the failure domains of all backend servers, sorted."""
    return sorted(
        {
            server.failure_domain
            for service in intents.services
            for server in service.servers
        }
    )
