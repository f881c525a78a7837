"""Trials in virtual time, each with one policy, one load and one fault."""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum, unique
from typing import Final

import numpy as np

from bench.load import Arrival, make_arrivals
from bench.policies import BaselineHost, Policy
from bench.virtual import Answer, VirtualServer, World
from bench.virtual.deployment import list_domains, make_deployment, make_server
from siskinpier.core.configuration.intents import (
    BackendServer,
    CallRule,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.routing.addresses import get_addresses
from siskinpier.core.routing.calls import Call

HOST_COUNT: Final = 18
MEAN_SERVICE_TIME_S: Final = 0.01
CALLER_COUNT: Final = 60
CALLER_DELAY_S: Final = 0.003
ADDRESS_TTL_S: Final = 4.0
DEADLINE_S: Final = 2.0
PERCENTILES: Final = (50.0, 95.0, 99.0, 99.9)
# Urgencies of calls; 0 is the most urgent.
URGENT: Final = 0
NORMAL: Final = 3
SLOW_FACTOR: Final = 5.0
COLD_START_S: Final = 1.0


@unique
class Fault(StrEnum):
    """Fault of one backend server during a trial."""

    NONE = "none"
    SLOW = "slow"
    REJECTS = "rejects"
    COLD_RESTART = "cold-restart"
    DRAINS = "drains"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSize:
    """Number of backend servers of a service, and slots of each."""

    name: str
    servers: int
    slots: int


SEARCH: Final = ServiceSize(name="search", servers=17, slots=4)
LISTINGS: Final = ServiceSize(name="listings", servers=20, slots=3)


@dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """Parameters of a trial; `load` is the offered load as a share of all slots."""

    service_size: ServiceSize
    policy: Policy
    load: float
    seed: int
    fault: Fault = Fault.NONE
    length_s: float = 4.0
    warm_up_s: float = 1.0
    hedge_share: float = 0.05
    deadline_s: float = DEADLINE_S


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Results of a trial; latencies in seconds as observed by the callers.

    `latencies` maps a group of calls to its percentiles, as in `PERCENTILES`.
    Rates are per second of the run, summed over all hosts. `goodput` is the rate
    of answers within the run, including answers to calls of the warm-up.
    """

    trial: Trial
    calls: int
    answered: int
    refused: int
    failed: int
    latencies: dict[str, tuple[float, ...]]
    goodput: float
    forwards: float
    messages: float
    message_bytes: float
    probes: float
    decisions: dict[str, int]


@dataclass(slots=True, kw_only=True)
class _Counts:
    statuses: Counter[int] = field(default_factory=Counter)
    calls: int = 0
    answered_in_time: int = 0
    latencies: dict[str, list[float]] = field(
        default_factory=lambda: {"urgent": [], "normal": []}
    )


def run_trial(trial: Trial) -> Outcome:
    """Run a trial; equal trials have equal outcomes."""
    intents = make_intents(trial)
    if trial.policy is Policy.SISKINPIER:
        world = make_deployment(
            intents=intents,
            hosts=HOST_COUNT,
            seed=trial.seed,
            mean_service_time_s=MEAN_SERVICE_TIME_S,
        )
        send_call = _make_host_sender(world, trial)
    else:
        world = _make_baseline_world(intents, trial)
        send_call = _make_baseline_sender(world, trial, list_domains(intents))
    counts = _Counts()
    rate = (
        trial.load
        * trial.service_size.servers
        * trial.service_size.slots
        / MEAN_SERVICE_TIME_S
    )
    start = world.now
    arrivals = make_arrivals(
        rate=rate,
        length_s=trial.warm_up_s + trial.length_s,
        callers=CALLER_COUNT,
        seed=trial.seed,
    )
    _schedule_arrivals(world, arrivals, start, trial, counts, send_call)
    schedule_fault(world, trial.fault, trial.warm_up_s / 2)
    world.run_for(trial.warm_up_s)
    before = _count_totals(world)
    world.run_for(trial.length_s)
    after = _count_totals(world)
    world.run_for(trial.deadline_s + 0.5)
    rates = {name: (after[name] - before[name]) / trial.length_s for name in after}
    return _make_outcome(world, trial, counts, rates)


def make_intents(trial: Trial) -> RoutingIntents:
    """Return intents with the measured service, spread over three failure domains."""
    service_size = trial.service_size
    servers = tuple(
        BackendServer(
            name=f"{service_size.name}-{index}",
            address=f"127.0.1.1:{9000 + index}",
            failure_domain=f"domain-{index % 3}",
            slots=service_size.slots,
        )
        for index in range(service_size.servers)
    )
    service = ServiceIntent(
        name=service_size.name,
        servers=servers,
        rules=(CallRule(idempotent=True, most_urgent=URGENT),),
        deadline_s=trial.deadline_s,
        hedge_share=trial.hedge_share,
    )
    return RoutingIntents(revision=1, services=(service,))


def schedule_fault(world: World, fault: Fault, after_s: float) -> None:
    """Schedule the fault of the first backend server after a delay."""
    server = next(iter(world.servers.values()))

    def warm_up() -> None:
        server.slow_factor = 1.0

    def restart_cold() -> None:
        server.crash()
        server.slow_factor = SLOW_FACTOR
        world.after(server.restart_s + COLD_START_S, warm_up)

    match fault:
        case Fault.SLOW:
            world.after(after_s, lambda: setattr(server, "slow_factor", SLOW_FACTOR))
        case Fault.REJECTS:
            world.after(after_s, lambda: setattr(server, "is_rejecting", True))
        case Fault.COLD_RESTART:
            # After the warm-up, so that the interrupted calls are counted.
            world.after(2 * after_s + 0.05, restart_cold)
        case Fault.DRAINS:
            world.after(after_s, lambda: setattr(server, "is_draining", True))


def _schedule_arrivals(
    world: World,
    arrivals: Iterator[Arrival],
    start: float,
    trial: Trial,
    counts: _Counts,
    send_call: Callable[[Call, int], None],
) -> None:
    """Schedule the arrivals, and count the answers in `counts`."""
    started: dict[str, tuple[float, str]] = {}

    def handle_answer(answer: Answer) -> None:
        elapsed_s = answer.at - start - trial.warm_up_s
        if (
            answer.status == 200
            and answer.is_complete
            and 0.0 <= elapsed_s < trial.length_s
        ):
            counts.answered_in_time += 1
        call = started.pop(answer.call_id, None)
        if call is None:
            return
        counts.statuses[answer.status if answer.is_complete else 0] += 1
        if answer.status == 200 and answer.is_complete:
            counts.latencies[call[1]].append(answer.at - call[0])

    def send(arrival: Arrival, number: int) -> None:
        call = Call(
            call_id=f"call-{number}",
            service=trial.service_size.name,
            method="GET",
            path="/",
            caller=f"caller-{arrival.caller}",
            deadline=world.now + trial.deadline_s,
            urgency=URGENT if arrival.is_urgent else NORMAL,
        )
        if arrival.at >= trial.warm_up_s:
            counts.calls += 1
            kind = "urgent" if arrival.is_urgent else "normal"
            started[call.call_id] = (world.now, kind)
        world.after(CALLER_DELAY_S, lambda: send_call(call, arrival.caller))
        schedule_next(number + 1)

    def schedule_next(number: int) -> None:
        arrival = next(arrivals, None)
        if arrival is not None:
            world.at(start + arrival.at, lambda: send(arrival, number))

    world.answer_hooks.append(handle_answer)
    schedule_next(0)


def _make_host_sender(world: World, trial: Trial) -> Callable[[Call, int], None]:
    """Return a function that sends a call to an address given by a random host.

    It caches the address of each caller for a random part of the TTL.
    """
    rng = random.Random(trial.seed)
    cached: dict[int, tuple[str, float]] = {}
    by_address = {host.identity.callers: host for host in world.hosts.values()}

    def send_call(call: Call, caller: int) -> None:
        address, expires_at = cached.get(caller, ("", 0.0))
        if world.now >= expires_at:
            host = rng.choice(list(world.hosts.values()))
            domain = f"domain-{caller % 3}"
            answer = get_addresses(
                host.state, call.service, domain, call.caller, world.now
            )
            assert answer is not None
            address = answer.addresses[0]
            cached[caller] = (address, world.now + ADDRESS_TTL_S * rng.random())
        by_address[address].accept_call(call, None)

    return send_call


def _make_baseline_world(intents: RoutingIntents, trial: Trial) -> World:
    world = World(seed=trial.seed)
    servers = intents.services[0].servers
    if trial.policy is Policy.ONE_QUEUE:
        slots = sum(server.slots for server in servers)
        servers = (replace(servers[0], slots=slots),)
    for server in servers:
        make_server(world, server, MEAN_SERVICE_TIME_S)
    return world


def _make_baseline_sender(
    world: World, trial: Trial, domains: list[str]
) -> Callable[[Call, int], None]:
    """Return a function that sends each call to a random host."""
    rng = random.Random(trial.seed)
    hosts = [
        BaselineHost(
            world=world,
            failure_domain=domains[index % len(domains)],
            policy=trial.policy,
            seed=trial.seed + index,
        )
        for index in range(HOST_COUNT)
    ]
    return lambda call, caller: rng.choice(hosts).accept_call(call)


def _count_totals(world: World) -> dict[str, int]:
    hosts = world.hosts.values()
    servers: list[VirtualServer] = list(world.servers.values())
    return {
        "forwards": sum(host.forwards for host in hosts),
        "messages": sum(sum(host.messages_sent.values()) for host in hosts),
        "bytes": sum(sum(host.bytes_sent.values()) for host in hosts),
        "probes": sum(server.probes for server in servers),
    }


def _make_outcome(
    world: World, trial: Trial, counts: _Counts, rates: dict[str, float]
) -> Outcome:
    everything = counts.latencies["urgent"] + counts.latencies["normal"]
    groups = {"all": everything, **counts.latencies}
    refused = counts.statuses[503] + counts.statuses[504]
    answered = counts.statuses[200]
    decisions: Counter[str] = Counter()
    for host in world.hosts.values():
        decisions.update(host.decisions)
    return Outcome(
        trial=trial,
        calls=counts.calls,
        answered=answered,
        refused=refused,
        failed=counts.calls - answered - refused,
        latencies={name: _compute_percentiles(group) for name, group in groups.items()},
        goodput=counts.answered_in_time / trial.length_s,
        forwards=rates["forwards"],
        messages=rates["messages"],
        message_bytes=rates["bytes"],
        probes=rates["probes"],
        decisions=dict(decisions),
    )


def _compute_percentiles(latencies_s: list[float]) -> tuple[float, ...]:
    if not latencies_s:
        return tuple(0.0 for _ in PERCENTILES)
    return tuple(float(p) for p in np.percentile(latencies_s, PERCENTILES))
