"""The state of one host's core."""

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
from .language.decision_history import DecisionHistory
from .messages import RegisteredServer
from .positions import StorePosition
from .routing.balance import ServerRuntime
from .routing.budgets import RateMeter, TokenBucket
from .routing.call_queue import CallQueue
from .routing.calls import ActiveCall
from .routing.quota_credits import QuotaState
from .routing.rate_limit_tokens import RateLimit
from .routing.routes import RouteTable
from .routing.slow_periods import SlowPeriods
from .routing.suspects import QuarantineState
from .routing.warmup_tokens import Warmup
from .routing.workspace_table import WorkspaceTable

MAX_RETRY_TOKENS: Final = 10.0
DEFAULT_RETRY_SLACK: Final = 60.0
# Time constant of the exponentially weighted rate of completed calls, seconds.
COMPLETION_RATE_TIME_CONSTANT_S: Final = 1.0


@unique
class Lifecycle(StrEnum):
    """The stage of a host's lifecycle."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    CLOSING = "closing"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostIdentity:
    """The identity of this host; `incarnation` rises with each process start."""

    name: str
    incarnation: int
    failure_domain: str
    region: str
    callers: str
    peers: str
    # Capacity from processor and network link; 1.0 is one full core and a link that
    # is not the bottleneck.
    strength: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CoreSettings:
    """The settings that the core's decisions depend on; times in seconds."""

    heartbeat_s: float = 0.5
    announce_s: float = 3.0
    shutdown_bound_s: float = 30.0
    address_ttl_s: float = 5.0
    seed_peers: tuple[str, ...] = ()
    platform_writes_per_second: float = 300.0
    # Backend servers register with the platform instead of being declared in intents.
    servers_register: bool = False
    # Homes grant slots to other hosts instead of accepting forwarded calls.
    grants_slots: bool = False
    # Retries and hedges of a service allowed in any ten seconds on top of its share of
    # calls, for all homes that grant slots together.
    retry_slack: float = DEFAULT_RETRY_SLACK
    # A call that waits in one failure domain may be queued in another one too.
    shares_queues: bool = False
    # The configuration may have workspaces, warm-up or evacuations, which hosts of
    # protocol version 8 do not know.
    has_later_rules: bool = False
    # With `revoke_fail_closed`, calls with keys are refused after `revoke_s` without
    # word from the platform and from peers. 0 means that the settings name no keys.
    revoke_fail_closed: bool = False
    revoke_s: float = 0.0
    # `ServiceIntent.hedge_share` is a limit that the operator set on the hedges of a
    # service at all hosts together; no slack is added to it.
    limits_hedges: bool = False


@dataclass(slots=True, kw_only=True)
class ServiceRuntime:
    """The state that this host keeps for one declared service."""

    intent: ServiceIntent
    placement: ServicePlacement
    servers: dict[str, ServerRuntime]
    owned: list[ServerRuntime]
    queue: CallQueue = field(default_factory=CallQueue)
    retries: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            rate=0.0, capacity=MAX_RETRY_TOKENS, tokens=MAX_RETRY_TOKENS
        )
    )
    probes: TokenBucket = field(
        default_factory=lambda: TokenBucket(rate=0.0, capacity=1.0)
    )
    service_time_s: float = 0.0
    # When the queue last became non-empty.
    queued_since: float = 0.0
    # Rate of completed calls, including those that other hosts sent on slots granted
    # here.
    completions: RateMeter = field(
        default_factory=lambda: RateMeter(
            time_constant_s=COMPLETION_RATE_TIME_CONSTANT_S
        )
    )
    # Median run times in seconds and numbers of runs: typical ones left a slot of their
    # server free, full-server ones took its last slot.
    typical_run_s: float = 0.0
    typical_run_count: int = 0
    full_server_run_s: float = 0.0
    full_server_run_count: int = 0
    # Median run times of calls by route, seconds.
    run_times: dict[str, float] = field(default_factory=dict)
    slow_period_stats: SlowPeriods = field(default_factory=SlowPeriods)
    probe_bytes: float = 0.0
    # The known hosts by rank, and the sorted names that they were ranked from.
    ranking_input: tuple[str, ...] = ()
    ranked_hosts: list[str] = field(default_factory=list)
    hedges: TokenBucket = field(
        default_factory=lambda: TokenBucket(rate=0.0, capacity=MAX_RETRY_TOKENS)
    )
    # Latency above which calls are hedged, seconds; 0 if it is not known yet.
    hedge_after_s: float = 0.0
    # The same as a multiple of the usual run time of a call's route, where the
    # operator limits hedges.
    hedge_after_factor: float = 0.0
    # Copied from the settings of the host.
    limits_hedges: bool = False
    # `CoreSettings.shares_queues`.
    shares_queues: bool = False
    # Index of the first owned server to compare for the next call.
    comparison_start: int = 0
    # This host has already been a home of the service that grants slots.
    was_home: bool = False
    # The free slots in the last notice to other homes, and when it was sent.
    spare_sent: int = 0
    spare_sent_at: float = 0.0
    spare_timer_set: bool = False
    # Slots by owner, and the placement that they were counted for.
    slots_placement: ServicePlacement | None = None
    slots_by_owner: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class PendingOrder:
    """An order whose result from the platform is still outstanding."""

    request_id: str
    order: Order
    operator: str
    update_id: str
    started: float
    intents: RoutingIntents | None = None
    expected_version: str | None = None
    is_outcome_unknown: bool = False
    has_conflict: bool = False


