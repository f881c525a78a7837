"""Random schedules of faults; the same seed gives the same schedule."""

from dataclasses import dataclass
from enum import StrEnum, unique
from random import Random
from typing import Final

# No fault starts earlier than this after the start of a run, or later than this before
# its end.
LEAD_S: Final = 1.0
TAIL_S: Final = 5.0
FAULTS_PER_S: Final = 0.7
MAX_FAULT_S: Final = 4.0
MIN_FAULT_S: Final = 0.2
# Probability that a fault starts a series, the number of faults in a series, and the
# mean time between their starts.
SERIES_PROBABILITY: Final = 0.2
SERIES_LENGTH: Final = 3
SERIES_MEAN_INTERVAL_S: Final = 0.4


@unique
class FaultKind(StrEnum):
    """The kinds of faults and planned operations; values are written to the history."""

    HOST_STOP = "host-stop"
    HOST_KILL = "host-kill"
    HOST_PAUSE = "host-pause"
    HOST_RELOAD = "host-reload"
    # The host is killed and started again with a shifted wall clock.
    HOST_CLOCK = "host-clock"
    SERVER_KILL = "server-kill"
    SERVER_PAUSE = "server-pause"
    SERVER_DRAIN = "server-drain"
    # The server drains, and a server of another service takes over its address.
    SERVER_REUSE = "server-reuse"
    LINK_DELAY = "link-delay"
    LINK_RESET = "link-reset"
    # Holds bytes from the client to the target.
    LINK_CUT_FORWARD = "link-cut-there"
    # Holds bytes from the target to the client.
    LINK_CUT_BACKWARD = "link-cut-back"
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
        FaultKind.LINK_CUT_FORWARD,
        FaultKind.LINK_CUT_BACKWARD,
        FaultKind.LINK_SILENT,
    }
)
# Operations that operators perform on purpose; they may not lose any call.
PLANNED_KINDS: Final = frozenset(
    {
        FaultKind.HOST_STOP,
        FaultKind.HOST_RELOAD,
        FaultKind.SERVER_DRAIN,
        FaultKind.CONFIGURE,
    }
)
# Relative probability of each kind; 1 for all others.
WEIGHTS: Final = {
    FaultKind.CONFIGURE: 4,
    FaultKind.HOST_STOP: 2,
    FaultKind.HOST_KILL: 2,
    FaultKind.SERVER_DRAIN: 3,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledFault:
    """One fault: begins `at` seconds after the start and lasts `for_s` seconds.

    `amount` is the added delay in seconds; only the kinds that delay use it.
    """

    number: int
    at: float
    for_s: float
    kind: FaultKind
    target: str
    amount: float


def make_schedule(
    seed: int, length_s: float, hosts: list[str], servers: list[str]
) -> list[ScheduledFault]:
    """Return the faults of a run of `length_s` seconds, sorted by start."""
    rng = Random(seed)
    last = length_s - TAIL_S
    drawn: list[ScheduledFault] = []
    while len(drawn) < int((last - LEAD_S) * FAULTS_PER_S):
        fault = _draw_fault(rng, len(drawn), LEAD_S, last, hosts, servers)
        drawn.append(fault)
        if rng.random() < SERIES_PROBABILITY:
            drawn += _draw_series(rng, fault, len(drawn), last, hosts, servers)
    return sorted(drawn, key=lambda fault: (fault.at, fault.number))


def _draw_fault(
    rng: Random,
    number: int,
    first: float,
    last: float,
    hosts: list[str],
    servers: list[str],
) -> ScheduledFault:
    kinds = list(FaultKind)
    kind = rng.choices(kinds, [WEIGHTS.get(k, 1) for k in kinds])[0]
    at = rng.uniform(first, last)
    for_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
    return ScheduledFault(
        number=number,
        at=round(at, 3),
        for_s=round(min(for_s, max(MIN_FAULT_S, last - at)), 3),
        kind=kind,
        target=_draw_target(rng, kind, hosts, servers),
        amount=round(rng.uniform(0.02, 0.6), 3),
    )


def _draw_series(
    rng: Random,
    fault: ScheduledFault,
    number: int,
    last: float,
    hosts: list[str],
    servers: list[str],
) -> list[ScheduledFault]:
    """Return further faults of the same kind, each shortly after the one before."""
    faults = []
    at = fault.at
    for index in range(SERIES_LENGTH - 1):
        at = min(last, at + rng.uniform(0.0, 2 * SERIES_MEAN_INTERVAL_S))
        faults.append(
            ScheduledFault(
                number=number + index,
                at=round(at, 3),
                for_s=fault.for_s,
                kind=fault.kind,
                target=_draw_target(rng, fault.kind, hosts, servers),
                amount=fault.amount,
            )
        )
    return faults


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
