"""Tests of a home's call queue: order, bound, and refusals.

A refusal must not deny a run that may have happened, and late events of an attempt must
not answer a call that is queued again.
"""

from bench.trial import SEARCH
from siskinpier.core.effects import RefuseCall, SendAttempt
from siskinpier.core.events import (
    AttemptFailed,
    CallArrived,
    ReplyFinished,
    ReplyStarted,
    ShutdownRequested,
)
from siskinpier.core.reducer import reduce
from siskinpier.core.routing.balance import ServerRuntime
from siskinpier.core.routing.call_queue import CallQueue
from siskinpier.core.routing.calls import ActiveCall, Call
from siskinpier.core.state import HostState
from siskinpier.core.verdict import AttemptFailure, Verdict
from tests.test_policy_under_faults import make_service, make_world

NOW = 2_000_000.0


def make_host(**changes: object) -> HostState:
    """Return the state of the only host, which owns all six servers."""
    world = make_world(make_service(**changes), hosts=1)
    return next(iter(world.hosts.values())).state


def deliver_call(
    state: HostState, number: int, urgency: int = 3, deadline_s: float = 1.0
) -> list[object]:
    """Let a call arrive; return the effects."""
    call = Call(
        call_id=f"c{number}",
        service="lookups",
        method="GET",
        path="/",
        caller="caller",
        deadline=NOW + deadline_s,
        urgency=urgency,
    )
    return list(reduce(state, CallArrived(now=NOW, call=call)))


def fill_slots(state: HostState) -> int:
    """Take every slot; return the number of calls that took them."""
    count = SEARCH.slots * 6
    for number in range(count):
        deliver_call(state, number)
    return count


class TestLastHost:
    """A leaving host without a successor for its servers still queues calls."""

    def test_late_calls_wait_for_a_slot(self) -> None:
        state = make_host()
        taken = fill_slots(state)
        reduce(state, ShutdownRequested(now=NOW))
        assert get_refusals(deliver_call(state, taken)) == {}
        reduce(state, ReplyStarted(now=NOW, call_id="c0", attempt=0, status=200))
        ended = reduce(state, ReplyFinished(now=NOW, call_id="c0", attempt=0))
        sent = [effect for effect in ended if isinstance(effect, SendAttempt)]
        assert [effect.call_id for effect in sent] == [f"c{taken}"]


def get_refusals(effects: list[object]) -> dict[str, Verdict]:
    """Return the verdict of each refused call."""
    return {
        effect.call_id: effect.problem.verdict
        for effect in effects
        if isinstance(effect, RefuseCall)
    }


class TestCallQueue:
    """The order of queued calls."""

    def test_order_is_urgency_then_deadline_then_arrival(self) -> None:
        queue = CallQueue()
        for name, urgency, deadline in (
            ("late", 3, 9.0),
            ("soon", 3, 5.0),
            ("same", 3, 5.0),
            ("urgent", 0, 9.0),
        ):
            call = Call(
                call_id=name,
                service="s",
                method="GET",
                path="/",
                caller="c",
                deadline=deadline,
            )
            active = ActiveCall(call=call, urgency=urgency, idempotent=True, arrived=0)
            queue.push(active)
        assert queue.get_call_ids() == ["urgent", "soon", "same", "late"]


