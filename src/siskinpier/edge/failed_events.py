"""What follows from an event or effect whose handling met an unexpected error.

The call, order or timer that the event belongs to must not be forgotten: the call and
the order get their final answer, and a timer that sets itself again goes on.
"""

from ..core.claims.messages import ClaimReply
from ..core.cluster.intents_watch import POLL_REQUEST_ID
from ..core.effects import Effect, ReadObject, SendAttempt, SendProbe, WriteObject
from ..core.events import (
    AttemptFailed,
    CallArrived,
    CallCancelled,
    CallFailed,
    Event,
    HostStarted,
    MessageReceived,
    ObjectRead,
    ObjectWritten,
    OrderGiven,
    ProbeAnswered,
    ReplyFinished,
    ReplyStarted,
    ShutdownRequested,
    TimerFired,
)
from ..core.messages import SlotGrant, SlotQueued, SlotRefusal
from ..core.platform_results import Unavailable, WriteOutcomeUnknown
from ..core.state import HostState
from ..core.timers import (
    HeartbeatDue,
    IntentsPollDue,
    OrderRetry,
    ProbesDue,
    RelayDue,
    ShutdownCheckDue,
    Timer,
)
from ..core.verdict import AttemptFailure

INTERNAL_ERROR = "internal error"


def get_event_name(event: Event) -> str:
    """Return the name of an event, with that of its timer or message."""
    name = type(event).__name__
    match event:
        case TimerFired(timer=timer):
            return f"{name}/{type(timer).__name__}"
        case MessageReceived(message=message):
            return f"{name}/{type(message).__name__}"
    return name


def get_call_id(event: Event) -> str | None:
    """Return the id of the call that an event belongs to, or None."""
    match event:
        case CallArrived(call=call):
            return call.call_id
        case (
            CallCancelled(call_id=call_id)
            | CallFailed(call_id=call_id)
            | ReplyStarted(call_id=call_id)
            | ReplyFinished(call_id=call_id)
            | AttemptFailed(call_id=call_id)
        ):
            return call_id
        case TimerFired(timer=timer):
            return getattr(timer, "call_id", None)
        # All other messages name no call of this host.
        case MessageReceived(
            message=SlotGrant() | SlotQueued() | SlotRefusal() as word
        ):
            return word.call
        case MessageReceived(message=ClaimReply(call_id=call_id)):
            return call_id
    return None


def get_order_id(event: Event) -> str | None:
    """Return the id of the order that an event belongs to, or None."""
    match event:
        case (
            OrderGiven(request_id=request_id)
            | ObjectRead(request_id=request_id)
            | ObjectWritten(request_id=request_id)
            | TimerFired(timer=OrderRetry(request_id=request_id))
        ):
            return request_id
    return None


def list_lost_timers(event: Event, state: HostState) -> list[Timer]:
    """Return the timers that the event should have set, or set again."""
    poll: Timer = RelayDue() if state.settings.servers_register else IntentsPollDue()
    match event:
        case HostStarted():
            return [HeartbeatDue(), ProbesDue(), poll]
        case ObjectRead(request_id=request_id) if request_id == POLL_REQUEST_ID:
            return [poll]
        case ShutdownRequested():
            return [ShutdownCheckDue()]
        case TimerFired(timer=timer) if get_call_id(event) is None:
            return [timer]
    return []


def make_failed_result(effect: Effect, now: float) -> Event | None:
    """Return the event that reports an effect as failed, or None if none does."""
    match effect:
        case SendAttempt(call_id=call_id, attempt=attempt):
            failure = AttemptFailure.INTERNAL
            return AttemptFailed(
                now=now, call_id=call_id, attempt=attempt, failure=failure
            )
        case SendProbe(service=service, server=server):
            return ProbeAnswered(
                now=now, service=service, server=server, latency_s=None
            )
        case ReadObject(request_id=request_id):
            failed = Unavailable(reason=INTERNAL_ERROR)
            return ObjectRead(now=now, request_id=request_id, result=failed)
        case WriteObject(request_id=request_id):
            unknown = WriteOutcomeUnknown(reason=INTERNAL_ERROR)
            return ObjectWritten(now=now, request_id=request_id, result=unknown)
    return None
