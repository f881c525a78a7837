"""Tests that slots which no call holds are found and freed."""

from random import Random

import pytest

from siskinpier.core.routing.slot_counts import recount_slots
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld, make_route

HOSTS = {"h1": "d1", "h2": "d1", "h3": "d2"}


def make_world() -> SlotWorld:
    """Return three hosts and four servers of two slots."""
    servers = [
        ScriptedServer(name=f"s{n}", failure_domain=f"d{n % 2 + 1}", slots=2)
        for n in range(4)
    ]
    return SlotWorld(hosts=HOSTS, servers=servers, route=make_route())


class TestRecount:
    """Counting anew changes nothing in a sound host, and frees what was left over."""

    @pytest.mark.parametrize("seed", range(5))
    def test_sound_counts_stay(self, seed: int) -> None:
        world = make_world()
        rng = Random(seed)
        for number in range(200):
            world.call(rng.choice(list(HOSTS)), f"c{number}")
            world.run_for(rng.uniform(0.0, 0.02))
            wrong = [recount_slots(state) for state in world.states.values()]
            assert wrong == [0, 0, 0]
        world.run_for(5.0)
        assert all(recount_slots(state) == 0 for state in world.states.values())

    def test_left_over_slots_are_freed(self) -> None:
        world = make_world()
        state = world.states["h1"]
        (service,) = state.services.values()
        server = next(iter(service.servers.values()))
        server.in_flight += 2
        server.pending_checks["gone"] = "reason"
        assert recount_slots(state) == 1
        assert server.in_flight == 0 and not server.pending_checks
