"""The reducer: the entry point for every event of a host.

`reduce` reads no clock, socket or file, so the same state and events always give
the same effects. Each branch shows which module handles the event.
"""

from .claims.call_claims import handle_claim_message, update_claims
from .claims.holder import handle_claim_retry, resend_claim_ends
from .claims.messages import ClaimEnd, ClaimEndAck, ClaimReply, ClaimRequest
from .claims.owner import handle_shard_read, handle_shard_timer, handle_shard_written
from .cluster.confirmation import (
    can_revoke_keys,
    confirm_revision,
    note_pause,
    pass_on_intents,
    run_confirmation,
    start_confirmation,
)
from .cluster.declared_leaving import handle_declared_leaving
from .cluster.evacuations import (
    compare_evacuations,
    handle_evacuations_notice,
    handle_evacuations_seen,
)
from .cluster.heartbeats import (
    handle_heartbeat,
    handle_hosts_listed,
    handle_intents_request,
    handle_members_notice,
    handle_peer_refused,
    run_heartbeat,
)
from .cluster.intents_watch import (
    POLL_REQUEST_ID,
    handle_poll_result,
    start_poll,
    update_watch,
)
from .cluster.quota_allocators import update_allocator
from .cluster.quota_issuing import handle_credit_request, send_transfer_requests
from .cluster.rate_limit_notices import handle_rate_limit_notice
from .cluster.readiness import handle_missing_intents, update_readiness
from .cluster.registry import (
    expire_held_servers,
    handle_registered_leaving,
    handle_servers_changed,
    handle_servers_listed,
    handle_servers_notice,
)
from .cluster.registry_notices import handle_servers_request
from .cluster.relays import (
    handle_platform_lost,
    handle_platform_reached,
    handle_relay_report,
    run_relay,
    send_intents,
    start_relay,
)
from .cluster.shutdown import run_shutdown_check, start_shutdown
from .cluster.soft_state_sync import send_soft_state
from .cluster.warmup_notices import handle_warmup_notice
from .configuration.reduced_intents import (
    handle_intents_notice,
    request_complete_intents,
)
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
    CallFailed,
    EvacuationsSeen,
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
    CreditGrant,
    CreditRequest,
    EvacuationsNotice,
    Heartbeat,
    IntentsNotice,
    IntentsRequest,
    MembersNotice,
    QuarantineRelease,
    RateLimitNotice,
    RelayReport,
    ServerNotice,
    ServersNotice,
    ServersRequest,
    SlotEnd,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotRequest,
    SpareNotice,
    WarmupNotice,
)
from .routing.arrivals import (
    expire_call,
    handle_call_arrived,
    handle_call_cancelled,
    handle_call_failed,
)
from .routing.attempts import find_call_of_attempt
from .routing.dispatch import handle_spare_notice
from .routing.forwarding import handle_spare_notice_due
from .routing.hedging import handle_hedge_due
from .routing.isolation import record_server_failure, record_server_reply
from .routing.isolation_reactions import check_isolation
from .routing.probing import handle_probe_answered, run_probing
from .routing.quarantine import (
    clear_disproved_suspicions,
    handle_crash_report,
    handle_quarantine_release,
    handle_release_order,
    suspect_crash,
)
from .routing.queueing import dispatch_queued_calls
from .routing.quota_grants import (
    handle_credit_grant,
    return_idle_credits,
    run_credit_requests,
)
from .routing.replies import (
    handle_attempt_failed,
    handle_reply_finished,
    handle_reply_started,
)
from .routing.slot_holders import (
    handle_slot_grant,
    handle_slot_queued,
    handle_slot_refusal,
    handle_slot_response_due,
)
from .routing.slots import handle_slot_end, handle_slot_request
from .routing.speed_check_results import expire_check
from .state import HostState
from .timers import (
    CallDeadline,
    ClaimEndResendDue,
    ClaimRetry,
    ClaimsDue,
    CreditsDue,
    CreditTransferDue,
    HeartbeatDue,
    HedgeDue,
    HeldEntryExpiryDue,
    IntentsPollDue,
    IsolationCheckDue,
    OrderRetry,
    PauseDue,
    ProbesDue,
    QueueReviewDue,
    RelayDue,
    ShutdownCheckDue,
    SlotResponseDue,
    SlowServersAllowedDue,
    SpareNoticeDue,
    SpeedCheckDue,
)


