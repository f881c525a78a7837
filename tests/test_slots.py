"""Tests of slots granted by homes: queueing, single use of grants, dead homes.

Grants can be lost, duplicated or late, and hosts can die or be suspended. A slot must
not be lost for good then, and a non-idempotent call must not be sent twice.
"""

from siskinpier.core.effects import SendAttempt, SendMessage
from siskinpier.core.events import MessageReceived
from siskinpier.core.messages import (
    Message,
    SlotEnd,
    SlotGrant,
    SlotQueued,
    SlotRequest,
)
from siskinpier.core.reducer import reduce
from siskinpier.core.verdict import Verdict
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld, make_route

HOSTS = {"h1": "d1", "h2": "d1", "h3": "d1"}


def make_world(servers: int = 1, **changes: object) -> SlotWorld:
    """Return three hosts of one failure domain and servers of two slots."""
    made = [
        ScriptedServer(name=f"s{n}", failure_domain="d1", slots=2)
        for n in range(servers)
    ]
    return SlotWorld(hosts=HOSTS, servers=made, route=make_route(**changes))


def get_other(world: SlotWorld) -> str:
    """Return a host that is not the home."""
    return next(name for name in HOSTS if name != world.get_home("d1"))


class TestGrants:
    """A host that is not the home requests a slot and calls the server itself."""

    def test_call_is_answered(self) -> None:
        world = make_world()
        world.call(get_other(world), "c1")
        world.run_for(1.0)
        assert world.answers["c1"].status == 200
        assert world.answers["c1"].after_s < 0.11

    def test_slots_bound_running_calls(self) -> None:
        world = make_world()
        for n in range(6):
            world.call(list(HOSTS)[n % 3], f"c{n}")
        world.run_for(0.05)
        assert world.servers["s0"].running == 2
        world.run_for(1.0)
        assert [a.status for a in world.answers.values()] == [200] * 6

    def test_slot_is_released_after_its_holder_died(self) -> None:
        world = make_world(timeout_s=0.5)
        other = get_other(world)
        world.call(other, "c1")
        world.call(other, "c2")
        world.run_for(0.01)
        world.dead.add(other)
        world.run_for(1.0)
        for n in range(2):
            world.call(world.get_home("d1"), f"d{n}")
        world.run_for(0.2)
        assert world.answers["d0"].status == 200
        assert world.answers["d1"].status == 200

    def test_calls_beyond_the_slots_are_queued(self) -> None:
        world = make_world()
        home = world.get_home("d1")
        for n in range(4):
            world.call(home, f"c{n}")
        queue = world.states[home].services["films"].queue
        waiting = [world.states[home].calls[i] for i in queue.get_call_ids()]
        assert len(waiting) == 2


class TestOnce:
    """A non-idempotent call is sent once, whatever happens to messages."""

    def test_grant_that_a_suspended_host_receives_late(self) -> None:
        world = make_world(idempotent=False)
        other = get_other(world)
        held: list[tuple[str, Message]] = []

        def hold(sender: str, to: str, message: Message) -> bool:
            if to == other and isinstance(message, SlotGrant):
                held.append((sender, message))
            return to == other

        world.drop = hold
        world.call(other, "c1", 1.0)
        world.run_for(0.01)
        ((home, grant),) = held
        # The host resumes after the call's deadline, and handles the grant first.
        late = MessageReceived(now=world.now + 5.0, sender=home, message=grant)
        effects = reduce(world.states[other], late)
        assert not any(isinstance(effect, SendAttempt) for effect in effects)
        ends = [e.message for e in effects if isinstance(e, SendMessage)]
        assert [type(message) for message in ends] == [SlotEnd]

    def test_duplicate_grant(self) -> None:
        world = make_world(idempotent=False)
        other = get_other(world)
        repeated = []

        def copy(sender: str, to: str, message: object) -> bool:
            if isinstance(message, SlotGrant) and not repeated:
                repeated.append(message)
                world._deliver(sender, to, message)
            return False

        world.drop = copy
        world.call(other, "c1")
        world.run_for(1.0)
        assert repeated
        assert world.sent == [("c1", "s0")]

    def test_late_grant_of_a_home_that_timed_out(self) -> None:
        world = make_world(servers=2, idempotent=False)
        other = get_other(world)
        held = []

        def hold(sender: str, to: str, message: object) -> bool:
            if isinstance(message, SlotGrant) and not held:
                held.append((sender, to, message))
                return True
            return False

        world.drop = hold
        world.call(other, "c1")
        world.run_for(0.2)
        world._deliver(*held[0])
        world.run_for(1.0)
        assert [call for call, _ in world.sent] == ["c1"]
        assert world.answers["c1"].status == 200

    def test_non_idempotent_call_is_not_hedged(self) -> None:
        world = make_world(servers=2, idempotent=False, aim_s=0.15)
        world.call(get_other(world), "c1")
        world.run_for(0.02)
        world.servers[world.sent[0][1]].slowdown = 7.0
        world.run_for(1.0)
        assert len(world.sent) == 1


