"""The state of claims on one host: calls that it holds, shards that it serves."""

from dataclasses import dataclass, field
from typing import Final, TypeVar

from ..routing.budgets import TokenBucket
from ..routing.calls import ActiveCall
from ..verdict import Verdict
from .messages import (
    ClaimEnd,
    ClaimMessage,
    ClaimOutcome,
    ClaimRequest,
    KeptReply,
)
from .segments import Loading, Sealing, Segment
from .store import Entry

REMEMBERED_CALLS: Final = 4096
WRITE_BURST: Final = 8.0

_T = TypeVar("_T")


@dataclass(slots=True, kw_only=True)
class HeldClaim:
    """A call of this host that waits for its claim or holds it."""

    active: ActiveCall
    shard: int
    claim: str
    asked: float
    granted: bool = False
    joined: bool = False
    relayed: Verdict | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimDecision:
    """An owner's final word on a call of this host, not yet acted on."""

    call_id: str
    outcome: ClaimOutcome
    kept: KeptReply | None = None


@dataclass(slots=True, kw_only=True)
class Undelivered:
    """The end of a call that a shard's owner has not confirmed."""

    message: ClaimEnd
    since: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Pending:
    """A request or an end, and the host that sent it.

    `grant` names the entry that a request makes, `since` when it came.
    """

    sender: str
    since: float
    message: ClaimRequest | ClaimEnd
    grant: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """The host, in one life, that was granted the dispatch of a claim."""

    host: str
    incarnation: int


@dataclass(slots=True, kw_only=True)
class Shard:
    """A shard as its owner knows it; `entries` is what `version` holds.

    `pending` is the group of the next update and `writing` that of the update
    in flight, one change a claim. What else comes for those waits in `parked`.
    `segments` lists the slots that `sealed` holds the claims of.
    `unused` names the grants that were written but will never be given.
    """

    number: int
    loaded: bool = False
    version: str | None = None
    entries: dict[str, Entry] = field(default_factory=dict)
    pending: dict[str, Pending] = field(default_factory=dict)
    writing: dict[str, Pending] = field(default_factory=dict)
    parked: list[Pending] = field(default_factory=list)
    joined: dict[str, list[Pending]] = field(default_factory=dict)
    holders: dict[str, Holder] = field(default_factory=dict)
    unused: dict[str, None] = field(default_factory=dict)
    refused: dict[str, None] = field(default_factory=dict)
    segments: dict[int, Segment] = field(default_factory=dict)
    sealed: dict[int, dict[str, Entry]] = field(default_factory=dict)
    sealing: Sealing | None = None
    loading: Loading | None = None
    request_id: str | None = None
    request_started: float = 0.0
    down_until: float = 0.0
    has_settled: bool = False
    settle_by: float = 0.0
    seal_after: float = 0.0
    wake_at: float | None = None


@dataclass(slots=True, kw_only=True)
class ClaimsState:
    """All claims of one host."""

    held: dict[str, HeldClaim] = field(default_factory=dict)
    decisions: list[ClaimDecision] = field(default_factory=list)
    given_up: dict[str, ClaimEnd] = field(default_factory=dict)
    undelivered: dict[str, Undelivered] = field(default_factory=dict)
    shards: dict[int, Shard] = field(default_factory=dict)
    writes: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            rate=0.0, capacity=WRITE_BURST, tokens=WRITE_BURST
        )
    )
    share: float = 0.0
    share_view: tuple[str, ...] = ()
    sequence: int = 0
    # Messages of this host to itself.
    local: list[ClaimMessage] = field(default_factory=list)


def remember(memory: dict[str, _T], key: str, value: _T) -> None:
    """Add to a bounded memory; the oldest item yields."""
    memory[key] = value
    while len(memory) > REMEMBERED_CALLS:
        del memory[next(iter(memory))]
