"""Settled claims in segments: sealing, lookup, and reuse of slots after expiry.

A claim that is lost on the way to a slot, or in a slot that is overwritten too early,
would let its key run again.
"""

from collections.abc import Iterator
from typing import Final

import pytest

from bench.virtual import World
from bench.virtual.deployment import make_deployment
from siskinpier.core.claims import commits as claim_commits
from siskinpier.core.claims.segments import MAX_CLOCK_SKEW_S, is_slot_expired
from siskinpier.core.claims.store import compute_shard, make_claim_id
from siskinpier.core.cluster.rendezvous import choose_node
from siskinpier.core.platform_results import CLAIMS, StoredObject
from tests.test_claims import list_runs, make_call, make_payments

KEY_COUNT: Final = 40
FIRST_SHARD: Final = compute_shard(make_claim_id("payments", "caller", "key-0"))


def list_keys() -> list[str]:
    """Return keys whose claims are in the first shard."""
    names = (f"key-{number}" for number in range(100 * KEY_COUNT))
    found = (
        name
        for name in names
        if compute_shard(make_claim_id("payments", "caller", name)) == FIRST_SHARD
    )
    return [next(found) for _ in range(KEY_COUNT)]


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    """Return three hosts with a low sealing threshold, after a call with each key."""
    monkeypatch.setattr(claim_commits, "SEAL_THRESHOLD_BYTES", 1_000)
    world = make_deployment(intents=make_payments(), hosts=3, seed=1)
    for number, key in enumerate(list_keys()):
        world.call("host-0", make_call(world, f"first-{number}", key))
        world.run_for(0.3)
    return world


def read_slots(world: World) -> list[StoredObject]:
    """Return the stored slots of all shards."""
    assert world.platform is not None
    items = world.platform.store.list_kind(kind=CLAIMS).items
    return [item for item in items if item.name.count("-") == 2]


class TestSegments:
    """Claims that were moved from the head of their shard to slots."""

    def test_head_stays_small(self, world: World) -> None:
        assert len(read_slots(world)) > 2
        assert world.platform is not None
        head = world.platform.store.read(kind=CLAIMS, name=f"shard-{FIRST_SHARD}")
        assert isinstance(head, StoredObject)
        assert len(head.spec["entries"]) < KEY_COUNT / 2
        sealed = sum(len(item.spec["entries"]) for item in read_slots(world))
        assert len(head.spec["entries"]) + sealed == KEY_COUNT

    def test_new_owner_finds_sealed_claims(self, world: World) -> None:
        owner = choose_node(f"claims/{FIRST_SHARD}", sorted(world.hosts)) or ""
        other = next(name for name in world.hosts if name != owner)
        world.hosts[owner].kill()
        world.run_for(4.0)
        for number, key in enumerate(list_keys()):
            world.call(other, make_call(world, f"second-{number}", key))
        world.run_for(3.0)
        runs = list_runs(world)
        assert len(runs) == len(set(runs)) == KEY_COUNT
        run_ids = [
            world.answers[f"second-{n}"].run_call_id for n in range(KEY_COUNT - 5)
        ]
        assert run_ids == [f"first-{n}" for n in range(KEY_COUNT - 5)]

    def test_slot_is_free_only_when_all_of_it_expired(self) -> None:
        assert not is_slot_expired({"expires": 100.0}, 100.0 + MAX_CLOCK_SKEW_S / 2)
        assert is_slot_expired({"expires": 100.0}, 100.0 + MAX_CLOCK_SKEW_S)
        assert not is_slot_expired({}, 1e9)

    def test_slot_of_another_owner_is_not_overwritten(self, world: World) -> None:
        assert world.platform is not None
        before = {item.name: item.spec["seal"] for item in read_slots(world)}
        for host in world.hosts.values():
            for shard in host.state.claims.shards.values():
                # The state of an owner that does not know of the slots.
                shard.segments.clear()
        for number, key in enumerate(f"more-{n}" for n in range(9 * 64)):
            if compute_shard(make_claim_id("payments", "caller", key)) == FIRST_SHARD:
                world.call("host-1", make_call(world, f"more-{number}", key))
                world.run_for(0.3)
        world.run_for(6.0)
        after = {item.name: item.spec["seal"] for item in read_slots(world)}
        assert before.items() <= after.items()
