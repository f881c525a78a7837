"""Servers whose address another one has: they answer at once, and run nothing."""

import pytest

from siskinpier.core.configuration.intents import ServiceIntent
from tests.standins.slot_world import ScriptedServer, SlotWorld, make_route

HOSTS = {"h1": "d1", "h2": "d1"}
CALLS = 100
PAUSE_S = 0.02
# Calls that may find out, at each of the hosts.
FINDERS = 2


def make_world(**changes: object) -> SlotWorld:
    """Return two hosts, and three servers of one slot each."""
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


def play(world: SlotWorld) -> list[int]:
    """Send calls to both hosts; return the statuses of their answers."""
    for number in range(CALLS):
        world.call(f"h{1 + number % 2}", f"c{number}")
        world.run_for(PAUSE_S)
    world.run_for(1.0)
    return [world.answers[f"c{n}"].status for n in range(CALLS)]


class TestOtherServer:
    """The server that is gone draws no calls, however fast its address answers."""

    @pytest.mark.parametrize(
        "changes", [{}, {"idempotent": False, "attempts": 2}, {"attempts": 3}]
    )
    def test_calls_are_served_by_the_others(self, changes: dict[str, object]) -> None:
        world = make_world(**changes)
        world.servers["s1"].is_replaced = True
        assert play(world).count(200) == CALLS
        assert world.misdirected <= FINDERS * len(HOSTS)

    def test_probe_finds_out_before_any_call(self) -> None:
        world = make_world()
        world.servers["s1"].is_replaced = True
        world.run_for(0.5)
        assert play(world).count(200) == CALLS
        assert world.misdirected == 0

    def test_server_that_is_back_is_used_again(self) -> None:
        world = make_world()
        world.servers["s1"].is_replaced = True
        world.run_for(0.5)
        world.servers["s1"].is_replaced = False
        world.run_for(8.0)
        play(world)
        assert world.servers["s1"].runs
