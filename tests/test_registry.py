"""Tests of the registry of backend servers and of the relays that watch it."""

from dataclasses import replace

import pytest

from siskinpier.core.cluster.relays import is_watch_confirmed
from siskinpier.core.cluster.rendezvous import rank_nodes
from siskinpier.core.events import (
    HostStarted,
    PlatformLost,
    PlatformReached,
    ServersChanged,
    TimerFired,
)
from siskinpier.core.messages import RegisteredServer, RelayReport, ServersNotice
from siskinpier.core.positions import StorePosition
from siskinpier.core.reducer import reduce
from siskinpier.core.timers import RelayDue
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld

# Time in which a new configuration must be in force, and the part of it that a relay
# may take to detect that the platform does not answer.
CONFIG_BOUND_S = 2.0
LOSS_DETECTION_S = 1.05
HOSTS = {"h1": "d1", "h2": "d1", "h3": "d1"}


def make_world() -> SlotWorld:
    """Return hosts of one failure domain and two servers."""
    servers = [ScriptedServer(name=f"s{n}", failure_domain="d1") for n in range(2)]
    return SlotWorld(hosts=HOSTS, servers=servers)


def make_change(
    world: SlotWorld,
    revision: int,
    servers: tuple[RegisteredServer, ...] = (),
    gone: tuple[str, ...] = (),
) -> ServersChanged:
    """Return the event of a watch that reports a change now."""
    position = StorePosition(revision=revision)
    return ServersChanged(now=world.now, position=position, servers=servers, gone=gone)


def find_relay(world: SlotWorld) -> str:
    """Return the only host that watches."""
    (relay,) = [name for name, state in world.states.items() if state.watching]
    return relay


def list_known(world: SlotWorld, host: str) -> list[str]:
    """Return the names of the servers that a host knows."""
    return sorted(world.states[host].registry.servers)


def hold_first_server(world: SlotWorld) -> str:
    """Let the first server's entry expire in an outage; return the relay."""
    relay = find_relay(world)
    world.handle(relay, PlatformLost(now=world.now, reason="down"))
    world.run_for(0.1)
    world.handle(relay, PlatformReached(now=world.now))
    world.deliver_server_list(relay, world.make_entries()[1:], 9)
    world.run_for(0.5)
    assert all(list_known(world, host) == ["s0", "s1"] for host in HOSTS)
    return relay


