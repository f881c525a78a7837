"""Inject every pair of faults into a deployment in virtual time.

`python -m bench.pairs --seeds 20` prints one line for each pair, with the first
three violations found and their seeds. The faults of a pair start 0.4 s apart; a
fault paired with itself is injected twice.
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
from .virtual.callers import Operation, OperationRecord, VirtualCallers
from .virtual.deployment import make_deployment
from .virtual.servers import VirtualServer
from .virtual.world import World

HOST_COUNT: Final = 6
SEARCH_SERVER_COUNT: Final = 6
PAYMENT_SERVER_COUNT: Final = 4
CALLS_PER_S: Final = 80.0
RUN_S: Final = 8.0
FIRST_FAULT_AT_S: Final = 2.0
FAULT_DURATION_S: Final = 3.0
SECOND_FAULT_DELAY_S: Final = 0.4
SETTLE_S: Final = 25.0
DRAIN_LIMIT_S: Final = 3.0
PROPAGATION_LIMIT_S: Final = 4.0
ANSWER_GRACE_S: Final = 0.1
MAX_CRASHED_SERVERS: Final = 2
POISON_PATH: Final = "/poison"


@dataclass(slots=True, kw_only=True)
class Scenario:
    """State of one run.

    `results` are the results of orders, and `drained` maps the names of drained
    servers to the times when they began to drain.
    """

    world: World
    callers: VirtualCallers
    rng: random.Random
    results: list[OrderResult] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)


FaultInjector = Callable[[Scenario], None]


def run_pair(first: str, second: str, seed: int) -> list[str]:
    """Inject two faults in one run and return the violated guarantees."""
    scenario = make_scenario(seed)
    world = scenario.world
    world.after(FIRST_FAULT_AT_S, lambda: FAULTS[first](scenario))
    world.after(
        FIRST_FAULT_AT_S + SECOND_FAULT_DELAY_S, lambda: FAULTS[second](scenario)
    )
    world.run_for(RUN_S + SETTLE_S)
    return find_violations(scenario)


def make_scenario(seed: int) -> Scenario:
    """Return a small deployment under a steady load of searches and payments."""
    world = make_deployment(intents=make_intents(), hosts=HOST_COUNT, seed=seed)
    rng = random.Random(seed)
    scenario = Scenario(
        world=world, callers=VirtualCallers(world=world, seed=seed), rng=rng
    )
    number = 0
    delay_s = rng.expovariate(CALLS_PER_S)
    while delay_s < RUN_S:
        number += 1
        caller = f"caller-{number % 20}"
        scenario.callers.start(caller, _make_operation(rng, number), delay_s)
        delay_s += rng.expovariate(CALLS_PER_S)
    return scenario


def make_intents() -> RoutingIntents:
    """Return the services search and payments with few backend servers."""
    search, payments, *_ = load_example("arhivski-kadar").services
    return RoutingIntents(
        revision=1,
        services=(
            replace(search, servers=search.servers[:SEARCH_SERVER_COUNT]),
            replace(
                payments,
                servers=payments.servers[:PAYMENT_SERVER_COUNT],
                deadline_s=2.0,
            ),
        ),
    )


def find_violations(scenario: Scenario) -> list[str]:
    """Return a description of each violated guarantee."""
    return [
        *_check_runs(scenario),
        *_check_answers(scenario),
        *_check_drains(scenario),
        *_check_configuration(scenario),
        *_check_probes(scenario),
        *_check_crashes(scenario),
    ]


def _check_runs(scenario: Scenario) -> list[str]:
    """Check that no key ran twice, or ran although it was reported as not run."""
    violations = []
    runs: Counter[str] = Counter()
    for server in scenario.world.servers.values():
        runs.update(run.call.key for run in server.journal if run.call.key)
    violations += [
        f"{key} ran {count} times" for key, count in runs.items() if count > 1
    ]
    for record in scenario.callers.records:
        key, answer = record.operation.key, record.answer
        if key is None or answer is None:
            continue
        if answer.verdict is Verdict.NOT_RUN and runs[key]:
            violations.append(f"{key} was reported as not run, but ran")
    return violations


def _check_answers(scenario: Scenario) -> list[str]:
    """Check that each call got its own answer in time."""
    violations = []
    for record in scenario.callers.records:
        if not record.is_finished:
            violations.append(f"{record.caller} has no final answer")
        for answer in record.answers:
            violations += _check_answer(scenario, record, answer.call_id)
    return violations


def _check_answer(
    scenario: Scenario, record: OperationRecord, call_id: str
) -> list[str]:
    answer = scenario.world.answers.get(call_id)
    if answer is None:
        return []
    violations = []
    own_call_ids = {call.call_id for call in record.calls}
    if answer.run_call_id is not None and answer.run_call_id not in own_call_ids:
        violations.append(f"{call_id} got the answer of {answer.run_call_id}")
    call = next(call for call in record.calls if call.call_id == call_id)
    late_s = answer.at - call.deadline
    # A frozen host cannot answer; its callers stop waiting on their own.
    if late_s > ANSWER_GRACE_S and not _was_frozen(scenario):
        violations.append(f"{call_id} was answered {late_s:.2f} s late")
    return violations


def _was_frozen(scenario: Scenario) -> bool:
    return any(host.was_frozen for host in scenario.world.hosts.values())


def _check_drains(scenario: Scenario) -> list[str]:
    violations = []
    for server in scenario.world.servers.values():
        drained_at = scenario.drained.get(server.name)
        if drained_at is None:
            continue
        late_runs = [
            run for run in server.journal if run.at > drained_at + DRAIN_LIMIT_S
        ]
        if late_runs:
            violations.append(
                f"{server.name} got {len(late_runs)} calls after its drain"
            )
    return violations


def _check_configuration(scenario: Scenario) -> list[str]:
    """Check the revisions of the configuration.

    They only increase on each host, accepted ones are distinct, and the newest
    reaches every live host.
    """
    violations = []
    for host in scenario.world.hosts.values():
        values = [revision for _, revision in host.revisions]
        if values != sorted(values):
            violations.append(f"{host.name} went back: {values}")
    accepted = [
        r.revision for r in scenario.results if r.status is OrderStatus.ACCEPTED
    ]
    if len(accepted) != len(set(accepted)):
        violations.append(f"two orders were accepted as one revision: {accepted}")
    newest = max([1, *accepted])
    for host in scenario.world.hosts.values():
        if host.is_alive and host.state.intents.revision < newest:
            violations.append(f"{host.name} never had revision {newest}")
    return violations


def _check_probes(scenario: Scenario) -> list[str]:
    """Check the probes of each service against its budget in every second."""
    violations = []
    services = scenario.world.hosts["host-0"].state.intents.services
    for service in services:
        addresses = {server.address for server in service.servers}
        times = sorted(
            at
            for address in addresses
            for at in scenario.world.servers[address].probe_times
        )
        budget = service.probes.per_second
        for index, at in enumerate(times):
            count = sum(1 for other in times[index:] if other < at + 1.0)
            if count > budget:
                violations.append(f"{service.name} had {count} probes in one second")
                break
    return violations


def _check_crashes(scenario: Scenario) -> list[str]:
    crashed = [
        server.name
        for server in scenario.world.servers.values()
        for run in server.journal
        if run.call.path == POISON_PATH
    ]
    if len(crashed) > MAX_CRASHED_SERVERS:
        return [f"one request crashed {len(crashed)} backend servers"]
    return []


def _make_operation(rng: random.Random, number: int) -> Operation:
    if rng.random() < 0.6:
        return Operation(
            service="search",
            method="GET",
            path=f"/find/{number}",
            urgency=1 if rng.random() < 0.3 else 3,
        )
    return Operation(
        service="payments", method="POST", path=f"/pay/{number}", key=f"key-{number}"
    )


def _choose_server(scenario: Scenario) -> VirtualServer:
    names = sorted(scenario.world.servers)
    return scenario.world.servers[scenario.rng.choice(names)]


def _slow_server(scenario: Scenario) -> None:
    server = _choose_server(scenario)
    server.slow_factor = 20.0
    scenario.world.after(FAULT_DURATION_S, lambda: setattr(server, "slow_factor", 1.0))


def _drain_server(scenario: Scenario) -> None:
    """Make a backend server report that it is draining."""
    server = _choose_server(scenario)
    server.is_draining = True
    scenario.drained.setdefault(server.name, scenario.world.now)


def _reject_calls(scenario: Scenario) -> None:
    server = _choose_server(scenario)
    server.is_rejecting = True
    scenario.world.after(
        FAULT_DURATION_S, lambda: setattr(server, "is_rejecting", False)
    )


def _stop_platform(scenario: Scenario) -> None:
    platform = scenario.world.platform
    assert platform is not None
    platform.is_down = True
    platform.break_watches()
    scenario.world.after(FAULT_DURATION_S, lambda: setattr(platform, "is_down", False))


def _slow_platform(scenario: Scenario) -> None:
    platform = scenario.world.platform
    assert platform is not None
    normal_s = platform.latency_s
    platform.latency_s = 0.8
    scenario.world.after(
        FAULT_DURATION_S, lambda: setattr(platform, "latency_s", normal_s)
    )


def _lose_platform_replies(scenario: Scenario) -> None:
    platform = scenario.world.platform
    assert platform is not None
    platform.replies_to_lose += 5


def _freeze_host(scenario: Scenario) -> None:
    names = sorted(scenario.world.hosts)
    host = scenario.world.hosts[scenario.rng.choice(names)]
    host.freeze()
    scenario.world.after(FAULT_DURATION_S, host.resume)


def _kill_host(scenario: Scenario) -> None:
    names = sorted(name for name, h in scenario.world.hosts.items() if h.is_alive)
    host = scenario.world.hosts[scenario.rng.choice(names)]
    host.kill()
    scenario.world.after(FAULT_DURATION_S, host.restart)


def _race_operators(scenario: Scenario) -> None:
    names = sorted(name for name, h in scenario.world.hosts.items() if h.is_alive)
    state = ServerState.DRAINING
    for index, name in enumerate(scenario.rng.sample(names, 2)):
        server = f"search-{index + 1}"
        order = SetServerState(service="search", server=server, state=state)

        def handle_result(result: OrderResult, server: str = server) -> None:
            scenario.results.append(result)
            if result.status is OrderStatus.ACCEPTED:
                scenario.drained.setdefault(server, scenario.world.now)

        scenario.world.hosts[name].give_order(order, f"operator-{index}", handle_result)


def _crash_by_request(scenario: Scenario) -> None:
    for server in scenario.world.servers.values():
        server.crashes_on = _is_poison
    operation = Operation(service="search", method="GET", path=POISON_PATH)
    for number in range(6):
        scenario.callers.start("caller-poison", operation, number * 0.3)


def _is_poison(call: object) -> bool:
    return getattr(call, "path", "") == POISON_PATH


FAULTS: Final[dict[str, FaultInjector]] = {
    "server-slow": _slow_server,
    "server-drains": _drain_server,
    "server-rejects": _reject_calls,
    "platform-down": _stop_platform,
    "platform-slow": _slow_platform,
    "reply-lost": _lose_platform_replies,
    "host-paused": _freeze_host,
    "host-killed": _kill_host,
    "operators-race": _race_operators,
    "request-crashes": _crash_by_request,
}
PAIRS: Final = tuple(itertools.combinations_with_replacement(FAULTS, 2))


def main(*, seeds: int = 5, first_seed: int = 1) -> None:
    """Run every pair with several seeds; exit with 1 if a guarantee was violated."""
    violated_pairs = 0
    for first, second in PAIRS:
        violations = [
            (seed, violation)
            for seed in range(first_seed, first_seed + seeds)
            for violation in run_pair(first, second, seed)[:3]
        ]
        violated_pairs += bool(violations)
        state = "held" if not violations else f"BROKEN {violations[:3]}"
        print(f"{first} + {second}: {state}", flush=True)
    print(f"{len(PAIRS)} pairs, {seeds} seeds each, {violated_pairs} pairs broken")
    sys.exit(1 if violated_pairs else 0)


if __name__ == "__main__":
    fire.Fire(main)
