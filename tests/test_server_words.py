"""Tests of servers that report in answers that they are leaving or request a pause.

A host that does not learn of it, or that an older answer or registry entry misleads,
would go on sending calls that are rejected or cut off.
"""

from dataclasses import replace

import pytest

from siskinpier.core.cluster.registered_leaving import ENTRY_RACE_S
from siskinpier.core.events import ServersChanged
from siskinpier.core.messages import RegisteredServer
from siskinpier.core.positions import StorePosition
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld, make_route

# Time for a report to reach the hosts of one failure domain, and of all, in seconds.
DOMAIN_BOUND_S = 0.3
BOUND_S = 1.0
HOSTS = {"h1": "d1", "h2": "d1", "h3": "d1", "h4": "d2", "h5": "d2"}


def make_world(servers: int = 2, **changes: object) -> SlotWorld:
    """Return hosts of two failure domains, with servers in the first only."""
    made = [
        ScriptedServer(name=f"s{n}", failure_domain="d1", slots=2)
        for n in range(servers)
    ]
    return SlotWorld(hosts=HOSTS, servers=made, route=make_route(**changes))


def call_all_hosts(world: SlotWorld, name: str, calls: int = 4) -> None:
    """Send calls to every host, one at a time."""
    for n in range(calls):
        for host in HOSTS:
            world.call(host, f"{name}-{host}-{n}")
            world.run_for(0.11)


def report_leaving(world: SlotWorld) -> None:
    """Let a server report that it is leaving, in its answers only."""
    world.servers["s0"].reports_leaving = True
    world.run_for(BOUND_S)


def list_entries(world: SlotWorld, host: str) -> list[RegisteredServer]:
    """Return the registered servers that a host knows."""
    return list(world.states[host].registry.servers.values())


class TestLeaving:
    """No host sends new calls to a server that reported that it is leaving."""

    def test_no_calls_after_the_report(self) -> None:
        world = make_world()
        call_all_hosts(world, "a", 1)
        report_leaving(world)
        world.servers["s0"].runs.clear()
        call_all_hosts(world, "b")
        assert world.servers["s0"].runs == []
        assert all(answer.status == 200 for answer in world.answers.values())

    @pytest.mark.parametrize("receiver", ["h1", "h2", "h3", "h4"])
    def test_all_hosts_know_in_time(self, receiver: str) -> None:
        # Only the answer to this one call reports it; no probe does.
        world = make_world(servers=1)
        world.call(receiver, "c")
        world.run_for(0.05)
        world.servers["s0"].reports_leaving = True
        world.run_for(0.07)
        assert world.answers["c"].status == 200
        world.run_for(DOMAIN_BOUND_S)
        known = [h for h in HOSTS if "s0" in world.states[h].registry.leaving]
        assert known == list(HOSTS)

    def test_isolated_host_uses_its_own_answers(self) -> None:
        world = make_world()
        world.drop = lambda a, b, m: "h4" in (a, b)
        world.servers["s0"].reports_leaving = True
        for n in range(20):
            world.call("h4", f"c{n}")
            world.run_for(0.2)
        runs = [c for c in world.servers["s0"].runs if c in world.answers]
        assert len(runs) <= 1

    def test_restarted_home_is_informed(self) -> None:
        world = make_world()
        report_leaving(world)
        home = world.get_home("d1")
        leaving = world.states[home].registry.leaving
        assert "s0" in leaving
        restarted = world.restart(home)
        world.run_for(2.0)
        assert "s0" in restarted.registry.leaving

    def test_older_answer_does_not_cancel_it(self) -> None:
        world = make_world()
        report_leaving(world)
        world.servers["s0"].reports_leaving = False
        world.servers["s0"].runs.clear()
        call_all_hosts(world, "a")
        assert world.servers["s0"].runs == []

    def test_waiting_calls_are_refused_at_once(self) -> None:
        world = make_world(servers=1)
        home = world.get_home("d1")
        for n in range(4):
            world.call(home, f"c{n}")
        world.servers["s0"].reports_leaving = True
        world.run_for(0.15)
        late = [world.answers[f"c{n}"] for n in range(4)]
        assert sorted(answer.status for answer in late) == [200, 200, 503, 503]

    def test_restarted_server_is_used(self) -> None:
        world = make_world()
        report_leaving(world)
        world.servers["s0"].reports_leaving = False
        for host in HOSTS:
            entries = [replace(e, started=2) for e in list_entries(world, host)]
            world.deliver_server_list(host, entries, 5)
        world.servers["s0"].runs.clear()
        call_all_hosts(world, "a")
        assert world.servers["s0"].runs

    @pytest.mark.parametrize(("after_s", "is_used"), [(0.2, False), (1.5, True)])
    def test_rewritten_entry(self, after_s: float, is_used: bool) -> None:
        assert 0.2 < ENTRY_RACE_S < 1.5
        world = make_world()
        world.servers["s0"].reports_leaving = True
        world.run_for(0.15)
        world.run_for(after_s)
        world.servers["s0"].reports_leaving = False
        for host in HOSTS:
            entry = replace(world.states[host].registry.servers["s0"], slots=1)
            event = ServersChanged(
                now=world.now,
                position=StorePosition(revision=5),
                servers=(entry,),
                gone=(),
            )
            world.handle(host, event)
        world.servers["s0"].runs.clear()
        call_all_hosts(world, "a")
        assert bool(world.servers["s0"].runs) == is_used

    def test_entry_that_expired_and_returned(self) -> None:
        world = make_world()
        report_leaving(world)
        for host in HOSTS:
            entry = world.states[host].registry.servers["s0"]
            gone = ServersChanged(
                now=world.now,
                position=StorePosition(revision=5),
                servers=(),
                gone=("s0",),
            )
            world.handle(host, gone)
            back = ServersChanged(
                now=world.now,
                position=StorePosition(revision=5),
                servers=(entry,),
                gone=(),
            )
            world.handle(host, back)
        world.servers["s0"].runs.clear()
        call_all_hosts(world, "a")
        assert world.servers["s0"].runs == []


