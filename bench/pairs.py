"""Every pair of the brief's failures, over real cores in virtual time.

`python -m bench.pairs --seeds 20` prints a table: a cell counts the seeds in
which a promise broke. Each pair begins together; a failure paired with itself
comes twice.
"""

import itertools
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

import fire

from siskinpier.core.configuration.intents import RoutingIntents, ServerState
from siskinpier.core.configuration.orders import (
    OrderResult,
    OrderStatus,
    SetServerState,
)
from siskinpier.core.verdict import Verdict

from .fleet import load_example
from .virtual.callers import Effort, Intention, VirtualCallers
from .virtual.deployment import make_deployment
from .virtual.servers import VirtualServer
from .virtual.world import World

HOSTS: Final = 6
SEARCH_SERVERS: Final = 6
PAYMENT_SERVERS: Final = 4
CALLS_PER_S: Final = 80.0
RUN_S: Final = 8.0
FAULT_AT_S: Final = 2.0
FAULT_S: Final = 3.0
SECOND_OFFSET_S: Final = 0.4
SETTLE_S: Final = 25.0
DRAIN_BOUND_S: Final = 3.0
IN_FORCE_BOUND_S: Final = 4.0
ANSWER_BOUND_S: Final = 0.1
CRASH_BOUND_SERVERS: Final = 2
POISON_PATH: Final = "/poison"


@dataclass(slots=True, kw_only=True)
class Scene:
    """One run: the world, its callers, and what operators were told."""

    world: World
    callers: VirtualCallers
    rng: random.Random
    results: list[OrderResult] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)


Failure = Callable[[Scene], None]


def run_pair(first: str, second: str, seed: int) -> list[str]:
    """Run two failures together and return the promises that broke."""
    scene = make_scene(seed)
    world = scene.world
    world.after(FAULT_AT_S, lambda: FAILURES[first](scene))
    world.after(FAULT_AT_S + SECOND_OFFSET_S, lambda: FAILURES[second](scene))
    world.run_for(RUN_S + SETTLE_S)
    return find_faults(scene)


def make_scene(seed: int) -> Scene:
    """Return a small deployment with a steady load of searches and payments."""
    world = make_deployment(intents=make_intents(), hosts=HOSTS, seed=seed)
    rng = random.Random(seed)
    scene = Scene(world=world, callers=VirtualCallers(world=world, seed=seed), rng=rng)
    number = 0
    delay_s = rng.expovariate(CALLS_PER_S)
    while delay_s < RUN_S:
        number += 1
        caller = f"caller-{number % 20}"
        scene.callers.start(caller, _make_intention(rng, number), delay_s)
        delay_s += rng.expovariate(CALLS_PER_S)
    return scene


def make_intents() -> RoutingIntents:
    """Return search and payments, cut to a few backend servers."""
    search, payments, *_ = load_example("arhivski-kadar").services
    return RoutingIntents(
        revision=1,
        services=(
            replace(search, servers=search.servers[:SEARCH_SERVERS]),
            replace(
                payments, servers=payments.servers[:PAYMENT_SERVERS], deadline_s=2.0
            ),
        ),
    )


def find_faults(scene: Scene) -> list[str]:
    """Return every promise that broke, in words."""
    return [
        *_check_runs(scene),
        *_check_answers(scene),
        *_check_drains(scene),
        *_check_configuration(scene),
        *_check_probes(scene),
        *_check_crashes(scene),
    ]


