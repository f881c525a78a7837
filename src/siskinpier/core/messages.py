"""Messages between entry hosts, as data; `edge.codec` encodes them as CBOR.

The fields of a message are sent by position, so their order is part of the protocol:
new fields are appended and have a default. See docs/design/protocol.md.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import Final, TypeAlias

from .claims.messages import ClaimEnd, ClaimEndAck, ClaimReply, ClaimRequest
from .configuration.intents import RoutingIntents
from .positions import StorePosition
from .routing.calls import LoadReport, RateLimitReport

# Version of the protocol between hosts that this build speaks.
PROTOCOL_VERSION: Final = 10
# First versions whose hosts know workspaces, warm-up and evacuations, and whose hosts
# pass on the limits on callers.
LATER_RULES_VERSION: Final = 9
CALLER_LIMITS_VERSION: Final = 10
# Version of a host that states none.
UNSTATED_PROTOCOL_VERSION: Final = 8
# The digest of evacuations of a host that does not report one.
UNKNOWN_EVACUATIONS: Final = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """A host's own state: its incarnation, addresses, revision and free slots.

    `spare` pairs the name of a service with the free slots of its backend servers that
    the host owns. `sequence` rises within an incarnation. `digest` is equal on hosts
    that know the same hosts at the same incarnations. `up_to_date` names some of the
    hosts known to have `revision` in force. The host `is_isolated` if it reaches no
    backend server. `protocol` is the protocol version that the host speaks, and
    `evacuations` a digest of the evacuated failure domains.
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
    is_isolated: bool = False
    protocol: int = UNSTATED_PROTOCOL_VERSION
    evacuations: int = UNKNOWN_EVACUATIONS


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """What a host knows about another host.

    `is_silent` states whether the hosts of its failure domain consider it silent, and
    `is_isolated` whether it says that it reaches no backend server. `protocol` is the
    protocol version that it speaks, as far as the sender knows.
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
    is_silent: bool
    strength: float = 1.0
    is_isolated: bool = False
    protocol: int = UNSTATED_PROTOCOL_VERSION


@dataclass(frozen=True, slots=True, kw_only=True)
class MembersNotice:
    """Changed member records, or all of them, from a host of `failure_domain`.

    With `wants_reply`, the receiver replies with its own records where they are newer.
    """

    failure_domain: str
    records: tuple[MemberRecord, ...]
    wants_reply: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsNotice:
    """An accepted version of the routing intents.

    They are `is_reduced` if they passed a host of protocol version 8, which does not
    know workspaces, public routes and warm-up. Where backend servers register, they
    have no `caller_limits` if they passed a host of version 9 or earlier.
    """

    version: str
    intents: RoutingIntents
    is_reduced: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsRequest:
    """Request the routing intents of a peer if they are newer than `revision`."""

    host: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SpareNotice:
    """The free slots of a service at the home that sends this.

    A negative number is the number of calls queued there.
    """

    service: str
    spare: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReport:
    """A run of a call crashed a backend server; `at` is on the sender's clock."""

    fingerprint: str
    service: str
    method: str
    path: str
    server: str
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineRelease:
    """A call was released from quarantine."""

    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerNotice:
    """A backend server announced that it is leaving, or that it no longer is.

    `started` identifies the server's incarnation if servers register.
    """

    service: str
    server: str
    leaving: bool
    started: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitNotice:
    """The rate limit that a backend server named, in requests a second of all hosts.

    `per_s` is None if it names none any more. `started` identifies the server's
    incarnation if servers register.
    """

    service: str
    server: str
    started: int
    per_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class WarmupNotice:
    """A backend server is still warming up for `left_s` seconds.

    `started` identifies the server's incarnation if servers register.
    """

    service: str
    server: str
    started: int
    left_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredServer:
    """A backend server's own entry in the platform's registry.

    `started` identifies its incarnation, in milliseconds since the Unix epoch, and
    `sequence` numbers the writes within one; 0 means that the entry has none. The
    server is still warming up for `warmup_left_s` seconds.
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
        """Return True if the server wrote this entry before the other one."""
        if self.started != other.started:
            return 0 < self.started < other.started
        return 0 < self.sequence < other.sequence


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldEntry:
    """An entry that expired around an outage of the platform, and is still in use.

    It is removed after `for_s` seconds, unless its server writes it again.
    """

    name: str
    for_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersNotice:
    """Registry changes after `base_position`, or the complete registry.

    `names_hash` is a hash of the names of all entries. Entries in `held` have expired
    and are no longer in the platform's registry.
    """

    base_position: StorePosition
    position: StorePosition
    servers: tuple[RegisteredServer, ...]
    gone: tuple[str, ...]
    is_complete: bool
    names_hash: int = 0
    held: tuple[HeldEntry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersRequest:
    """Request the complete registry of a peer."""

    host: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayReport:
    """A relay's report that its platform watches work, up to these revisions.

    With `is_lost`, the relay has lost the platform, and the next host in rank should
    take over at once. `evacuations` is a digest of the evacuated failure domains.
    """

    host: str
    rank: int
    is_lost: bool
    intents_revision: int
    servers_position: StorePosition
    evacuations: int = UNKNOWN_EVACUATIONS


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationsNotice:
    """All evacuated failure domains at a position of the store."""

    position: StorePosition
    domains: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequest:
    """Request a slot from the home of a service.

    `request_number` numbers the requests of a call. `left_s` and `aim_left_s` are the
    seconds until its deadline and its latency objective. `is_retry` is set if the call
    reached a backend server before, and `earns_budget` on the first request of a call,
    which adds to the retry and hedge budgets. `can_cross_domains` means that a home of
    another failure domain can serve the call too. With `spare_only` the call waits at
    another home, which expects to answer it in `expected_s` seconds: this one must
    grant a slot at once, queue the request if that makes an answer in time more likely,
    or refuse. `workspace` is empty for a call that has none.
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
    earns_budget: bool = False
    can_cross_domains: bool = False
    spare_only: bool = False
    route: str = ""
    workspace: str = ""
    expected_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotGrant:
    """Permission to send the call once to a backend server.

    `number` distinguishes the grants for one request. With `is_hedge`, the server is
    for a hedge beside the attempt that is running.
    """

    call: str
    request_number: int
    server: str
    number: int = 0
    is_hedge: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotQueued:
    """The call is queued at the home; `expected_s` is the expected time to its answer.

    `typical_run_s` is the run time on a server that is not slow. Times are in seconds.
    """

    call: str
    request_number: int
    expected_s: float
    typical_run_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRefusal:
    """The home refuses a slot.

    `is_final` is set if the call was queued there before; the holder then requests no
    slot from another home.
    """

    call: str
    request_number: int
    is_final: bool
    title: str
    detail: str
    retry_after_s: float | None
    status: int = 503


