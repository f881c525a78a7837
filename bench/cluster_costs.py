"""Measure what cluster coordination costs and how fast it is, by fleet size.

The hosts run in virtual time. Bytes are those of the encoded messages without
TCP and TLS overhead. `python -m bench.cluster_costs 6 18 54` prints the table.
"""

import sys
from collections import Counter
from dataclasses import dataclass
from typing import Final

from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServerState,
    ServiceIntent,
)
from siskinpier.core.configuration.orders import OrderResult, SetServerState

from .virtual import VirtualHost, World
from .virtual.deployment import make_deployment

IDLE_PERIOD_S: Final = 20.0
# Limits a measurement whose condition is never met.
TIMEOUT_S: Final = 15.0
POLL_INTERVAL_S: Final = 0.05
CHANGE_COUNT: Final = 5
HOST_COUNTS: Final = (6, 18, 54)
DOMAINS: Final = ("a", "b", "c")


@dataclass(frozen=True, slots=True, kw_only=True)
class ClusterCost:
    """Costs at one fleet size; times in seconds, rates per second.

    `bytes_by_kind` holds the mean rate of bytes that an idle host sends, by message
    kind, and `busiest_bytes` is the highest total rate of one host.
    `platform_calls` is the rate of the whole fleet.
    """

    hosts: int
    peers: float
    bytes_by_kind: dict[str, float]
    busiest_bytes: float
    change_propagation_s: float
    failure_detection_s: float
    platform_calls: float
    platform_by_kind: dict[str, float]
    platform_watches: int

    @property
    def bytes_sent(self) -> float:
        """Return the bytes per second that an idle host sends on average."""
        return sum(self.bytes_by_kind.values())


def make_intents(services: int = 4, servers: int = 17) -> RoutingIntents:
    """Return services whose servers are spread over the failure domains."""
    return RoutingIntents(
        revision=1,
        services=tuple(
            ServiceIntent(
                name=f"service-{number}",
                servers=tuple(
                    BackendServer(
                        name=f"server-{number}-{index}",
                        address=f"10.{number}.0.{index + 1}:80",
                        failure_domain=DOMAINS[index % len(DOMAINS)],
                    )
                    for index in range(servers)
                ),
            )
            for number in range(services)
        ),
    )


def measure_cluster(
    hosts: int, seed: int = 1, idle_period_s: float = IDLE_PERIOD_S
) -> ClusterCost:
    """Return the costs of an idle fleet, of a change and of a failed host."""
    world = make_deployment(intents=make_intents(), hosts=hosts, seed=seed)
    world.run_for(idle_period_s)
    _reset_counters(world)
    world.run_for(idle_period_s)
    members = list(world.hosts.values())
    sent_by_kind: Counter[str] = Counter()
    for host in members:
        sent_by_kind.update(host.bytes_sent)
    platform = world.platform
    assert platform is not None
    calls = sum(platform.calls.values()) / idle_period_s
    peers = sum(len(host.peers_sent_to) for host in members) / hosts
    busiest = max(sum(host.bytes_sent.values()) for host in members) / idle_period_s
    return ClusterCost(
        hosts=hosts,
        peers=peers,
        bytes_by_kind={
            kind: n / idle_period_s / hosts for kind, n in sorted(sent_by_kind.items())
        },
        busiest_bytes=busiest,
        platform_calls=calls,
        platform_by_kind={
            kind: n / idle_period_s for kind, n in platform.calls.items()
        },
        platform_watches=len(platform.watchers),
        change_propagation_s=max(
            measure_propagation(world, n) for n in range(CHANGE_COUNT)
        ),
        failure_detection_s=measure_failure_detection(world, members[-1]),
    )


def measure_propagation(world: World, number: int) -> float:
    """Change a server's state; return the seconds until every host applies it."""
    hosts = list(world.hosts.values())
    host = hosts[number * 7 % len(hosts)]
    results: list[OrderResult] = []
    state = ServerState.ACTIVE if number % 2 else ServerState.DRAINING
    order = SetServerState(service="service-0", server="server-0-0", state=state)
    started = world.now
    host.give_order(order, "operator", results.append)
    target_revision = host.state.intents.revision + 1
    while world.now - started < TIMEOUT_S:
        world.run_for(POLL_INTERVAL_S / 10)
        if all(h.state.intents.revision >= target_revision for h in hosts):
            break
    return world.now - started


def measure_failure_detection(world: World, victim: VirtualHost) -> float:
    """Kill a host; return the seconds until no other host considers it live."""
    started = world.now
    victim.kill()
    others = [host for host in world.hosts.values() if host is not victim]
    while world.now - started < TIMEOUT_S:
        world.run_for(POLL_INTERVAL_S)
        if all(victim.name not in host.state.live for host in others):
            break
    return world.now - started


def render_table(costs: list[ClusterCost]) -> str:
    """Return the costs as a Markdown table."""
    lines = [
        "| hosts | peers per host | bytes/s per host | busiest | by kind | change"
        " applied, s | failure detected, s | platform calls/s | watches |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for cost in costs:
        kinds = ", ".join(f"{k} {n:.0f}" for k, n in cost.bytes_by_kind.items())
        lines.append(
            f"| {cost.hosts} | {cost.peers:.1f} | {cost.bytes_sent:.0f}"
            f" | {cost.busiest_bytes:.0f} | {kinds} | {cost.change_propagation_s:.3f}"
            f" | {cost.failure_detection_s:.2f} | {cost.platform_calls:.1f}"
            f" | {cost.platform_watches} |"
        )
    return "\n".join(lines)


def _reset_counters(world: World) -> None:
    for host in world.hosts.values():
        host.bytes_sent.clear()
        host.messages_sent.clear()
        host.peers_sent_to.clear()
    if world.platform is not None:
        world.platform.calls.clear()


if __name__ == "__main__":
    sizes = [int(size) for size in sys.argv[1:]] or list(HOST_COUNTS)
    print(render_table([measure_cluster(size) for size in sizes]))
