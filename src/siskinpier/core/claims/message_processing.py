"""Processing of messages for a shard: new claims, known keys and ends of calls."""

from typing import Final

from ..effects import Effect, LogDecision
from ..state import HostState
from .messages import (
    ClaimEnd,
    ClaimEnding,
    ClaimOutcome,
    ClaimRequest,
)
from .platform_requests import PLATFORM_SLOW_S, read_shard, schedule_shard_timer
from .replies import (
    grant_claim,
    is_holder_live,
    refuse_request,
    send_claim_reply,
    send_end_ack,
)
from .shard import (
    estimate_size_bytes,
    find_entry,
    free_space,
    record_ending,
)
from .state import Holder, PendingMessage, Shard, add_bounded
from .store import (
    ENTRY_BYTES,
    OBJECT_LIMIT_BYTES,
    Entry,
    EntryState,
)

# How long the platform counts as down after a request to it failed.
PLATFORM_RETRY_DELAY_S: Final = 0.5
# Ends of calls are kept in memory for up to this time and then written together.
ENDING_WRITE_DELAY_S: Final = 5.0


def process_request(
    state: HostState,
    shard: Shard,
    item: PendingMessage,
    message: ClaimRequest,
    now: float,
    out: list[Effect],
) -> None:
    """Grant, answer or queue a request for a claim."""
    claim, call_id = message.claim, message.call_id
    if not shard.is_loaded and now < shard.platform_down_until:
        _answer_from_memory(state, shard, item, message, now, out)
        return
    if not shard.is_loaded:
        _defer(shard, item)
        read_shard(state, shard, now, out)
        return
    scheduled = shard.writing.get(claim) or shard.pending.get(claim)
    if scheduled is not None:
        if scheduled.message.call_id != call_id or not isinstance(
            scheduled.message, ClaimRequest
        ):
            _defer(shard, item)
        return
    entry = find_entry(shard, claim)
    if entry is not None and entry.expires <= now and claim not in shard.holders:
        entry = None
    if entry is None:
        _process_new_claim(state, shard, item, message, now, out)
        return
    if entry.grant == item.grant:
        grant_claim(state, shard, item, message, out)
        return
    outcome = _evaluate_known_claim(state, shard, entry, item, message, now)
    send_claim_reply(state, item, outcome, entry.kept, out)


def process_end(
    state: HostState,
    shard: Shard,
    item: PendingMessage,
    message: ClaimEnd,
    now: float,
    out: list[Effect],
) -> None:
    """Record the end of a call, or queue its release."""
    claim, call_id = message.claim, message.call_id
    _remove_waiting_requests(shard, claim, call_id)
    pending = shard.pending.get(claim)
    if (
        pending is not None
        and pending.message.call_id == call_id
        and isinstance(pending.message, ClaimRequest)
    ):
        del shard.pending[claim]
        # An update with an unknown result may contain the request and take effect.
        add_bounded(shard.abandoned_grants, pending.grant, None)
        send_end_ack(state, item, call_id, out)
        process_waiting(state, shard, now, out)
        return
    if not shard.is_loaded:
        if now >= shard.platform_down_until:
            _defer(shard, item)
            read_shard(state, shard, now, out)
        return
    if claim in shard.writing or claim in shard.pending:
        _defer(shard, item)
        return
    entry = shard.entries.get(claim)
    if entry is None or entry.call_id != call_id:
        send_end_ack(state, item, call_id, out)
    elif message.ending is ClaimEnding.RELEASED:
        if entry.state is EntryState.CLAIMED:
            shard.pending[claim] = item
        else:
            send_end_ack(state, item, call_id, out)
    else:
        _finish_call(state, shard, entry, message, now, out)
        send_end_ack(state, item, call_id, out)


def process_waiting(
    state: HostState, shard: Shard, now: float, out: list[Effect]
) -> None:
    """Process again, in order, all messages that waited for the shard's object."""
    waiting = [*shard.writing.values(), *shard.pending.values(), *shard.deferred]
    shard.writing, shard.pending, shard.deferred = {}, {}, []
    for item in waiting:
        match item.message:
            case ClaimRequest() as message if item.grant not in shard.abandoned_grants:
                process_request(state, shard, item, message, now, out)
            case ClaimEnd() as message if item.sender:
                process_end(state, shard, item, message, now, out)
            case _:
                pass
    _release_abandoned(shard, now)


def refuse_waiting(
    state: HostState, shard: Shard, now: float, out: list[Effect]
) -> None:
    """Refuse all waiting requests because the platform is unavailable."""
    shard.platform_down_until = now + PLATFORM_RETRY_DELAY_S
    for item in [*shard.writing.values(), *shard.pending.values(), *shard.deferred]:
        if isinstance(item.message, ClaimRequest):
            refuse_request(state, shard, item, now, out)
    shard.writing, shard.pending, shard.deferred = {}, {}, []
    out.append(LogDecision(event="claims-down", fields={"shard": shard.number}))


