"""Messages between entry hosts, as data; `edge.codec` turns them into CBOR."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from .claims.messages import ClaimEnd, ClaimEndAck, ClaimReply, ClaimRequest
from .configuration.intents import RoutingIntents
from .positions import StorePosition
from .routing.calls import LoadReport


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """One host's own state: its incarnation, addresses, revision and spare slots.

    `spare` pairs a service name with the free slots of the backend servers
    that the host owns there. `sequence` rises within an incarnation. `digest`
    is equal on hosts that know the same hosts at the same incarnations.
    `up_to_date` names some of the hosts known to have `revision` in force.
    """

    host: str
    incarnation: int
    sequence: int
    failure_domain: str
    region: str
    callers: str
    peers: str
    revision: int
    leaving: bool
    spare: tuple[tuple[str, int], ...] = ()
    digest: int = 0
    up_to_date: tuple[str, ...] = ()
    servers_position: StorePosition = StorePosition()
    strength: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """What one host knows of another; `is_silent` holds for its failure domain."""

    host: str
    incarnation: int
    sequence: int
    failure_domain: str
    region: str
    callers: str
    peers: str
    revision: int
    leaving: bool
    is_silent: bool
    strength: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MembersNotice:
    """Records that changed, or all of them, from a host of `failure_domain`.

    With `wants_reply` the receiver answers with what it knows better.
    """

    failure_domain: str
    records: tuple[MemberRecord, ...]
    wants_reply: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsNotice:
    """An accepted version of the routing intents, passed from host to host."""

    version: str
    intents: RoutingIntents


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsRequest:
    """Ask a peer for its routing intents when they are newer than `revision`."""

    host: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SpareNotice:
    """Free slots of a service at the home that sends this.

    A negative number counts the calls that wait there.
    """

    service: str
    spare: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReport:
    """A backend server broke off a run of a call at a time of the sender's clock."""

    fingerprint: str
    service: str
    method: str
    path: str
    server: str
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineRelease:
    """A call no longer counts as one that crashes servers."""

    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerNotice:
    """A backend server says by itself whether it leaves.

    `started` names its life where servers register.
    """

    service: str
    server: str
    leaving: bool
    started: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredServer:
    """A backend server as it registered itself with the platform.

    `started` tells its lives apart, in milliseconds since the epoch, and `sequence`
    what it wrote in one of them; 0 stands for none told. It is slow for another
    `warmup_left_s` seconds.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    warmup_left_s: float = 0.0
    started: int = 0
    sequence: int = field(default=0, compare=False)

    def is_older(self, other: "RegisteredServer") -> bool:
        """Return True if the server wrote this before it wrote the other."""
        if self.started != other.started:
            return 0 < self.started < other.started
        return 0 < self.sequence < other.sequence


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldEntry:
    """An entry that went around an outage, and is kept for `for_s` more seconds."""

    name: str
    for_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersNotice:
    """Changes of the registry after position `base`, or all of it.

    `names` is a hash of the names of all entries. Those that are `held` are no
    entries any more.
    """

    base: StorePosition
    position: StorePosition
    servers: tuple[RegisteredServer, ...]
    gone: tuple[str, ...]
    is_whole: bool
    names: int = 0
    held: tuple[HeldEntry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersRequest:
    """Ask a peer for its whole registry."""

    host: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayWord:
    """A relay's watches of the platform work, up to these revisions.

    A relay that lost the platform says so, for the next host to take over at once.
    """

    host: str
    rank: int
    is_lost: bool
    intents_revision: int
    servers_position: StorePosition


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequest:
    """Ask the home of a service for a slot; times left are in seconds.

    A request `is_retry` if the call reached a backend server before; one that
    `earns_shares` is the first for its call. One that
    `can_cross_domains` can be served by another home too, and one `spare_only` is
    granted at once or refused.
    """

    host: str
    call: str
    request_number: int
    service: str
    urgency: int
    idempotent: bool
    attempts_left: int
    left_s: float
    aim_left_s: float
    tried: tuple[str, ...]
    fingerprint: str
    is_retry: bool = False
    earns_shares: bool = False
    can_cross_domains: bool = False
    spare_only: bool = False
    route: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotGrant:
    """The call may be sent once to a backend server.

    `number` tells apart the grants for one request. With `is_hedge` the server is
    for a second attempt beside the one that runs.
    """

    call: str
    request_number: int
    server: str
    number: int = 0
    is_hedge: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotQueued:
    """The call waits at its home, and is likely to be answered in `expected_s`.

    `usual_s` is how long a run takes on a server that is not slow.
    """

    call: str
    request_number: int
    expected_s: float
    usual_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRefusal:
    """The home gives no slot; with `is_final` the call waited there in vain."""

    call: str
    request_number: int
    is_final: bool
    title: str
    detail: str
    retry_after_s: float | None


@unique
class SlotUse(StrEnum):
    """How a granted slot was used."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    # Another server has its address.
    MISDIRECTED = "misdirected"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotEnd:
    """A slot is free again; without a `number`, the request and all its grants end.

    `load` is what the server reported with its answer, `pause_s` for how long it wants
    nothing more from the holder.
    """

    host: str
    call: str
    request_number: int
    number: int | None
    use: SlotUse
    latency_s: float
    load: LoadReport | None = None
    pause_s: float = 0.0


Message = (
    Heartbeat
    | SpareNotice
    | IntentsNotice
    | IntentsRequest
    | MembersNotice
    | ClaimRequest
    | ClaimReply
    | ClaimEnd
    | ClaimEndAck
    | CrashReport
    | QuarantineRelease
    | ServerNotice
    | ServersNotice
    | ServersRequest
    | RelayWord
    | SlotRequest
    | SlotGrant
    | SlotQueued
    | SlotRefusal
    | SlotEnd
)
