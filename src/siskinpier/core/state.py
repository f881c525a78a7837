"""The whole state of one host's core."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from random import Random
from typing import Final

from .claims.state import ClaimsState
from .cluster.members import Member
from .cluster.neighbours import Rings, make_rings
from .cluster.placement import ServicePlacement
from .configuration.intents import RoutingIntents, ServiceIntent
from .configuration.orders import Order
from .language.explain import DecisionHistory
from .messages import RegisteredServer
from .positions import StorePosition
from .routing.balance import ServerRuntime
from .routing.budgets import RateMeter, TokenBucket
from .routing.call_queue import CallQueue
from .routing.calls import ActiveCall
from .routing.routes import RouteTable
from .routing.slow_periods import SlowPeriods
from .routing.suspects import QuarantineState

RETRY_TOKENS_KEPT: Final = 10.0
DEFAULT_REPEAT_SLACK: Final = 60.0
# Time over which the rate of ending calls is taken, seconds.
ENDS_MEMORY_S: Final = 1.0


@unique
class Lifecycle(StrEnum):
    """The stage in a host's life."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    CLOSING = "closing"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostIdentity:
    """Who this host is; `incarnation` rises with each start of the process."""

    name: str
    incarnation: int
    failure_domain: str
    region: str
    callers: str
    peers: str
    # Its processor and link, against a whole core with a link that bounds nothing.
    strength: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CoreSettings:
    """The settings that decisions depend on; times in seconds."""

    heartbeat_s: float = 0.5
    announce_s: float = 3.0
    shutdown_bound_s: float = 30.0
    address_ttl_s: float = 5.0
    seed_peers: tuple[str, ...] = ()
    platform_writes_per_second: float = 300.0
    # Backend servers register with the platform and are not declared.
    servers_register: bool = False
    # Homes grant slots, in place of taking forwarded calls.
    grants_slots: bool = False
    # Second sends of a service, beside the share of its calls, that the rule allows
    # all homes that grant slots together in any ten seconds.
    repeat_slack: float = DEFAULT_REPEAT_SLACK


@dataclass(slots=True, kw_only=True)
class ServiceRuntime:
    """What this host holds for one declared service."""

    intent: ServiceIntent
    placement: ServicePlacement
    servers: dict[str, ServerRuntime]
    owned: list[ServerRuntime]
    queue: CallQueue = field(default_factory=CallQueue)
    retries: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            rate=0.0, capacity=RETRY_TOKENS_KEPT, tokens=RETRY_TOKENS_KEPT
        )
    )
    probes: TokenBucket = field(
        default_factory=lambda: TokenBucket(rate=0.0, capacity=1.0)
    )
    service_time_s: float = 0.0
    # When a queue last began to form.
    queued_since: float = 0.0
    # Calls that ended, here and at their holders.
    ends: RateMeter = field(
        default_factory=lambda: RateMeter(time_constant_s=ENDS_MEMORY_S)
    )
    # Medians of the run times of calls, seconds: of those that left a slot of their
    # server free, and of those that took the last one; and how many were seen.
    usual_s: float = 0.0
    usual_runs: int = 0
    full_s: float = 0.0
    full_runs: int = 0
    # Medians of the run times of calls, by route, seconds.
    run_times: dict[str, float] = field(default_factory=dict)
    slow_period_stats: SlowPeriods = field(default_factory=SlowPeriods)
    probe_bytes: float = 0.0
    ranked_names: tuple[str, ...] = ()
    ranked_hosts: list[str] = field(default_factory=list)
    hedges: TokenBucket = field(
        default_factory=lambda: TokenBucket(rate=0.0, capacity=RETRY_TOKENS_KEPT)
    )
    hedge_after_s: float = 0.0
    compared_from: int = 0
    # Was a home that grants slots before.
    was_home: bool = False
    spare_sent: int = 0
    spare_sent_at: float = 0.0
    spare_timer_set: bool = False
    slots_placement: ServicePlacement | None = None
    slots_by_owner: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class PendingOrder:
    """An order on its way to the platform."""

    request_id: str
    order: Order
    operator: str
    update_id: str
    started: float
    intents: RoutingIntents | None = None
    expected_version: str | None = None
    doubtful: bool = False
    conflicted: bool = False