def _answer_from_memory(
    state: HostState,
    shard: Shard,
    item: PendingMessage,
    message: ClaimRequest,
    now: float,
    out: list[Effect],
) -> None:
    """Answer while the object cannot be read; entries once read remain valid."""
    entry = find_entry(shard, message.claim)
    if entry is None or message.claim in shard.pending:
        send_claim_reply(state, item, ClaimOutcome.NOT_LOOKED_UP, None, out)
        return
    outcome = _evaluate_known_claim(state, shard, entry, item, message, now)
    send_claim_reply(state, item, outcome, entry.kept, out)


def _process_new_claim(
    state: HostState,
    shard: Shard,
    item: PendingMessage,
    message: ClaimRequest,
    now: float,
    out: list[Effect],
) -> None:
    is_slow = (
        shard.request_id is not None
        and now - shard.request_started_at > PLATFORM_SLOW_S
    )
    if (
        now < shard.platform_down_until
        or is_slow
        or message.call_id in shard.refused_calls
    ):
        send_claim_reply(state, item, ClaimOutcome.UNAVAILABLE, None, out)
        return
    needed = (len(shard.pending) + 1) * ENTRY_BYTES
    if estimate_size_bytes(shard) + needed > OBJECT_LIMIT_BYTES and not free_space(
        shard, needed, now
    ):
        send_claim_reply(state, item, ClaimOutcome.FULL, None, out)
        return
    shard.pending[message.claim] = item


def _evaluate_known_claim(
    state: HostState,
    shard: Shard,
    entry: Entry,
    item: PendingMessage,
    message: ClaimRequest,
    now: float,
) -> ClaimOutcome:
    """Return the result for a claimed key; join its call while that runs."""
    holder = shard.holders.get(message.claim)
    if entry.fingerprint != message.fingerprint:
        return ClaimOutcome.MISMATCH
    if entry.call_id == message.call_id:
        requester = Holder(host=item.sender, incarnation=message.incarnation)
        # The grant may have been lost; a host acts on a repeated grant only once.
        return ClaimOutcome.GRANTED if holder == requester else ClaimOutcome.FOUND_OWN
    if entry.state is not EntryState.CLAIMED:
        return _get_settled_outcome(entry)
    if not is_holder_live(state, holder, now):
        return ClaimOutcome.MAY_HAVE_RUN
    joined = shard.joined_requests.setdefault(message.claim, [])
    if all(request.message.call_id != message.call_id for request in joined):
        joined.append(item)
    return ClaimOutcome.JOINED


def _finish_call(
    state: HostState,
    shard: Shard,
    entry: Entry,
    message: ClaimEnd,
    now: float,
    out: list[Effect],
) -> None:
    settled = record_ending(shard, entry, message)
    shard.holders.pop(message.claim, None)
    if not shard.has_unwritten_endings:
        shard.has_unwritten_endings = True
        shard.write_endings_by = now + ENDING_WRITE_DELAY_S
        schedule_shard_timer(shard, shard.write_endings_by, now, out)
    outcome = _get_settled_outcome(settled)
    for waiter in shard.joined_requests.pop(message.claim, []):
        send_claim_reply(state, waiter, outcome, settled.kept, out)


def _get_settled_outcome(entry: Entry) -> ClaimOutcome:
    if entry.kept is not None:
        return ClaimOutcome.REPLAY
    if entry.state is EntryState.RAN:
        return ClaimOutcome.RAN
    return ClaimOutcome.MAY_HAVE_RUN


def _release_abandoned(shard: Shard, now: float) -> None:
    """Release stored entries that this owner wrote and will never grant."""
    if not shard.abandoned_grants:
        return
    for claim, entry in shard.entries.items():
        if entry.grant in shard.abandoned_grants and claim not in shard.pending:
            # After a conflict, `process_waiting` drops releases without a sender, and
            # this function makes them again from the entries that were read.
            message = ClaimEnd(
                call_id=entry.call_id,
                shard=shard.number,
                claim=claim,
                ending=ClaimEnding.RELEASED,
            )
            shard.pending[claim] = PendingMessage(
                sender="", received_at=now, message=message
            )


def _remove_waiting_requests(shard: Shard, claim: str, call_id: str) -> None:
    shard.deferred = [
        item
        for item in shard.deferred
        if item.message.call_id != call_id or isinstance(item.message, ClaimEnd)
    ]
    if claim in shard.joined_requests:
        shard.joined_requests[claim] = [
            item
            for item in shard.joined_requests[claim]
            if item.message.call_id != call_id
        ]


def _defer(shard: Shard, item: PendingMessage) -> None:
    key = (type(item.message), item.message.call_id)
    if all((type(p.message), p.message.call_id) != key for p in shard.deferred):
        shard.deferred.append(item)
