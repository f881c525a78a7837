"""Tests of a service's probe budget, summed over all hosts, in virtual time.

Hosts compute their shares independently. Where their views differ, as after partitions
and restarts, more hosts than intended may consider themselves entitled to probe.
"""

from collections.abc import Callable

import pytest

from bench.virtual import World
from bench.virtual.deployment import add_host
from bench.virtual.host import PROBE_BYTES
from siskinpier.core.configuration.intents import ProbeBudget
from tests.test_policy_under_faults import call_steadily, make_service, make_world

HOSTS = 18
WINDOW_S = 1.0
LARGE = ProbeBudget(per_second=10.0)
SMALL = ProbeBudget(per_second=3.0)
FEW_BYTES = ProbeBudget(per_second=50.0, bytes_per_second=10.0 * PROBE_BYTES)


def list_probe_times(world: World) -> list[float]:
    """Return the sorted times of all probes."""
    return sorted(at for s in world.servers.values() for at in s.probe_times)


def count_peak(times: list[float]) -> int:
    """Return the largest number of probes in any window of one second."""
    return max(
        (sum(1 for at in times if start <= at < start + WINDOW_S) for start in times),
        default=0,
    )


def surge(world: World) -> None:
    """Send calls at a low rate, then at ten times that rate."""
    call_steadily(world, rate=40, length_s=2.0)
    call_steadily(world, rate=400, length_s=2.0)
    world.run_for(6.0)


def join_and_leave(world: World) -> None:
    """Restart hosts in turn while others join and die."""
    for index in range(6):
        add_host(world, f"new-{index}", f"domain-{index % 3}", 70 + index).start()
        world.hosts[f"host-{index}"].restart()
        world.run_for(0.7)
        world.hosts[f"host-{17 - index}"].kill()
        world.run_for(0.7)
    world.run_for(8.0)


def fail_all_servers(world: World) -> None:
    """Take every backend server down while calls arrive."""
    for server in world.servers.values():
        server.is_down = True
    call_steadily(world, rate=200, length_s=5.0)
    world.run_for(5.0)


def isolate_hosts(world: World) -> None:
    """Cut every host off from all others, so that each considers itself sole owner."""
    for source in world.hosts:
        for target in world.hosts:
            if source != target:
                world.network.cut(source, target)
    world.run_for(15.0)
    world.network.heal()
    world.run_for(5.0)


def restart_all(world: World) -> None:
    """Restart all hosts at the same time, twice."""
    for _ in range(2):
        for host in world.hosts.values():
            host.restart()
        world.run_for(7.0)


class TestProbeBudget:
    """The budget holds in every second, whatever happens to hosts and servers."""

    @pytest.mark.parametrize(
        ("trouble", "budget"),
        [
            (surge, LARGE),
            (join_and_leave, LARGE),
            (fail_all_servers, LARGE),
            (isolate_hosts, LARGE),
            (isolate_hosts, SMALL),
            (isolate_hosts, FEW_BYTES),
            (restart_all, FEW_BYTES),
        ],
    )
    def test_no_second_exceeds_probes_or_bytes(
        self, trouble: Callable[[World], None], budget: ProbeBudget
    ) -> None:
        world = make_world(make_service(probes=budget), hosts=HOSTS)
        world.run_for(6.0)
        trouble(world)
        times = list_probe_times(world)
        peak = count_peak(times)
        assert times
        assert peak <= budget.per_second
        assert peak * PROBE_BYTES <= budget.bytes_per_second


class TestUse:
    """The budget is spent on servers whose state calls do not reveal."""

    def test_idle_servers_are_probed_and_called_ones_are_not(self) -> None:
        world = make_world(make_service(), hosts=HOSTS)
        world.run_for(10.0)
        assert all(server.probes for server in world.servers.values())
        idle_probes = len(list_probe_times(world))
        call_steadily(world, rate=300, length_s=10.0)
        assert len(list_probe_times(world)) - idle_probes <= idle_probes / 2

    def test_unanswered_probe_does_not_end_a_drain(self) -> None:
        world = make_world(make_service(), hosts=HOSTS)
        for server in world.servers.values():
            server.is_draining = True
        world.run_for(15.0)
        for server in world.servers.values():
            server.is_down = True
        world.run_for(15.0)
        leaving = [
            server.is_leaving
            for host in world.hosts.values()
            for server in host.state.services["lookups"].owned
        ]
        assert leaving and all(leaving)
