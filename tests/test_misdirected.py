"""Tests of servers whose address belongs to a different server by now.

That server rejects misdirected calls at once and runs none of them, so its short
latencies would attract further calls.
"""

import pytest

from siskinpier.core.configuration.intents import ServiceIntent
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld, make_route

HOSTS = {"h1": "d1", "h2": "d1"}
CALLS = 100
PAUSE_S = 0.02
# Misdirected calls that each host needs at most to detect a replaced server.
MISDIRECTED_LIMIT = 2


def make_world(**changes: object) -> SlotWorld:
    """Return two hosts, and three servers of four slots each."""
    servers = [
        ScriptedServer(name=f"s{n}", failure_domain="d1", slots=4, work_s=0.05)
        for n in range(3)
    ]
    return SlotWorld(
        hosts=HOSTS,
        servers=servers,
        route=make_route(**changes),
        service=ServiceIntent(name="films", retry_share=0.1),
    )


def send_calls(world: SlotWorld) -> list[int]:
    """Send calls to both hosts in turn; return the statuses of their answers."""
    for number in range(CALLS):
        world.call(f"h{1 + number % 2}", f"c{number}")
        world.run_for(PAUSE_S)
    world.run_for(1.0)
    return [world.answers[f"c{n}"].status for n in range(CALLS)]


class TestReplacedServer:
    """A replaced server attracts no calls, however fast its address answers."""

    @pytest.mark.parametrize(
        "changes", [{}, {"idempotent": False, "attempts": 2}, {"attempts": 3}]
    )
    def test_calls_are_served_by_the_others(self, changes: dict[str, object]) -> None:
        world = make_world(**changes)
        world.servers["s1"].is_replaced = True
        assert send_calls(world).count(200) == CALLS
        assert world.misdirected <= MISDIRECTED_LIMIT * len(HOSTS)

    def test_probe_detects_it_before_any_call(self) -> None:
        world = make_world()
        world.servers["s1"].is_replaced = True
        world.run_for(0.5)
        assert send_calls(world).count(200) == CALLS
        assert world.misdirected == 0

    def test_server_that_is_back_is_used_again(self) -> None:
        world = make_world()
        world.servers["s1"].is_replaced = True
        world.run_for(0.5)
        world.servers["s1"].is_replaced = False
        world.run_for(8.0)
        send_calls(world)
        assert world.servers["s1"].runs
