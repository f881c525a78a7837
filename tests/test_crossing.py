"""Tests of cross-domain calls, which must gain enough for the bytes they transfer.

A rule that is too strict keeps calls at slow servers; one that is too lax moves large
calls between failure domains for a small gain.
"""

import pytest

from siskinpier.core.routing.calls import ActiveCall, Call
from siskinpier.core.routing.cross_domain import (
    can_cross_domains,
    compute_on_time_probability,
    is_cross_domain_worthwhile,
)
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld, make_route

HOSTS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


def make_active(size: float, aim_s: float = 0.2) -> ActiveCall:
    """Return a call of `size` bytes that has just arrived."""
    call = Call(
        call_id="c",
        service="s",
        method="GET",
        path="/",
        caller="",
        deadline=2.0,
    )
    return ActiveCall(
        call=call, urgency=1, idempotent=True, arrived=1.0, aim_s=aim_s, size=size
    )


class TestRequiredGain:
    """The gain that a call must bring rises with its size."""

    @pytest.mark.parametrize(
        ("size", "expected_s", "is_useful"),
        [(400.0, 0.5, True), (400.0, 0.1, False), (5_000.0, 0.5, True)],
    )
    def test_gain_against_size(
        self, size: float, expected_s: float, is_useful: bool
    ) -> None:
        active = make_active(size)
        assert is_cross_domain_worthwhile(active, expected_s, 0.05, 1.0) is is_useful

    def test_large_call_never_crosses_domains(self) -> None:
        assert not can_cross_domains(make_active(50_000.0))

    def test_chance_falls_with_time(self) -> None:
        probabilities = [
            compute_on_time_probability(s / 100, 0.2) for s in range(0, 40)
        ]
        assert probabilities == sorted(probabilities, reverse=True)
        assert (probabilities[0], probabilities[-1]) == (1.0, 0.0)
        assert compute_on_time_probability(0.1, 0.0) == 0.0


class TestSpareSlots:
    """A call whose own failure domain is slow takes a spare slot of another one."""

    def make_world(self) -> SlotWorld:
        servers = [
            ScriptedServer(name="sa", failure_domain="a", work_s=0.05),
            ScriptedServer(name="sb", failure_domain="b", work_s=0.05),
        ]
        world = SlotWorld(hosts=HOSTS, servers=servers, route=make_route(aim_s=0.1))
        for n in range(30):
            world.call(list(HOSTS)[n % 4], f"w{n}")
            world.run_for(0.06)
        return world

    def test_slow_domain_is_avoided(self) -> None:
        world = self.make_world()
        world.servers["sa"].slowdown = 7.0
        world.run_for(0.3)
        for host in ("a1", "a2"):
            world.call(host, f"x-{host}")
            world.run_for(0.5)
            assert world.answers[f"x-{host}"].after_s < 0.1
            assert (f"x-{host}", "sb") in world.sent

    def test_fast_domain_is_preferred(self) -> None:
        world = self.make_world()
        for host in ("a1", "a2"):
            world.call(host, f"x-{host}")
            world.run_for(0.5)
            assert (f"x-{host}", "sa") in world.sent

    def test_each_call_runs_once(self) -> None:
        world = self.make_world()
        world.servers["sa"].slowdown = 7.0
        world.run_for(0.3)
        for n in range(12):
            world.call("a1", f"x{n}")
        world.run_for(2.0)
        calls = [call for call, _ in world.sent if call.startswith("x")]
        assert len(calls) == len(set(calls)) or all(
            world.answers[c].status == 200 for c in calls
        )
