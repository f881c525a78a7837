"""Tests of a cluster of hosts: views, draining, start-up, and costs under faults."""

from collections import Counter
from itertools import product
from typing import Final

import pytest

from bench.cluster_costs import ClusterCost, make_intents, measure_cluster
from bench.virtual import VirtualHost, World
from bench.virtual.deployment import add_host, make_deployment
from siskinpier.core.cluster.placement import LiveHost, place_service
from siskinpier.core.cluster.readiness import find_not_ready_reason
from siskinpier.core.cluster.revisions import list_hosts_behind
from siskinpier.core.configuration.intents import ServerState
from siskinpier.core.configuration.orders import (
    OrderResult,
    OrderStatus,
    SetServerState,
)
from siskinpier.core.events import ShutdownRequested
from siskinpier.core.state import Lifecycle

# Required bounds: times in seconds until a failure is known in every view, until a
# drained server gets no new call, and until a revision is in force on every host.
VIEW_UPDATE_LIMIT_S: Final = 3.0
DRAIN_LIMIT_S: Final = 3.0
PROPAGATION_LIMIT_S: Final = 4.0
# Limit of the bytes per second that a host sends to others.
CONTROL_BYTES_PER_S: Final = 6_000
# Interval at which the views are checked.
STEP_S: Final = 0.1


def make_world(hosts: int = 9, seed: int = 1) -> World:
    """Return an idle cluster of hosts in three failure domains."""
    world = make_deployment(intents=make_intents(), hosts=hosts, seed=seed)
    world.run_for(5.0)
    return world


def list_viewers(world: World, name: str) -> set[str]:
    """Return the other running hosts whose view contains a host."""
    return {
        host.name
        for host in world.hosts.values()
        if host.name != name and host.is_alive and name in host.state.live
    }


def list_others(world: World, name: str) -> set[str]:
    """Return the names of the other running hosts."""
    return {
        host.name
        for host in world.hosts.values()
        if host.name != name and host.is_alive
    }


def cut_groups(world: World, one: list[VirtualHost], other: list[VirtualHost]) -> None:
    """Cut the connections between two groups of hosts in both directions."""
    for a, b in product(one, other):
        world.network.cut(a.name, b.name)
        world.network.cut(b.name, a.name)


def list_domain(world: World, failure_domain: str) -> list[VirtualHost]:
    """Return the hosts of a failure domain."""
    hosts = world.hosts.values()
    return [host for host in hosts if host.failure_domain == failure_domain]


def drain(world: World, host: str, server: str = "server-0-0") -> list[OrderResult]:
    """Order the drain of a server; return a list that receives the result."""
    results: list[OrderResult] = []
    order = SetServerState(
        service="service-0", server=server, state=ServerState.DRAINING
    )
    world.hosts[host].give_order(order, "operator", results.append)
    return results


def list_undrained(world: World, server: str = "server-0-0") -> list[str]:
    """Return the hosts on which a server is not drained yet."""
    return [
        host.name
        for host in world.hosts.values()
        if host.state.services["service-0"].servers[server].intent.state
        is not ServerState.DRAINING
    ]