# Validates a stored document; None when it is not valid.
IntentsParser = Callable[[dict[str, object]], RoutingIntents | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingMark:
    """A life of a registered server said that it leaves.

    `position` is that of the registry when it was heard, `at` the time.
    """

    started: int
    position: StorePosition
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Departed:
    """The last entry of a server that is gone, the era it went in, and the time.

    With `is_back` an older copy of the store has the entry again, as it is here.
    """

    entry: RegisteredServer
    era: int
    at: float
    is_back: bool = False


@dataclass(slots=True, kw_only=True)
class RegistryState:
    """The backend servers that registered, at a position of the platform.

    `lapsed` are servers that disappeared around an outage, with the times at
    which they are dropped unless they come back.
    """

    position: StorePosition = StorePosition()
    servers: dict[str, RegisteredServer] = field(default_factory=dict)
    lapsed: dict[str, float] = field(default_factory=dict)
    # Servers that went lately, by name.
    departed: dict[str, Departed] = field(default_factory=dict)
    # Servers that said in an answer that they leave, by name.
    leaving: dict[str, LeavingMark] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class RelayState:
    """What is known of the watches of the platform, here and at the relay.

    Times are those of the last confirmed watch here, of the last word from a
    relay, and of the end of the last outage; `others_answered_at` is the time of the
    first word of another relay in an outage here.
    """

    confirmed_at: float = 0.0
    heard_at: float = 0.0
    lost_at: float | None = None
    regained_at: float = 0.0
    others_answered_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class HostState:
    """The state that `reducer.reduce` changes, and nothing else does."""

    identity: HostIdentity
    settings: CoreSettings
    rng: Random
    parse_intents: IntentsParser
    lifecycle: Lifecycle = Lifecycle.STARTING
    leaving_since: float = 0.0
    intents: RoutingIntents = field(default_factory=RoutingIntents)
    intents_version: str | None = None
    intents_known: bool = False
    platform_fault: str = ""
    started: float = 0.0
    # When the first routing intents were learnt.
    informed: float = 0.0
    has_written: bool = False
    watching: bool = False
    poll_delay_s: float = 0.0
    members: dict[str, Member] = field(default_factory=dict)
    live: tuple[str, ...] = ()
    rings: Rings = field(default_factory=lambda: make_rings(()))
    last_beat: float = 0.0
    # When a host that was silent was last heard again.
    rejoined: float = 0.0
    # When a host of each other failure domain was last heard here.
    heard_domains: dict[str, float] = field(default_factory=dict)
    last_heard: float = 0.0
    last_synced: float = 0.0
    asked_revision: int = 0
    asked_at: float = 0.0
    services: dict[str, ServiceRuntime] = field(default_factory=dict)
    calls: dict[str, ActiveCall] = field(default_factory=dict)
    orders: dict[str, PendingOrder] = field(default_factory=dict)
    heartbeat_sequence: int = 0
    claims: ClaimsState = field(default_factory=ClaimsState)
    quarantine: QuarantineState = field(default_factory=QuarantineState)
    # The life of each host that was told of soft state it missed.
    greeted: dict[str, int] = field(default_factory=dict)
    history: DecisionHistory = field(default_factory=DecisionHistory)
    routes: RouteTable = field(default_factory=RouteTable)
    registry: RegistryState = field(default_factory=RegistryState)
    relay: RelayState = field(default_factory=RelayState)


def make_state(
    *,
    identity: HostIdentity,
    settings: CoreSettings,
    parse_intents: IntentsParser,
    seed: int,
) -> HostState:
    """Return the state of a host that has just started.

    `parse_intents` is a pure function of the settings' border.
    """
    return HostState(
        identity=identity,
        settings=settings,
        rng=Random(seed),
        parse_intents=parse_intents,
    )
