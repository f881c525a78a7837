"""A shard's owner: commits claims in groups and grants their dispatch.

Any host that receives a request acts as owner. Ownership is an optimization, and
correctness does not depend on it: a claim exists only through a conditional
update of the shard's object, so two owners at once, or an owner that resumes
after a pause, get a conflict instead of granting a claim twice.

An entry is removed from the object in three cases: its call was reported as never
to run, this owner committed it and never granted it, or it has expired.
"""

from typing import Final

from ..effects import Effect, LogDecision, ReadObject
from ..events import ObjectRead, ObjectWritten
from ..platform_results import (
    CLAIMS,
    ObjectMissing,
    StoredObject,
    Unavailable,
    VersionConflict,
    WriteAccepted,
    WriteOutcomeUnknown,
)
from ..state import HostState
from .commits import MIN_TIMER_DELAY_S, apply_written_group, flush_shard, write_slot
from .message_processing import (
    process_end,
    process_request,
    process_waiting,
    refuse_waiting,
)
from .messages import (
    ClaimEnd,
    ClaimOutcome,
    ClaimRequest,
)
from .platform_requests import (
    PLATFORM_SLOW_S,
    read_shard,
    schedule_shard_timer,
    start_platform_request,
)
from .replies import is_holder_live, refuse_request, send_claim_reply
from .segments import (
    SLOT_COUNT,
    Loading,
    Sealing,
    decode_segment,
    decode_segments,
    get_slot_name,
    is_slot_expired,
    make_segment,
)
from .shard import (
    apply_loading,
    apply_sealing,
    make_commit_id,
    merge_stored,
)
from .state import PendingMessage, Shard
from .store import (
    decode_entries,
)

# Claim requests that waited this long are refused.
REQUEST_TIMEOUT_S: Final = 2.5
# How long no sealing is started after a failed one.
SEAL_RETRY_DELAY_S: Final = 5.0


def handle_claim_request(
    state: HostState, sender: str, message: ClaimRequest, now: float, out: list[Effect]
) -> None:
    """Handle a request for a claim."""
    shard = _get_shard(state, message.shard)
    item = PendingMessage(
        sender=sender, received_at=now, message=message, grant=make_commit_id(state)
    )
    process_request(state, shard, item, message, now, out)
    flush_shard(state, shard, now, out)


def handle_claim_end(
    state: HostState, sender: str, message: ClaimEnd, now: float, out: list[Effect]
) -> None:
    """Handle the end of a call that held a claim or gave up waiting for one."""
    shard = _get_shard(state, message.shard)
    item = PendingMessage(sender=sender, received_at=now, message=message)
    process_end(state, shard, item, message, now, out)
    flush_shard(state, shard, now, out)


def handle_shard_read(state: HostState, event: ObjectRead, out: list[Effect]) -> None:
    """Handle a read of a shard's object, and process what waited for it."""
    shard = _find_shard_by_request(state, event.request_id)
    if shard is None:
        return
    shard.request_id = None
    now = event.now
    sealing = shard.sealing
    if sealing is not None and sealing.request_id == event.request_id:
        _handle_slot_read(state, shard, sealing, event, out)
        return
    match event.result:
        case StoredObject() as stored:
            if not _add_loaded_part(shard, stored):
                fields: dict[str, object] = {"shard": shard.number}
                out.append(LogDecision(event="claims-invalid", fields=fields))
                refuse_waiting(state, shard, now, out)
                return
        case ObjectMissing() if shard.loading is None:
            merge_stored(shard, {}, None)
        case _:
            shard.loading = None
            refuse_waiting(state, shard, now, out)
            return
    if shard.loading is not None:
        segment = shard.loading.find_unread()
        if segment is not None:
            name = get_slot_name(shard.number, segment.slot)
            request_id = start_platform_request(state, shard, now, out)
            out.append(ReadObject(request_id=request_id, kind=CLAIMS, name=name))
            return
        apply_loading(shard, shard.loading)
        shard.loading = None
    shard.platform_down_until = 0.0
    process_waiting(state, shard, now, out)
    flush_shard(state, shard, now, out)


def _add_loaded_part(shard: Shard, stored: StoredObject) -> bool:
    """Add the head or one of its segments; return False when it is invalid."""
    loading = shard.loading
    if loading is None:
        entries = decode_entries(stored.spec)
        segments = decode_segments(stored.spec)
        if entries is None or segments is None:
            return False
        loading = Loading(version=stored.version, entries=entries, segments=segments)
        for slot, segment in segments.items():
            if shard.segments.get(slot) == segment:
                loading.sealed[slot] = shard.sealed[slot]
        shard.loading = loading
        return True
    missing = loading.find_unread()
    sealed = decode_segment(stored.spec, missing) if missing is not None else None
    if missing is None or sealed is None:
        # The head changed while its segments were being read.
        shard.loading = None
        return False
    loading.sealed[missing.slot] = sealed
    return True


