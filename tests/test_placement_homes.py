"""Tests of services with several homes in a failure domain."""

import pytest

from siskinpier.core.cluster.placement import (
    SERVERS_PER_HOME,
    LiveHost,
    place_service,
)
from siskinpier.core.configuration.intents import BackendServer, ServiceIntent
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld

HOSTS = [LiveHost(name=f"h{n}", failure_domain="d1") for n in range(8)]


def make_service(servers: int) -> ServiceIntent:
    """Return a service with a number of servers in one failure domain."""
    return ServiceIntent(
        name="s",
        servers=tuple(
            BackendServer(name=f"i{n}", address=f"a:{n}", failure_domain="d1")
            for n in range(servers)
        ),
    )


class TestHomes:
    """A service with more servers than one home can probe gets several homes."""

    @pytest.mark.parametrize(("servers", "homes"), [(1, 1), (12, 1), (13, 2), (40, 4)])
    def test_number_of_homes(self, servers: int, homes: int) -> None:
        placement = place_service(make_service(servers), HOSTS, is_split=True)
        assert len(placement.homes["d1"]) == homes

    def test_each_server_has_one_owner(self) -> None:
        placement = place_service(make_service(40), HOSTS, is_split=True)
        assert len(placement.owners) == 40
        assert set(placement.owners.values()) <= set(placement.homes["d1"])

    def test_calls_get_free_slots_of_other_homes_of_the_domain(self) -> None:
        count = SERVERS_PER_HOME + 4
        servers = [
            ScriptedServer(name=f"s{n}", failure_domain="d1", slots=1, work_s=0.2)
            for n in range(count)
        ]
        world = SlotWorld(hosts={f"h{n}": "d1" for n in range(4)}, servers=servers)
        for n in range(12):
            world.call(f"h{n % 4}", f"w{n}")
            world.run_for(0.25)
        for n in range(count - 2):
            world.call(f"h{n % 4}", f"c{n}")
        world.run_for(1.0)
        late = [a for a in world.answers.values() if a.after_s > 0.3]
        assert len(late) <= 2