def _check_runs(scene: Scene) -> list[str]:
    """Judge runs by key: at most one, and none where a refusal said so."""
    faults = []
    runs: Counter[str] = Counter()
    for server in scene.world.servers.values():
        runs.update(run.call.key for run in server.journal if run.call.key)
    faults += [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
    for effort in scene.callers.efforts:
        key, answer = effort.intention.key, effort.answer
        if key is None or answer is None:
            continue
        if answer.verdict is Verdict.NOT_RUN and runs[key]:
            faults.append(f"{key} was said not to have run, but ran")
    return faults


def _check_answers(scene: Scene) -> list[str]:
    """Judge answers: each carries the run of its own call, in time."""
    faults = []
    for effort in scene.callers.efforts:
        if not effort.is_over:
            faults.append(f"{effort.caller} has no final answer")
        for answer in effort.answers:
            faults += _check_answer(scene, effort, answer.call_id)
    return faults


def _check_answer(scene: Scene, effort: Effort, call_id: str) -> list[str]:
    answer = scene.world.answers.get(call_id)
    if answer is None:
        return []
    faults = []
    own = {call.call_id for call in effort.tries}
    if answer.run_of is not None and answer.run_of not in own:
        faults.append(f"{call_id} got the answer of {answer.run_of}")
    call = next(call for call in effort.tries if call.call_id == call_id)
    late_s = answer.at - call.deadline
    # A frozen host cannot answer; its callers stop waiting by themselves.
    if late_s > ANSWER_BOUND_S and not _was_frozen(scene):
        faults.append(f"{call_id} was answered {late_s:.2f} s late")
    return faults


def _was_frozen(scene: Scene) -> bool:
    return any(host.was_frozen for host in scene.world.hosts.values())


def _check_drains(scene: Scene) -> list[str]:
    faults = []
    for server in scene.world.servers.values():
        since = scene.drained.get(server.name)
        if since is None:
            continue
        late = [run for run in server.journal if run.at > since + DRAIN_BOUND_S]
        if late:
            faults.append(f"{server.name} got {len(late)} calls after its drain")
    return faults


def _check_configuration(scene: Scene) -> list[str]:
    """Revisions only rise, accepted ones are durable and end in force everywhere."""
    faults = []
    for host in scene.world.hosts.values():
        values = [revision for _, revision in host.revisions]
        if values != sorted(values):
            faults.append(f"{host.name} went back: {values}")
    accepted = [r.revision for r in scene.results if r.status is OrderStatus.ACCEPTED]
    if len(accepted) != len(set(accepted)):
        faults.append(f"two orders were accepted as one revision: {accepted}")
    newest = max([1, *accepted])
    for host in scene.world.hosts.values():
        if host.is_alive and host.state.intents.revision < newest:
            faults.append(f"{host.name} never had revision {newest}")
    return faults


def _check_probes(scene: Scene) -> list[str]:
    """Judge the probes of each service against its budget, second by second."""
    faults = []
    services = scene.world.hosts["host-0"].state.intents.services
    for service in services:
        addresses = {server.address for server in service.servers}
        times = sorted(
            at
            for address in addresses
            for at in scene.world.servers[address].probe_times
        )
        budget = service.probes.per_second
        for index, at in enumerate(times):
            count = sum(1 for other in times[index:] if other < at + 1.0)
            if count > budget:
                faults.append(f"{service.name} had {count} probes in one second")
                break
    return faults


def _check_crashes(scene: Scene) -> list[str]:
    crashed = [
        server.name
        for server in scene.world.servers.values()
        for run in server.journal
        if run.call.path == POISON_PATH
    ]
    if len(crashed) > CRASH_BOUND_SERVERS:
        return [f"one request crashed {len(crashed)} backend servers"]
    return []


def _make_intention(rng: random.Random, number: int) -> Intention:
    if rng.random() < 0.6:
        return Intention(
            service="search",
            method="GET",
            path=f"/find/{number}",
            urgency=1 if rng.random() < 0.3 else 3,
        )
    return Intention(
        service="payments", method="POST", path=f"/pay/{number}", key=f"key-{number}"
    )


def _pick_server(scene: Scene) -> VirtualServer:
    names = sorted(scene.world.servers)
    return scene.world.servers[scene.rng.choice(names)]


def _slow_server(scene: Scene) -> None:
    server = _pick_server(scene)
    server.slow_factor = 20.0
    scene.world.after(FAULT_S, lambda: setattr(server, "slow_factor", 1.0))


def _drain_server(scene: Scene) -> None:
    """Let a backend server say by itself that it leaves."""
    server = _pick_server(scene)
    server.is_draining = True
    scene.drained.setdefault(server.name, scene.world.now)


def _reject_all(scene: Scene) -> None:
    server = _pick_server(scene)
    server.rejects = True
    scene.world.after(FAULT_S, lambda: setattr(server, "rejects", False))


def _platform_down(scene: Scene) -> None:
    platform = scene.world.platform
    assert platform is not None
    platform.is_down = True
    platform.break_watches()
    scene.world.after(FAULT_S, lambda: setattr(platform, "is_down", False))


def _platform_slow(scene: Scene) -> None:
    platform = scene.world.platform
    assert platform is not None
    usual_s = platform.latency_s
    platform.latency_s = 0.8
    scene.world.after(FAULT_S, lambda: setattr(platform, "latency_s", usual_s))


def _lose_replies(scene: Scene) -> None:
    platform = scene.world.platform
    assert platform is not None
    platform.lose_replies += 5


def _pause_host(scene: Scene) -> None:
    names = sorted(scene.world.hosts)
    host = scene.world.hosts[scene.rng.choice(names)]
    host.freeze()
    scene.world.after(FAULT_S, host.wake)


def _kill_host(scene: Scene) -> None:
    names = sorted(name for name, h in scene.world.hosts.items() if h.is_alive)
    host = scene.world.hosts[scene.rng.choice(names)]
    host.kill()
    scene.world.after(FAULT_S, host.restart)


def _race_operators(scene: Scene) -> None:
    names = sorted(name for name, h in scene.world.hosts.items() if h.is_alive)
    state = ServerState.DRAINING
    for index, name in enumerate(scene.rng.sample(names, 2)):
        server = f"search-{index + 1}"
        order = SetServerState(service="search", server=server, state=state)

        def done(result: OrderResult, server: str = server) -> None:
            scene.results.append(result)
            if result.status is OrderStatus.ACCEPTED:
                scene.drained.setdefault(server, scene.world.now)

        scene.world.hosts[name].give_order(order, f"operator-{index}", done)


def _crash_by_request(scene: Scene) -> None:
    for server in scene.world.servers.values():
        server.crashes_on = _is_poison
    intention = Intention(service="search", method="GET", path=POISON_PATH)
    for number in range(6):
        scene.callers.start("caller-poison", intention, number * 0.3)


def _is_poison(call: object) -> bool:
    return getattr(call, "path", "") == POISON_PATH


FAILURES: Final[dict[str, Failure]] = {
    "server-slow": _slow_server,
    "server-drains": _drain_server,
    "server-rejects": _reject_all,
    "platform-down": _platform_down,
    "platform-slow": _platform_slow,
    "reply-lost": _lose_replies,
    "host-paused": _pause_host,
    "host-killed": _kill_host,
    "operators-race": _race_operators,
    "request-crashes": _crash_by_request,
}
PAIRS: Final = tuple(itertools.combinations_with_replacement(FAILURES, 2))


def main(*, seeds: int = 5, first_seed: int = 1) -> None:
    """Run every pair with several seeds; exit 1 if a promise broke."""
    broken = 0
    for first, second in PAIRS:
        faults = [
            (seed, fault)
            for seed in range(first_seed, first_seed + seeds)
            for fault in run_pair(first, second, seed)[:3]
        ]
        broken += bool(faults)
        state = "held" if not faults else f"BROKEN {faults[:3]}"
        print(f"{first} + {second}: {state}", flush=True)
    print(f"{len(PAIRS)} pairs, {seeds} seeds each, {broken} pairs broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
