"""Writes of a shard: group commits by conditional updates."""

from dataclasses import replace
from typing import Final

from ..effects import Effect, LogDecision, WriteObject
from ..platform_results import (
    CLAIMS,
)
from ..state import HostState
from .messages import (
    ClaimEnd,
    ClaimRequest,
)
from .platform_requests import (
    get_object_name,
    schedule_shard_timer,
    start_platform_request,
)
from .replies import grant_claim, send_end_ack
from .segments import (
    SEAL_THRESHOLD_BYTES,
    Sealing,
    encode_head,
    encode_segment,
    get_settled_entries,
    get_slot_name,
    make_segment,
    remove_sealed,
)
from .shard import (
    apply_change,
    estimate_size_bytes,
    make_commit_id,
    remove_expired,
)
from .state import Shard
from .store import (
    SHARD_COUNT,
    find_owner,
)

# Share of the platform's write budget that claims may use.
CLAIM_WRITE_SHARE: Final = 0.8
# Minimum delay of a timer, so that it does not fire again at once.
MIN_TIMER_DELAY_S: Final = 0.001


def flush_shard(state: HostState, shard: Shard, now: float, out: list[Effect]) -> None:
    """Write the pending group unless a request is in flight or the budget is spent."""
    are_endings_due = shard.has_unwritten_endings and now >= shard.write_endings_by
    if shard.request_id is not None or not shard.is_loaded:
        return
    if not shard.pending and not are_endings_due:
        return
    claims = state.claims
    claims.writes.rate = _compute_write_rate(state)
    wait_s = shard.platform_down_until - now
    if wait_s <= 0 and not claims.writes.take(now):
        wait_s = (1.0 - claims.writes.tokens) / claims.writes.rate
    if wait_s > 0:
        schedule_shard_timer(shard, now + max(wait_s, MIN_TIMER_DELAY_S), now, out)
        return
    remove_expired(shard, now)
    if _start_sealing(state, shard, now, out):
        return
    shard.writing, shard.pending = shard.pending, {}
    shard.has_unwritten_endings = False
    entries = dict(shard.entries)
    for claim, item in shard.writing.items():
        apply_change(shard, claim, item, entries)
    segments = dict(shard.segments)
    sealing = shard.sealing
    if sealing is not None and sealing.is_written:
        sealing.is_listed = True
        segments[sealing.segment.slot] = sealing.segment
        remove_sealed(entries, sealing)
    spec = encode_head(entries, segments)
    request_id = start_platform_request(state, shard, now, out)
    out.append(
        WriteObject(
            request_id=request_id,
            kind=CLAIMS,
            name=get_object_name(shard),
            spec=spec,
            expected_version=shard.version,
        )
    )
    fields: dict[str, object] = {"shard": shard.number, "group": len(shard.writing)}
    out.append(LogDecision(event="claims-write", fields=fields))


def apply_written_group(
    state: HostState, shard: Shard, now: float, out: list[Effect]
) -> None:
    """Apply a group that is known to be stored, and answer its senders."""
    group, shard.writing = shard.writing, {}
    for claim, item in group.items():
        apply_change(shard, claim, item)
        match item.message:
            case ClaimRequest() as message if item.grant not in shard.abandoned_grants:
                grant_claim(state, shard, item, message, out)
            case ClaimEnd(call_id=call_id):
                send_end_ack(state, item, call_id, out)
                shard.holders.pop(claim, None)
                # The key is free again, so the requests that joined may claim it.
                shard.deferred.extend(
                    replace(waiter, received_at=now, grant=make_commit_id(state))
                    for waiter in shard.joined_requests.pop(claim, [])
                )
            case _:
                pass


def _start_sealing(
    state: HostState, shard: Shard, now: float, out: list[Effect]
) -> bool:
    """Start moving settled claims to a slot; return False if it is not needed."""
    if shard.sealing is not None or now < shard.next_seal_at:
        return False
    if estimate_size_bytes(shard) <= SEAL_THRESHOLD_BYTES:
        return False
    entries = get_settled_entries(shard.entries)
    if 2 * len(entries) < len(shard.entries):
        return False
    slot = max(shard.segments, default=-1) + 1
    segment = make_segment(slot, make_commit_id(state), entries)
    shard.sealing = Sealing(segment=segment, entries=entries)
    write_slot(state, shard, shard.sealing, None, now, out)
    return True


def write_slot(
    state: HostState,
    shard: Shard,
    sealing: Sealing,
    version: str | None,
    now: float,
    out: list[Effect],
) -> None:
    """Write settled claims to a slot's object."""
    sealing.request_id = start_platform_request(state, shard, now, out)
    out.append(
        WriteObject(
            request_id=sealing.request_id,
            kind=CLAIMS,
            name=get_slot_name(shard.number, sealing.segment.slot),
            spec=encode_segment(sealing),
            expected_version=version,
        )
    )


def _compute_write_rate(state: HostState) -> float:
    """Return this host's share of the write budget, in updates per second.

    The share is proportional to the number of owned shards, which differs by host.
    """
    claims = state.claims
    if claims.write_share_view != state.live or claims.write_share == 0.0:
        own = state.identity.name
        owners = [find_owner(number, state.live) for number in range(SHARD_COUNT)]
        claims.write_share = max(1, owners.count(own)) / SHARD_COUNT
        claims.write_share_view = state.live
    rate = state.settings.platform_writes_per_second
    return rate * CLAIM_WRITE_SHARE * claims.write_share
