"""The one reducer: every event of a host goes through `reduce`.

It reads no clock, socket or file; the same events give the same effects.
Begin reading here: each branch names the module that decides.
"""

from .claims.call_claims import handle_claim_message, update_claims
from .claims.holder import handle_claim_retry, resend_claim_ends
from .claims.messages import ClaimEnd, ClaimEndAck, ClaimReply, ClaimRequest
from .claims.owner import handle_shard_read, handle_shard_timer, handle_shard_written
from .cluster.following import POLL_ID, poll_intents, refresh_watchers, take_poll
from .cluster.greeting import greet
from .cluster.heartbeats import (
    answer_intents_request,
    beat,
    take_heartbeat,
    take_hosts,
    take_members_notice,
    take_refusal,
)
from .cluster.readiness import check_readiness, take_missing_intents
from .cluster.registry import (
    drop_lapsed,
    take_changed,
    take_leaving_notice,
    take_listed,
    take_servers_notice,
)
from .cluster.registry_notices import answer_servers_request
from .cluster.relays import (
    pass_on_intents,
    start_relay,
    step_relay,
    take_lost,
    take_reached,
    take_word,
)
from .cluster.server_marks import take_server_notice
from .cluster.shutdown import start_shutdown, step_shutdown
from .configuration.soft_orders import handle_soft_order
from .configuration.updates import (
    apply_intents,
    handle_order_read,
    handle_order_retry,
    handle_order_written,
    start_order,
)
from .effects import Effect
from .events import (
    AttemptFailed,
    CallArrived,
    CallCancelled,
    Event,
    HostsListed,
    HostStarted,
    IntentsMissing,
    IntentsSeen,
    MessageReceived,
    ObjectRead,
    ObjectWritten,
    OrderGiven,
    PeerRefused,
    PlatformLost,
    PlatformReached,
    ProbeAnswered,
    ReleaseQuarantine,
    ReplyFinished,
    ReplyStarted,
    ServersChanged,
    ServersListed,
    ShutdownRequested,
    TimerFired,
)
from .messages import (
    CrashReport,
    Heartbeat,
    IntentsNotice,
    IntentsRequest,
    MembersNotice,
    QuarantineRelease,
    RelayWord,
    ServerNotice,
    ServersNotice,
    ServersRequest,
    SlotEnd,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotRequest,
    SpareNotice,
)
from .routing.arrivals import cancel_call, expire_call, start_call
from .routing.check_results import expire_check
from .routing.dispatch import drain_queue, take_spare_notice
from .routing.forwarding import send_due_spare
from .routing.hedging import send_hedge
from .routing.probing import start_probes, take_probe
from .routing.quarantine import (
    give_release,
    note_answer,
    note_break,
    take_release,
    take_report,
)
from .routing.replies import fail_attempt, finish_reply, take_reply
from .routing.slots import (
    check_slot,
    take_end,
    take_grant,
    take_queued,
    take_refusal as take_slot_refusal,
    take_request,
)
from .state import HostState
from .timers import (
    CallDeadline,
    CheckDue,
    ClaimEndsDue,
    ClaimRetry,
    ClaimsDue,
    HeartbeatDue,
    HedgeDue,
    IntentsPollDue,
    LapseDue,
    OrderRetry,
    PatienceDue,
    PauseDue,
    ProbesDue,
    QueueReviewDue,
    RelayDue,
    ShutdownStep,
    SlotDue,
    SpareDue,
)


def reduce(state: HostState, event: Event) -> list[Effect]:
    """Change the state by one event and return the effects, in order."""
    out: list[Effect] = []
    match event:
        case CallArrived():
            start_call(state, event, out)
        case ReplyStarted():
            take_reply(state, event, out)
        case ReplyFinished():
            note_answer(state, event, out)
            finish_reply(state, event, out)
        case AttemptFailed():
            note_break(state, event, out)
            fail_attempt(state, event, out)
        case CallCancelled():
            cancel_call(state, event, out)
        case TimerFired():
            _fire_timer(state, event, out)
        case MessageReceived():
            _take_message(state, event, out)
        case PeerRefused():
            take_refusal(state, event, out)
        case ProbeAnswered():
            take_probe(state, event, out)
        case HostsListed():
            take_hosts(state, event, out)
            if state.settings.servers_register:
                step_relay(state, event.now, out)
        case IntentsSeen(now=now, version=version, intents=intents):
            known = state.intents.revision
            apply_intents(state, intents, version, now, out)
            if state.settings.servers_register and state.intents.revision > known:
                pass_on_intents(state, out)
        case IntentsMissing():
            take_missing_intents(state)
        case ServersListed():
            take_listed(state, event, out)
            check_readiness(state, event.now, out)
        case ServersChanged():
            take_changed(state, event, out)
        case PlatformLost():
            take_lost(state, event, out)
        case PlatformReached():
            take_reached(state, event, out)
        case OrderGiven():
            if not handle_soft_order(state, event, out):
                start_order(state, event, out)
        case ObjectRead(request_id=request_id) if request_id == POLL_ID:
            take_poll(state, event, out)
        case ObjectRead():
            handle_order_read(state, event, out)
            handle_shard_read(state, event, out)
        case ObjectWritten():
            handle_order_written(state, event, out)
            handle_shard_written(state, event, out)
        case ReleaseQuarantine():
            give_release(state, event, out)
        case HostStarted(now=now):
            state.started = now
            _beat(state, now, out)
            if state.settings.servers_register:
                start_relay(state, now, out)
            else:
                poll_intents(state, out)
            start_probes(state, now, out)
        case ShutdownRequested(now=now):
            start_shutdown(state, now, out)
    update_claims(state, event, out)
    state.history.note(out, event.now)
    return out


