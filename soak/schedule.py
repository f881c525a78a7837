"""Which faults come when, drawn from a seed: the same seed gives the same schedule."""

from dataclasses import dataclass
from enum import StrEnum, unique
from random import Random
from typing import Final

# Faults begin this long after the start, and end this long before the end, seconds.
LEAD_S: Final = 1.0
TAIL_S: Final = 5.0
FAULTS_PER_S: Final = 0.7
LONGEST_S: Final = 4.0
SHORTEST_S: Final = 0.2
# Chance that a fault comes as a series, and its length and pauses in seconds.
SERIES_SHARE: Final = 0.2
SERIES_LENGTH: Final = 3
SERIES_PAUSE_S: Final = 0.4


@unique
class FaultKind(StrEnum):
    """What may be done to a part of the deployment."""

    HOST_STOP = "host-stop"
    HOST_KILL = "host-kill"
    HOST_PAUSE = "host-pause"
    HOST_RELOAD = "host-reload"
    # Killed, and started again with its wall clock moved.
    HOST_CLOCK = "host-clock"
    SERVER_KILL = "server-kill"
    SERVER_PAUSE = "server-pause"
    SERVER_DRAIN = "server-drain"
    # Ends, and its address goes to a server of another service.
    SERVER_REUSE = "server-reuse"
    LINK_DELAY = "link-delay"
    LINK_RESET = "link-reset"
    LINK_CUT_THERE = "link-cut-there"
    LINK_CUT_BACK = "link-cut-back"
    LINK_SILENT = "link-silent"
    STORE_SLOW = "store-slow"
    STORE_BUSY = "store-busy"
    STORE_SILENT = "store-silent"
    STORE_LOST = "store-lost"
    STORE_FORGET = "store-forget"
    CONFIGURE = "configure"


HOST_KINDS: Final = frozenset(
    {
        FaultKind.HOST_STOP,
        FaultKind.HOST_KILL,
        FaultKind.HOST_PAUSE,
        FaultKind.HOST_RELOAD,
        FaultKind.HOST_CLOCK,
    }
)
SERVER_KINDS: Final = frozenset(
    {
        FaultKind.SERVER_KILL,
        FaultKind.SERVER_PAUSE,
        FaultKind.SERVER_DRAIN,
        FaultKind.SERVER_REUSE,
    }
)
LINK_KINDS: Final = frozenset(
    {
        FaultKind.LINK_DELAY,
        FaultKind.LINK_RESET,
        FaultKind.LINK_CUT_THERE,
        FaultKind.LINK_CUT_BACK,
        FaultKind.LINK_SILENT,
    }
)
# What operators do on purpose; no call may be lost for it.
PLANNED: Final = frozenset(
    {
        FaultKind.HOST_STOP,
        FaultKind.HOST_RELOAD,
        FaultKind.SERVER_DRAIN,
        FaultKind.CONFIGURE,
    }
)
# Times that a kind is drawn for once of the others.
WEIGHTS: Final = {
    FaultKind.CONFIGURE: 4,
    FaultKind.HOST_STOP: 2,
    FaultKind.HOST_KILL: 2,
    FaultKind.SERVER_DRAIN: 3,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One fault: from `at` seconds after the start, for `for_s` seconds.

    `amount` is the delay in seconds, or by how much a clock moves.
    """

    number: int
    at: float
    for_s: float
    kind: FaultKind
    target: str
    amount: float


def make_schedule(
    seed: int, length_s: float, hosts: list[str], servers: list[str]
) -> list[Step]:
    """Return the faults of a run, in order of their start."""
    rng = Random(seed)
    last = length_s - TAIL_S
    drawn: list[Step] = []
    while len(drawn) < int((last - LEAD_S) * FAULTS_PER_S):
        step = _draw_step(rng, len(drawn), LEAD_S, last, hosts, servers)
        drawn.append(step)
        if rng.random() < SERIES_SHARE:
            drawn += _repeat(rng, step, len(drawn), last, hosts, servers)
    return sorted(drawn, key=lambda step: (step.at, step.number))


def _draw_step(
    rng: Random,
    number: int,
    first: float,
    last: float,
    hosts: list[str],
    servers: list[str],
) -> Step:
    kinds = list(FaultKind)
    kind = rng.choices(kinds, [WEIGHTS.get(k, 1) for k in kinds])[0]
    at = rng.uniform(first, last)
    for_s = rng.uniform(SHORTEST_S, LONGEST_S)
    return Step(
        number=number,
        at=round(at, 3),
        for_s=round(min(for_s, max(SHORTEST_S, last - at)), 3),
        kind=kind,
        target=_draw_target(rng, kind, hosts, servers),
        amount=round(rng.uniform(0.02, 0.6), 3),
    )


def _repeat(
    rng: Random,
    step: Step,
    number: int,
    last: float,
    hosts: list[str],
    servers: list[str],
) -> list[Step]:
    """Return the same kind of fault again, shortly after one another."""
    steps = []
    at = step.at
    for index in range(SERIES_LENGTH - 1):
        at = min(last, at + rng.uniform(0.0, 2 * SERIES_PAUSE_S))
        steps.append(
            Step(
                number=number + index,
                at=round(at, 3),
                for_s=step.for_s,
                kind=step.kind,
                target=_draw_target(rng, step.kind, hosts, servers),
                amount=step.amount,
            )
        )
    return steps


def _draw_target(
    rng: Random, kind: FaultKind, hosts: list[str], servers: list[str]
) -> str:
    if kind in HOST_KINDS:
        return rng.choice(hosts)
    if kind in SERVER_KINDS:
        return rng.choice(servers)
    if kind in LINK_KINDS:
        links = [f"peers/{host}" for host in hosts]
        links += [f"store/{host}" for host in hosts]
        links += [f"server/{server}" for server in servers]
        return rng.choice(links)
    return "store"
