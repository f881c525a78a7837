"""Tests of the retry and hedge budgets, over all hosts, in virtual time.

The tests count second arrivals: arrivals of a call at a server after its first. Homes
that change, do not answer or are isolated could each spend a whole budget, and a call
that asks several homes could earn its share more than once.
"""

from dataclasses import replace
from typing import Final

import pytest

from siskinpier.core.configuration.intents import ServiceIntent
from siskinpier.core.messages import SlotGrant, SlotRequest
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SETTINGS, SlotWorld, make_route

# The rule: in any window, second arrivals may number this share of the calls plus this
# slack.
RATIO: Final = 0.2
SLACK: Final = 20.0
WINDOW_S: Final = 10.0
# The shares of the ratio that calls earn for retries and hedges.
SERVICE: Final = ServiceIntent(name="films", retry_share=0.08, hedge_share=0.06)
DOMAINS: Final = ("d1", "d2", "d3", "d4")


def make_world(
    *, servers: int, hosts: int = 3, slots: int = 3, domains: tuple[str, ...] = DOMAINS
) -> SlotWorld:
    """Return a world with the given numbers of hosts and servers per failure domain."""
    return SlotWorld(
        hosts={f"{d}-h{n}": d for d in domains for n in range(hosts)},
        servers=[
            ScriptedServer(name=f"{d}-s{n}", failure_domain=d, slots=slots)
            for d in domains
            for n in range(servers)
        ],
        service=SERVICE,
        route=make_route(attempts=3, aim_s=0.4),
        settings=replace(SETTINGS, retry_slack=SLACK),
    )


def call_steadily(world: SlotWorld, *, rate: float, length_s: float) -> int:
    """Send calls to the live hosts in turn; return their number."""
    hosts = [name for name in world.states if name not in world.dead]
    count = round(rate * length_s)
    for number in range(count):
        world.call(hosts[number % len(hosts)], f"c{len(world.answers)}-{number}")
        world.run_for(1.0 / rate)
    return count


def count_second_arrivals(world: SlotWorld) -> int:
    """Return the largest number of second arrivals in any window."""
    seen: set[str] = set()
    again: list[float] = []
    for at, call_id in world.arrivals:
        if call_id in seen:
            again.append(at)
        seen.add(call_id)
    return max(
        (sum(start <= at <= start + WINDOW_S for at in again) for start in again),
        default=0,
    )


class TestBudget:
    """Second arrivals stay within the share of calls and the slack, over all hosts."""

    @pytest.mark.parametrize("rate", [100, 200])
    def test_servers_that_reject_queued_calls(self, rate: float) -> None:
        # Queued calls have asked other homes for a free slot without success.
        world = make_world(servers=4)
        for server in world.servers.values():
            server.reject_share = 0.7
            server.work_s = 0.2
        calls = call_steadily(world, rate=rate, length_s=5.0)
        world.run_for(2.0)
        assert count_second_arrivals(world) <= RATIO * calls + SLACK

    def test_homes_that_do_not_answer(self) -> None:
        world = make_world(servers=4)
        for server in world.servers.values():
            server.reject_share = 0.7
        world.drop = lambda a, b, m: isinstance(m, SlotRequest)
        calls = call_steadily(world, rate=20, length_s=8.0)
        world.run_for(2.0)
        assert count_second_arrivals(world) <= RATIO * calls + SLACK

    def test_many_homes(self) -> None:
        # Four homes in each of five failure domains.
        world = make_world(servers=48, hosts=4, domains=(*DOMAINS, "d5"))
        for server in world.servers.values():
            server.reject_share = 0.8
        calls = call_steadily(world, rate=100, length_s=0.5)
        world.run_for(1.0)
        assert count_second_arrivals(world) <= RATIO * calls + SLACK

    def test_all_homes_restart(self) -> None:
        world = make_world(servers=24)
        for server in world.servers.values():
            server.reject_share = 1.0
        calls = 0
        for _ in range(4):
            calls += call_steadily(world, rate=60, length_s=0.6)
            world.run_for(0.2)
            for name in world.states:
                world.restart(name)
            world.run_for(1.5)
        assert count_second_arrivals(world) <= RATIO * calls + SLACK

    def test_isolated_hosts(self) -> None:
        # Each host considers itself the home of all servers.
        world = make_world(servers=4, hosts=6)
        for server in world.servers.values():
            server.reject_share = 1.0
        world.drop = lambda a, b, m: True
        world.run_for(5.0)
        calls = call_steadily(world, rate=50, length_s=2.0)
        world.run_for(1.0)
        assert count_second_arrivals(world) <= RATIO * calls + SLACK


class TestShares:
    """A fresh call earns its shares of a retry and of a hedge once."""

    def test_call_that_requests_slots_from_several_homes(self) -> None:
        world = make_world(servers=4)
        unanswering = world.get_home("d1")
        world.drop = lambda a, b, m: a == unanswering and isinstance(m, SlotGrant)
        calls = call_steadily(world, rate=50, length_s=4.0)
        services = [state.services["films"] for state in world.states.values()]
        assert sum(s.retries.added for s in services) == pytest.approx(0.08 * calls)
        assert sum(s.hedges.added for s in services) == pytest.approx(0.06 * calls)
