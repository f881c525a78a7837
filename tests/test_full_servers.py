"""Tests of the last slot of servers that slow down when nearly full.

In an overload such servers complete fewer calls if all their slots are used.
"""

import pytest

from siskinpier.core.routing.last_slots import is_last_slot_harmful, record_run
from siskinpier.core.state import ServiceRuntime
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld, make_route

HOSTS = {"h1": "d1", "h2": "d1", "h3": "d1"}
SLOTS = 3


def run_overload(full_factor: float) -> tuple[int, int]:
    """Run a steady overload; return how many calls met their objective, of how many."""
    servers = [
        ScriptedServer(
            name=f"s{n}",
            failure_domain="d1",
            slots=SLOTS,
            work_s=0.1,
            full_factor=full_factor,
        )
        for n in range(3)
    ]
    route = make_route(idempotent=False, aim_s=0.35, timeout_s=1.0)
    world = SlotWorld(hosts=HOSTS, servers=servers, route=route)
    calls = 600
    for n in range(calls):
        world.after(n * 0.016, lambda n=n: world.call(f"h{n % 3 + 1}", f"c{n}"))  # type: ignore[misc]
    world.run_for(14.0)
    met = [a for a in world.answers.values() if a.status == 200 and a.after_s <= 0.35]
    return len(met), calls


class TestLastSlot:
    """The last slot stays free where servers complete more calls without it."""

    @pytest.mark.parametrize(
        ("full_s", "slots", "is_harmful"),
        [(0.17, 3, True), (0.14, 3, False), (0.1, 4, False), (0.14, 4, True)],
    )
    def test_harm_by_run_time(
        self, full_s: float, slots: int, is_harmful: bool
    ) -> None:
        world = SlotWorld(
            hosts=HOSTS, servers=[ScriptedServer(name="s", failure_domain="d1")]
        )
        service: ServiceRuntime = world.states["h1"].services["films"]
        for _ in range(30):
            record_run(service, 0.1, took_last_slot=False)
            record_run(service, full_s, took_last_slot=True)
        assert is_last_slot_harmful(service, slots) is is_harmful

    def test_few_runs_show_no_harm(self) -> None:
        world = SlotWorld(
            hosts=HOSTS, servers=[ScriptedServer(name="s", failure_domain="d1")]
        )
        service = world.states["h1"].services["films"]
        record_run(service, 0.1, took_last_slot=False)
        record_run(service, 1.0, took_last_slot=True)
        assert not is_last_slot_harmful(service, 3)

    def test_more_calls_meet_their_objective(self) -> None:
        # About 60 calls arrive per second. The servers complete 60 with two slots each
        # at full speed, and 53 with three slots slowed by a factor of 1.7.
        met, calls = run_overload(full_factor=1.7)
        assert met >= 0.8 * calls
