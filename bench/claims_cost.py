"""Measure the cost of claims on 18 hosts in virtual time.

`python -m bench.claims_cost` prints one JSON line for each call rate, and one
for the memory of a stored key for each reply size. Sizes are those of the real
encodings.
"""

import json
import sys
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from siskinpier.core.claims.messages import KeptReply
from siskinpier.core.claims.store import Entry, encode_entries
from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.effects import Effect, LogDecision, WriteObject
from siskinpier.core.events import Event
from siskinpier.core.routing.calls import Call

from .virtual import World
from .virtual.deployment import make_deployment

HOST_COUNT: Final = 18
CALL_RATES_PER_S: Final = (10, 100, 1000, 2000, 4000)
RUN_S: Final = 4.0
DEADLINE_S: Final = 5.0
MEAN_SERVICE_TIME_S: Final = 0.001
ENTRY_COUNT: Final = 20_000
CLAIM_MESSAGES: Final = ("ClaimRequest", "ClaimReply", "ClaimEnd", "ClaimEndAck")


def make_world() -> World:
    """Return 18 hosts and more server slots than any measured rate needs."""
    servers = tuple(
        BackendServer(
            name=f"pay-{n}",
            address=f"10.0.0.{n}:80",
            failure_domain=f"domain-{n % 3}",
            slots=50,
        )
        for n in range(18)
    )
    service = ServiceIntent(name="pay", deadline_s=DEADLINE_S, servers=servers)
    intents = RoutingIntents(services=(service,))
    return make_deployment(
        intents=intents,
        hosts=HOST_COUNT,
        seed=1,
        mean_service_time_s=MEAN_SERVICE_TIME_S,
    )


def measure(rate: int, *, keyed: bool) -> dict[str, Any]:
    """Return latencies, group sizes and bytes at `rate` calls per second."""
    world = make_world()
    group_sizes: list[int] = []
    object_sizes: list[int] = []
    sent_at: dict[str, float] = {}

    def record_effects(event: Event, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case LogDecision(event="claims-write", fields=fields):
                    group_sizes.append(int(str(fields["group"])))
                case WriteObject(spec=spec):
                    object_sizes.append(len(json.dumps(spec, separators=(",", ":"))))

    for host in world.hosts.values():
        host.event_hooks.append(record_effects)
    count = int(rate * RUN_S)
    started = world.now
    for number in range(count):
        at = number / rate
        call = Call(
            call_id=f"{number:016x}",
            service="pay",
            method="POST",
            path="/pay",
            caller="caller",
            deadline=world.now + at + DEADLINE_S,
            key=f"key-{number}" if keyed else None,
            fingerprint=f"{number:032x}",
        )
        sent_at[call.call_id] = world.now + at
        world.call(f"host-{number % HOST_COUNT}", call, at)
    world.run_for(RUN_S + DEADLINE_S)
    answers = [a for a in world.answers.values() if a.status == 200]
    latencies = sorted(a.at - sent_at[a.call_id] for a in answers)
    claim_count = sum(group_sizes)
    mesh_bytes = sum(
        h.bytes_sent[kind] for h in world.hosts.values() for kind in CLAIM_MESSAGES
    )
    claim_group_sizes = [group for group in group_sizes if group]
    return {
        "calls": count,
        "answered": len(answers),
        "p50_ms": round(1000 * latencies[len(latencies) // 2], 2),
        "p99_ms": round(1000 * latencies[int(len(latencies) * 0.99)], 2),
        "writes_per_s": round(count_writes(world, started) / RUN_S, 1),
        "group_mean": (
            round(claim_count / len(claim_group_sizes), 2) if claim_group_sizes else 0
        ),
        "group_most": max(group_sizes, default=0),
        "object_bytes_a_claim": (
            round(sum(object_sizes) / claim_count) if claim_count else 0
        ),
        "mesh_bytes_a_claim": round(mesh_bytes / claim_count) if claim_count else 0,
    }


def count_writes(world: World, started: float) -> int:
    """Return the number of platform writes while calls were arriving."""
    times = world.platform.call_times if world.platform is not None else []
    return sum(
        kind == "write" and started <= at < started + RUN_S for at, kind in times
    )


def measure_memory(make: Callable[[int], Entry]) -> tuple[float, float]:
    """Return the bytes of one entry in memory and in the store."""
    tracemalloc.start()
    entries = {f"{n:032x}": make(n) for n in range(ENTRY_COUNT)}
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    stored = len(json.dumps(encode_entries(entries), separators=(",", ":")))
    return round(used / ENTRY_COUNT), round(stored / ENTRY_COUNT)


def make_entry(number: int, reply_bytes: int) -> Entry:
    """Return an entry with a reply of `reply_bytes`, or without one if it is 0."""
    kept = KeptReply(status=200, headers=(), body=bytes(reply_bytes))
    return Entry(
        call_id=f"{number:016x}",
        fingerprint=f"{number:032x}",
        grant=f"{number:016x}",
        expires=float(number),
        kept=kept if reply_bytes else None,
    )


def main(rates: tuple[int, ...] = CALL_RATES_PER_S) -> None:
    """Print the results as JSON lines."""
    for rate in rates:
        with_claim = measure(rate, keyed=True)
        without = measure(rate, keyed=False)
        added = {
            "rate": rate,
            "added_p50_ms": round(with_claim["p50_ms"] - without["p50_ms"], 2),
            "added_p99_ms": round(with_claim["p99_ms"] - without["p99_ms"], 2),
        }
        print(json.dumps(added | with_claim), flush=True)
    for size in (0, 200):
        memory, stored = measure_memory(partial(make_entry, reply_bytes=size))
        figures = {"reply_bytes": size, "memory_bytes": memory, "stored_bytes": stored}
        print(json.dumps(figures))


if __name__ == "__main__":
    main(tuple(int(rate) for rate in sys.argv[1:]) or CALL_RATES_PER_S)
