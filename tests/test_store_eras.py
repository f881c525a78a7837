"""The store comes back from an older copy of itself: what hosts take in, and hold."""

from dataclasses import replace
from pathlib import Path
from typing import Any, Final

import anyio
import pytest

from siskinpier.core.cluster.lapses import LAPSE_GRACE_S
from siskinpier.core.events import ServersChanged, ServersListed
from siskinpier.core.messages import RegisteredServer, ServersNotice
from siskinpier.core.platform_results import Stored, Unavailable, Unknown, Written
from siskinpier.core.positions import StorePosition
from siskinpier.platform.store import ChangeList, HistoryLost, ObjectList, StoreClient
from tests.standins.app_thread import AppThread
from tests.standins.metadata_store import MetadataStore
from tests.standins.platform_host import make_entry, run_deployment, wait_until
from tests.standins.slot_world import ScriptedServer, SlotWorld

HOSTS: Final = {"h1": "d1", "h2": "d1", "h3": "d1"}
KIND: Final = "servers"
LATE: Final = StorePosition(revision=90)
LATER: Final = StorePosition(revision=95)
# An era begins at a revision that went back.
BACK: Final = StorePosition(era=1, revision=40)


def make_world() -> SlotWorld:
    """Return hosts that know two servers, which wrote five times each."""
    servers = [ScriptedServer(name=f"s{n}", failure_domain="d1") for n in range(2)]
    world = SlotWorld(hosts=HOSTS, servers=servers)
    list_servers(world, list_entries(world), LATE)
    return world


def list_entries(world: SlotWorld, sequence: int = 5) -> list[RegisteredServer]:
    """Return the entries of all servers after so many writes."""
    return [replace(e, started=7, sequence=sequence) for e in world.register()]


def find_relay(world: SlotWorld) -> str:
    """Return the live host that watches."""
    live = [n for n, s in world.states.items() if s.watching and n not in world.dead]
    return live[0]


def list_servers(
    world: SlotWorld, entries: list[RegisteredServer], position: StorePosition
) -> None:
    """Let the relay list the registry, and the others hear of it."""
    event = ServersListed(now=world.now, position=position, servers=tuple(entries))
    world.handle(find_relay(world), event)
    world.run_for(0.01)


def list_known(world: SlotWorld) -> list[list[str]]:
    """Return what each live host knows."""
    live = [s for n, s in world.states.items() if n not in world.dead]
    return [sorted(state.registry.servers) for state in live]


class TestRegistry:
    """All hosts follow the store into its new era."""

    def test_revisions_that_went_back_are_news(self) -> None:
        world = make_world()
        changed = [replace(e, slots=9, sequence=6) for e in list_entries(world)]
        list_servers(world, changed, BACK)
        for state in world.states.values():
            assert state.registry.position == BACK
            assert state.registry.servers["s0"].slots == 9

    def test_late_word_of_an_earlier_era_changes_nothing(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world), BACK)
        late = ServersNotice(
            base=LATE,
            position=replace(LATE, revision=500),
            servers=(),
            gone=("s0",),
            is_whole=False,
        )
        for host in HOSTS:
            world._deliver(find_relay(world), host, late)
        world.run_for(0.01)
        assert list_known(world) == [["s0", "s1"]] * 3

    def test_two_eras_within_a_second(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world), BACK)
        second = StorePosition(era=2, revision=20)
        list_servers(world, list_entries(world)[1:], second)
        assert {s.registry.position for s in world.states.values()} == {second}
        world.run_for(LAPSE_GRACE_S + 0.1)
        assert list_known(world) == [["s1"]] * 3

    def test_relay_dies_between_noticing_and_telling(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.drop = lambda a, b, m: a == relay
        list_servers(world, list_entries(world), BACK)
        world.dead.add(relay)
        world.run_for(1.5)
        list_servers(world, list_entries(world), replace(BACK, revision=41))
        live = [s for n, s in world.states.items() if n != relay]
        assert {s.registry.position.era for s in live} == {1}

    def test_entries_that_the_copy_lacks_are_held(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world)[1:], BACK)
        world.run_for(LAPSE_GRACE_S - 0.1)
        assert list_known(world) == [["s0", "s1"]] * 3
        world.run_for(0.2)
        assert list_known(world) == [["s1"]] * 3

    def test_server_that_writes_its_entry_again_stays(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world)[1:], BACK)
        again = ServersChanged(
            now=world.now,
            position=replace(BACK, revision=41),
            servers=(list_entries(world, 6)[0],),
            gone=(),
        )
        world.handle(find_relay(world), again)
        world.run_for(3.0)
        assert list_known(world) == [["s0", "s1"]] * 3


