"""Random schedules of faults; the same seed gives the same schedule."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum, unique
from random import Random
from typing import Final, TypeVar

T = TypeVar("T")

# No fault starts earlier than this after the start of a run, or later than this before
# its end.
LEAD_S: Final = 1.0
TAIL_S: Final = 5.0
FAULTS_PER_S: Final = 0.7
START_FAULTS_PER_S: Final = 0.5
LATER_FAULTS_PER_S: Final = 0.15
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
    # A host is stopped and started again with SIGHUP sent again and again meanwhile.
    HOST_HUPS = "host-hups"
    # A host that stops gets further SIGTERM, at which it ends at once.
    HOST_TERMS = "host-terms"
    # A host starts while its settings file is empty, half written or missing.
    HOST_SETTINGS = "host-settings"
    # A host starts with one odd or empty field in its settings.
    HOST_FIELD = "host-field"
    # A host starts while its predecessor, stopping or paused, still has its ports.
    HOST_OVERLAP = "host-overlap"
    # A host starts while another program has one of its ports.
    HOST_PORT = "host-port"
    # A host's standard output is closed, or a pipe that nobody reads or can read.
    HOST_OUTPUT = "host-output"
    # A host may open few descriptors and gets many connections.
    HOST_DESCRIPTORS = "host-descriptors"
    # All hosts are stopped or killed and started again, several times.
    HOST_STORM = "host-storm"
    # Another writer puts an entry that cannot be used into the store.
    STORE_ODD = "store-odd"
    # A backend server names a rate limit for a while.
    SERVER_LIMIT = "server-limit"
    # Half of the hosts are started again, then cut off from all backend servers.
    HOST_ISOLATE = "host-isolate"
    # A host is stopped and started again with the other of the two builds of the run.
    HOST_UPGRADE = "host-upgrade"

    @property
    def group(self) -> str:
        """What the fault acts on: host, server, link, store or configure."""
        return self.value.partition("-")[0]

    @property
    def effect(self) -> str:
        """The name of the kind within its group."""
        return self.value.partition("-")[2]


# The schedules of later kinds are drawn separately: seeds that failed before these
# kinds were added keep their meaning.
LATER_KINDS: Final = [FaultKind.SERVER_LIMIT, FaultKind.HOST_ISOLATE]
START_KINDS: Final = [
    kind
    for kind in list(FaultKind)[list(FaultKind).index(FaultKind.HOST_HUPS) :]
    if kind not in [*LATER_KINDS, FaultKind.HOST_UPGRADE]
]
# Kinds that hosts do not withstand yet; they are drawn and left out.
LEFT_OUT_KINDS: Final[frozenset[FaultKind]] = frozenset()
ALL_HOSTS: Final = "hosts"
# Operations that operators perform on purpose, and others that may not lose any call.
PLANNED_KINDS: Final = frozenset(
    {
        FaultKind.HOST_STOP,
        FaultKind.HOST_RELOAD,
        FaultKind.SERVER_DRAIN,
        FaultKind.CONFIGURE,
        FaultKind.HOST_HUPS,
        FaultKind.STORE_ODD,
        FaultKind.HOST_UPGRADE,
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

    `amount` is a time in seconds, such as the added delay of the kinds that delay.
    """

    number: int
    at: float
    for_s: float
    kind: FaultKind
    target: str
    amount: float

    def choose(self, options: Sequence[T]) -> T:
        """Return the option that this fault has of several."""
        return options[int(self.amount * 1000) % len(options)]


def make_schedule(
    seed: int,
    length_s: float,
    hosts: list[str],
    servers: list[str],
    left_out: frozenset[FaultKind] = LEFT_OUT_KINDS,
    *,
    is_upgraded: bool = False,
) -> list[ScheduledFault]:
    """Return the faults of a run of `length_s` seconds, sorted by start."""
    apart = [*START_KINDS, *LATER_KINDS, FaultKind.HOST_UPGRADE]
    kinds = [kind for kind in FaultKind if kind not in apart]
    draw = _Draw(rng=Random(seed), kinds=kinds, hosts=hosts, servers=servers)
    drawn = draw.draw_faults(length_s - TAIL_S, FAULTS_PER_S, 0)
    for name, later_kinds, per_s in (
        ("start", START_KINDS, START_FAULTS_PER_S),
        ("later", LATER_KINDS, LATER_FAULTS_PER_S),
    ):
        draw = _Draw(
            rng=Random(f"{seed}/{name}"),
            kinds=later_kinds,
            hosts=hosts,
            servers=servers,
        )
        drawn += draw.draw_faults(length_s - TAIL_S, per_s, len(drawn))
    if is_upgraded:
        drawn += _make_upgrades(length_s - TAIL_S, hosts, len(drawn))
    kept = [fault for fault in drawn if fault.kind not in left_out]
    return sorted(kept, key=lambda fault: (fault.at, fault.number))


def _make_upgrades(
    last: float, hosts: list[str], first_number: int
) -> list[ScheduledFault]:
    """Return an upgrade of each host in turn, then a rollback of the first one."""
    targets = [*hosts, hosts[0]]
    step_s = (last - LEAD_S) / len(targets)
    return [
        ScheduledFault(
            number=first_number + index,
            at=round(LEAD_S + index * step_s, 3),
            for_s=MIN_FAULT_S,
            kind=FaultKind.HOST_UPGRADE,
            target=target,
            amount=0.0,
        )
        for index, target in enumerate(targets)
    ]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Draw:
    """Draws faults of some kinds."""

    rng: Random
    kinds: list[FaultKind]
    hosts: list[str]
    servers: list[str]

    def draw_faults(
        self, last: float, per_s: float, first_number: int
    ) -> list[ScheduledFault]:
        """Return faults that start until the time `last`."""
        drawn: list[ScheduledFault] = []
        while len(drawn) < int((last - LEAD_S) * per_s):
            fault = self._draw_fault(first_number + len(drawn), last)
            drawn.append(fault)
            if self.rng.random() < SERIES_PROBABILITY:
                drawn += self._draw_series(fault, last)
        return drawn

    def _draw_fault(self, number: int, last: float) -> ScheduledFault:
        rng = self.rng
        kind = rng.choices(self.kinds, [WEIGHTS.get(k, 1) for k in self.kinds])[0]
        at = rng.uniform(LEAD_S, last)
        for_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        return ScheduledFault(
            number=number,
            at=round(at, 3),
            for_s=round(min(for_s, max(MIN_FAULT_S, last - at)), 3),
            kind=kind,
            target=self._draw_target(kind),
            amount=round(rng.uniform(0.02, 0.6), 3),
        )

    def _draw_series(self, fault: ScheduledFault, last: float) -> list[ScheduledFault]:
        """Return further faults of the same kind, each shortly after the one before."""
        faults = []
        at = fault.at
        for index in range(1, SERIES_LENGTH):
            at = min(last, at + self.rng.uniform(0.0, 2 * SERIES_MEAN_INTERVAL_S))
            faults.append(
                replace(
                    fault,
                    number=fault.number + index,
                    at=round(at, 3),
                    target=self._draw_target(fault.kind),
                )
            )
        return faults

    def _draw_target(self, kind: FaultKind) -> str:
        links = [f"peers/{host}" for host in self.hosts]
        links += [f"store/{host}" for host in self.hosts]
        links += [f"server/{server}" for server in self.servers]
        targets = {"host": self.hosts, "server": self.servers, "link": links}
        if kind is FaultKind.HOST_STORM:
            return ALL_HOSTS
        group = targets.get(kind.group)
        return self.rng.choice(group) if group else "store"