def reduce(state: HostState, event: Event) -> list[Effect]:
    """Apply one event to the state and return its effects in order."""
    out: list[Effect] = []
    apply_event(state, event, out)
    return out


def apply_event(state: HostState, event: Event, out: list[Effect]) -> None:
    """Apply one event to the state and append its effects in order.

    After an unexpected error, `out` holds the effects of the part that was applied:
    they must be carried out, as the state already counts on them.
    """
    state.quotas.now = event.now
    try:
        _apply(state, event, out)
    finally:
        update_claims(state, event, out)
        state.history.record(out, event.now)


def _apply(state: HostState, event: Event, out: list[Effect]) -> None:
    match event:
        case CallArrived():
            handle_call_arrived(state, event, out)
        case ReplyStarted():
            _record_reply(state, event)
            handle_reply_started(state, event, out)
        case ReplyFinished():
            clear_disproved_suspicions(state, event, out)
            handle_reply_finished(state, event, out)
        case AttemptFailed():
            _record_failure(state, event)
            suspect_crash(state, event, out)
            handle_attempt_failed(state, event, out)
        case CallCancelled():
            handle_call_cancelled(state, event, out)
        case CallFailed():
            handle_call_failed(state, event, out)
        case TimerFired():
            _handle_timer(state, event, out)
        case MessageReceived():
            _handle_message(state, event, out)
        case PeerRefused():
            handle_peer_refused(state, event, out)
        case ProbeAnswered():
            if event.has_reply:
                record_server_reply(state, event.server, event.now)
            handle_probe_answered(state, event, out)
        case HostsListed():
            handle_hosts_listed(state, event, out)
            if state.settings.servers_register:
                run_relay(state, event.now, out)
        case IntentsSeen(now=now, version=version, intents=intents):
            previous = state.intents
            apply_intents(state, intents, version, now, out)
            if state.settings.servers_register and state.intents is not previous:
                send_intents(state, out)
            confirm_revision(state, intents.revision, now, out)
            if can_revoke_keys(state):
                update_readiness(state, now, out)
        case IntentsMissing():
            handle_missing_intents(state)
        case ServersListed():
            handle_servers_listed(state, event, out)
            update_readiness(state, event.now, out)
        case ServersChanged():
            handle_servers_changed(state, event, out)
        case EvacuationsSeen():
            handle_evacuations_seen(state, event, out)
        case PlatformLost():
            handle_platform_lost(state, event, out)
        case PlatformReached():
            handle_platform_reached(state, event, out)
        case OrderGiven():
            if not handle_soft_order(state, event, out):
                start_order(state, event, out)
        case ObjectRead(request_id=request_id) if request_id == POLL_REQUEST_ID:
            handle_poll_result(state, event, out)
        case ObjectRead():
            handle_order_read(state, event, out)
            handle_shard_read(state, event, out)
        case ObjectWritten():
            handle_order_written(state, event, out)
            handle_shard_written(state, event, out)
        case ReleaseQuarantine():
            handle_release_order(state, event, out)
        case HostStarted(now=now):
            state.started = now
            start_confirmation(state, now)
            _run_heartbeat(state, now, out)
            if state.settings.servers_register:
                start_relay(state, now, out)
            else:
                start_poll(state, out)
            run_probing(state, now, out)
            if state.settings.grants_slots:
                check_isolation(state, now, out)
        case ShutdownRequested(now=now):
            start_shutdown(state, now, out)


def _record_reply(state: HostState, event: ReplyStarted) -> None:
    active = find_call_of_attempt(state, event.call_id, event.attempt)
    if active is not None and active.attempt and not active.attempt.is_forward:
        record_server_reply(state, active.attempt.target, event.now)


def _record_failure(state: HostState, event: AttemptFailed) -> None:
    active = find_call_of_attempt(state, event.call_id, event.attempt)
    if active is not None and active.attempt and not active.attempt.is_forward:
        server = active.attempt.target
        record_server_failure(state, server, event.failure, event.now)


def _run_heartbeat(state: HostState, now: float, out: list[Effect]) -> None:
    note_pause(state, now, out)
    run_heartbeat(state, now, out)
    run_confirmation(state, now, out)
    if not state.settings.servers_register:
        update_watch(state, now, out)
    request_complete_intents(state, now, out)
    update_allocator(state, now, out)
    return_idle_credits(state, now, out)
    update_readiness(state, now, out)