class TestFleet:
    """Four failure domains, of which one loses its relay as the era rises."""

    BOUND_S = 1.0
    BOUND_WITHOUT_RELAY_S = 2.0

    def test_all_hosts_follow(self) -> None:
        hosts = {f"h{n}": f"d{n % 4}" for n in range(36)}
        servers = [ScriptedServer(name=f"s{n}", failure_domain="d1") for n in range(8)]
        world = SlotWorld(hosts=hosts, servers=servers)
        relays = [name for name, state in world.states.items() if state.watching]
        assert len(relays) == 4
        world.dead.add(relays[0])
        began = world.now
        listed = set(relays)
        for relay in relays[1:]:
            self.list_at(world, relay)
        followed: dict[str, float] = {}
        while world.now < began + self.BOUND_WITHOUT_RELAY_S:
            world.run_for(0.02)
            for name, state in world.states.items():
                if state.registry.position.era == BACK.era:
                    followed.setdefault(name, world.now - began)
                if state.watching and name not in listed:
                    listed.add(name)
                    self.list_at(world, name)
        others = [n for n, d in hosts.items() if d != hosts[relays[0]]]
        assert set(followed) == set(hosts) - {relays[0]}
        assert max(followed[name] for name in others) <= self.BOUND_S

    def list_at(self, world: SlotWorld, host: str) -> None:
        """Let a host list the store in its new era."""
        entries = tuple(list_entries(world))
        event = ServersListed(now=world.now, position=BACK, servers=entries)
        world.handle(host, event)


class TestLeaving:
    """A server that leaves, or is gone, is not put back by the older copy."""

    def test_leaving_server(self) -> None:
        world = make_world()
        entry = list_entries(world)[0]
        leaving = replace(entry, is_draining=True, sequence=8)
        list_servers(world, [leaving, list_entries(world)[1]], LATER)
        list_servers(world, list_entries(world, 7), BACK)
        for state in world.states.values():
            assert state.registry.servers["s0"].is_draining

    def test_server_that_was_gone(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world)[1:], LATER)
        assert list_known(world) == [["s1"]] * 3
        list_servers(world, list_entries(world, 7), BACK)
        assert list_known(world) == [["s1"]] * 3
        # Nothing was written since, so it is gone; later it turns out to live.
        list_servers(world, list_entries(world, 7), replace(BACK, revision=50))
        assert list_known(world) == [["s1"]] * 3
        list_servers(world, list_entries(world, 8), replace(BACK, revision=60))
        assert list_known(world) == [["s0", "s1"]] * 3


class TestStore:
    """What the client of the store takes for an answer over a change of era."""

    def run(self, store: MetadataStore, steps: Any) -> None:
        async def go() -> None:
            client = StoreClient(address=served.address)
            await client.open()
            await steps(client)
            await client.aclose()

        with AppThread(store) as served:
            anyio.run(go)

    def test_watch_does_not_go_on_in_another_era(self) -> None:
        store = MetadataStore()
        store.put(KIND, "a", {})

        async def steps(client: StoreClient) -> None:
            kept = store.make_snapshot()
            store.put(KIND, "b", {})
            listed = await client.list_all(KIND)
            assert isinstance(listed, ObjectList)
            store.restore_snapshot(kept)
            for name in ("c", "d"):
                store.put(KIND, name, {})
            # Its revision was given out again: the change at it would stay unseen.
            changed = await client.watch(KIND, since=listed.position, wait_s=0.1)
            assert isinstance(changed, HistoryLost)
            again = await client.list_all(KIND)
            assert isinstance(again, ObjectList)
            assert again.position > listed.position
            assert [item.name for item in again.items] == ["a", "c", "d"]

        self.run(store, steps)

    def test_answer_of_an_earlier_era_tells_nothing(self) -> None:
        store = MetadataStore()
        store.era = 5

        async def steps(client: StoreClient) -> None:
            assert isinstance(await client.list_all(KIND), ObjectList)
            store.era = 4
            assert isinstance(await client.list_all(KIND), Unavailable)
            written = await client.write_object(
                kind=KIND, name="a", spec={}, expected_version=None
            )
            assert isinstance(written, Unknown)
            assert await client.check_reachable(KIND, "a", timeout_s=5.0) is None
            store.era = 5
            assert isinstance(await client.read_object(kind=KIND, name="a"), Stored)

        self.run(store, steps)

    @pytest.mark.parametrize("named", [b"", b"-1", b"x", b"\xff", b"9" * 400])
    def test_era_that_cannot_be_read(self, named: bytes) -> None:
        store = MetadataStore()
        store.raw_era = named

        async def steps(client: StoreClient) -> None:
            written = await client.write_object(
                kind=KIND, name="a", spec={}, expected_version=None
            )
            assert isinstance(written, Written)
            watched = await client.watch(
                KIND, since=StorePosition(era=client.era), wait_s=0.1
            )
            assert isinstance(watched, ChangeList)

        self.run(store, steps)


class TestProcess:
    """A host process over a drill of its store."""

    def test_host_follows_and_writes_itself_again(self, tmp_path: Path) -> None:
        with run_deployment(tmp_path) as deployment:
            store = deployment.store
            kept = store.make_snapshot()
            own = ("siskinpier-hosts", "front-1")
            without = (kept[0], {k: v for k, v in kept[1].items() if k != own})
            store.restore_snapshot(without)
            # A change at a revision that was given out before.
            address = store.objects["servers", "i-1"]["spec"]["address"]
            store.put("servers", "i-3", make_entry(address))
            wait_until(lambda: own in store.objects)
            wait_until(lambda: "server=i-3" in deployment.host.read_log())
            assert deployment.host.send_request("/search/1").status_code == 200
