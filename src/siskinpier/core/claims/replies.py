"""Replies of a shard's owner to the hosts that request claims."""

from ..cluster.members import is_believed_alive
from ..effects import Effect, LogDecision, SendMessage
from ..state import HostState
from .messages import (
    ClaimEndAck,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    KeptReply,
)
from .state import Holder, PendingMessage, Shard, add_bounded


def grant_claim(
    state: HostState,
    shard: Shard,
    item: PendingMessage,
    message: ClaimRequest,
    out: list[Effect],
) -> None:
    """Grant the only dispatch of a committed claim."""
    holder = Holder(host=item.sender, incarnation=message.incarnation)
    shard.holders[message.claim] = holder
    send_claim_reply(state, item, ClaimOutcome.GRANTED, None, out)
    fields: dict[str, object] = {"call": message.call_id, "host": item.sender}
    out.append(LogDecision(event="claim-grant", fields=fields))


def send_claim_reply(
    state: HostState,
    item: PendingMessage,
    outcome: ClaimOutcome,
    kept: KeptReply | None,
    out: list[Effect],
) -> None:
    """Send the result of a claim request to its sender."""
    if not isinstance(item.message, ClaimRequest):
        return
    message = ClaimReply(
        call_id=item.message.call_id,
        incarnation=item.message.incarnation,
        outcome=outcome,
        kept=kept if outcome is ClaimOutcome.REPLAY else None,
    )
    _send(state, item.sender, message, out)


def send_end_ack(
    state: HostState, item: PendingMessage, call_id: str, out: list[Effect]
) -> None:
    """Confirm to a host that the end of its call was processed."""
    if item.sender:
        _send(state, item.sender, ClaimEndAck(call_id=call_id), out)


def refuse_request(
    state: HostState, shard: Shard, item: PendingMessage, now: float, out: list[Effect]
) -> None:
    """Refuse an ungranted request, whose entry may still be stored later."""
    claim, call_id = item.message.claim, item.message.call_id
    if item.grant in shard.abandoned_grants:
        return
    outcome = ClaimOutcome.UNAVAILABLE
    if not shard.is_loaded:
        outcome = ClaimOutcome.NOT_LOOKED_UP
    add_bounded(shard.abandoned_grants, item.grant, None)
    add_bounded(shard.refused_calls, call_id, None)
    if shard.pending.get(claim) is item:
        del shard.pending[claim]
    shard.deferred = [other for other in shard.deferred if other is not item]
    send_claim_reply(state, item, outcome, None, out)


def is_holder_live(state: HostState, holder: Holder | None, now: float) -> bool:
    """Return True if the holder's host is alive and has not restarted since."""
    if holder is None:
        return False
    own = state.identity
    if holder.host == own.name:
        return holder.incarnation == own.incarnation
    member = state.members.get(holder.host)
    if member is None or member.last_heard is None:
        return False
    is_alive = is_believed_alive(member, now)
    return member.incarnation == holder.incarnation and is_alive


def _send(
    state: HostState, host: str, message: ClaimReply | ClaimEndAck, out: list[Effect]
) -> None:
    if host == state.identity.name:
        state.claims.local_messages.append(message)
        return
    member = state.members.get(host)
    if member is not None:
        out.append(SendMessage(host=host, address=member.peers, message=message))
