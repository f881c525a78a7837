"""Few servers, each 7 times slower for a quarter of the time, and long work.

A run is as slow to its end as its server was when it began, so that a call which is
sent to a slow server is lost. The play counts what callers get.
"""

from dataclasses import dataclass
from functools import cache
from random import Random

import pytest

from siskinpier.core.configuration.intents import ServiceIntent
from siskinpier.core.routing.slow_spells import SlowSpells
from tests.standins.slot_world import (
    QUICK,
    Neighbours,
    ScriptedServer,
    SlotWorld,
    make_route,
)

DOMAINS = 5
HOSTS = {f"h{n}": f"d{n % DOMAINS}" for n in range(20)}
SLOTS = 4
WORK_S = 1.0
AIM_S = 2.5
TIMEOUT_S = 5.0
LENGTH_S = 60.0
# Where single servers are compared.
LONG_S = 120.0
# Shares of calls that may fail: the small deployment's quiet day, and the large one's.
FAILED_SMALL = 0.005
FAILED_LARGE = 0.001
BUSIEST = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Shares of calls that were answered in aim, answered late, and not answered."""

    in_aim: float
    late: float
    failed: float
    # Calls of the busiest server over the mean.
    busiest: float


@cache
def play(
    servers: int,
    rate: float,
    *,
    idempotent: bool,
    quick_rate: float = 0.0,
    length_s: float = LENGTH_S,
) -> Outcome:
    """Play calls at a rate a second on so many servers a failure domain.

    Calls of another route that take hardly any work come at `quick_rate`.
    """
    made = [
        ScriptedServer(
            name=f"s{n}",
            failure_domain=f"d{n % DOMAINS}",
            slots=SLOTS,
            work_s=WORK_S,
            neighbours=Neighbours(seed=n + 1, strikes_at_start=True),
        )
        for n in range(servers * DOMAINS)
    ]
    route = make_route(
        idempotent=idempotent, aim_s=AIM_S, timeout_s=TIMEOUT_S, attempts=2
    )
    service = ServiceIntent(name="films", retry_share=0.08, hedge_share=0.06)
    world = SlotWorld(hosts=HOSTS, servers=made, route=route, service=service)
    rng = Random(1)
    at, calls = 0.0, []
    while at < length_s:
        at += rng.expovariate(rate)
        host, call_id = rng.choice(list(HOSTS)), f"c{len(calls)}"
        world.after(at, lambda h=host, c=call_id: world.call(h, c, 10.0))  # type: ignore[misc]
        calls.append(call_id)
    _play_quick(world, rng, quick_rate)
    world.run_for(length_s + 12.0)
    answers = [world.answers[c] for c in calls]
    good = [a for a in answers if a.status == 200]
    in_aim = sum(a.after_s <= AIM_S for a in good)
    runs = [len(server.runs) for server in made]
    return Outcome(
        in_aim=in_aim / len(calls),
        late=(len(good) - in_aim) / len(calls),
        failed=1.0 - len(good) / len(calls),
        busiest=max(runs) * len(runs) / sum(runs),
    )


def _play_quick(world: SlotWorld, rng: Random, rate: float) -> None:
    at, number = 0.0, 0
    while rate > 0.0 and at < LENGTH_S:
        at += rng.expovariate(rate)
        host, call_id = rng.choice(list(HOSTS)), f"{QUICK}{number}"
        world.after(at, lambda h=host, c=call_id: world.call(h, c, 10.0))  # type: ignore[misc]
        number += 1


class TestSmall:
    """One to three servers a failure domain."""

    @pytest.mark.parametrize("servers", [1, 2, 3])
    @pytest.mark.parametrize("idempotent", [False, True])
    def test_calls_that_fail(self, servers: int, idempotent: bool) -> None:
        outcome = play(servers, 2.0 * servers, idempotent=idempotent)
        assert outcome.failed <= FAILED_SMALL
        assert outcome.in_aim >= 0.95


class TestMixed:
    """Quick calls of another route say nothing of how long the others run."""

    @pytest.mark.parametrize("servers", [1, 2])
    def test_calls_that_fail(self, servers: int) -> None:
        outcome = play(servers, 2.0 * servers, idempotent=False, quick_rate=8.0)
        assert outcome.failed <= FAILED_SMALL
        assert outcome.in_aim >= 0.95


class TestLarge:
    """Eight servers a failure domain."""

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_calls_that_fail(self, idempotent: bool) -> None:
        outcome = play(8, 20.0, idempotent=idempotent, length_s=LONG_S)
        assert outcome.failed <= FAILED_LARGE
        assert outcome.in_aim >= 0.99

    def test_busiest_server(self) -> None:
        assert play(8, 20.0, idempotent=False, length_s=LONG_S).busiest <= BUSIEST


class TestAllSlow:
    """Servers that are all slow for good serve what they can."""

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_calls_are_served(self, idempotent: bool) -> None:
        made = [
            ScriptedServer(name=f"s{n}", failure_domain="d0", work_s=0.1, slowdown=4.0)
            for n in range(3)
        ]
        route = make_route(idempotent=idempotent, aim_s=1.0, timeout_s=5.0)
        world = SlotWorld(hosts={"h0": "d0", "h1": "d0"}, servers=made, route=route)
        for n in range(40):
            world.call("h1", f"c{n}", 10.0)
            world.run_for(0.2)
        world.run_for(5.0)
        assert {answer.status for answer in world.answers.values()} == {200}

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_call_that_came_as_they_became_slow(self, idempotent: bool) -> None:
        made = [ScriptedServer(name="s0", failure_domain="d0", work_s=0.1)]
        route = make_route(idempotent=idempotent, aim_s=1.0, timeout_s=5.0)
        world = SlotWorld(hosts={"h0": "d0", "h1": "d0"}, servers=made, route=route)
        made[0].slowdown = 9.0
        world.run_for(0.3)
        world.call("h1", "c", 10.0)
        # Nothing else happens that would have the home look at its queue.
        world.run_for(6.0)
        assert world.answers["c"].status == 200


class TestSilent:
    """A server that leaves all questions unanswered."""

    def play(self, *, idempotent: bool) -> SlotWorld:
        """Play calls on two servers of which one falls silent, and one is slow."""
        made = [
            ScriptedServer(
                name=f"s{n}", failure_domain="d0", slots=2, work_s=0.05, slowdown=4.0
            )
            for n in range(2)
        ]
        route = make_route(idempotent=idempotent, aim_s=0.5, timeout_s=2.0)
        world = SlotWorld(hosts={"h0": "d0", "h1": "d0"}, servers=made, route=route)
        made[0].is_silent = True
        world.run_for(0.5)
        for n in range(30):
            world.call("h1", f"c{n}", 2.0)
            world.run_for(0.11)
        world.run_for(3.0)
        return world

    def test_no_call_is_lost_that_may_not_be_repeated(self) -> None:
        world = self.play(idempotent=False)
        assert world.servers["s0"].runs == []
        statuses = [answer.status for answer in world.answers.values()]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 20

    def test_server_that_just_went_dark(self) -> None:
        made = [
            ScriptedServer(
                name=f"s{n}",
                failure_domain="d0",
                work_s=0.5,
                neighbours=Neighbours(seed=n + 1, strikes_at_start=True),
            )
            for n in range(3)
        ]
        route = make_route(idempotent=False, aim_s=1.5, timeout_s=5.0)
        world = SlotWorld(hosts={"h0": "d0", "h1": "d0"}, servers=made, route=route)
        for n in range(100):
            world.call("h1", f"c{n}", 5.0)
            world.run_for(0.25)
        made[0].is_silent = True
        made[0].runs.clear()
        for n in range(100, 110):
            # All come before its silence is noticed.
            world.call("h1", f"c{n}", 5.0)
            world.run_for(0.03)
        world.run_for(8.0)
        assert made[0].runs == []
        statuses = [world.answers[f"c{n}"].status for n in range(100, 110)]
        assert statuses == [200] * 10

    def test_only_server(self) -> None:
        made = [ScriptedServer(name="s0", failure_domain="d0")]
        route = make_route(idempotent=False)
        world = SlotWorld(hosts={"h0": "d0"}, servers=made, route=route)
        made[0].is_silent = True
        world.run_for(0.5)
        world.call("h0", "c")
        world.run_for(2.0)
        assert world.servers["s0"].runs == ["c"]


class TestLearning:
    """What spells do to runs is learnt, not assumed."""

    def test_runs_that_spells_do_not_touch(self) -> None:
        slow_period_stats = SlowSpells()
        for _ in range(40):
            slow_period_stats.note_midway(0.0, 0.5)
        assert slow_period_stats.midway_part < 0.05

    def test_runs_that_outlive_the_spell(self) -> None:
        slow_period_stats = SlowSpells()
        for _ in range(40):
            slow_period_stats.note_begun(run_s=1.3, typical_run_s=1.0, slowdown=7.0)
        assert slow_period_stats.get_begun_s(1.0, 7.0) == pytest.approx(1.3, abs=0.15)

    def test_long_spell_is_not_waited_for(self) -> None:
        slow_period_stats = SlowSpells(length_s=0.5)
        assert slow_period_stats.get_wait_s([0.3]) == pytest.approx(0.25)
        assert slow_period_stats.get_wait_s([4.0, 5.0]) == 4.0
        assert slow_period_stats.get_wait_s([4.0, 0.1]) == pytest.approx(0.25)

    def test_length_and_onset(self) -> None:
        slow_period_stats = SlowSpells()
        for _ in range(100):
            slow_period_stats.note_fast(1.5, has_ended=True)
            slow_period_stats.note_spell(0.5, 7.0)
        assert slow_period_stats.length_s == pytest.approx(0.5, abs=0.02)
        assert slow_period_stats.slowdown == pytest.approx(7.0)
        assert slow_period_stats.get_onset_chance(0.1) == pytest.approx(
            0.1 / 1.5, abs=0.01
        )