class TestViews:
    """Each host's view of live hosts follows failures and recoveries.

    Calls are sent to dead hosts, or not to live ones, while a view is outdated.
    """

    def test_frozen_host_leaves_all_views_and_returns(self) -> None:
        world = make_world()
        frozen = world.hosts["host-4"]
        frozen.freeze()
        world.run_for(VIEW_UPDATE_LIMIT_S)
        assert list_viewers(world, frozen.name) == set()
        world.run_for(10.0)
        frozen.resume()
        everyone = set(world.hosts)
        for _ in range(int(VIEW_UPDATE_LIMIT_S / STEP_S)):
            world.run_for(STEP_S)
            for host in world.hosts.values():
                assert set(host.state.live) >= everyone - {frozen.name}
        assert list_viewers(world, frozen.name) == list_others(world, frozen.name)

    def test_host_replaced_under_the_same_address(self) -> None:
        world = make_world()
        old = world.hosts.pop("host-4")
        old.kill()
        new = add_host(world, "host-new", old.failure_domain, seed=99)
        new.identity = new.state.identity = old.identity.__class__(
            name="host-new",
            incarnation=new.identity.incarnation,
            failure_domain=old.failure_domain,
            region="main",
            callers=old.identity.callers,
            peers=old.identity.peers,
        )
        new.start()
        world.run_for(VIEW_UPDATE_LIMIT_S)
        assert list_viewers(world, "host-4") == set()
        assert list_viewers(world, "host-new") == list_others(world, "host-new")

    def test_restart_with_a_clock_behind_is_seen(self) -> None:
        world = make_world()
        host = world.hosts["host-4"]
        for other in world.hosts.values():
            member = other.state.members.get(host.name)
            if member is not None:
                member.incarnation += 3_600_000_000
        host.restart()
        world.run_for(2 * VIEW_UPDATE_LIMIT_S)
        assert list_viewers(world, host.name) == list_others(world, host.name)

    @pytest.mark.parametrize("index", range(1, 9))
    def test_one_way_cut_between_two_hosts_hides_nobody(self, index: int) -> None:
        world = make_world()
        world.network.cut("host-0", f"host-{index}")
        world.run_for(VIEW_UPDATE_LIMIT_S)
        missed: Counter[str] = Counter()
        for _ in range(100):
            world.run_for(STEP_S)
            missed.update(list_others(world, "host-0") - list_viewers(world, "host-0"))
        assert not missed

    def test_host_that_no_host_hears_leaves_every_view(self) -> None:
        world = make_world()
        for name in list_others(world, "host-0"):
            world.network.cut("host-0", name)
        world.run_for(VIEW_UPDATE_LIMIT_S)
        assert list_viewers(world, "host-0") == set()
        world.network.heal()
        world.run_for(VIEW_UPDATE_LIMIT_S)
        assert list_viewers(world, "host-0") == list_others(world, "host-0")

    def test_partition_between_failure_domains_and_recovery(self) -> None:
        world = make_world()
        a, b = list_domain(world, "a"), list_domain(world, "b")
        cut_groups(world, a, b)
        world.run_for(VIEW_UPDATE_LIMIT_S)
        for host in a:
            assert not set(host.state.live) & {other.name for other in b}
        for host in list_domain(world, "c"):
            assert set(host.state.live) == set(world.hosts)
        world.run_for(90.0)
        world.network.heal()
        world.run_for(VIEW_UPDATE_LIMIT_S)
        for host in world.hosts.values():
            assert set(host.state.live) == set(world.hosts)

    def test_dead_failure_domain(self) -> None:
        world = make_world(hosts=18)
        dead = list_domain(world, "a")
        for host in dead:
            host.kill()
        world.run_for(VIEW_UPDATE_LIMIT_S)
        for host in (*list_domain(world, "b"), *list_domain(world, "c")):
            assert not set(host.state.live) & {other.name for other in dead}
            for service in host.state.services.values():
                assert len(service.placement.owners) == len(service.servers)

    def test_host_list_down_or_stale_for_minutes(self) -> None:
        world = make_world(hosts=6)
        assert world.platform is not None
        world.platform.is_down = True
        world.hosts["host-2"].kill()
        world.run_for(180.0)
        assert list_viewers(world, "host-2") == set()
        # When the list is available again, it still contains the dead host.
        world.platform.is_down = False
        for _ in range(100):
            world.run_for(STEP_S)
            assert list_viewers(world, "host-2") == set()
        for name in list_others(world, "host-2"):
            assert list_viewers(world, name) == list_others(world, name)

    def test_leaving_host_leaves_views_before_list_and_silence(self) -> None:
        world = make_world()
        host = world.hosts["host-4"]
        host.deliver(lambda: ShutdownRequested(now=world.now))
        world.run_for(1.0)
        assert list_viewers(world, host.name) == set()
        host.restart()
        world.run_for(VIEW_UPDATE_LIMIT_S)
        assert list_viewers(world, host.name) == list_others(world, host.name)


