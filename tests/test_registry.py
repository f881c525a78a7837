"""Tests of the registry of backend servers, and of relays that watch it."""

from dataclasses import replace

import pytest

from siskinpier.core.cluster.relays import is_confirmed
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
from tests.standins.slot_world import ScriptedServer, SlotWorld

# Time in which a new configuration must be in force, and what a relay may take of it
# to notice that the platform does not answer, seconds.
CONFIG_BOUND_S = 2.0
NOTICE_S = 1.05
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
    """Return what a watch tells now."""
    position = StorePosition(revision=revision)
    return ServersChanged(now=world.now, position=position, servers=servers, gone=gone)


def find_relay(world: SlotWorld) -> str:
    """Return the host that watches."""
    (relay,) = [name for name, state in world.states.items() if state.watching]
    return relay


def list_known(world: SlotWorld, host: str) -> list[str]:
    """Return the servers that a host knows."""
    return sorted(world.states[host].registry.servers)


def hold_first_server(world: SlotWorld) -> str:
    """Let the first server's entry lapse in an outage; return the relay."""
    relay = find_relay(world)
    world.handle(relay, PlatformLost(now=world.now, reason="down"))
    world.run_for(0.1)
    world.handle(relay, PlatformReached(now=world.now))
    world.list_servers(relay, world.register()[1:], 9)
    world.run_for(0.5)
    assert all(list_known(world, host) == ["s0", "s1"] for host in HOSTS)
    return relay