class TestPauses:
    """A server that requests a pause from a host gets no calls from it meanwhile."""

    PAUSE_S = 3.0
    # Time after the first rejection in which a host may still send calls, in seconds.
    GRACE_S = 0.5

    def test_no_host_sends_during_its_pause(self) -> None:
        world = make_world(idempotent=False)
        world.servers["s0"].pause_s = self.PAUSE_S
        call_all_hosts(world, "a", 8)
        first: dict[str, float] = {}
        for at, host, _ in world.rejections:
            started = first.setdefault(host, at)
            if at > started + self.PAUSE_S:
                first[host] = at
                continue
            assert at <= started + self.GRACE_S
        assert {answer.status for answer in world.answers.values()} == {200}

    def test_other_hosts_may_send(self) -> None:
        world = make_world(servers=1)
        home = world.get_home("d1")
        other, third = [h for h in ("h1", "h2", "h3") if h != home]
        world.servers["s0"].pause_s = 10.0
        # The home's own probes would also receive the pause.
        world.drop = lambda a, b, m: False
        world.call(other, "c1")
        world.run_for(0.05)
        world.servers["s0"].pause_s = None
        world.call(third, "c2")
        world.run_for(0.5)
        assert world.answers["c2"].status == 200

    def test_call_is_refused_at_once_if_all_servers_pause(self) -> None:
        world = make_world(aim_s=0.3)
        for server in world.servers.values():
            server.pause_s = 5.0
        world.run_for(0.5)
        home = world.get_home("d1")
        world.call(home, "c1")
        world.run_for(0.05)
        world.call(home, "c2")
        world.run_for(0.05)
        answer = world.answers["c2"]
        assert (answer.status, answer.after_s < 0.02) == (503, True)
        assert answer.retry_after_s is not None
        assert 3.0 < answer.retry_after_s <= 5.0

    def test_call_waits_for_the_end_of_a_short_pause(self) -> None:
        world = make_world(servers=1, aim_s=1.0)
        home = world.get_home("d1")
        world.servers["s0"].pause_s = 0.2
        world.run_for(0.3)
        world.servers["s0"].pause_s = None
        world.call(home, "c")
        world.run_for(1.0)
        assert world.answers["c"].status == 200

    def test_probes_observe_the_pause(self) -> None:
        world = make_world()
        world.servers["s0"].pause_s = 2.0
        world.run_for(1.0)
        home = world.get_home("d1")
        server = world.states[home].services["films"].servers["s0"]
        probed_at = server.probed_at
        world.run_for(1.0)
        assert server.probed_at == probed_at
        assert not server.is_silent