class TestRelays:
    """One host of a failure domain watches; another takes over if it falls silent."""

    def test_one_host_watches(self) -> None:
        world = make_world()
        assert find_relay(world) in HOSTS

    def test_change_reaches_every_host(self) -> None:
        world = make_world()
        event = make_change(world, 5, gone=("s0",))
        world.handle(find_relay(world), event)
        world.run_for(0.01)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    @pytest.mark.parametrize("strongest", list(HOSTS))
    def test_strongest_host_watches(self, strongest: str) -> None:
        # A relay sends every change to all hosts of its domain over its own link.
        others = dict.fromkeys(HOSTS, 0.04)
        world = SlotWorld(hosts=HOSTS, servers=[], strengths={**others, strongest: 0.7})
        assert find_relay(world) == strongest
        world.dead.add(strongest)
        world.run_for(4.0)
        watching = [n for n, s in world.states.items() if s.watching and n != strongest]
        assert len(watching) == 1

    def test_dead_relay_is_replaced_within_the_bound(self) -> None:
        world = make_world()
        dead = find_relay(world)
        world.dead.add(dead)
        world.run_for(1.4)
        watching = [n for n, s in world.states.items() if s.watching and n != dead]
        assert watching

    def test_relay_that_lost_the_platform_is_replaced_at_once(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.handle(relay, PlatformLost(now=world.now, reason="silent"))
        world.run_for(0.01)
        watching = [n for n, s in world.states.items() if s.watching and n != relay]
        assert len(watching) == 1

    def test_substitutes_that_the_platform_rejects_do_not_act_as_relays(
        self,
    ) -> None:
        # The platform rejects six of eight hosts, and the relay takes a second to
        # detect that. The bound is missed if a rejected host reports as a relay,
        # because the next one then waits for it.
        hosts = {f"h{n}": "d1" for n in range(8)}
        world = SlotWorld(hosts=hosts, servers=[])
        ranked = rank_nodes("watch/d1", list(hosts))
        world.without_platform = set(ranked[:6])
        world.handle(ranked[0], PlatformLost(now=world.now, reason="silent"))
        world.run_for(CONFIG_BOUND_S - LOSS_DETECTION_S)
        substitute = world.states[ranked[6]]
        assert substitute.watching
        assert is_watch_confirmed(substitute)

    def test_lost_notice_is_made_up_for_by_a_request(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.drop = lambda a, b, m: isinstance(m, ServersNotice)
        event = make_change(world, 5, gone=("s0",))
        world.handle(relay, event)
        world.run_for(0.01)
        world.drop = lambda a, b, m: False
        world.run_for(0.5)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    def test_relay_reports_contain_the_position(self) -> None:
        world = make_world()
        reports: list[RelayReport] = []
        world.drop = lambda a, b, m: isinstance(m, RelayReport) and bool(
            reports.append(m)  # type: ignore[func-returns-value]
        )
        world.run_for(0.5)
        assert {report.servers_position.revision for report in reports} == {1}


class TestStart:
    """Hosts that just started do not all watch the platform at once."""

    @pytest.mark.parametrize(
        ("seeds", "is_watching"),
        [((), True), (("h9:2",), True), (("h1:2", "h9:2"), False)],
    )
    def test_host_that_knows_no_other_host(
        self, seeds: tuple[str, ...], is_watching: bool
    ) -> None:
        state = make_world()._make_state("h9", "d1", 9)
        state.settings = replace(state.settings, seed_peers=seeds)
        reduce(state, HostStarted(now=10.0))
        reduce(state, TimerFired(now=10.5, timer=RelayDue()))
        assert state.watching is is_watching
        reduce(state, TimerFired(now=11.0, timer=RelayDue()))
        assert state.watching


class TestRevisionOrder:
    """Changes are ordered by revision, whichever path they arrive over."""

    def test_old_notice_changes_nothing(self) -> None:
        world = make_world()
        relay = find_relay(world)
        event = make_change(world, 5, gone=("s0",))
        world.handle(relay, event)
        world.run_for(0.01)
        other = next(name for name in HOSTS if name != relay)
        old = ServersNotice(
            base_position=StorePosition(),
            position=StorePosition(revision=4),
            servers=tuple(world.make_entries()),
            gone=(),
            is_complete=True,
        )
        world._deliver(relay, other, old)
        world.run_for(0.01)
        assert list_known(world, other) == ["s1"]


class TestOlderEntries:
    """An older write of a server that takes effect late is ignored."""

    @pytest.mark.parametrize(
        ("older", "newer"),
        [
            ({"started": 7, "sequence": 4}, {"started": 7, "sequence": 5}),
            ({"started": 6, "sequence": 9}, {"started": 7, "sequence": 1}),
        ],
    )
    def test_late_write_does_not_end_draining(
        self, older: dict[str, int], newer: dict[str, int]
    ) -> None:
        world = make_world()
        relay = find_relay(world)
        entry = world.make_entries()[0]
        leaving = replace(entry, is_draining=True, **newer)
        late = replace(entry, **older)
        for revision, server in ((5, leaving), (6, late)):
            event = make_change(world, revision, servers=(server,))
            world.handle(relay, event)
        world.run_for(0.1)
        for host in HOSTS:
            assert world.states[host].registry.servers["s0"].is_draining
        world.deliver_server_list(relay, [late, world.make_entries()[1]], 7)
        assert world.states[relay].registry.servers["s0"].is_draining

    def test_newer_write_of_the_same_incarnation_counts(self) -> None:
        world = make_world()
        relay = find_relay(world)
        entry = replace(world.make_entries()[0], started=7)
        for revision, is_draining in ((5, True), (6, False)):
            server = replace(entry, is_draining=is_draining, sequence=revision)
            event = make_change(world, revision, servers=(server,))
            world.handle(relay, event)
        assert not world.states[relay].registry.servers["s0"].is_draining


class TestLists:
    """A relay that lists the registry again sends only the changes."""

    def test_nothing_changed(self) -> None:
        world = make_world()
        relay = find_relay(world)
        notices: list[ServersNotice] = []
        world.drop = lambda a, b, m: isinstance(m, ServersNotice) and bool(
            notices.append(m)  # type: ignore[func-returns-value]
        )
        world.deliver_server_list(relay, world.make_entries(), 9)
        assert len(notices) == len(HOSTS) - 1
        assert not any(notice.servers for notice in notices)

    def test_server_that_only_another_host_knew(self) -> None:
        world = make_world()
        relay = find_relay(world)
        other = next(host for host in HOSTS if host != relay)
        heard = (replace(world.make_entries()[0], name="s9"),)
        event = make_change(world, 5, servers=heard)
        reduce(world.states[other], event)
        # The server was added and removed before the relay listed the registry.
        world.deliver_server_list(relay, world.make_entries(), 9)
        world.run_for(0.1)
        assert list_known(world, other) == ["s0", "s1"]


class TestLapse:
    """Entries that expire around an outage are held for servers to write them again."""

    def test_expired_server_is_held_then_removed(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.handle(relay, PlatformLost(now=world.now, reason="down"))
        world.run_for(0.1)
        world.handle(relay, PlatformReached(now=world.now))
        world.deliver_server_list(relay, world.make_entries()[1:], 9)
        world.run_for(1.0)
        assert list_known(world, relay) == ["s0", "s1"]
        world.run_for(3.0)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    def test_server_that_leaves_after_the_outage_is_removed_in_time(self) -> None:
        # Its entry disappears 1.5 s after the outage; hosts must know it within 2 s.
        world = make_world()
        relay = find_relay(world)
        world.handle(relay, PlatformLost(now=world.now, reason="busy"))
        world.handle(relay, PlatformReached(now=world.now))
        world.run_for(1.5)
        event = make_change(world, 9, gone=("s0",))
        world.handle(relay, event)
        world.run_for(0.2)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    def test_server_that_went_is_not_put_back_by_a_relay_that_was_turned_away(
        self,
    ) -> None:
        # The relay alone was rejected: the store answered other hosts of its failure
        # domain, so the entry had not expired in an outage and must not be held.
        world = make_world()
        relay = find_relay(world)
        world.without_platform = {relay}
        world.handle(relay, PlatformLost(now=world.now, reason="reset"))
        world.run_for(0.1)
        substitute = next(
            name for name, s in world.states.items() if s.watching and name != relay
        )
        world.drop = lambda a, b, m: b == relay
        world.deliver_server_list(substitute, world.make_entries()[1:], 9)
        world.run_for(0.5)
        world.drop = lambda a, b, m: False
        world.without_platform = set()
        world.handle(relay, PlatformReached(now=world.now))
        world.deliver_server_list(relay, world.make_entries()[1:], 12)
        world.run_for(0.1)
        others = [host for host in HOSTS if host != relay]
        assert [list_known(world, host) for host in others] == [["s1"], ["s1"]]
        for number in range(8):
            world.call(others[number % 2], f"c{number}")
        world.run_for(1.0)
        assert {answer.status for answer in world.answers.values()} == {200}
        assert world.servers["s0"].runs == []

    def test_outage_of_one_host_is_no_outage_of_its_failure_domain(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.without_platform = {relay}
        world.handle(relay, PlatformLost(now=world.now, reason="reset"))
        world.run_for(2.0)
        world.without_platform = set()
        world.handle(relay, PlatformReached(now=world.now))
        world.deliver_server_list(relay, world.make_entries()[1:], 9)
        world.run_for(0.1)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    def test_end_of_a_hold_after_a_later_change(self) -> None:
        world = make_world()
        relay = hold_first_server(world)
        other = next(host for host in HOSTS if host != relay)
        later = (replace(world.make_entries()[1], slots=5),)
        event = make_change(world, 12, servers=later)
        reduce(world.states[other], event)
        world.run_for(3.0)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    def test_end_of_a_hold_whose_relay_died(self) -> None:
        world = make_world()
        relay = hold_first_server(world)
        world.dead.add(relay)
        world.run_for(3.0)
        others = [host for host in HOSTS if host != relay]
        assert [list_known(world, host) for host in others] == [["s1"], ["s1"]]

    def test_server_that_is_listed_again_stays(self) -> None:
        world = make_world()
        relay = hold_first_server(world)
        world.deliver_server_list(relay, world.make_entries(), 12)
        world.run_for(4.0)
        assert all(list_known(world, host) == ["s0", "s1"] for host in HOSTS)

    def test_server_that_writes_its_entry_again_stays(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.handle(relay, PlatformLost(now=world.now, reason="down"))
        world.handle(relay, PlatformReached(now=world.now))
        world.deliver_server_list(relay, [], 9)
        world.run_for(1.0)
        event = make_change(world, 12, servers=tuple(world.make_entries()))
        world.handle(relay, event)
        world.run_for(4.0)
        assert list_known(world, relay) == ["s0", "s1"]
