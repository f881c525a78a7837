"""Tests of hedging, in virtual time and event by event.

A call with two attempts must not get two answers or leave a slot in use, and hedges
must not become a load of their own when servers are slow.
"""

from bench.virtual import World
from siskinpier.core.effects import AbandonAttempt, Effect, RelayReply, SendAttempt
from siskinpier.core.events import AttemptFailed, Event, ReplyStarted, TimerFired
from siskinpier.core.reducer import reduce
from siskinpier.core.state import MAX_RETRY_TOKENS, HostState
from siskinpier.core.timers import CallDeadline, HedgeDue
from siskinpier.core.verdict import AttemptFailure
from tests.test_policy_under_faults import call_steadily, make_service, make_world
from tests.test_waiting import NOW, deliver_call, make_host

SHARE = 0.05


def make_host_with_hedge() -> HostState:
    """Return a host with one call that runs on two servers."""
    state = make_host(hedge_share=SHARE)
    service = state.services["lookups"]
    service.hedge_after_s = 0.01
    service.hedges.tokens = 1.0
    deliver_call(state, 0)
    fire(state, TimerFired(now=NOW, timer=HedgeDue(call_id="c0")))
    assert count_in_flight(state) == 2
    return state


def fire(state: HostState, event: Event) -> list[Effect]:
    """Pass an event to the core."""
    return reduce(state, event)


def count_in_flight(state: HostState) -> int:
    """Return the number of slots in use."""
    return sum(s.in_flight for s in state.services["lookups"].servers.values())


def count_runs(world: World) -> int:
    """Return the number of runs in the journals of all servers."""
    return sum(len(server.journal) for server in world.servers.values())


class TestTwoAttempts:
    """A call with two attempts gets one answer and frees both slots."""

    def test_first_good_reply_is_relayed_and_other_attempt_cancelled(self) -> None:
        for winner in (0, 1):
            state = make_host_with_hedge()
            reply = ReplyStarted(now=NOW, call_id="c0", attempt=winner, status=200)
            effects = fire(state, reply)
            relayed = [e.attempt for e in effects if isinstance(e, RelayReply)]
            cancelled = [e.attempt for e in effects if isinstance(e, AbandonAttempt)]
            assert (relayed, cancelled) == ([winner], [1 - winner])
            assert count_in_flight(state) == 1
            late = ReplyStarted(now=NOW, call_id="c0", attempt=1 - winner, status=200)
            assert not [e for e in fire(state, late) if isinstance(e, RelayReply)]

    def test_other_attempt_is_relayed_when_one_fails(self) -> None:
        for failed in (0, 1):
            state = make_host_with_hedge()
            failure = AttemptFailed(
                now=NOW, call_id="c0", attempt=failed, failure=AttemptFailure.RESET
            )
            sent = [e for e in fire(state, failure) if isinstance(e, SendAttempt)]
            assert not sent and count_in_flight(state) == 1
            reply = ReplyStarted(now=NOW, call_id="c0", attempt=1 - failed, status=200)
            assert [e for e in fire(state, reply) if isinstance(e, RelayReply)]

    def test_deadline_frees_both_slots(self) -> None:
        state = make_host_with_hedge()
        fire(state, TimerFired(now=NOW + 1, timer=CallDeadline(call_id="c0")))
        assert count_in_flight(state) == 0


class TestBudget:
    """Hedges stay within their budget and exclude non-idempotent calls."""

    def test_hedges_stay_within_their_share_of_fresh_calls(self) -> None:
        world = make_world(make_service(hedge_share=SHARE))
        for server in list(world.servers.values())[:3]:
            server.slow_factor = 10.0
        call_steadily(world, rate=300, length_s=3.0)
        hosts = len(world.hosts)
        assert count_runs(world) > 900
        assert count_runs(world) <= 900 * (1 + SHARE) + hosts * MAX_RETRY_TOKENS

    def test_non_idempotent_call_is_never_hedged(self) -> None:
        world = make_world(make_service(hedge_share=1.0))
        for server in list(world.servers.values())[:3]:
            server.slow_factor = 10.0
        call_steadily(world, rate=300, length_s=2.0)
        before = count_runs(world)
        call_steadily(world, rate=300, length_s=1.0, method="POST")
        assert count_runs(world) - before == 300