# Parses a stored document; returns None if it is invalid.
IntentsParser = Callable[[dict[str, object]], RoutingIntents | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingRecord:
    """An announcement by a registered server that it is leaving.

    `started` identifies the server's incarnation. `position` is the registry's position
    and `at` the time when the announcement arrived.
    """

    started: int
    position: StorePosition
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DepartedServer:
    """The last entry of a removed server, with the era and time of its removal.

    With `is_restored`, a store restored from an older copy lists the server again, and
    `entry` is the entry from that copy.
    """

    entry: RegisteredServer
    era: int
    at: float
    is_restored: bool = False


@dataclass(slots=True, kw_only=True)
class RegistryState:
    """The registered backend servers at a position of the platform's store.

    `held_until` maps servers whose entries expired around an outage to the time at
    which they are removed unless they register again.
    """

    position: StorePosition = StorePosition()
    servers: dict[str, RegisteredServer] = field(default_factory=dict)
    held_until: dict[str, float] = field(default_factory=dict)
    # Recently removed servers by name.
    departed: dict[str, DepartedServer] = field(default_factory=dict)
    # Servers that announced in a reply that they are leaving, by name.
    leaving: dict[str, LeavingRecord] = field(default_factory=dict)
    # Services that do not have the servers above yet, after an unexpected error.
    outdated_services: set[str] = field(default_factory=set)


@dataclass(slots=True, kw_only=True)
class EvacuationState:
    """The evacuated failure domains at a position of the platform's store.

    `held_until` maps domains that a restored store has lost to the time at which they
    are used again.
    """

    position: StorePosition = StorePosition()
    domains: frozenset[str] = frozenset()
    held_until: dict[str, float] = field(default_factory=dict)

    def list_all(self) -> frozenset[str]:
        """Return the domains that get no calls."""
        return self.domains.union(self.held_until)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayLag:
    """What a relay reported to have, and since when this host lacks it, seconds.

    `reported_at` is when a relay last reported to be ahead of this host.
    """

    relay: str
    intents_revision: int
    servers_position: StorePosition
    since: float
    reported_at: float


@dataclass(slots=True, kw_only=True)
class RelayState:
    """The state of the platform watches of this host and of the relay.

    `confirmed_at` is when a watch of this host was last confirmed, `relay_heard_at`
    when a relay last reported. `lost_at` is the start of an outage that still lasts for
    this host, `regained_at` the end of the last outage. `other_relay_heard_at` is when
    another relay first reported during an outage of this host.
    """

    confirmed_at: float = 0.0
    relay_heard_at: float = 0.0
    lost_at: float | None = None
    regained_at: float = 0.0
    other_relay_heard_at: float = 0.0
    # Set while this host lacks what a relay has.
    lag: RelayLag | None = None


@dataclass(slots=True, kw_only=True)
class Confirmation:
    """Whether the routing intents in force are the newest, where keys are required.

    `confirmed_at` is when the platform or a relay last confirmed it. `doubted_since` is
    the start of this host, or the end of a pause, after which nobody has confirmed it,
    and `asked_at` when this host asked its peers for newer ones because of that. Words
    that arrive before `settles_at` do not end the doubt. `newest_revision` is the
    newest one according to the platform or a relay at `newest_at`.
    """

    confirmed_at: float | None = None
    doubted_since: float | None = None
    settles_at: float = 0.0
    asked_at: float | None = None
    newest_revision: int = 0
    newest_at: float = 0.0


@unique
class IsolationStatus(StrEnum):
    """Whether this host reaches backend servers."""

    CONNECTED = "connected"
    # Several servers are probed, because none of them was heard.
    CHECKING = "checking"
    ISOLATED = "isolated"


@dataclass(slots=True, kw_only=True)
class Isolation:
    """What this host knows of its path to all backend servers; times in seconds.

    `failed_servers` failed since `last_reply_at`, the last reply of any server.
    `checked_at` is when the last probes of a check, or of a round while isolated, were
    sent, and `pass_due` when the next pass is due. `replying_servers` replied in the
    current round, and `good_rounds` is the number of successive rounds with enough of
    them. `episodes` counts the isolations in short succession.
    """

    status: IsolationStatus = IsolationStatus.CONNECTED
    last_reply_at: float = 0.0
    failed_servers: set[str] = field(default_factory=set)
    checked_at: float = 0.0
    pass_due: float = 0.0
    isolated_at: float = 0.0
    ended_at: float = 0.0
    episodes: int = 0
    replying_servers: set[str] = field(default_factory=set)
    good_rounds: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitKey:
    """The names of a service and of its backend server that names a rate limit."""

    service: str
    server: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerName:
    """The names of a service and of one of its backend servers."""

    service: str
    server: str


@dataclass(slots=True, kw_only=True)
class HostState:
    """The mutable state of a host; only `reducer.reduce` changes it."""

    identity: HostIdentity
    settings: CoreSettings
    rng: Random
    parse_intents: IntentsParser
    lifecycle: Lifecycle = Lifecycle.STARTING
    # Whether this host has known at some time all that it needs to admit calls.
    is_informed: bool = False
    leaving_since: float = 0.0
    intents: RoutingIntents = field(default_factory=RoutingIntents)
    intents_version: str | None = None
    intents_known: bool = False
    # The intents in force passed a host of an earlier build and may lack parts.
    has_reduced_intents: bool = False
    # The limits on callers in force may be those of an earlier revision, or unknown.
    lacks_caller_limits: bool = False
    platform_fault: str = ""
    started: float = 0.0
    # When the first routing intents were applied.
    first_intents_at: float = 0.0
    # Since when live peers have newer routing intents; None if none has.
    behind_since: float | None = None
    has_written_intents: bool = False
    watching: bool = False
    poll_delay_s: float = 0.0
    members: dict[str, Member] = field(default_factory=dict)
    live: tuple[str, ...] = ()
    # The live hosts that reach backend servers.
    serving: tuple[str, ...] = ()
    # The hosts among them that speak an earlier protocol version.
    earlier: tuple[str, ...] = ()
    rings: Rings = field(default_factory=lambda: make_rings(()))
    last_heartbeat_at: float = 0.0
    # When a heartbeat last arrived from a host that had been silent.
    rejoined_at: float = 0.0
    # When this host last received a heartbeat from each other failure domain.
    domain_heard_at: dict[str, float] = field(default_factory=dict)
    last_heard: float = 0.0
    last_synced_at: float = 0.0
    requested_revision: int = 0
    requested_at: float = 0.0
    services: dict[str, ServiceRuntime] = field(default_factory=dict)
    calls: dict[str, ActiveCall] = field(default_factory=dict)
    orders: dict[str, PendingOrder] = field(default_factory=dict)
    heartbeat_sequence: int = 0
    claims: ClaimsState = field(default_factory=ClaimsState)
    quarantine: QuarantineState = field(default_factory=QuarantineState)
    # The incarnation of each host to which the current soft state was sent.
    soft_state_sent_to: dict[str, int] = field(default_factory=dict)
    history: DecisionHistory = field(default_factory=DecisionHistory)
    routes: RouteTable = field(default_factory=RouteTable)
    workspaces: WorkspaceTable = field(default_factory=WorkspaceTable)
    confirmation: Confirmation = field(default_factory=Confirmation)
    registry: RegistryState = field(default_factory=RegistryState)
    relay: RelayState = field(default_factory=RelayState)
    evacuations: EvacuationState = field(default_factory=EvacuationState)
    # Servers at which other hosts failed since their last success, by host.
    failed_by_holder: dict[str, set[str]] = field(default_factory=dict)
    isolation: Isolation = field(default_factory=Isolation)
    # Known rate limits, also of servers that this host does not know yet.
    rate_limits: dict[RateLimitKey, RateLimit] = field(default_factory=dict)
    # Known warm-ups, also of servers that this host does not know yet.
    warmups: dict[ServerName, Warmup] = field(default_factory=dict)
    quotas: QuotaState = field(default_factory=QuotaState)


def make_state(
    *,
    identity: HostIdentity,
    settings: CoreSettings,
    parse_intents: IntentsParser,
    seed: int,
) -> HostState:
    """Return the state of a host that has just started.

    `parse_intents` must be a pure function.
    """
    return HostState(
        identity=identity,
        settings=settings,
        rng=Random(seed),
        parse_intents=parse_intents,
    )
