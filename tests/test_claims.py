"""Claims of calls that may run at most once, on real cores in virtual time."""

from dataclasses import replace
from typing import Final

import pytest

from bench.virtual import World
from bench.virtual.deployment import make_deployment
from siskinpier.core.claims.messages import KeptReply
from siskinpier.core.claims.store import (
    OBJECT_LIMIT_BYTES,
    Entry,
    EntryState,
    compute_shard,
    decode_entries,
    encode_entries,
    make_claim_id,
)
from siskinpier.core.cluster.rendezvous import choose_node
from siskinpier.core.configuration.intents import (
    BackendServer,
    CallRule,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.events import ShutdownRequested
from siskinpier.core.routing.calls import Call
from siskinpier.core.verdict import Verdict

DEADLINE_S: Final = 5.0
REFUSAL_LIMIT_S: Final = 0.1


def make_payments() -> RoutingIntents:
    """Return one service whose GET calls are idempotent and whose others are not."""
    servers = tuple(
        BackendServer(
            name=f"pay-{number}",
            address=f"10.0.0.{number}:80",
            failure_domain=f"domain-{number % 3}",
        )
        for number in range(3)
    )
    rule = CallRule(methods=("GET",), idempotent=True)
    service = ServiceIntent(
        name="payments", deadline_s=DEADLINE_S, servers=servers, rules=(rule,)
    )
    return RoutingIntents(services=(service,))


def make_call(world: World, call_id: str, key: str | None, **fields: str) -> Call:
    """Return a call, by default a payment of the caller `caller`."""
    return Call(
        call_id=call_id,
        service="payments",
        method=fields.get("method", "POST"),
        path="/pay",
        caller=fields.get("caller", "caller"),
        deadline=world.now + DEADLINE_S,
        key=key,
        fingerprint=fields.get("fingerprint", "print"),
    )


def list_runs(world: World) -> list[str]:
    """Return the ids of the calls that ran, once per run."""
    return [run.call.call_id for s in world.servers.values() for run in s.journal]


@pytest.fixture
def world() -> World:
    """Return three hosts with the intents of `make_payments` in force."""
    return make_deployment(intents=make_payments(), hosts=3, seed=1)


class TestClaims:
    """A key runs once, and later calls with it get its reply or a refusal."""

    def test_second_call_in_flight_gets_the_same_reply(self, world: World) -> None:
        world.call("host-0", make_call(world, "one", "key"))
        world.call("host-1", make_call(world, "two", "key"))
        world.run_for(1.0)
        assert len(list_runs(world)) == 1
        run_ids = {world.answers[name].run_call_id for name in ("one", "two")}
        assert run_ids == set(list_runs(world))

    def test_later_call_gets_the_kept_reply(self, world: World) -> None:
        world.call("host-0", make_call(world, "one", "key"))
        world.run_for(1.0)
        world.call("host-2", make_call(world, "two", "key"))
        world.run_for(1.0)
        assert list_runs(world) == ["one"]
        assert world.answers["two"].run_call_id == "one"

    def test_other_request_with_the_key_is_refused(self, world: World) -> None:
        world.call("host-0", make_call(world, "one", "key"))
        world.run_for(1.0)
        world.call("host-1", make_call(world, "two", "key", fingerprint="other"))
        world.run_for(1.0)
        answer = world.answers["two"]
        assert (answer.status, answer.verdict) == (422, Verdict.NOT_RUN)

    def test_same_key_of_two_callers_runs_twice(self, world: World) -> None:
        world.call("host-0", make_call(world, "one", "key"))
        world.call("host-1", make_call(world, "two", "key", caller="other"))
        world.run_for(1.0)
        assert sorted(list_runs(world)) == ["one", "two"]

    @pytest.mark.parametrize("key", ["", "k" * 256])
    def test_bad_key_is_refused(self, world: World, key: str) -> None:
        world.call("host-0", make_call(world, "one", key))
        world.run_for(1.0)
        assert world.answers["one"].status == 400
        assert list_runs(world) == []

    def test_outage_refuses_payments_at_once_but_not_idempotent_calls(
        self, world: World
    ) -> None:
        assert world.platform is not None
        world.platform.is_down = True
        started = world.now
        world.call("host-0", make_call(world, "pay", "key"))
        world.call("host-0", make_call(world, "look", None, method="GET"))
        world.run_for(1.0)
        answer = world.answers["pay"]
        assert (answer.status, answer.verdict) == (503, Verdict.NOT_RUN)
        assert answer.retry_after_s is not None
        assert answer.at - started < REFUSAL_LIMIT_S
        assert world.answers["look"].status == 200

    def test_released_key_may_run(self, world: World) -> None:
        for server in world.servers.values():
            server.is_down = True
        world.call("host-0", make_call(world, "one", "key"))
        world.run_for(DEADLINE_S + 0.5)
        assert world.answers["one"].verdict is Verdict.NOT_RUN
        for server in world.servers.values():
            server.is_down = False
        world.run_for(10.0)
        world.call("host-1", make_call(world, "two", "key"))
        world.run_for(1.0)
        assert list_runs(world) == ["two"]

    def test_new_owner_does_not_run_a_claimed_key(self, world: World) -> None:
        claim = make_claim_id("payments", "caller", "key")
        owner = choose_node(f"claims/{compute_shard(claim)}", sorted(world.hosts)) or ""
        others = [name for name in world.hosts if name != owner]
        for server in world.servers.values():
            server.slow_factor = 1e6
        world.call(others[0], make_call(world, "one", "key"))
        world.run_for(0.5)
        world.hosts[owner].kill()
        world.call(others[1], make_call(world, "two", "key"))
        world.run_for(DEADLINE_S)
        assert world.answers["two"].verdict is Verdict.MAY_HAVE_RUN
        assert list_runs(world) == ["one"]

    def test_killed_owner_delays_a_call_by_less_than_a_second(
        self, world: World
    ) -> None:
        """The killed host refuses connections, so no timeout has to pass."""
        claim = make_claim_id("payments", "caller", "key")
        owner = choose_node(f"claims/{compute_shard(claim)}", sorted(world.hosts)) or ""
        other = next(name for name in world.hosts if name != owner)
        world.hosts[owner].kill()
        world.call(other, make_call(world, "one", "key"))
        world.run_for(1.0)
        assert world.answers["one"].run_call_id == "one"
        assert list_runs(world) == ["one"]

    def test_lost_reply_of_the_update_is_resolved_by_a_read(self, world: World) -> None:
        assert world.platform is not None
        world.platform.replies_to_lose = 1
        world.call("host-0", make_call(world, "one", "key"))
        world.run_for(4.0)
        assert world.answers["one"].run_call_id == "one"
        assert list_runs(world) == ["one"]

    def test_reply_is_replayed_after_the_owner_shuts_down(self, world: World) -> None:
        claim = make_claim_id("payments", "caller", "key")
        owner = choose_node(f"claims/{compute_shard(claim)}", sorted(world.hosts)) or ""
        other = next(name for name in world.hosts if name != owner)
        world.call(other, make_call(world, "one", "key"))
        world.run_for(0.1)
        host = world.hosts[owner]
        host.deliver(lambda: ShutdownRequested(now=world.now))
        world.run_for(8.0)
        assert not host.is_alive
        world.call(other, make_call(world, "two", "key"))
        world.run_for(1.0)
        assert world.answers["two"].run_call_id == "one"

    def test_forward_without_a_claim_is_refused(self, world: World) -> None:
        call = make_call(world, "one", "key")
        world.call("host-0", replace(call, hops=1))
        world.run_for(1.0)
        answer = world.answers["one"]
        assert (answer.status, answer.verdict) == (503, Verdict.MAY_HAVE_RUN)
        assert list_runs(world) == []

    def test_full_shard_refuses_new_keys(self, world: World) -> None:
        claim = make_claim_id("payments", "caller", "key")
        number = compute_shard(claim)
        entry = Entry(call_id="x", fingerprint="f", grant="g", expires=world.now + 99)
        entries = dict.fromkeys((f"claim-{n}" for n in range(7_692)), entry)
        assert world.platform is not None
        world.platform.store.create(
            kind="claims", name=f"shard-{number}", spec=encode_entries(entries)
        )
        world.call("host-0", make_call(world, "one", "key"))
        world.run_for(1.0)
        answer = world.answers["one"]
        assert (answer.status, answer.verdict) == (503, Verdict.NOT_RUN)
        world.run_for(100.0)
        world.call("host-0", make_call(world, "two", "key"))
        world.run_for(1.0)
        assert list_runs(world) == ["two"]


class TestClaimStore:
    """The stored format of a shard."""

    def test_entries_are_decoded_as_encoded(self) -> None:
        kept = KeptReply(status=200, headers=((b"a", b"\xff"),), body=b"\x00body")
        entries = {
            "a": Entry(call_id="1", fingerprint="f", grant="g", expires=9.0),
            "b": Entry(
                call_id="2",
                fingerprint="f",
                grant="h",
                expires=9.0,
                state=EntryState.RAN,
                kept=kept,
            ),
        }
        assert decode_entries(encode_entries(entries)) == entries

    @pytest.mark.parametrize(
        "spec", [{}, {"format": 9}, {"format": 1, "entries": {"a": [1]}}]
    )
    def test_malformed_object_is_rejected(self, spec: dict[str, object]) -> None:
        assert decode_entries(spec) is None

    def test_limit_is_below_that_of_the_platform(self) -> None:
        assert OBJECT_LIMIT_BYTES < 1_048_576