class TestRefusals:
    """The verdict and Retry-After of refused calls."""

    def test_full_queue_refuses_its_last_call_for_an_urgent_one(self) -> None:
        state = make_host(queue_limit=2)
        count = fill_slots(state)
        for number in (count, count + 1):
            deliver_call(state, number)
        assert get_refusals(deliver_call(state, 100, urgency=3)) == {
            "c100": Verdict.NOT_RUN
        }
        refused = get_refusals(deliver_call(state, 101, urgency=0))
        assert refused == {f"c{count + 1}": Verdict.NOT_RUN}

    def test_call_that_may_have_run_is_never_refused_as_not_run(self) -> None:
        """Its first attempt broke off, and then the queue was full."""
        state = make_host(queue_limit=1)
        count = fill_slots(state)
        deliver_call(state, count)
        failed = AttemptFailed(
            now=NOW, call_id="c0", attempt=0, failure=AttemptFailure.RESET
        )
        refused = get_refusals(list(reduce(state, failed)))
        refused |= get_refusals(deliver_call(state, 200, urgency=0))
        assert refused.get("c0") is Verdict.MAY_HAVE_RUN

    def test_call_that_cannot_be_answered_in_time_is_refused_at_once(self) -> None:
        state = make_host()
        state.services["lookups"].service_time_s = 0.1
        count = fill_slots(state)
        effects = deliver_call(state, count, deadline_s=0.05)
        (refusal,) = [e for e in effects if isinstance(e, RefuseCall)]
        assert refusal.problem.verdict is Verdict.NOT_RUN
        assert refusal.problem.retry_after_s is not None

    def test_retry_after_grows_with_the_queue(self) -> None:
        state = make_host(queue_limit=200)
        state.services["lookups"].service_time_s = 0.1
        delays_s: list[float] = []
        for number in range(400):
            for effect in deliver_call(state, number, deadline_s=100.0):
                if isinstance(effect, RefuseCall):
                    delays_s.append(effect.problem.retry_after_s or 0.0)
        assert delays_s and min(delays_s) >= 200 * 0.1 / 24


class TestLateEvents:
    """Late events of an abandoned attempt are ignored."""

    def test_late_reply_does_not_answer_a_call_that_is_queued_again(self) -> None:
        state = make_host()
        count = fill_slots(state)
        for number in range(count, count + 4):
            deliver_call(state, number)
        failed = AttemptFailed(
            now=NOW, call_id="c0", attempt=0, failure=AttemptFailure.CONNECT_REFUSED
        )
        reduce(state, failed)
        assert "c0" in state.services["lookups"].queue.get_call_ids()
        late = ReplyStarted(now=NOW, call_id="c0", attempt=0, status=200)
        assert reduce(state, late) == []
        reduce(state, ReplyFinished(now=NOW, call_id="c0", attempt=0))
        for number in range(1, count):
            reply = ReplyStarted(now=NOW, call_id=f"c{number}", attempt=0, status=200)
            reduce(state, reply)
            reduce(state, ReplyFinished(now=NOW, call_id=f"c{number}", attempt=0))
        assert state.calls["c0"].attempts[-1].number == 1


class TestOvertaking:
    """A call that avoids the servers it tried does not block later calls."""

    def test_call_that_avoids_a_server_does_not_block_others(self) -> None:
        state = make_host()
        service = state.services["lookups"]
        count = fill_slots(state)
        victim = _find_target(state, "c0")
        deliver_call(state, count, deadline_s=2.0)
        failed = AttemptFailed(
            now=NOW, call_id="c0", attempt=0, failure=AttemptFailure.CONNECT_REFUSED
        )
        effects = list(reduce(state, failed))
        sent = [e for e in effects if isinstance(e, SendAttempt)]
        assert victim.in_flight == 4
        assert [e.call_id for e in sent] == [f"c{count}"]
        assert service.queue.get_call_ids() == ["c0"]

    def test_rejecting_reply_frees_its_slot_for_the_next_call(self) -> None:
        state = make_host()
        count = fill_slots(state)
        deliver_call(state, count)
        reply = ReplyStarted(now=NOW, call_id="c0", attempt=0, status=503)
        sent = [e for e in reduce(state, reply) if isinstance(e, SendAttempt)]
        assert [e.call_id for e in sent] == [f"c{count}"]


def _find_target(state: HostState, call_id: str) -> ServerRuntime:
    attempt = state.calls[call_id].attempt
    assert attempt is not None
    return state.services["lookups"].servers[attempt.target]