def _handle_slot_read(
    state: HostState,
    shard: Shard,
    sealing: Sealing,
    event: ObjectRead,
    out: list[Effect],
) -> None:
    """Overwrite an expired slot, or try the next slot."""
    match event.result:
        case StoredObject(version=version, spec=spec) if is_slot_expired(
            spec, event.now
        ):
            write_slot(state, shard, sealing, version, event.now, out)
        case StoredObject() if sealing.tries < SLOT_COUNT:
            sealing.tries += 1
            slot = sealing.segment.slot + 1
            sealing.segment = make_segment(slot, sealing.segment.seal, sealing.entries)
            write_slot(state, shard, sealing, None, event.now, out)
        case _:
            shard.sealing = None
            shard.next_seal_at = event.now + SEAL_RETRY_DELAY_S
            flush_shard(state, shard, event.now, out)


def _handle_slot_written(
    state: HostState,
    shard: Shard,
    sealing: Sealing,
    event: ObjectWritten,
    out: list[Effect],
) -> None:
    match event.result:
        case WriteAccepted():
            sealing.is_written = True
            sealing.request_id = ""
        case VersionConflict():
            sealing.request_id = start_platform_request(state, shard, event.now, out)
            name = get_slot_name(shard.number, sealing.segment.slot)
            out.append(
                ReadObject(request_id=sealing.request_id, kind=CLAIMS, name=name)
            )
            return
        case _:
            # Written or not, a slot that is not listed in the head has no effect.
            shard.sealing = None
            shard.next_seal_at = event.now + SEAL_RETRY_DELAY_S
    flush_shard(state, shard, event.now, out)


def handle_shard_written(
    state: HostState, event: ObjectWritten, out: list[Effect]
) -> None:
    """Handle the result of an update; grant only what is known to be committed."""
    shard = _find_shard_by_request(state, event.request_id)
    if shard is None:
        return
    shard.request_id = None
    now = event.now
    sealing = shard.sealing
    if sealing is not None and sealing.request_id == event.request_id:
        _handle_slot_written(state, shard, sealing, event, out)
        return
    match event.result:
        case WriteAccepted(version=version):
            shard.version = version
            shard.platform_down_until = 0.0
            apply_written_group(state, shard, now, out)
            apply_sealing(shard)
            process_waiting(state, shard, now, out)
            flush_shard(state, shard, now, out)
        case VersionConflict() | WriteOutcomeUnknown():
            # Each entry carries its commit id, so a read shows what was written.
            shard.is_loaded = False
            read_shard(state, shard, now, out)
        case Unavailable():
            refuse_waiting(state, shard, now, out)


def handle_shard_timer(
    state: HostState, number: int, now: float, out: list[Effect]
) -> None:
    """Write the pending group, and refuse requests that waited too long."""
    shard = _get_shard(state, number)
    shard.timer_at = None
    waiting = [*shard.writing.values(), *shard.pending.values(), *shard.deferred]
    overdue = [
        item
        for item in waiting
        if isinstance(item.message, ClaimRequest)
        and now - item.received_at >= REQUEST_TIMEOUT_S
    ]
    for item in overdue:
        refuse_request(state, shard, item, now, out)
    if len(overdue) < len(waiting):
        schedule_shard_timer(shard, now + PLATFORM_SLOW_S, now, out)
    if shard.has_unwritten_endings:
        schedule_shard_timer(
            shard, max(shard.write_endings_by, now + MIN_TIMER_DELAY_S), now, out
        )
    flush_shard(state, shard, now, out)


def flush_shards(state: HostState, now: float, out: list[Effect]) -> None:
    """Write the endings held in memory only, because this host is shutting down."""
    for shard in state.claims.shards.values():
        shard.write_endings_by = min(shard.write_endings_by, now)
        flush_shard(state, shard, now, out)


def has_unwritten_changes(state: HostState, now: float) -> bool:
    """Return True while a shard with unwritten changes can be written."""
    return any(
        now >= shard.platform_down_until
        and (shard.has_unwritten_endings or shard.pending or shard.writing)
        for shard in state.claims.shards.values()
    )


def answer_orphaned_requests(state: HostState, now: float, out: list[Effect]) -> None:
    """Answer requests that joined a call whose host is silent or restarted."""
    for shard in state.claims.shards.values():
        for claim in list(shard.joined_requests):
            if is_holder_live(state, shard.holders.get(claim), now):
                continue
            for item in shard.joined_requests.pop(claim):
                send_claim_reply(state, item, ClaimOutcome.MAY_HAVE_RUN, None, out)


def _get_shard(state: HostState, number: int) -> Shard:
    return state.claims.shards.setdefault(number, Shard(number=number))


def _find_shard_by_request(state: HostState, request_id: str) -> Shard | None:
    for shard in state.claims.shards.values():
        if shard.request_id == request_id:
            return shard
    return None