def _beat(state: HostState, now: float, out: list[Effect]) -> None:
    beat(state, now, out)
    if not state.settings.servers_register:
        refresh_watchers(state, now, out)
    check_readiness(state, now, out)


def _fire_timer(state: HostState, event: TimerFired, out: list[Effect]) -> None:
    now = event.now
    match event.timer:
        case CallDeadline(call_id=call_id):
            expire_call(state, call_id, now, out)
        case HeartbeatDue():
            _beat(state, now, out)
        case IntentsPollDue():
            poll_intents(state, out)
        case ProbesDue():
            start_probes(state, now, out)
        case ShutdownStep():
            step_shutdown(state, now, out)
        case OrderRetry(request_id=request_id):
            handle_order_retry(state, request_id, now, out)
        case HedgeDue(call_id=call_id):
            send_hedge(state, call_id, now, out)
        case SpareDue(service=name):
            service = state.services.get(name)
            if service is not None:
                send_due_spare(state, service, now, out)
        case (
            PatienceDue(service=name)
            | PauseDue(service=name)
            | QueueReviewDue(service=name)
        ):
            service = state.services.get(name)
            if service is not None:
                drain_queue(state, service, now, out)
        case SlotDue(call_id=call_id):
            check_slot(state, call_id, now, out)
        case CheckDue() as timer:
            expire_check(state, timer, now, out)
        case RelayDue():
            step_relay(state, now, out)
        case LapseDue():
            drop_lapsed(state, now, out)
        case ClaimsDue(shard=shard):
            handle_shard_timer(state, shard, now, out)
        case ClaimRetry(call_id=call_id):
            handle_claim_retry(state, call_id, now, out)
        case ClaimEndsDue():
            resend_claim_ends(state, now, out)


def _take_message(state: HostState, event: MessageReceived, out: list[Effect]) -> None:
    match event.message:
        case Heartbeat() as message:
            take_heartbeat(state, event, message, out)
            greet(state, event.sender, message.incarnation, out)
        case MembersNotice() as message:
            take_members_notice(state, event, message, out)
        case IntentsNotice(version=version, intents=intents):
            apply_intents(state, intents, version, event.now, out)
        case IntentsRequest() as message:
            answer_intents_request(state, message, out)
        case SpareNotice() as message:
            take_spare_notice(state, message, event.sender, event.now, out)
        case ClaimRequest() | ClaimReply() | ClaimEnd() | ClaimEndAck() as message:
            handle_claim_message(state, event.sender, message, event.now, out)
        case CrashReport() as message:
            take_report(state, message, event.now, out)
        case QuarantineRelease() as message:
            take_release(state, message)
        case ServerNotice() as message if state.settings.servers_register:
            take_leaving_notice(state, message, event.sender, event.now, out)
        case ServerNotice() as message:
            take_server_notice(state, message, event.now, out)
        case SlotRequest() as message:
            take_request(state, message, event.now, out)
        case SlotGrant() as message:
            take_grant(state, message, event.sender, event.now, out)
        case SlotQueued() as message:
            take_queued(state, message, event.sender, event.now, out)
        case SlotRefusal() as message:
            take_slot_refusal(state, message, event.sender, event.now, out)
        case SlotEnd() as message:
            take_end(state, message, event.now, out)
        case ServersNotice() as message:
            take_servers_notice(state, message, event.sender, event.now, out)
            check_readiness(state, event.now, out)
        case ServersRequest() as message:
            answer_servers_request(state, message, event.now, out)
        case RelayWord() as message:
            take_word(state, message, event.now, out)
