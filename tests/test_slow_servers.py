"""Tests with few servers, long work, and slow periods of the servers.

Each server is 7 times slower for a quarter of the time. A run is as slow to its end as
its server was at the start, so a call that is sent to a slow server is lost. The
simulation counts the answers that callers get.
"""

from dataclasses import dataclass
from functools import cache
from random import Random

import pytest

from siskinpier.core.configuration.intents import ServiceIntent
from siskinpier.core.routing.slow_periods import SlowPeriods
from tests.standins.scripted_server import QUICK_PREFIX, Neighbours, ScriptedServer
from tests.standins.slot_world import SlotWorld, make_route

DOMAINS = 5
HOSTS = {f"h{n}": f"d{n % DOMAINS}" for n in range(20)}
SLOTS = 4
WORK_S = 1.0
AIM_S = 2.5
TIMEOUT_S = 5.0
LENGTH_S = 60.0
# Length of simulations that compare single servers.
LONG_S = 120.0
# Largest shares of failed calls, in the small and in the large deployment.
FAILED_SMALL = 0.005
FAILED_LARGE = 0.001
MAX_BUSIEST = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Shares of calls that met the latency objective, were late, and failed."""

    on_time: float
    late: float
    failed: float
    # Calls of the busiest server relative to the mean.
    busiest: float


@cache
def simulate(
    servers: int,
    rate: float,
    *,
    idempotent: bool,
    quick_rate: float = 0.0,
    length_s: float = LENGTH_S,
) -> Outcome:
    """Simulate calls at a rate per second with so many servers per failure domain.

    Calls of another route with hardly any work arrive at `quick_rate`.
    """
    scripted = [
        ScriptedServer(
            name=f"s{n}",
            failure_domain=f"d{n % DOMAINS}",
            slots=SLOTS,
            work_s=WORK_S,
            neighbours=Neighbours(seed=n + 1, is_fixed_at_start=True),
        )
        for n in range(servers * DOMAINS)
    ]
    route = make_route(
        idempotent=idempotent, aim_s=AIM_S, timeout_s=TIMEOUT_S, attempts=2
    )
    service = ServiceIntent(name="films", retry_share=0.08, hedge_share=0.06)
    world = SlotWorld(hosts=HOSTS, servers=scripted, route=route, service=service)
    rng = Random(1)
    at, calls = 0.0, []
    while at < length_s:
        at += rng.expovariate(rate)
        host, call_id = rng.choice(list(HOSTS)), f"c{len(calls)}"
        world.after(at, lambda h=host, c=call_id: world.call(h, c, 10.0))  # type: ignore[misc]
        calls.append(call_id)
    _schedule_quick_calls(world, rng, quick_rate)
    world.run_for(length_s + 12.0)
    answers = [world.answers[c] for c in calls]
    good = [a for a in answers if a.status == 200]
    on_time = sum(a.after_s <= AIM_S for a in good)
    runs = [len(server.runs) for server in scripted]
    return Outcome(
        on_time=on_time / len(calls),
        late=(len(good) - on_time) / len(calls),
        failed=1.0 - len(good) / len(calls),
        busiest=max(runs) * len(runs) / sum(runs),
    )


def _schedule_quick_calls(world: SlotWorld, rng: Random, rate: float) -> None:
    at, number = 0.0, 0
    while rate > 0.0 and at < LENGTH_S:
        at += rng.expovariate(rate)
        host, call_id = rng.choice(list(HOSTS)), f"{QUICK_PREFIX}{number}"
        world.after(at, lambda h=host, c=call_id: world.call(h, c, 10.0))  # type: ignore[misc]
        number += 1


class TestSmall:
    """One to three servers per failure domain."""

    @pytest.mark.parametrize("servers", [1, 2, 3])
    @pytest.mark.parametrize("idempotent", [False, True])
    def test_calls_that_fail(self, servers: int, idempotent: bool) -> None:
        outcome = simulate(servers, 2.0 * servers, idempotent=idempotent)
        assert outcome.failed <= FAILED_SMALL
        assert outcome.on_time >= 0.95


class TestMixed:
    """Quick calls of one route must not distort the run times of another route."""

    @pytest.mark.parametrize("servers", [1, 2])
    def test_calls_that_fail(self, servers: int) -> None:
        outcome = simulate(servers, 2.0 * servers, idempotent=False, quick_rate=8.0)
        assert outcome.failed <= FAILED_SMALL
        assert outcome.on_time >= 0.95


class TestLarge:
    """Eight servers per failure domain."""

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_calls_that_fail(self, idempotent: bool) -> None:
        outcome = simulate(8, 20.0, idempotent=idempotent, length_s=LONG_S)
        assert outcome.failed <= FAILED_LARGE
        assert outcome.on_time >= 0.99

    def test_busiest_server(self) -> None:
        assert (
            simulate(8, 20.0, idempotent=False, length_s=LONG_S).busiest <= MAX_BUSIEST
        )


class TestAllSlow:
    """Servers that are all permanently slow still serve calls."""

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_calls_are_served(self, idempotent: bool) -> None:
        scripted = [
            ScriptedServer(name=f"s{n}", failure_domain="d0", work_s=0.1, slowdown=4.0)
            for n in range(3)
        ]
        route = make_route(idempotent=idempotent, aim_s=1.0, timeout_s=5.0)
        world = SlotWorld(hosts={"h0": "d0", "h1": "d0"}, servers=scripted, route=route)
        for n in range(40):
            world.call("h1", f"c{n}", 10.0)
            world.run_for(0.2)
        world.run_for(5.0)
        assert {answer.status for answer in world.answers.values()} == {200}

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_call_that_arrives_as_servers_become_slow(self, idempotent: bool) -> None:
        scripted = [ScriptedServer(name="s0", failure_domain="d0", work_s=0.1)]
        route = make_route(idempotent=idempotent, aim_s=1.0, timeout_s=5.0)
        world = SlotWorld(hosts={"h0": "d0", "h1": "d0"}, servers=scripted, route=route)
        scripted[0].slowdown = 9.0
        world.run_for(0.3)
        world.call("h1", "c", 10.0)
        # No other event makes the home check its queue.
        world.run_for(6.0)
        assert world.answers["c"].status == 200


class TestSilent:
    """A server that leaves all probes and calls unanswered."""

    def simulate(self, *, idempotent: bool) -> SlotWorld:
        """Simulate calls on two slow servers of which one is silent."""
        scripted = [
            ScriptedServer(
                name=f"s{n}", failure_domain="d0", slots=2, work_s=0.05, slowdown=4.0
            )
            for n in range(2)
        ]
        route = make_route(idempotent=idempotent, aim_s=0.5, timeout_s=2.0)
        world = SlotWorld(hosts={"h0": "d0", "h1": "d0"}, servers=scripted, route=route)
        scripted[0].is_silent = True
        world.run_for(0.5)
        for n in range(30):
            world.call("h1", f"c{n}", 2.0)
            world.run_for(0.11)
        world.run_for(3.0)
        return world

    def test_no_non_idempotent_call_is_lost(self) -> None:
        world = self.simulate(idempotent=False)
        assert world.servers["s0"].runs == []
        statuses = [answer.status for answer in world.answers.values()]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 20

    def test_server_that_just_became_silent(self) -> None:
        scripted = [
            ScriptedServer(
                name=f"s{n}",
                failure_domain="d0",
                work_s=0.5,
                neighbours=Neighbours(seed=n + 1, is_fixed_at_start=True),
            )
            for n in range(3)
        ]
        route = make_route(idempotent=False, aim_s=1.5, timeout_s=5.0)
        world = SlotWorld(hosts={"h0": "d0", "h1": "d0"}, servers=scripted, route=route)
        for n in range(100):
            world.call("h1", f"c{n}", 5.0)
            world.run_for(0.25)
        scripted[0].is_silent = True
        scripted[0].runs.clear()
        for n in range(100, 110):
            # All arrive before its silence is noticed.
            world.call("h1", f"c{n}", 5.0)
            world.run_for(0.03)
        world.run_for(8.0)
        assert scripted[0].runs == []
        statuses = [world.answers[f"c{n}"].status for n in range(100, 110)]
        assert statuses == [200] * 10

    def test_only_server(self) -> None:
        scripted = [ScriptedServer(name="s0", failure_domain="d0")]
        route = make_route(idempotent=False)
        world = SlotWorld(hosts={"h0": "d0"}, servers=scripted, route=route)
        scripted[0].is_silent = True
        world.run_for(0.5)
        world.call("h0", "c")
        world.run_for(2.0)
        assert world.servers["s0"].runs == ["c"]


class TestLearning:
    """The effect of slow periods on runs is learned, not assumed."""

    def test_runs_that_slow_periods_do_not_affect(self) -> None:
        statistics = SlowPeriods()
        for _ in range(40):
            statistics.record_slowed_midway(0.0, 0.5)
        assert statistics.midway_slow_share < 0.05

    def test_runs_that_outlast_the_slow_period(self) -> None:
        statistics = SlowPeriods()
        for _ in range(40):
            statistics.record_begun_slow(run_s=1.3, typical_run_s=1.0, slowdown=7.0)
        assert statistics.estimate_begun_slow_s(1.0, 7.0) == pytest.approx(
            1.3, abs=0.15
        )

    def test_long_period_is_not_waited_for(self) -> None:
        statistics = SlowPeriods(length_s=0.5)
        assert statistics.estimate_recovery_s([0.3]) == pytest.approx(0.25)
        assert statistics.estimate_recovery_s([4.0, 5.0]) == 4.0
        assert statistics.estimate_recovery_s([4.0, 0.1]) == pytest.approx(0.25)

    def test_length_and_onset(self) -> None:
        statistics = SlowPeriods()
        for _ in range(100):
            statistics.record_fast_time(1.5, has_ended=True)
            statistics.record_slow_period(0.5, 7.0)
        assert statistics.length_s == pytest.approx(0.5, abs=0.02)
        assert statistics.slowdown == pytest.approx(7.0)
        assert statistics.estimate_onset_probability(0.1) == pytest.approx(
            0.1 / 1.5, abs=0.01
        )
