"""Tests for the answers to operators' questions, on real cores in virtual time."""

from typing import Any

import pytest

from bench.virtual.deployment import make_deployment
from bench.virtual.world import World
from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.configuration.orders import OrderResult, OrderStatus
from siskinpier.core.effects import LogDecision
from siskinpier.core.language.answers import NotFound, answer_question
from siskinpier.core.language.decision_history import (
    MAX_DECISIONS_PER_CALL,
    MAX_EXPLAINED_CALLS,
    DecisionHistory,
)
from siskinpier.core.language.interpretation import Command
from siskinpier.core.language.parsing import parse_order
from siskinpier.core.messages import CrashReport
from siskinpier.core.routing.calls import Call
from siskinpier.core.routing.quarantine import handle_crash_report

SERVERS = tuple(
    BackendServer(name=name, address=f"127.0.0.1:{port}", failure_domain="d1", slots=2)
    for port, name in enumerate(("a", "b"), start=80)
)
INTENTS = RoutingIntents(
    revision=1, services=(ServiceIntent(name="s", servers=SERVERS),)
)


@pytest.fixture
def world() -> World:
    """Return two hosts in one failure domain, one of which is the only home."""
    return make_deployment(intents=INTENTS, hosts=2, seed=1)


def ask(world: World, text: str, host: str = "host-0") -> Any:
    """Return the rows with which a host answers a question."""
    answer = answer_question(world.hosts[host].state, text, world.now)
    assert not isinstance(answer, NotFound)
    return answer


def make_call(world: World, call_id: str) -> Call:
    """Return a call to the service."""
    return Call(
        call_id=call_id,
        service="s",
        method="GET",
        path="/",
        caller="c",
        deadline=world.now + 2.0,
    )


class TestServers:
    """The row of a backend server gives the reason why it is avoided."""

    @pytest.mark.parametrize(
        ("fields", "avoided"),
        [
            ({}, ""),
            ({"is_leaving": True}, "draining by its own word"),
            ({"ejected_until": 3.5}, "ejected for 3.5 s more"),
            ({"in_flight": 2}, "full"),
            ({"in_flight": 1, "slow_start_at": 0.0}, "full in slow start"),
            ({"in_flight": 1, "is_on_trial": True}, "full on trial after its ejection"),
        ],
    )
    def test_reason(self, world: World, fields: dict[str, Any], avoided: str) -> None:
        server = world.hosts["host-0"].state.services["s"].servers["a"]
        for name, value in fields.items():
            is_time = name in ("ejected_until", "slow_start_at")
            setattr(server, name, world.now + value if is_time else value)
        assert ask(world, "servers of s")[0]["avoided"] == avoided


class TestExplain:
    """Each host keeps a limited number of its own decisions about a call."""

    def test_forwarded_call(self, world: World) -> None:
        home = world.hosts["host-0"].state.services["s"].placement.homes["d1"][0]
        entry = "host-1" if home == "host-0" else "host-0"
        world.call(entry, make_call(world, "c1"))
        world.run_for(1.0)
        first = ask(world, "explain c1", entry)[0]
        assert (first["target"], first["reason"]) == (home, "forward")
        assert ask(world, "explain c1", home)[0]["target"] in ("a", "b")

    def test_bounds(self) -> None:
        history = DecisionHistory()
        for number in range(MAX_EXPLAINED_CALLS + 10):
            decision = LogDecision(event="route", fields={"call": str(number)})
            history.record([decision] * (MAX_DECISIONS_PER_CALL + 1), 1.0)
        assert len(history.calls) == MAX_EXPLAINED_CALLS
        assert history.get("9") == ()
        assert len(history.get("10")) == MAX_DECISIONS_PER_CALL


class TestConfiguration:
    """The answer lists the live hosts that do not have the revision in force."""

    def test_behind(self, world: World) -> None:
        world.hosts["host-0"].state.members["host-1"].revision = 0
        row = ask(world, "configuration")[0]
        assert (row["in force on"], row["behind"]) == ("host-0", "host-1")

    def test_dead_host_is_not_waited_for(self, world: World) -> None:
        world.hosts["host-1"].kill()
        world.run_for(10.0)
        row = ask(world, "configuration")[0]
        assert (row["in force on"], row["behind"]) == ("host-0", "")

    def test_claims_are_counted(self, world: World) -> None:
        assert ask(world, "claims") == []
        assert ask(world, "budgets")[-1]["budget"] == "claim writes"


class TestQuarantine:
    """A quarantined request is listed, and an order releases it on all hosts."""

    def submit_order(self, world: World, text: str) -> OrderResult:
        """Submit an order to host-0 and return its result."""
        command = parse_order(text)
        assert isinstance(command, Command)
        results: list[OrderResult] = []
        world.hosts["host-0"].give_order(command.order, "ana", results.append)
        world.run_for(1.0)
        return results[0]

    def test_release(self, world: World) -> None:
        for server in ("a", "b"):
            report = CrashReport(
                fingerprint="f1",
                service="s",
                method="POST",
                path="/p",
                server=server,
                at=world.now,
            )
            for host in world.hosts.values():
                handle_crash_report(host.state, report, world.now, [])
        row = ask(world, "quarantine of s")[0]
        assert (row["fingerprint"], row["servers"]) == ("f1", "a,b")
        for text in (
            "release quarantine f2 of s",
            "release quarantine f1 of t",
            "release quarantine f1 of s if revision 0",
        ):
            assert self.submit_order(world, text).status is OrderStatus.REFUSED
        result = self.submit_order(world, "release quarantine f1 of s if revision 1")
        assert (result.status, result.revision) == (OrderStatus.ACCEPTED, 1)
        assert ask(world, "quarantine") == ask(world, "quarantine", "host-1") == []