class TestDrain:
    """A drained server gets no new call after the bound, whatever is down."""

    def test_platform_down_after_acceptance(self) -> None:
        world = make_world()
        assert world.platform is not None
        results = drain(world, "host-0")
        while not results:
            world.run_for(0.001)
        world.platform.is_down = True
        world.platform.break_watches()
        assert results[0].status is OrderStatus.ACCEPTED
        world.run_for(DRAIN_LIMIT_S)
        assert list_undrained(world) == []

    def test_failure_domains_cut_from_each_other(self) -> None:
        world = make_world()
        domains = [list_domain(world, name) for name in "abc"]
        for one, other in ((0, 1), (0, 2), (1, 2)):
            cut_groups(world, domains[one], domains[other])
        world.run_for(10.0)
        drain(world, "host-0")
        world.run_for(DRAIN_LIMIT_S)
        assert list_undrained(world) == []

    def test_host_cut_off_from_every_peer_polls_the_platform(self) -> None:
        world = make_world()
        alone = [world.hosts["host-4"]]
        cut_groups(world, alone, [h for h in world.hosts.values() if h not in alone])
        world.run_for(10.0)
        drain(world, "host-0")
        world.run_for(DRAIN_LIMIT_S)
        assert list_undrained(world) == []

    def test_host_cut_off_from_half_of_its_peers_with_platform_down(self) -> None:
        world = make_world(hosts=18)
        assert world.platform is not None
        cut = [world.hosts["host-4"]]
        cut_groups(
            world, cut, [world.hosts[f"host-{n}"] for n in range(0, 18, 2) if n != 4]
        )
        results = drain(world, "host-0")
        while not results:
            world.run_for(0.001)
        world.platform.is_down = True
        world.platform.break_watches()
        world.run_for(DRAIN_LIMIT_S)
        assert list_undrained(world) == []


class TestHostsBehind:
    """Every host knows which hosts have the newest revision in force."""

    def test_all_hosts_know_revision_within_the_bound(self) -> None:
        world = make_world(hosts=18)
        drain(world, "host-0")
        world.run_for(PROPAGATION_LIMIT_S)
        for host in world.hosts.values():
            assert list_hosts_behind(host.state, 2, world.now) == []

    def test_accepting_host_reports_frozen_host_as_behind(self) -> None:
        world = make_world(hosts=18)
        world.hosts["host-4"].freeze()
        drain(world, "host-0")
        world.run_for(1.0)
        state = world.hosts["host-0"].state
        assert list_hosts_behind(state, 2, world.now) == ["host-4"]


class TestStartUp:
    """A host gets the newest revision from platform and peers before it serves."""

    def test_platform_down_and_a_seed_peer(self) -> None:
        world = make_world()
        assert world.platform is not None
        drain(world, "host-0")
        world.run_for(1.0)
        world.platform.is_down = True
        fresh = add_host(world, "host-new", "a", seed=99)
        fresh.seed_peers = ("host-3:peers", "host-5:peers")
        fresh.restart()
        world.run_for(PROPAGATION_LIMIT_S)
        assert fresh.state.lifecycle is Lifecycle.READY
        assert fresh.state.intents.revision == 2
        assert list_viewers(world, fresh.name) == list_others(world, fresh.name)
        assert set(fresh.state.live) == set(world.hosts)

    def test_neither_platform_nor_peers(self) -> None:
        world = make_world(hosts=3)
        assert world.platform is not None
        world.platform.is_down = True
        fresh = add_host(world, "host-new", "a", seed=99)
        fresh.restart()
        world.run_for(20.0)
        assert fresh.state.lifecycle is Lifecycle.STARTING
        reason = find_not_ready_reason(fresh.state, world.now) or ""
        assert "platform: unavailable" in reason and "0 heard of 0 known" in reason
        world.platform.is_down = False
        world.run_for(2 * PROPAGATION_LIMIT_S)
        assert fresh.state.lifecycle is Lifecycle.READY

    def test_first_reads_are_stale_after_an_outage(self) -> None:
        world = make_world()
        assert world.platform is not None
        drain(world, "host-0")
        world.run_for(1.0)
        world.platform.is_down = True
        for host in world.hosts.values():
            host.restart()
            host.revisions.clear()
        world.run_for(30.0)
        world.platform.is_down = False
        world.platform.store.stale_reads = True
        world.run_for(2 * PROPAGATION_LIMIT_S)
        for host in world.hosts.values():
            assert [revision for _, revision in host.revisions] == [2]

    def test_all_hosts_restart_during_an_outage(self) -> None:
        world = make_world()
        assert world.platform is not None
        drain(world, "host-0")
        world.run_for(1.0)
        world.platform.is_down = True
        for host in world.hosts.values():
            host.restart()
        world.run_for(30.0)
        stages = {host.state.lifecycle for host in world.hosts.values()}
        assert stages == {Lifecycle.STARTING}
        world.platform.is_down = False
        world.run_for(2 * PROPAGATION_LIMIT_S)
        assert {h.state.lifecycle for h in world.hosts.values()} == {Lifecycle.READY}
        assert {h.state.intents.revision for h in world.hosts.values()} == {2}


