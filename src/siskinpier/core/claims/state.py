"""The claim state of one host: claims of its own calls, and shards that it owns."""

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

# Maximum number of items in each dict that `add_bounded` fills.
MAX_REMEMBERED_CALLS: Final = 4096
# Number of updates that a host may write at once after a quiet period.
WRITE_BURST_COUNT: Final = 8.0

_T = TypeVar("_T")


@dataclass(slots=True, kw_only=True)
class HeldClaim:
    """A call of this host that waits for its claim or holds it.

    `requested_at` is the time of the first request. `is_joined` is set while another
    call with the same key runs. `relayed_verdict` is that of the relayed reply.
    """

    active: ActiveCall
    shard: int
    claim: str
    requested_at: float
    granted: bool = False
    is_joined: bool = False
    relayed_verdict: Verdict | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimDecision:
    """The final result of a claim request, not yet applied to its call."""

    call_id: str
    outcome: ClaimOutcome
    kept: KeptReply | None = None


@dataclass(slots=True, kw_only=True)
class UnconfirmedEnd:
    """A `ClaimEnd` that the shard's owner has not confirmed."""

    message: ClaimEnd
    first_sent_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingMessage:
    """A request or an end, and the host that sent it.

    `grant` is the commit id of the entry that a request creates. An empty `sender`
    marks a release by the owner itself.
    """

    sender: str
    received_at: float
    message: ClaimRequest | ClaimEnd
    grant: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """The host and incarnation that were granted the dispatch of a claim."""

    host: str
    incarnation: int


@dataclass(slots=True, kw_only=True)
class Shard:
    """The owner's view of a shard; `entries` is the head at `version`.

    `pending` is the group of the next update and `writing` the group of the update
    in flight, with one change per claim. Further messages for these claims, and
    messages that arrive before the shard is loaded, wait in `deferred`.
    `joined_requests` holds the requests that wait for a running call of their key.
    `segments` lists the segments of the head, and `sealed` their entries by slot.
    `abandoned_grants` holds the commit ids of entries that may be stored but are
    never to be granted, and `refused_calls` the ids of refused calls. Endings held in
    memory only (`has_unwritten_endings`) are written by `write_endings_by`.
    """

    number: int
    is_loaded: bool = False
    version: str | None = None
    entries: dict[str, Entry] = field(default_factory=dict)
    pending: dict[str, PendingMessage] = field(default_factory=dict)
    writing: dict[str, PendingMessage] = field(default_factory=dict)
    deferred: list[PendingMessage] = field(default_factory=list)
    joined_requests: dict[str, list[PendingMessage]] = field(default_factory=dict)
    holders: dict[str, Holder] = field(default_factory=dict)
    abandoned_grants: dict[str, None] = field(default_factory=dict)
    refused_calls: dict[str, None] = field(default_factory=dict)
    segments: dict[int, Segment] = field(default_factory=dict)
    sealed: dict[int, dict[str, Entry]] = field(default_factory=dict)
    sealing: Sealing | None = None
    loading: Loading | None = None
    request_id: str | None = None
    request_started_at: float = 0.0
    platform_down_until: float = 0.0
    has_unwritten_endings: bool = False
    write_endings_by: float = 0.0
    next_seal_at: float = 0.0
    timer_at: float | None = None


@dataclass(slots=True, kw_only=True)
class ClaimsState:
    """All claim state of one host.

    `abandoned_ends` keeps the ends of calls that ended before their claim was
    granted. `write_share` is this host's part of the claim write budget, computed
    for the live hosts in `write_share_view`.
    """

    held: dict[str, HeldClaim] = field(default_factory=dict)
    decisions: list[ClaimDecision] = field(default_factory=list)
    abandoned_ends: dict[str, ClaimEnd] = field(default_factory=dict)
    unconfirmed_ends: dict[str, UnconfirmedEnd] = field(default_factory=dict)
    shards: dict[int, Shard] = field(default_factory=dict)
    writes: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            rate=0.0, capacity=WRITE_BURST_COUNT, tokens=WRITE_BURST_COUNT
        )
    )
    write_share: float = 0.0
    write_share_view: tuple[str, ...] = ()
    sequence: int = 0
    # Messages that this host sends to itself.
    local_messages: list[ClaimMessage] = field(default_factory=list)


def add_bounded(memory: dict[str, _T], key: str, value: _T) -> None:
    """Add an item to a bounded dict, evicting the oldest items."""
    memory[key] = value
    while len(memory) > MAX_REMEMBERED_CALLS:
        del memory[next(iter(memory))]
