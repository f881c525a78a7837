"""Changes to the entries of one shard in memory."""

from dataclasses import replace
from typing import Final

import xxhash

from ..state import HostState
from .messages import ClaimEnd, ClaimEnding, ClaimRequest
from .segments import Loading, remove_sealed
from .state import PendingMessage, Shard
from .store import (
    ENTRY_BYTES,
    OBJECT_LIMIT_BYTES,
    STORED_REPLY_LIMIT_BYTES,
    Entry,
    EntryState,
)

# Replies over the stored size limit are kept in memory only, this many per shard.
MAX_LARGE_REPLIES: Final = 64


def make_commit_id(state: HostState) -> str:
    """Return a commit id that is unique over all hosts and their incarnations."""
    state.claims.sequence += 1
    own = state.identity
    text = f"{own.name}\0{own.incarnation}\0{state.claims.sequence}"
    return xxhash.xxh3_64_hexdigest(text.encode())


def apply_change(
    shard: Shard,
    claim: str,
    item: PendingMessage,
    entries: dict[str, Entry] | None = None,
) -> None:
    """Apply a request or a release to the entries."""
    target = shard.entries if entries is None else entries
    match item.message:
        case ClaimRequest() as message:
            target[claim] = Entry(
                call_id=message.call_id,
                fingerprint=message.fingerprint,
                grant=item.grant,
                expires=item.received_at + message.keep_s,
            )
        case ClaimEnd(call_id=call_id):
            entry = target.get(claim)
            if entry is not None and entry.call_id == call_id:
                del target[claim]


def record_ending(shard: Shard, entry: Entry, message: ClaimEnd) -> Entry:
    """Record how the call of an entry ended."""
    has_run = message.ending is ClaimEnding.RAN
    settled = replace(
        entry,
        state=EntryState.RAN if has_run else EntryState.MAY_HAVE_RUN,
        kept=message.kept,
    )
    shard.entries[message.claim] = settled
    _remove_large_replies(shard)
    return settled


def find_entry(shard: Shard, claim: str) -> Entry | None:
    """Return the entry of a claim, sealed or not, or None."""
    entry = shard.entries.get(claim)
    if entry is not None:
        return entry
    for entries in shard.sealed.values():
        if claim in entries:
            return entries[claim]
    return None


def apply_sealing(shard: Shard) -> None:
    """Move sealed claims out of the head once the stored head lists their slot."""
    sealing = shard.sealing
    if sealing is None or not sealing.is_listed:
        return
    shard.sealing = None
    remove_sealed(shard.entries, sealing)
    shard.segments[sealing.segment.slot] = sealing.segment
    shard.sealed[sealing.segment.slot] = sealing.entries


def apply_loading(shard: Shard, loading: Loading) -> None:
    """Replace the contents of the shard with a head and segments that were read."""
    shard.segments = loading.segments
    shard.sealed = loading.sealed
    merge_stored(shard, loading.entries, loading.version)


def merge_stored(shard: Shard, entries: dict[str, Entry], version: str | None) -> None:
    """Replace the entries with the stored ones, keeping endings held in memory."""
    shard.sealing = None
    for claim, entry in entries.items():
        known = shard.entries.get(claim)
        if known is None or known.call_id != entry.call_id:
            shard.holders.pop(claim, None)
        elif known.state is not EntryState.CLAIMED:
            entries[claim] = replace(entry, state=known.state, kept=known.kept)
    shard.holders = {
        claim: holder for claim, holder in shard.holders.items() if claim in entries
    }
    shard.entries = entries
    shard.version = version
    shard.is_loaded = True


def remove_expired(shard: Shard, now: float) -> None:
    """Remove expired segments, and expired claims without a call in flight."""
    for slot, segment in list(shard.segments.items()):
        if segment.expires <= now:
            del shard.segments[slot]
            shard.sealed.pop(slot, None)
    shard.entries = {
        claim: entry
        for claim, entry in shard.entries.items()
        if entry.expires > now or claim in shard.holders
    }


def estimate_size_bytes(shard: Shard) -> int:
    """Return an upper bound on the size of the shard's object in bytes."""
    replies = sum(
        2 * entry.kept.get_size_bytes() + ENTRY_BYTES
        for entry in shard.entries.values()
        if entry.kept is not None
        and entry.kept.get_size_bytes() <= STORED_REPLY_LIMIT_BYTES
    )
    return len(shard.entries) * ENTRY_BYTES + replies


def free_space(shard: Shard, needed_bytes: int, now: float) -> bool:
    """Remove expired claims, then kept replies; return False when still full."""
    remove_expired(shard, now)
    for claim, entry in shard.entries.items():
        if estimate_size_bytes(shard) + needed_bytes <= OBJECT_LIMIT_BYTES:
            return True
        shard.entries[claim] = replace(entry, kept=None)
    return estimate_size_bytes(shard) + needed_bytes <= OBJECT_LIMIT_BYTES


def _remove_large_replies(shard: Shard) -> None:
    large = [
        claim
        for claim, entry in shard.entries.items()
        if entry.kept is not None
        and entry.kept.get_size_bytes() > STORED_REPLY_LIMIT_BYTES
    ]
    for claim in large[:-MAX_LARGE_REPLIES]:
        shard.entries[claim] = replace(shard.entries[claim], kept=None)
