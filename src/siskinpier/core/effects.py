"""Effects: all that a core asks of its shell, as data."""

from dataclasses import dataclass, field

from .claims.messages import KeptReply
from .configuration.orders import OrderResult
from .messages import Message
from .timers import Timer
from .verdict import Problem, Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Send a call to a backend server, or forward it to another entry host.

    `timeout_s` bounds the attempt up to its whole reply. A forward says whether
    the call is `at_most_once`, and whether its claim is held (`claimed`).
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


@dataclass(frozen=True, slots=True, kw_only=True)
class AbandonAttempt:
    """Stop an attempt and close its connection."""

    call_id: str
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayReply:
    """Pass the reply of an attempt to the caller as it arrives."""

    call_id: str
    attempt: int
    verdict: Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseCall:
    """Give a call its final answer without a backend server's reply."""

    call_id: str
    problem: Problem


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayReply:
    """Answer a call with the kept reply of an earlier call of the same key."""

    call_id: str
    kept: KeptReply


@dataclass(frozen=True, slots=True, kw_only=True)
class CutReply:
    """Break a reply that was partly relayed, so that it cannot look whole."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendProbe:
    """Probe a backend server's health endpoint."""

    service: str
    server: str
    address: str
    path: str
    timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer:
    """Ask for `TimerFired` at a time; replaces an equal timer."""

    timer: Timer
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClearTimer:
    """Drop a timer if it is set."""

    timer: Timer


@dataclass(frozen=True, slots=True, kw_only=True)
class SendMessage:
    """Send a message to another entry host; it may be lost."""

    host: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadObject:
    """Read an object of the platform; answered by `ObjectRead`."""

    request_id: str
    kind: str
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteObject:
    """Write an object of the platform; answered by `ObjectWritten`.

    `expected_version` is None to create the object.
    """

    request_id: str
    kind: str
    name: str
    spec: dict[str, object]
    expected_version: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchIntents:
    """Watch the routing intents on the platform, or stop watching."""

    watching: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerOrder:
    """Tell an operator what became of an order."""

    request_id: str
    result: OrderResult


@dataclass(frozen=True, slots=True, kw_only=True)
class StopHost:
    """End the process: nothing is in flight any more, or the bound is reached.

    With `at_once`, replies that are still being written are cut off too.
    """

    reason: str
    at_once: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LogDecision:
    """Write one log line; `fields` are the key=value pairs after the event."""

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
    | ReadObject
    | WriteObject
    | WatchIntents
    | AnswerOrder
    | StopHost
    | LogDecision
)
