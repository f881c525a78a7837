"""Sealed segments: settled claims moved out of a shard's object.

The object of a shard (its head) is written whole with each update, so it is
kept small: when it grows, its settled claims are written into a slot, an
object of their own, and the next update of the head lists the slot in their
place. What a listed slot holds does not change before all of it expired, so
any owner may overwrite a slot only when it finds it expired. A slot that was
written and never listed just stays unused until then.
"""

from dataclasses import dataclass, field
from typing import Any, Final

from .store import Entry, EntryState, decode_entries, encode_entries

SEAL_BYTES: Final = 100_000
SLOTS: Final = 256
# Clocks of hosts may differ by this before a slot is taken too early.
CLOCK_MARGIN_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """A slot as the head lists it; `seal` names what was written into it."""

    slot: int
    seal: str
    expires: float


@dataclass(slots=True, kw_only=True)
class Sealing:
    """Settled claims on their way into a slot."""

    segment: Segment
    entries: dict[str, Entry]
    request_id: str = ""
    tries: int = 0
    is_written: bool = False
    is_listed: bool = False


@dataclass(slots=True, kw_only=True)
class Loading:
    """A head that was read, while its segments are still being read."""

    version: str
    entries: dict[str, Entry]
    segments: dict[int, Segment]
    sealed: dict[int, dict[str, Entry]] = field(default_factory=dict)

    def get_missing(self) -> Segment | None:
        """Return the next segment to read, or None when all are here."""
        for slot, segment in self.segments.items():
            if slot not in self.sealed:
                return segment
        return None


def choose_settled(entries: dict[str, Entry]) -> dict[str, Entry]:
    """Return the entries that no later event can change."""
    return {
        claim: entry
        for claim, entry in entries.items()
        if entry.state is not EntryState.CLAIMED
    }


def drop_sealed(entries: dict[str, Entry], sealing: Sealing) -> None:
    """Drop what a slot holds; a key claimed anew since then stays."""
    for claim, sealed in sealing.entries.items():
        entry = entries.get(claim)
        if entry is not None and entry.grant == sealed.grant:
            del entries[claim]


def make_segment(slot: int, seal: str, entries: dict[str, Entry]) -> Segment:
    """Return how the head lists a slot that holds the entries."""
    expires = max(entry.expires for entry in entries.values())
    return Segment(slot=slot % SLOTS, seal=seal, expires=round(expires) + 1.0)


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
    """Return the value of a slot."""
    segment = sealing.segment
    frame = {"seal": segment.seal, "expires": segment.expires}
    return encode_entries(sealing.entries) | frame


def decode_segment(spec: dict[str, Any], segment: Segment) -> dict[str, Entry] | None:
    """Return what a slot holds, or None when it is not what the head lists."""
    return decode_entries(spec) if spec.get("seal") == segment.seal else None


def is_free(spec: dict[str, Any], now: float) -> bool:
    """Return True if all that a slot holds is past its age limit."""
    expires = spec.get("expires")
    return isinstance(expires, int | float) and expires + CLOCK_MARGIN_S <= now


def get_slot_name(shard: int, slot: int) -> str:
    """Return the name of a slot's object."""
    return f"shard-{shard}-{slot}"
