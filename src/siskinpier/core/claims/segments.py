"""Sealed segments: settled claims moved out of a shard's object.

Each update writes the whole object of a shard (its head), so the head is kept
small. When it exceeds a threshold, its settled claims are written to a separate
object, a slot, and the next update of the head lists the slot in their place.
The content of a listed slot does not change until all of it has expired, so an
owner overwrites a slot only after it has read it and found it expired. A slot
that was written but never listed stays unused until then.
"""

from dataclasses import dataclass, field
from typing import Any, Final

from .store import Entry, EntryState, decode_entries, encode_entries

SEAL_THRESHOLD_BYTES: Final = 100_000
SLOT_COUNT: Final = 256
# Slots are not overwritten until this long after their expiry, because the clocks of
# hosts may differ by as much.
MAX_CLOCK_SKEW_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """A slot listed in the head; `seal` is the id of the content written to it."""

    slot: int
    seal: str
    expires: float


@dataclass(slots=True, kw_only=True)
class Sealing:
    """Settled claims that are being moved to a slot.

    `is_written` is set once the slot is stored, and `is_listed` once an update that
    lists it in the head has been sent. `tries` counts the slots found in use.
    """

    segment: Segment
    entries: dict[str, Entry]
    request_id: str = ""
    tries: int = 0
    is_written: bool = False
    is_listed: bool = False


@dataclass(slots=True, kw_only=True)
class Loading:
    """A head that was read, and its segments read so far."""

    version: str
    entries: dict[str, Entry]
    segments: dict[int, Segment]
    sealed: dict[int, dict[str, Entry]] = field(default_factory=dict)

    def find_unread(self) -> Segment | None:
        """Return the next segment to read, or None when all have been read."""
        for slot, segment in self.segments.items():
            if slot not in self.sealed:
                return segment
        return None


def get_settled_entries(entries: dict[str, Entry]) -> dict[str, Entry]:
    """Return the entries that no later event can change."""
    return {
        claim: entry
        for claim, entry in entries.items()
        if entry.state is not EntryState.CLAIMED
    }


def remove_sealed(entries: dict[str, Entry], sealing: Sealing) -> None:
    """Remove sealed entries, except those of keys claimed again since the sealing."""
    for claim, sealed in sealing.entries.items():
        entry = entries.get(claim)
        if entry is not None and entry.grant == sealed.grant:
            del entries[claim]


def make_segment(slot: int, seal: str, entries: dict[str, Entry]) -> Segment:
    """Return the head's record of a slot that holds the entries."""
    expires = max(entry.expires for entry in entries.values())
    return Segment(slot=slot % SLOT_COUNT, seal=seal, expires=round(expires) + 1.0)


def encode_head(
    entries: dict[str, Entry], segments: dict[int, Segment]
) -> dict[str, object]:
    """Return the value of a shard's object."""
    listed = [[item.slot, item.seal, item.expires] for item in segments.values()]
    return encode_entries(entries) | {"segments": listed}


def decode_segments(spec: dict[str, Any]) -> dict[int, Segment] | None:
    """Return the segments that a head lists, or None when it is malformed."""
    try:
        return {
            int(slot): Segment(slot=int(slot), seal=str(seal), expires=float(expires))
            for slot, seal, expires in spec.get("segments", [])
        }
    except (TypeError, ValueError):
        return None


def encode_segment(sealing: Sealing) -> dict[str, object]:
    """Return the value of a slot's object."""
    segment = sealing.segment
    frame = {"seal": segment.seal, "expires": segment.expires}
    return encode_entries(sealing.entries) | frame


def decode_segment(spec: dict[str, Any], segment: Segment) -> dict[str, Entry] | None:
    """Return the entries of a slot, or None when its seal is not that of the head."""
    return decode_entries(spec) if spec.get("seal") == segment.seal else None


def is_slot_expired(spec: dict[str, Any], now: float) -> bool:
    """Return True if everything in a slot expired, allowing for the clock skew."""
    expires = spec.get("expires")
    return isinstance(expires, int | float) and expires + MAX_CLOCK_SKEW_S <= now


def get_slot_name(shard: int, slot: int) -> str:
    """Return the name of a slot's object."""
    return f"shard-{shard}-{slot}"
