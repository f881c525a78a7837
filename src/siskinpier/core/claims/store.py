"""Shards of claims: assignment to owners, entries and the stored format."""

import hashlib
from base64 import b64decode, b64encode
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Any, Final

import xxhash

from ..cluster.rendezvous import choose_node
from .messages import KeptReply

SHARD_COUNT: Final = 64
# The platform stores values up to 1 MiB; the rest is left for the envelope.
OBJECT_LIMIT_BYTES: Final = 1_000_000
# Assumed maximum size of an encoded entry without its reply.
ENTRY_BYTES: Final = 130
# Larger replies are not stored.
STORED_REPLY_LIMIT_BYTES: Final = 512
FORMAT_VERSION: Final = 1


@unique
class EntryState(StrEnum):
    """The recorded state of the call that holds a claim."""

    CLAIMED = "c"
    RAN = "r"
    MAY_HAVE_RUN = "m"


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A claim, the call that holds it and its expiry.

    `grant` is the id of the commit that created the entry. It lets the owner
    recognize its own write after a lost reply. `expires` is in seconds since the
    epoch.
    """

    call_id: str
    fingerprint: str
    grant: str
    expires: float
    state: EntryState = EntryState.CLAIMED
    kept: KeptReply | None = None


def make_claim_id(service: str, caller: str, key: str) -> str:
    """Return the digest that identifies a caller's key at one service."""
    text = "\0".join((service, caller, key)).encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def compute_shard(claim: str) -> int:
    """Return the shard number of a claim."""
    return xxhash.xxh3_64_intdigest(claim.encode()) % SHARD_COUNT


def find_owner(shard: int, live: Sequence[str]) -> str | None:
    """Return the owner of a shard among the live hosts, or None without live hosts."""
    return choose_node(f"claims/{shard}", live)


def encode_entries(entries: dict[str, Entry]) -> dict[str, object]:
    """Return the value of an object, without replies over the stored size limit."""
    return {
        "format": FORMAT_VERSION,
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
    """Return the entries of a stored object, or None when it is malformed."""
    try:
        if spec["format"] != FORMAT_VERSION:
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
