"""Effects: the actions that a host's core requests from its shell, as data."""

from dataclasses import dataclass, field

from .claims.messages import KeptReply
from .configuration.intents import CallerLimits
from .configuration.orders import OrderResult
from .messages import Message
from .timers import Timer
from .verdict import Problem, Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Send a call to a backend server, or forward it to another entry host.

    `timeout_s` covers the attempt up to the end of its reply. `connections` limits the
    requests in flight to the address; 0 means no limit. A forwarded call carries
    `at_most_once`, and `claimed` if its claim is already held.
    """

    call_id: str
    attempt: int
    target: str
    address: str
    is_forward: bool
    timeout_s: float
    connections: int = 0
    at_most_once: bool = False
    claimed: bool = False
    # Name of the caller's workspace, which is sent in place of the credentials; empty
    # sends neither, and None sends the credentials as they were received.
    workspace: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AbandonAttempt:
    """Cancel an attempt and close its connection."""

    call_id: str
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayReply:
    """Stream the reply of an attempt to the caller as it arrives."""

    call_id: str
    attempt: int
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseCall:
    """Answer a call with a problem instead of a backend server's reply."""

    call_id: str
    problem: Problem


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayReply:
    """Answer a call with the stored reply of an earlier call with the same key."""

    call_id: str
    kept: KeptReply


@dataclass(frozen=True, slots=True, kw_only=True)
class CutReply:
    """Abort a partly relayed reply so that the caller sees it as incomplete."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendProbe:
    """Send a request to the health endpoint of a backend server."""

    service: str
    server: str
    address: str
    path: str
    timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer:
    """Schedule `TimerFired` at the time `at`; an equal timer is replaced."""

    timer: Timer
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClearTimer:
    """Cancel a timer if it is set."""

    timer: Timer


@dataclass(frozen=True, slots=True, kw_only=True)
class SendMessage:
    """Send a message to another entry host, without a delivery guarantee."""

    host: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class SetCallerLimits:
    """Put limits on callers in force; None restores those of the host's settings."""

    limits: CallerLimits | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadObject:
    """Read an object from the platform; `ObjectRead` returns the result."""

    request_id: str
    kind: str
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteObject:
    """Write an object to the platform; `ObjectWritten` returns the result.

    `expected_version` is None to create the object.
    """

    request_id: str
    kind: str
    name: str
    spec: dict[str, object]
    expected_version: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchIntents:
    """Start or stop watching the routing intents on the platform."""

    watching: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerOrder:
    """Return the result of an order to the operator."""

    request_id: str
    result: OrderResult


@dataclass(frozen=True, slots=True, kw_only=True)
class StopHost:
    """Stop the process: no call is in flight, or the shutdown time limit is reached.

    With `at_once`, replies that are still being written are aborted.
    """

    reason: str
    at_once: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LogDecision:
    """Write one log line; `fields` are the key=value pairs that follow the event."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


Effect = (
    SendAttempt
    | AbandonAttempt
    | RelayReply
    | RefuseCall
    | ReplayReply
    | CutReply
    | SendProbe
    | SetTimer
    | ClearTimer
    | SendMessage
    | SetCallerLimits
    | ReadObject
    | WriteObject
    | WatchIntents
    | AnswerOrder
    | StopHost
    | LogDecision
)