class TestRelays:
    """One host of a failure domain watches; another follows where it falls silent."""

    def test_one_host_watches(self) -> None:
        world = make_world()
        assert find_relay(world) in HOSTS

    def test_change_reaches_every_host(self) -> None:
        world = make_world()
        event = make_change(world, 5, gone=("s0",))
        world.handle(find_relay(world), event)
        world.run_for(0.01)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    @pytest.mark.parametrize("strong", list(HOSTS))
    def test_strongest_host_watches(self, strong: str) -> None:
        # What a relay hears goes to every host of its domain over its own link.
        weak = dict.fromkeys(HOSTS, 0.04)
        world = SlotWorld(hosts=HOSTS, servers=[], strengths={**weak, strong: 0.7})
        assert find_relay(world) == strong
        world.dead.add(strong)
        world.run_for(4.0)
        watching = [n for n, s in world.states.items() if s.watching and n != strong]
        assert len(watching) == 1

    def test_dead_relay_is_followed_within_the_bound(self) -> None:
        world = make_world()
        dead = find_relay(world)
        world.dead.add(dead)
        world.run_for(1.4)
        watching = [n for n, s in world.states.items() if s.watching and n != dead]
        assert watching

    def test_relay_that_lost_the_platform_is_followed_at_once(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.handle(relay, PlatformLost(now=world.now, reason="silent"))
        world.run_for(0.01)
        watching = [n for n, s in world.states.items() if s.watching and n != relay]
        assert len(watching) == 1

    def test_substitutes_that_the_platform_turns_away_do_not_pass_for_relays(
        self,
    ) -> None:
        # Six of eight hosts are turned away; the relay needs a second to notice.
        hosts = {f"h{n}": "d1" for n in range(8)}
        world = SlotWorld(hosts=hosts, servers=[])
        ranked = rank_nodes("watch/d1", list(hosts))
        world.turned_away = set(ranked[:6])
        world.handle(ranked[0], PlatformLost(now=world.now, reason="silent"))
        world.run_for(CONFIG_BOUND_S - NOTICE_S)
        follower = world.states[ranked[6]]
        assert follower.watching
        assert is_confirmed(follower)

    def test_lost_word_fetches_what_is_missing(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.drop = lambda a, b, m: isinstance(m, ServersNotice)
        event = make_change(world, 5, gone=("s0",))
        world.handle(relay, event)
        world.run_for(0.01)
        world.drop = lambda a, b, m: False
        world.run_for(0.5)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    def test_words_say_what_is_known(self) -> None:
        world = make_world()
        seen: list[RelayReport] = []
        world.drop = lambda a, b, m: isinstance(m, RelayReport) and bool(
            seen.append(m)  # type: ignore[func-returns-value]
        )
        world.run_for(0.5)
        assert {word.servers_position.revision for word in seen} == {1}


class TestStart:
    """Fresh hosts do not all turn to the platform at once."""

    @pytest.mark.parametrize(
        ("seeds", "is_watching"),
        [((), True), (("h9:2",), True), (("h1:2", "h9:2"), False)],
    )
    def test_host_that_knows_nobody(
        self, seeds: tuple[str, ...], is_watching: bool
    ) -> None:
        state = make_world()._make_state("h9", "d1", 9)
        state.settings = replace(state.settings, seed_peers=seeds)
        reduce(state, HostStarted(now=10.0))
        reduce(state, TimerFired(now=10.5, timer=RelayDue()))
        assert state.watching is is_watching
        reduce(state, TimerFired(now=11.0, timer=RelayDue()))
        assert state.watching


class TestOrder:
    """Revisions order what is heard, by whichever way."""

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
            servers=tuple(world.register()),
            gone=(),
            is_complete=True,
        )
        world._deliver(relay, other, old)
        world.run_for(0.01)
        assert list_known(world, other) == ["s1"]


class TestOlderEntries:
    """What a server wrote earlier, and the platform did later, counts for nothing."""

    @pytest.mark.parametrize(
        ("older", "newer"),
        [
            ({"started": 7, "sequence": 4}, {"started": 7, "sequence": 5}),
            ({"started": 6, "sequence": 9}, {"started": 7, "sequence": 1}),
        ],
    )
    def test_late_write_does_not_end_a_leave(
        self, older: dict[str, int], newer: dict[str, int]
    ) -> None:
        world = make_world()
        relay = find_relay(world)
        entry = world.register()[0]
        leaving = replace(entry, is_draining=True, **newer)
        late = replace(entry, **older)
        for revision, server in ((5, leaving), (6, late)):
            event = make_change(world, revision, servers=(server,))
            world.handle(relay, event)
        world.run_for(0.1)
        for host in HOSTS:
            assert world.states[host].registry.servers["s0"].is_draining
        world.list_servers(relay, [late, world.register()[1]], 7)
        assert world.states[relay].registry.servers["s0"].is_draining

    def test_later_write_of_the_same_life_counts(self) -> None:
        world = make_world()
        relay = find_relay(world)
        entry = replace(world.register()[0], started=7)
        for revision, is_draining in ((5, True), (6, False)):
            server = replace(entry, is_draining=is_draining, sequence=revision)
            event = make_change(world, revision, servers=(server,))
            world.handle(relay, event)
        assert not world.states[relay].registry.servers["s0"].is_draining


class TestLists:
    """A relay that lists anew tells what changed, not all that there is."""

    def test_nothing_changed(self) -> None:
        world = make_world()
        relay = find_relay(world)
        told: list[ServersNotice] = []
        world.drop = lambda a, b, m: isinstance(m, ServersNotice) and bool(
            told.append(m)  # type: ignore[func-returns-value]
        )
        world.list_servers(relay, world.register(), 9)
        assert len(told) == len(HOSTS) - 1
        assert not any(notice.servers for notice in told)

    def test_server_that_only_another_host_heard_of(self) -> None:
        world = make_world()
        relay = find_relay(world)
        other = next(host for host in HOSTS if host != relay)
        heard = (replace(world.register()[0], name="s9"),)
        event = make_change(world, 5, servers=heard)
        reduce(world.states[other], event)
        # The server came and went before the relay listed.
        world.list_servers(relay, world.register(), 9)
        world.run_for(0.1)
        assert list_known(world, other) == ["s0", "s1"]


class TestLapse:
    """Entries that lapse around an outage are kept until servers could come back."""

    def test_lapsed_server_is_kept_then_dropped(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.handle(relay, PlatformLost(now=world.now, reason="down"))
        world.run_for(0.1)
        world.handle(relay, PlatformReached(now=world.now))
        world.list_servers(relay, world.register()[1:], 9)
        world.run_for(1.0)
        assert list_known(world, relay) == ["s0", "s1"]
        world.run_for(3.0)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    def test_server_that_leaves_after_the_outage_gets_no_calls_for_long(self) -> None:
        # Its entry goes 1.5 s after the platform's return; hosts must know in 2 s.
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
        # The store answered others of its failure domain meanwhile.
        world = make_world()
        relay = find_relay(world)
        world.turned_away = {relay}
        world.handle(relay, PlatformLost(now=world.now, reason="reset"))
        world.run_for(0.1)
        substitute = next(
            name for name, s in world.states.items() if s.watching and name != relay
        )
        world.drop = lambda a, b, m: b == relay
        world.list_servers(substitute, world.register()[1:], 9)
        world.run_for(0.5)
        world.drop = lambda a, b, m: False
        world.turned_away = set()
        world.handle(relay, PlatformReached(now=world.now))
        world.list_servers(relay, world.register()[1:], 12)
        world.run_for(0.1)
        others = [host for host in HOSTS if host != relay]
        assert [list_known(world, host) for host in others] == [["s1"], ["s1"]]
        for number in range(8):
            world.call(others[number % 2], f"c{number}")
        world.run_for(1.0)
        assert {answer.status for answer in world.answers.values()} == {200}
        assert world.servers["s0"].runs == []

    def test_outage_of_one_host_is_none_of_its_failure_domain(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.turned_away = {relay}
        world.handle(relay, PlatformLost(now=world.now, reason="reset"))
        world.run_for(2.0)
        world.turned_away = set()
        world.handle(relay, PlatformReached(now=world.now))
        world.list_servers(relay, world.register()[1:], 9)
        world.run_for(0.1)
        assert all(list_known(world, host) == ["s1"] for host in HOSTS)

    def test_end_of_a_hold_where_later_news_was_heard(self) -> None:
        world = make_world()
        relay = hold_first_server(world)
        other = next(host for host in HOSTS if host != relay)
        later = (replace(world.register()[1], slots=5),)
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
        world.list_servers(relay, world.register(), 12)
        world.run_for(4.0)
        assert all(list_known(world, host) == ["s0", "s1"] for host in HOSTS)

    def test_server_that_comes_back_stays(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.handle(relay, PlatformLost(now=world.now, reason="down"))
        world.handle(relay, PlatformReached(now=world.now))
        world.list_servers(relay, [], 9)
        world.run_for(1.0)
        event = make_change(world, 12, servers=tuple(world.register()))
        world.handle(relay, event)
        world.run_for(4.0)
        assert list_known(world, relay) == ["s0", "s1"]
