"""Events: the inputs of a host's core, each with the time at which it occurred.

`now` is in seconds on the host's monotonic clock.
"""

from dataclasses import dataclass

from .claims.messages import KeptReply
from .configuration.intents import RoutingIntents
from .configuration.orders import Order
from .messages import Message, RegisteredServer
from .platform_results import ReadResult, WriteResult
from .positions import StorePosition
from .routing.calls import Call, LoadReport, RateLimitReport
from .timers import Timer
from .verdict import AttemptFailure, Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class CallArrived:
    """A call arrived from a caller or from another entry host."""

    now: float
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class CallCancelled:
    """The caller disconnected before its reply was complete."""

    now: float
    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFailed:
    """An unexpected error occurred while an event of this call was handled.

    With `has_reply`, the caller gets the complete reply all the same.
    """

    now: float
    call_id: str
    has_reply: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyStarted:
    """The status and headers of a reply to an attempt arrived.

    `load` is the number of calls in progress that the backend server reports.
    `verdict` is set if another entry host refused a forwarded call.
    """

    now: float
    call_id: str
    attempt: int
    status: int
    load: int | None = None
    report: LoadReport | None = None
    draining: bool = False
    # A server other than the intended one answered at its address.
    is_other_server: bool = False
    verdict: Verdict | None = None
    # The server asks this host to send it no calls for this time, seconds.
    pause_s: float | None = None
    rate_limit: RateLimitReport | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyFinished:
    """The reply to an attempt is complete.

    `kept` holds a copy of the reply if it is small. `size` is the length of the
    body in bytes.
    """

    now: float
    call_id: str
    attempt: int
    kept: KeptReply | None = None
    size: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt ended without a complete reply."""

    now: float
    call_id: str
    attempt: int
    failure: AttemptFailure


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeAnswered:
    """A probe ended; `latency_s` is None if no healthy answer arrived.

    `has_reply` is set if the server answered, with whatever status.
    """

    now: float
    service: str
    server: str
    latency_s: float | None
    has_reply: bool = False
    draining: bool = False
    # A server other than the intended one answered at its address.
    is_other_server: bool = False
    bytes_used: int = 0
    report: LoadReport | None = None
    pause_s: float | None = None
    rate_limit: RateLimitReport | None = None
    # How long the server is still warming up, seconds; None if it does not say.
    warmup_left_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """A timer that was set by `SetTimer` fired."""

    now: float
    timer: Timer


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived:
    """A message arrived from an authenticated entry host."""

    now: float
    sender: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerRefused:
    """A connection to another host was refused, so its process has ended."""

    now: float
    host: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedHost:
    """An entry of the platform's host list."""

    name: str
    failure_domain: str
    region: str
    callers: str
    peers: str
    leaving: bool
    # Capacity from processor and network link; 1.0 is one full core and a link that
    # is not the bottleneck.
    strength: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostsListed:
    """The platform's host list was read; it may be out of date."""

    now: float
    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsSeen:
    """Routing intents were read from the platform at the given version."""

    now: float
    version: str
    intents: RoutingIntents


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsMissing:
    """The platform reported that it stores no routing intents yet."""

    now: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersListed:
    """The complete registry of backend servers, at a position of the store."""

    now: float
    position: StorePosition
    servers: tuple[RegisteredServer, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersChanged:
    """The registry changed up to a position of the store.

    `servers` holds the new and changed entries, `gone` the names of removed servers.
    """

    now: float
    position: StorePosition
    servers: tuple[RegisteredServer, ...]
    gone: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationsSeen:
    """All evacuated failure domains, read at a position of the store."""

    now: float
    position: StorePosition
    domains: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformLost:
    """A watch on the platform failed."""

    now: float
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformReached:
    """A watch on the platform was confirmed as working."""

    now: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectRead:
    """The result of a `ReadObject` effect."""

    now: float
    request_id: str
    result: ReadResult


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectWritten:
    """The result of a `WriteObject` effect."""

    now: float
    request_id: str
    result: WriteResult


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderGiven:
    """An operator ordered a change of the routing intents.

    `update_id` identifies the change, so that an operator who missed the answer can
    query its outcome. If it is None, the core generates one.
    """

    now: float
    request_id: str
    order: Order
    operator: str
    update_id: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseQuarantine:
    """An operator released a quarantined call."""

    now: float
    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HostStarted:
    """The process started; delivered once, before any other event."""

    now: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownRequested:
    """The host was asked to shut down gracefully."""

    now: float


Event = (
    CallArrived
    | CallCancelled
    | CallFailed
    | ReplyStarted
    | ReplyFinished
    | AttemptFailed
    | ProbeAnswered
    | TimerFired
    | MessageReceived
    | PeerRefused
    | HostsListed
    | IntentsSeen
    | IntentsMissing
    | ServersListed
    | ServersChanged
    | EvacuationsSeen
    | PlatformLost
    | PlatformReached
    | ObjectRead
    | ObjectWritten
    | OrderGiven
    | ReleaseQuarantine
    | HostStarted
    | ShutdownRequested
)