@pytest.fixture(scope="module")
def costs() -> dict[int, ClusterCost]:
    """Return the costs of a cluster of 18 hosts and of one three times as large."""
    return {size: measure_cluster(size, idle_period_s=5.0) for size in (18, 54)}


class TestHostCosts:
    """The cost per host does not grow with the cluster."""

    def test_bytes_and_peers(self, costs: dict[int, ClusterCost]) -> None:
        for cost in costs.values():
            assert cost.busiest_bytes <= CONTROL_BYTES_PER_S
        assert costs[54].bytes_sent <= 1.2 * costs[18].bytes_sent

    def test_changes_reach_all_hosts_in_time(
        self, costs: dict[int, ClusterCost]
    ) -> None:
        for cost in costs.values():
            assert cost.change_propagation_s <= PROPAGATION_LIMIT_S
            assert cost.failure_detection_s <= VIEW_UPDATE_LIMIT_S

    def test_two_watchers_per_failure_domain(
        self, costs: dict[int, ClusterCost]
    ) -> None:
        assert {cost.platform_watches for cost in costs.values()} == {6}


class TestPlatformCalls:
    """Calls to the platform are bounded at rest, during and after an outage."""

    def test_no_burst_of_calls_after_an_outage(self) -> None:
        world = make_world(hosts=18)
        platform = world.platform
        assert platform is not None
        started = world.now
        world.run_for(60.0)
        rest = count_busiest_second(platform.call_times, started)
        platform.is_down = True
        platform.break_watches()
        down = world.now
        world.run_for(60.0)
        during = count_busiest_second(platform.call_times, down + 1.0)
        platform.is_down = False
        back = world.now
        world.run_for(60.0)
        after = count_busiest_second(platform.call_times, back)
        # The bound is one list, one read and one watch per host in a second.
        assert max(rest, during, after) <= 3 * 18
        assert {h.state.intents.revision for h in world.hosts.values()} == {1}


def count_busiest_second(times: list[tuple[float, str]], since: float) -> int:
    """Return the highest number of calls in any second after `since`."""
    seconds = Counter(int(at - since) for at, _ in times if at >= since)
    return max(seconds.values(), default=0)


class TestPlacement:
    """The loss of a host moves only the servers that it owned."""

    def test_only_servers_of_the_lost_host_move(self) -> None:
        hosts = [
            LiveHost(name=f"host-{n}", failure_domain="abc"[n % 3]) for n in range(18)
        ]
        intents = make_intents(services=40)
        moved = total = 0
        for lost in hosts:
            left = [host for host in hosts if host is not lost]
            for service in intents.services:
                before = place_service(service, hosts)
                after = place_service(service, left)
                for server, owner in before.owners.items():
                    total += 1
                    moved += owner != after.owners[server]
                    if owner != lost.name:
                        assert after.owners[server] == owner
        assert moved / total <= 1.5 / len(hosts)