@unique
class SlotUse(StrEnum):
    """How a granted slot was used."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    # Another server answered at its address.
    MISDIRECTED = "misdirected"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotEnd:
    """A slot is free again; without a `number`, the request and all its grants end.

    `load` is the load that the server reported with its reply, `pause_s` for how long
    it asked the holder to send it no calls, and `rate_limit` the limit that it named.
    """

    host: str
    call: str
    request_number: int
    number: int | None
    use: SlotUse
    latency_s: float
    load: LoadReport | None = None
    pause_s: float = 0.0
    rate_limit: RateLimitReport | None = None


# A workspace, the credits for calls that wait, those wanted as a reserve, the calls
# since the last request, the reserve that is held, and credits that are returned.
CreditWant: TypeAlias = tuple[str, int, int, int, int, int]
# A workspace, the credits issued, and the seconds until the next one; 0 if all credits
# that calls wait for were issued.
IssuedCredits: TypeAlias = tuple[str, int, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class CreditRequest:
    """Request credits of workspace quotas from the allocator of a failure domain."""

    wants: tuple[CreditWant, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CreditGrant:
    """Credits of workspace quotas, each for one call.

    With `is_allocator` false, the sender does not issue credits.
    """

    issued: tuple[IssuedCredits, ...]
    is_allocator: bool


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
    | RateLimitNotice
    | WarmupNotice
    | ServersNotice
    | ServersRequest
    | RelayReport
    | EvacuationsNotice
    | SlotRequest
    | SlotGrant
    | SlotQueued
    | SlotRefusal
    | SlotEnd
    | CreditRequest
    | CreditGrant
)
