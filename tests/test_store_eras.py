"""Tests of a store that was restored from an older copy, which starts a new era."""

from dataclasses import replace
from pathlib import Path
from typing import Any, Final

import anyio
import pytest

from siskinpier.core.cluster.held_entries import HOLD_GRACE_S
from siskinpier.core.events import ServersChanged, ServersListed
from siskinpier.core.messages import RegisteredServer, ServersNotice
from siskinpier.core.platform_results import (
    StoredObject,
    Unavailable,
    WriteAccepted,
    WriteOutcomeUnknown,
)
from siskinpier.core.positions import StorePosition
from siskinpier.platform.store import ChangeList, HistoryLost, ObjectList, StoreClient
from tests.standins.app_thread import AppThread
from tests.standins.metadata_store import MetadataStore
from tests.standins.platform_host import make_entry, run_deployment, wait_until
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld

HOSTS: Final = {"h1": "d1", "h2": "d1", "h3": "d1"}
KIND: Final = "servers"
OLD_ERA_POSITION: Final = StorePosition(revision=90)
LATER_OLD_ERA_POSITION: Final = StorePosition(revision=95)
# The new era starts at a lower revision than the old one had reached.
NEW_ERA_POSITION: Final = StorePosition(era=1, revision=40)


def make_world() -> SlotWorld:
    """Return hosts that know two servers, each of which wrote its entry five times."""
    servers = [ScriptedServer(name=f"s{n}", failure_domain="d1") for n in range(2)]
    world = SlotWorld(hosts=HOSTS, servers=servers)
    list_servers(world, list_entries(world), OLD_ERA_POSITION)
    return world


def list_entries(world: SlotWorld, sequence: int = 5) -> list[RegisteredServer]:
    """Return the entries of all servers after `sequence` writes."""
    return [replace(e, started=7, sequence=sequence) for e in world.make_entries()]


def find_relay(world: SlotWorld) -> str:
    """Return a live host that watches."""
    live = [n for n, s in world.states.items() if s.watching and n not in world.dead]
    return live[0]


def list_servers(
    world: SlotWorld, entries: list[RegisteredServer], position: StorePosition
) -> None:
    """Let the relay list the registry and forward the changes."""
    event = ServersListed(now=world.now, position=position, servers=tuple(entries))
    world.handle(find_relay(world), event)
    world.run_for(0.01)


def list_known(world: SlotWorld) -> list[list[str]]:
    """Return the names of the servers that each live host knows."""
    live = [s for n, s in world.states.items() if n not in world.dead]
    return [sorted(state.registry.servers) for state in live]


class TestRegistry:
    """All hosts accept the registry of a new era."""

    def test_lower_revisions_of_a_new_era_are_accepted(self) -> None:
        world = make_world()
        changed = [replace(e, slots=9, sequence=6) for e in list_entries(world)]
        list_servers(world, changed, NEW_ERA_POSITION)
        for state in world.states.values():
            assert state.registry.position == NEW_ERA_POSITION
            assert state.registry.servers["s0"].slots == 9

    def test_late_notice_of_an_earlier_era_changes_nothing(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world), NEW_ERA_POSITION)
        late = ServersNotice(
            base_position=OLD_ERA_POSITION,
            position=replace(OLD_ERA_POSITION, revision=500),
            servers=(),
            gone=("s0",),
            is_complete=False,
        )
        for host in HOSTS:
            world._deliver(find_relay(world), host, late)
        world.run_for(0.01)
        assert list_known(world) == [["s0", "s1"]] * 3

    def test_two_eras_within_a_second(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world), NEW_ERA_POSITION)
        second = StorePosition(era=2, revision=20)
        list_servers(world, list_entries(world)[1:], second)
        assert {s.registry.position for s in world.states.values()} == {second}
        world.run_for(HOLD_GRACE_S + 0.1)
        assert list_known(world) == [["s1"]] * 3

    def test_relay_dies_before_it_forwards_the_new_era(self) -> None:
        world = make_world()
        relay = find_relay(world)
        world.drop = lambda a, b, m: a == relay
        list_servers(world, list_entries(world), NEW_ERA_POSITION)
        world.dead.add(relay)
        world.run_for(1.5)
        list_servers(world, list_entries(world), replace(NEW_ERA_POSITION, revision=41))
        live = [s for n, s in world.states.items() if n != relay]
        assert {s.registry.position.era for s in live} == {1}

    def test_entries_missing_from_the_copy_are_held(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world)[1:], NEW_ERA_POSITION)
        world.run_for(HOLD_GRACE_S - 0.1)
        assert list_known(world) == [["s0", "s1"]] * 3
        world.run_for(0.2)
        assert list_known(world) == [["s1"]] * 3

    def test_server_that_writes_its_entry_again_stays(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world)[1:], NEW_ERA_POSITION)
        again = ServersChanged(
            now=world.now,
            position=replace(NEW_ERA_POSITION, revision=41),
            servers=(list_entries(world, 6)[0],),
            gone=(),
        )
        world.handle(find_relay(world), again)
        world.run_for(3.0)
        assert list_known(world) == [["s0", "s1"]] * 3


