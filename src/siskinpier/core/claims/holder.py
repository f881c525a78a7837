"""The holder's side of claims: requests to the shard's owner and ends of calls.

The entry host requests the claim before any dispatch or forward. It dispatches a
call only while the call still waits for its grant, and has the claim released
only when it is certain that the call was not sent and never will be.
"""

from typing import Final

from ..effects import ClearTimer, Effect, SendMessage, SetTimer
from ..routing.calls import ActiveCall, Stage
from ..state import HostState
from ..timers import ClaimEndResendDue, ClaimRetry
from ..verdict import Verdict
from .messages import (
    ClaimEnd,
    ClaimEndAck,
    ClaimEnding,
    ClaimMessage,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    KeptReply,
)
from .state import ClaimDecision, HeldClaim, UnconfirmedEnd, add_bounded
from .store import compute_shard, find_owner, make_claim_id

KEY_LIMIT_CHARS: Final = 255
# Intervals at which an unanswered request, and one that joined a call, are resent.
REQUEST_RETRY_INTERVAL_S: Final = 0.4
JOINED_RETRY_INTERVAL_S: Final = 1.0
# Longer than the silence after which another host takes over as the owner.
OWNER_TIMEOUT_S: Final = 4.0
# Unconfirmed ends are resent at this interval, until the timeout.
END_RETRY_INTERVAL_S: Final = 0.5
END_TIMEOUT_S: Final = 30.0
# A claim is kept this long after its call's deadline, whatever the key age is.
TTL_MARGIN_S: Final = 60.0


def needs_claim(active: ActiveCall) -> bool:
    """Return True if the call may only be sent with a claim."""
    call = active.call
    return not active.idempotent and call.key is not None and not call.claimed


def has_valid_key(active: ActiveCall) -> bool:
    """Return True if the call's key is neither empty nor too long."""
    key = active.call.key
    return key is not None and 0 < len(key) <= KEY_LIMIT_CHARS


def start_claim(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Request the claim of a call that just arrived."""
    call = active.call
    claim = make_claim_id(call.service, call.caller, call.key or "")
    active.stage = Stage.CLAIMING
    held = HeldClaim(
        active=active, shard=compute_shard(claim), claim=claim, requested_at=now
    )
    state.claims.held[call.call_id] = held
    _send_request(state, held, now, out)


def handle_claim_retry(
    state: HostState, call_id: str, now: float, out: list[Effect]
) -> None:
    """Request a claim again, or give up when no owner answers in time."""
    held = state.claims.held.get(call_id)
    if held is None or held.granted:
        return
    if not held.is_joined and now - held.requested_at >= OWNER_TIMEOUT_S:
        _record_decision(state, held, ClaimOutcome.SILENT, None, out)
        return
    _send_request(state, held, now, out)


def handle_claim_reply(
    state: HostState, message: ClaimReply, now: float, out: list[Effect]
) -> None:
    """Handle an owner's answer.

    Late answers are ignored. But if a claim is granted after its call gave up waiting,
    the end of the call is sent again, so that the owner can settle the claim.
    """
    if message.incarnation != state.identity.incarnation:
        return
    held = state.claims.held.get(message.call_id)
    if held is None:
        abandoned_end = state.claims.abandoned_ends.get(message.call_id)
        if abandoned_end is not None and message.outcome is ClaimOutcome.GRANTED:
            _send_end(state, abandoned_end, now, out)
        return
    if held.granted:
        return
    if message.outcome is ClaimOutcome.JOINED:
        held.is_joined = True
        return
    _record_decision(state, held, message.outcome, message.kept, out)


def handle_claim_end_ack(state: HostState, message: ClaimEndAck) -> None:
    """Stop sending the end of a call."""
    state.claims.unconfirmed_ends.pop(message.call_id, None)


def resend_claim_ends(state: HostState, now: float, out: list[Effect]) -> None:
    """Resend unconfirmed ends; if none arrives, the claim stays until it expires."""
    unconfirmed_ends = state.claims.unconfirmed_ends
    for call_id, item in list(unconfirmed_ends.items()):
        if now - item.first_sent_at >= END_TIMEOUT_S:
            del unconfirmed_ends[call_id]
            continue
        _send_to_owner(state, item.message.shard, item.message, out)
    if unconfirmed_ends:
        out.append(SetTimer(timer=ClaimEndResendDue(), at=now + END_RETRY_INTERVAL_S))


def end_claim(
    state: HostState,
    held: HeldClaim,
    verdict: Verdict,
    kept: KeptReply | None,
    now: float,
    out: list[Effect],
) -> None:
    """Report to the owner how a call ended that held a claim or waited for one."""
    call_id = held.active.call.call_id
    del state.claims.held[call_id]
    out.append(ClearTimer(timer=ClaimRetry(call_id=call_id)))
    ending = ClaimEnding.MAY_HAVE_RUN
    if verdict is Verdict.NOT_RUN:
        ending = ClaimEnding.RELEASED
    elif verdict is Verdict.RAN:
        ending = ClaimEnding.RAN
    message = ClaimEnd(
        call_id=call_id,
        shard=held.shard,
        claim=held.claim,
        ending=ending,
        kept=None if ending is ClaimEnding.RELEASED else kept,
    )
    if not held.granted:
        add_bounded(state.claims.abandoned_ends, call_id, message)
    _send_end(state, message, now, out)


def _record_decision(
    state: HostState,
    held: HeldClaim,
    outcome: ClaimOutcome,
    kept: KeptReply | None,
    out: list[Effect],
) -> None:
    call_id = held.active.call.call_id
    held.granted = outcome is ClaimOutcome.GRANTED
    out.append(ClearTimer(timer=ClaimRetry(call_id=call_id)))
    decision = ClaimDecision(call_id=call_id, outcome=outcome, kept=kept)
    state.claims.decisions.append(decision)


def _send_request(
    state: HostState, held: HeldClaim, now: float, out: list[Effect]
) -> None:
    call = held.active.call
    service = state.services.get(call.service)
    key_age_s = service.intent.key_age_s if service is not None else 0.0
    message = ClaimRequest(
        call_id=call.call_id,
        incarnation=state.identity.incarnation,
        shard=held.shard,
        claim=held.claim,
        fingerprint=call.fingerprint,
        keep_s=max(key_age_s, call.deadline - now + TTL_MARGIN_S),
    )
    _send_to_owner(state, held.shard, message, out)
    retry_delay_s = (
        JOINED_RETRY_INTERVAL_S if held.is_joined else REQUEST_RETRY_INTERVAL_S
    )
    timer = ClaimRetry(call_id=call.call_id)
    out.append(SetTimer(timer=timer, at=now + retry_delay_s))


def _send_end(
    state: HostState, message: ClaimEnd, now: float, out: list[Effect]
) -> None:
    unconfirmed_ends = state.claims.unconfirmed_ends
    if not unconfirmed_ends:
        out.append(SetTimer(timer=ClaimEndResendDue(), at=now + END_RETRY_INTERVAL_S))
    unconfirmed_ends[message.call_id] = UnconfirmedEnd(
        message=message, first_sent_at=now
    )
    _send_to_owner(state, message.shard, message, out)


def _send_to_owner(
    state: HostState, shard: int, message: ClaimMessage, out: list[Effect]
) -> None:
    own = state.identity.name
    owner = find_owner(shard, state.live or (own,))
    if owner == own or owner is None:
        state.claims.local_messages.append(message)
        return
    member = state.members.get(owner)
    if member is not None:
        out.append(SendMessage(host=owner, address=member.peers, message=message))
