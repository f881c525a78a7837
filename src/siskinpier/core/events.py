"""Events: all that a host's core learns, each with the time it happened.

`now` is in seconds on the host's clock, which never steps back.
"""

from dataclasses import dataclass

from .claims.messages import KeptReply
from .configuration.intents import RoutingIntents
from .configuration.orders import Order
from .messages import Message, RegisteredServer
from .platform_results import ReadResult, WriteResult
from .positions import StorePosition
from .routing.calls import Call, LoadReport
from .timers import Timer
from .verdict import AttemptFailure, Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class CallArrived:
    """A caller, or another entry host, asked for a call."""

    now: float
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class CallCancelled:
    """The caller went away before its answer was whole."""

    now: float
    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyStarted:
    """The head of a reply arrived for one attempt.

    `load` is the backend server's own report of calls in progress. `verdict`
    is set when another entry host refused a forwarded call.
    """

    now: float
    call_id: str
    attempt: int
    status: int
    load: int | None = None
    report: LoadReport | None = None
    draining: bool = False
    # Another server than the one meant answered at its address.
    is_other_server: bool = False
    verdict: Verdict | None = None
    # For how long the server wants nothing more from this host.
    pause_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyFinished:
    """The reply of one attempt arrived whole; `kept` is it, when it is small.

    `size` is that of its body, in bytes.
    """

    now: float
    call_id: str
    attempt: int
    kept: KeptReply | None = None
    size: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt ended without a whole reply."""

    now: float
    call_id: str
    attempt: int
    failure: AttemptFailure


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeAnswered:
    """A probe ended; `latency_s` is None when no healthy answer came."""

    now: float
    service: str
    server: str
    latency_s: float | None
    draining: bool = False
    # Another server answered at the address.
    is_other_server: bool = False
    bytes_used: int = 0
    report: LoadReport | None = None
    pause_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """A timer that the core had set came due."""

    now: float
    timer: Timer


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived:
    """An authenticated entry host sent a message."""

    now: float
    sender: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerRefused:
    """Nothing listens at another host's address: its process is gone."""

    now: float
    host: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedHost:
    """One entry of the platform's host list."""

    name: str
    failure_domain: str
    region: str
    callers: str
    peers: str
    leaving: bool
    # Its processor and link, against a whole core with a link that bounds nothing.
    strength: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostsListed:
    """The platform's host list was read; it may lag."""

    now: float
    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsSeen:
    """Routing intents were read from the platform, at the given version."""

    now: float
    version: str
    intents: RoutingIntents


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsMissing:
    """The platform answered that no routing intents are stored yet."""

    now: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersListed:
    """The whole registry of backend servers, at a position of the platform."""

    now: float
    position: StorePosition
    servers: tuple[RegisteredServer, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersChanged:
    """What changed in the registry up to a position; `gone` are names."""

    now: float
    position: StorePosition
    servers: tuple[RegisteredServer, ...]
    gone: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformLost:
    """A watch of the platform broke."""

    now: float
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformReached:
    """A watch of the platform was confirmed."""

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

    `update_id` names the change, so that whoever lost the answer can ask what
    became of it; None lets the core draw one.
    """

    now: float
    request_id: str
    order: Order
    operator: str
    update_id: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseQuarantine:
    """An operator ordered that a quarantined call may run again."""

    now: float
    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HostStarted:
    """The process started; sent once, before every other event."""

    now: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownRequested:
    """The host was asked to leave without cutting off any call."""

    now: float


Event = (
    CallArrived
    | CallCancelled
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
    | PlatformLost
    | PlatformReached
    | ObjectRead
    | ObjectWritten
    | OrderGiven
    | ReleaseQuarantine
    | HostStarted
    | ShutdownRequested
)