class TestLostHome:
    """A call is placed elsewhere if its home does not answer."""

    def test_dead_home(self) -> None:
        world = make_world()
        world.dead.add(world.get_home("d1"))
        world.call(get_other(world), "c1")
        world.run_for(0.5)
        assert world.answers["c1"].status == 200
        assert world.list_log_fields("slot-unanswered")

    def test_home_that_dies_while_a_call_waits(self) -> None:
        world = make_world()
        home = world.get_home("d1")
        for n in range(2):
            world.call(home, f"c{n}")
        world.call(get_other(world), "c9", deadline_s=4.0)
        world.run_for(0.01)
        world.dead.add(home)
        world.run_for(4.0)
        assert "c9" in world.answers

    def test_refusal_is_answered_at_once(self) -> None:
        world = make_world(timeout_s=0.25)
        for n in range(5):
            world.call(list(HOSTS)[n % 3], f"w{n}")
            world.run_for(0.12)
        for n in range(20):
            world.call(list(HOSTS)[n % 3], f"c{n}")
        world.run_for(0.02)
        refused = [a for a in world.answers.values() if a.status == 503]
        assert refused
        for answer in refused:
            assert answer.verdict is Verdict.NOT_RUN
            assert answer.retry_after_s is not None


class TestHedges:
    """A call whose server becomes slow is hedged once."""

    def test_server_that_becomes_slow(self) -> None:
        world = make_world(servers=2, aim_s=0.7)
        for server in world.servers.values():
            server.work_s = 0.5
        other = get_other(world)
        for n in range(4):
            world.call(other, f"w{n}")
            world.run_for(0.6)
        world.call(other, "c1")
        world.run_for(0.02)
        first = next(target for call, target in world.sent if call == "c1")
        world.servers[first].slowdown = 7.0
        world.run_for(0.2)
        targets = [target for call, target in world.sent if call == "c1"]
        assert sorted(targets) == ["s0", "s1"]
        world.run_for(1.0)
        assert world.answers["c1"].status == 200

    def test_reply_that_reports_slowness_is_relayed(self) -> None:
        # The load report in a reply must not cause a hedge of the call that it answers.
        world = make_world(servers=2, aim_s=0.5)
        other = get_other(world)
        for n in range(20):
            world.call(other, f"w{n}")
            world.run_for(0.11)
        for server in world.servers.values():
            server.work_s = 0.05
        home = world.get_home("d1")
        world.call(home, "c1")
        world.run_for(0.049)
        target = next(target for call, target in world.sent if call == "c1")
        world.servers[target].slowdown = 7.0
        world.run_for(1.0)
        assert world.answers["c1"].status == 200
        assert [call for call, _ in world.sent].count("c1") == 1


class TestSilence:
    """Servers and homes that leave requests unanswered."""

    def test_silent_server_gets_no_calls(self) -> None:
        world = make_world(servers=2)
        world.servers["s0"].is_silent = True
        world.run_for(0.6)
        for n in range(4):
            world.call(list(HOSTS)[n % 3], f"c{n}")
            world.run_for(0.15)
        assert {target for _, target in world.sent} == {"s1"}
        assert [a.status for a in world.answers.values()] == [200] * 4

    def test_call_is_hedged_when_its_server_falls_silent(self) -> None:
        world = make_world(servers=2, aim_s=0.9)
        other = get_other(world)
        for n in range(4):
            world.call(other, f"w{n}")
            world.run_for(0.2)
        world.call(other, "c1")
        world.run_for(0.01)
        first = next(target for call, target in world.sent if call == "c1")
        world.servers[first].is_silent = True
        world.run_for(0.9)
        assert world.answers["c1"].status == 200

    def test_silent_server_is_used_again(self) -> None:
        world = make_world(servers=1)
        world.servers["s0"].is_silent = True
        world.run_for(1.0)
        world.servers["s0"].is_silent = False
        world.run_for(0.3)
        world.call(get_other(world), "c1")
        world.run_for(0.3)
        assert world.answers["c1"].status == 200
        assert [f["silent"] for f in world.list_log_fields("server-silent")] == [
            True,
            False,
        ]

    def test_unresponsive_home_gets_no_request_of_each_call(self) -> None:
        world = make_world(servers=2)
        world.dead.add(world.get_home("d1"))
        other = get_other(world)
        for n in range(4):
            world.call(other, f"c{n}")
            world.run_for(0.1)
        world.run_for(0.5)
        assert len(world.list_log_fields("slot-unanswered")) == 1


class TestMessages:
    """A call needs few messages between hosts."""

    def test_one_request_and_one_grant_per_call(self) -> None:
        world = make_world()
        seen: list[object] = []

        def record(sender: str, to: str, message: object) -> bool:
            if isinstance(message, SlotRequest | SlotGrant | SlotQueued):
                seen.append(message)
            return False

        world.drop = record
        world.call(get_other(world), "c1")
        world.run_for(0.5)
        assert [type(m) for m in seen] == [SlotRequest, SlotGrant]