def _handle_timer(state: HostState, event: TimerFired, out: list[Effect]) -> None:
    now = event.now
    match event.timer:
        case CallDeadline(call_id=call_id):
            expire_call(state, call_id, now, out)
        case HeartbeatDue():
            _run_heartbeat(state, now, out)
        case IntentsPollDue():
            start_poll(state, out)
        case ProbesDue():
            run_probing(state, now, out)
        case IsolationCheckDue():
            check_isolation(state, now, out)
        case ShutdownCheckDue():
            run_shutdown_check(state, now, out)
        case OrderRetry(request_id=request_id):
            handle_order_retry(state, request_id, now, out)
        case HedgeDue(call_id=call_id):
            handle_hedge_due(state, call_id, now, out)
        case SpareNoticeDue(service=name):
            service = state.services.get(name)
            if service is not None:
                handle_spare_notice_due(state, service, now, out)
        case (
            SlowServersAllowedDue(service=name)
            | PauseDue(service=name)
            | QueueReviewDue(service=name)
        ):
            service = state.services.get(name)
            if service is not None:
                dispatch_queued_calls(state, service, now, out)
        case SlotResponseDue(call_id=call_id):
            handle_slot_response_due(state, call_id, now, out)
        case SpeedCheckDue() as timer:
            expire_check(state, timer, now, out)
        case CreditsDue():
            run_credit_requests(state, now, out)
        case CreditTransferDue():
            send_transfer_requests(state, now, out)
        case RelayDue():
            run_relay(state, now, out)
        case HeldEntryExpiryDue():
            expire_held_servers(state, now, out)
        case ClaimsDue(shard=shard):
            handle_shard_timer(state, shard, now, out)
        case ClaimRetry(call_id=call_id):
            handle_claim_retry(state, call_id, now, out)
        case ClaimEndResendDue():
            resend_claim_ends(state, now, out)


def _handle_message(
    state: HostState, event: MessageReceived, out: list[Effect]
) -> None:
    match event.message:
        case Heartbeat() as message:
            handle_heartbeat(state, event, message, out)
            compare_evacuations(state, message.host, message.evacuations, out)
            send_soft_state(state, event.sender, message.incarnation, event.now, out)
        case MembersNotice() as message:
            handle_members_notice(state, event, message, out)
        case IntentsNotice() as message:
            previous = state.intents.revision
            handle_intents_notice(state, event, message, out)
            if can_revoke_keys(state) and state.intents.revision > previous > 0:
                pass_on_intents(state, event.sender, out)
        case IntentsRequest() as message:
            handle_intents_request(state, message, out)
        case SpareNotice() as message:
            handle_spare_notice(state, message, event.sender, event.now, out)
        case ClaimRequest() | ClaimReply() | ClaimEnd() | ClaimEndAck() as message:
            handle_claim_message(state, event.sender, message, event.now, out)
        case CrashReport() as message:
            handle_crash_report(state, message, event.now, out)
        case QuarantineRelease() as message:
            handle_quarantine_release(state, message)
        case ServerNotice() as message if state.settings.servers_register:
            handle_registered_leaving(state, message, event.sender, event.now, out)
        case ServerNotice() as message:
            handle_declared_leaving(state, message, event.now, out)
        case RateLimitNotice() as message:
            handle_rate_limit_notice(state, message, event.sender, event.now, out)
        case WarmupNotice() as message:
            handle_warmup_notice(state, message, event.sender, event.now, out)
        case CreditRequest() as message:
            handle_credit_request(state, message, event.sender, event.now, out)
        case CreditGrant() as message:
            handle_credit_grant(state, message, event.sender, event.now, out)
        case SlotRequest() as message:
            handle_slot_request(state, message, event.now, out)
        case SlotGrant() as message:
            handle_slot_grant(state, message, event.sender, event.now, out)
        case SlotQueued() as message:
            handle_slot_queued(state, message, event.sender, event.now, out)
        case SlotRefusal() as message:
            handle_slot_refusal(state, message, event.sender, event.now, out)
        case SlotEnd() as message:
            handle_slot_end(state, message, event.now, out)
        case ServersNotice() as message:
            handle_servers_notice(state, message, event.sender, event.now, out)
            update_readiness(state, event.now, out)
        case ServersRequest() as message:
            handle_servers_request(state, message, event.now, out)
        case EvacuationsNotice() as message:
            handle_evacuations_notice(state, message, event.sender, event.now, out)
        case RelayReport() as message:
            handle_relay_report(state, message, event.now, out)
