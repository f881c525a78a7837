"""Messages about claims between the host that holds a call and a shard's owner.

Each one names the call that it is about, so that a message that comes late,
twice or from an earlier life of a host cannot be taken for another's.
"""

from dataclasses import dataclass
from enum import StrEnum, unique


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptReply:
    """A whole reply of a backend server, kept to be replayed."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def get_size_bytes(self) -> int:
        """Return the bytes of body and header fields."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + fields


@unique
class ClaimOutcome(StrEnum):
    """What the owner of a shard says about a requested claim."""

    GRANTED = "granted"
    JOINED = "joined"
    REPLAY = "replay"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"
    # The shard's object cannot be read, so nobody knows of earlier calls.
    NOT_LOOKED_UP = "not-looked-up"
    FULL = "full"
    # The claim is this call's own, and another owner committed it.
    FOUND_OWN = "found-own"
    # No owner answered; said by the holder to itself.
    SILENT = "silent"


@unique
class ClaimEnding(StrEnum):
    """How a call that held a claim ended."""

    RELEASED = "released"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Ask for the one dispatch of a key; `keep_s` is how long the claim lasts."""

    call_id: str
    incarnation: int
    shard: int
    claim: str
    fingerprint: str
    keep_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimReply:
    """Answer a request; `incarnation` is that of the host that asked."""

    call_id: str
    incarnation: int
    outcome: ClaimOutcome
    kept: KeptReply | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEnd:
    """Tell how a call ended; RELEASED means that it never ran and never will."""

    call_id: str
    shard: int
    claim: str
    ending: ClaimEnding
    kept: KeptReply | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEndAck:
    """Confirm a `ClaimEnd`; a release is confirmed once it is durable."""

    call_id: str


ClaimMessage = ClaimRequest | ClaimReply | ClaimEnd | ClaimEndAck
