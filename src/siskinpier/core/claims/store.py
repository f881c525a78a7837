"""What the platform's object of one shard of claims holds, and its coding."""

import hashlib
from base64 import b64decode, b64encode
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Any, Final

import xxhash

from ..cluster.rendezvous import choose_node
from .messages import KeptReply

SHARDS: Final = 64
# The platform holds values up to 1 MiB; this leaves room for the frame.
OBJECT_LIMIT_BYTES: Final = 1_000_000
ENTRY_BYTES: Final = 130
STORED_REPLY_LIMIT_BYTES: Final = 512
FORMAT: Final = 1


@unique
class EntryState(StrEnum):
    """What is known of the call that holds a claim."""

    CLAIMED = "c"
    RAN = "r"
    MAY_HAVE_RUN = "m"


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One claim: the call that holds it, and until when it stands.

    `grant` names the commit that made the entry, so that its owner finds its
    own work again after a lost reply. `expires` is in seconds of the clock.
    """

    call_id: str
    fingerprint: str
    grant: str
    expires: float
    state: EntryState = EntryState.CLAIMED
    kept: KeptReply | None = None


def make_claim_id(service: str, caller: str, key: str) -> str:
    """Return the digest that names a key of one caller at one service."""
    text = "\0".join((service, caller, key)).encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def get_shard(claim: str) -> int:
    """Return the shard of a claim."""
    return xxhash.xxh3_64_intdigest(claim.encode()) % SHARDS


def get_owner(shard: int, live: Sequence[str]) -> str | None:
    """Return the host that owns a shard in a view of live hosts."""
    return choose_node(f"claims/{shard}", live)


def encode_entries(entries: dict[str, Entry]) -> dict[str, object]:
    """Return the object's value; replies over the small limit are left out."""
    return {
        "format": FORMAT,
        "entries": {
            claim: [
                entry.call_id,
                entry.fingerprint,
                entry.grant,
                round(entry.expires),
                str(entry.state),
                *_encode_reply(entry.kept),
            ]
            for claim, entry in entries.items()
        },
    }


def decode_entries(spec: dict[str, Any]) -> dict[str, Entry] | None:
    """Return the claims of a stored object, or None when it is malformed."""
    try:
        if spec["format"] != FORMAT:
            return None
        return {claim: _decode_entry(row) for claim, row in spec["entries"].items()}
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _encode_reply(kept: KeptReply | None) -> list[object]:
    if kept is None or kept.get_size_bytes() > STORED_REPLY_LIMIT_BYTES:
        return []
    fields = [
        [name.decode("latin-1"), value.decode("latin-1")]
        for name, value in kept.headers
    ]
    return [kept.status, fields, b64encode(kept.body).decode()]


def _decode_entry(row: list[Any]) -> Entry:
    call_id, fingerprint, grant, expires, state, *reply = row
    return Entry(
        call_id=str(call_id),
        fingerprint=str(fingerprint),
        grant=str(grant),
        expires=float(expires),
        state=EntryState(state),
        kept=_decode_reply(reply) if reply else None,
    )


def _decode_reply(reply: list[Any]) -> KeptReply:
    status, fields, body = reply
    return KeptReply(
        status=int(status),
        headers=tuple(
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in fields
        ),
        body=b64decode(body),
    )