class TestFailureDomains:
    """A new era reaches four failure domains, one of which loses its relay."""

    BOUND_S = 1.0
    BOUND_WITHOUT_RELAY_S = 2.0

    def test_all_hosts_reach_the_era_in_time(self) -> None:
        hosts = {f"h{n}": f"d{n % 4}" for n in range(36)}
        servers = [ScriptedServer(name=f"s{n}", failure_domain="d1") for n in range(8)]
        world = SlotWorld(hosts=hosts, servers=servers)
        relays = [name for name, state in world.states.items() if state.watching]
        assert len(relays) == 4
        world.dead.add(relays[0])
        started = world.now
        listed = set(relays)
        for relay in relays[1:]:
            self.list_at(world, relay)
        reached_after_s: dict[str, float] = {}
        while world.now < started + self.BOUND_WITHOUT_RELAY_S:
            world.run_for(0.02)
            for name, state in world.states.items():
                if state.registry.position.era == NEW_ERA_POSITION.era:
                    reached_after_s.setdefault(name, world.now - started)
                if state.watching and name not in listed:
                    listed.add(name)
                    self.list_at(world, name)
        others = [n for n, d in hosts.items() if d != hosts[relays[0]]]
        assert set(reached_after_s) == set(hosts) - {relays[0]}
        assert max(reached_after_s[name] for name in others) <= self.BOUND_S

    def list_at(self, world: SlotWorld, host: str) -> None:
        """Let a host list the registry in the new era."""
        entries = tuple(list_entries(world))
        event = ServersListed(now=world.now, position=NEW_ERA_POSITION, servers=entries)
        world.handle(host, event)


class TestLeaving:
    """The older copy does not bring back a server that left or is leaving."""

    def test_leaving_server(self) -> None:
        world = make_world()
        entry = list_entries(world)[0]
        leaving = replace(entry, is_draining=True, sequence=8)
        list_servers(world, [leaving, list_entries(world)[1]], LATER_OLD_ERA_POSITION)
        list_servers(world, list_entries(world, 7), NEW_ERA_POSITION)
        for state in world.states.values():
            assert state.registry.servers["s0"].is_draining

    def test_removed_server(self) -> None:
        world = make_world()
        list_servers(world, list_entries(world)[1:], LATER_OLD_ERA_POSITION)
        assert list_known(world) == [["s1"]] * 3
        list_servers(world, list_entries(world, 7), NEW_ERA_POSITION)
        assert list_known(world) == [["s1"]] * 3
        # Without a write since the restore, the server stays removed; a later write
        # proves that it is alive.
        list_servers(
            world, list_entries(world, 7), replace(NEW_ERA_POSITION, revision=50)
        )
        assert list_known(world) == [["s1"]] * 3
        list_servers(
            world, list_entries(world, 8), replace(NEW_ERA_POSITION, revision=60)
        )
        assert list_known(world) == [["s0", "s1"]] * 3


class TestStore:
    """The responses that the store client accepts around a change of era."""

    def run(self, store: MetadataStore, steps: Any) -> None:
        async def go() -> None:
            client = StoreClient(address=served.address)
            await client.open()
            await steps(client)
            await client.aclose()

        with AppThread(store) as served:
            anyio.run(go)

    def test_watch_ends_with_the_era(self) -> None:
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
            # The new era reused the revision: a watch from it would miss a change.
            changed = await client.watch(KIND, since=listed.position, wait_s=0.1)
            assert isinstance(changed, HistoryLost)
            again = await client.list_all(KIND)
            assert isinstance(again, ObjectList)
            assert again.position > listed.position
            assert [item.name for item in again.items] == ["a", "c", "d"]

        self.run(store, steps)

    def test_response_of_an_earlier_era_is_rejected(self) -> None:
        store = MetadataStore()
        store.era = 5

        async def steps(client: StoreClient) -> None:
            assert isinstance(await client.list_all(KIND), ObjectList)
            store.era = 4
            assert isinstance(await client.list_all(KIND), Unavailable)
            written = await client.write_object(
                kind=KIND, name="a", spec={}, expected_version=None
            )
            assert isinstance(written, WriteOutcomeUnknown)
            assert not isinstance(
                await client.read_position(KIND, timeout_s=5.0), Unavailable
            )
            store.era = 5
            assert isinstance(
                await client.read_object(kind=KIND, name="a"), StoredObject
            )

        self.run(store, steps)

    @pytest.mark.parametrize("named", [b"", b"-1", b"x", b"\xff", b"9" * 400])
    def test_unparsable_era(self, named: bytes) -> None:
        store = MetadataStore()
        store.raw_era = named

        async def steps(client: StoreClient) -> None:
            written = await client.write_object(
                kind=KIND, name="a", spec={}, expected_version=None
            )
            assert isinstance(written, WriteAccepted)
            watched = await client.watch(
                KIND, since=StorePosition(era=client.era), wait_s=0.1
            )
            assert isinstance(watched, ChangeList)

        self.run(store, steps)


class TestProcess:
    """A host process while its store is restored from an older copy."""

    def test_host_reaches_the_era_and_writes_its_entry_again(
        self, tmp_path: Path
    ) -> None:
        with run_deployment(tmp_path) as deployment:
            store = deployment.store
            kept = store.make_snapshot()
            own = ("siskinpier-hosts", "front-1")
            without = (kept[0], {k: v for k, v in kept[1].items() if k != own})
            store.restore_snapshot(without)
            # A change at a revision that the earlier era used already.
            address = store.objects["servers", "i-1"]["spec"]["address"]
            store.put("servers", "i-3", make_entry(address))
            wait_until(lambda: own in store.objects)
            wait_until(lambda: "server=i-3" in deployment.host.read_log())
            assert deployment.host.send_request("/search/1").status_code == 200
