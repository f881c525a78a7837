"""Tests of the last slot of servers that slow down when they are nearly full."""

import pytest

from siskinpier.core.routing.full_servers import is_last_slot_harmful, learn_run
from siskinpier.core.state import ServiceRuntime
from tests.standins.slot_world import ScriptedServer, SlotWorld, make_route

HOSTS = {"h1": "d1", "h2": "d1", "h3": "d1"}
SLOTS = 3


def play(knee: float) -> tuple[int, int]:
    """Return the calls that kept their aim in a steady overload, and all calls."""
    servers = [
        ScriptedServer(
            name=f"s{n}", failure_domain="d1", slots=SLOTS, work_s=0.1, knee=knee
        )
        for n in range(3)
    ]
    route = make_route(idempotent=False, aim_s=0.35, timeout_s=1.0)
    world = SlotWorld(hosts=HOSTS, servers=servers, route=route)
    calls = 600
    for n in range(calls):
        world.after(n * 0.016, lambda n=n: world.call(f"h{n % 3 + 1}", f"c{n}"))  # type: ignore[misc]
    world.run_for(14.0)
    kept = [a for a in world.answers.values() if a.status == 200 and a.after_s <= 0.35]
    return len(kept), calls


class TestLastSlot:
    """It stays free where servers finish more without it."""

    @pytest.mark.parametrize(
        ("full_s", "slots", "is_harmful"),
        [(0.17, 3, True), (0.14, 3, False), (0.1, 4, False), (0.14, 4, True)],
    )
    def test_judgement(self, full_s: float, slots: int, is_harmful: bool) -> None:
        world = SlotWorld(
            hosts=HOSTS, servers=[ScriptedServer(name="s", failure_domain="d1")]
        )
        service: ServiceRuntime = world.states["h1"].services["films"]
        for _ in range(30):
            learn_run(service, 0.1, was_full=False)
            learn_run(service, full_s, was_full=True)
        assert is_last_slot_harmful(service, slots) is is_harmful

    def test_nothing_is_judged_from_few_runs(self) -> None:
        world = SlotWorld(
            hosts=HOSTS, servers=[ScriptedServer(name="s", failure_domain="d1")]
        )
        service = world.states["h1"].services["films"]
        learn_run(service, 0.1, was_full=False)
        learn_run(service, 1.0, was_full=True)
        assert not is_last_slot_harmful(service, 3)

    def test_more_calls_keep_their_aim(self) -> None:
        # 60 calls a second; two slots a server at full speed make 60, three slowed
        # by 1.7 make 53.
        kept, calls = play(knee=1.7)
        assert kept >= 0.8 * calls
