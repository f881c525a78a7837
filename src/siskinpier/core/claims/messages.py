"""Messages about claims between a call's entry host and a shard's owner.

Each message carries the id of its call, so a message that is late, duplicated or
sent before a restart of its host is never matched to another call.
"""

from dataclasses import dataclass
from enum import StrEnum, unique


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptReply:
    """A complete reply of a backend server, stored for replay."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def get_size_bytes(self) -> int:
        """Return the size of the body and the header fields in bytes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + fields


@unique
class ClaimOutcome(StrEnum):
    """The result of a claim request."""

    GRANTED = "granted"
    JOINED = "joined"
    REPLAY = "replay"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"
    # The shard's object cannot be read, so earlier calls are unknown.
    NOT_LOOKED_UP = "not-looked-up"
    FULL = "full"
    # The claim belongs to this call, but another owner committed it.
    FOUND_OWN = "found-own"
    # No owner answered in time; set by the holder and never sent.
    SILENT = "silent"


@unique
class ClaimEnding(StrEnum):
    """How a call that held a claim ended."""

    RELEASED = "released"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Request the only dispatch of a key; the claim expires after `keep_s` seconds."""

    call_id: str
    incarnation: int
    shard: int
    claim: str
    fingerprint: str
    keep_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimReply:
    """Answer a `ClaimRequest`; `incarnation` is copied from the request."""

    call_id: str
    incarnation: int
    outcome: ClaimOutcome
    kept: KeptReply | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEnd:
    """Report how a call ended; RELEASED means that it never ran and never will."""

    call_id: str
    shard: int
    claim: str
    ending: ClaimEnding
    kept: KeptReply | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEndAck:
    """Confirm a `ClaimEnd`; a release is confirmed only once it is durable."""

    call_id: str


ClaimMessage = ClaimRequest | ClaimReply | ClaimEnd | ClaimEndAck
