"""Timers that the core sets; equal timers are one timer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class CallDeadline:
    """The time at which a call must have its final answer."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatDue:
    """Time to send heartbeats and to judge the silence of others."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsPollDue:
    """Time to read the routing intents, which closes gaps of watches."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbesDue:
    """Time to spend the probe budget."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownStep:
    """Time to take the next step of a graceful shutdown."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRetry:
    """Time to settle an order whose write had no known result."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimsDue:
    """Time to write a shard's claims, or to judge how long it waited."""

    shard: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRetry:
    """Time to ask again for a claim, as request or answer may be lost."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEndsDue:
    """Time to send the ends of calls again that no owner confirmed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SpareDue:
    """The time from which the room of a service may be told again."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeDue:
    """The time from which a call counts as slow."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotDue:
    """The time by which a home must have said something of a call."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PatienceDue:
    """The time from which waiting calls settle for slow servers."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueReviewDue:
    """Time to look again whether calls had better wait for servers that are slow."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseDue:
    """The end of a pause that a server asked of a host; empty for this one."""

    service: str
    server: str
    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckDue:
    """The time by which a server must have told its speed for a call."""

    service: str
    server: str
    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayDue:
    """Time to tell that the watches work, or to notice that no relay does."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LapseDue:
    """Time to drop servers that lapsed in an outage and did not come back."""


Timer = (
    CallDeadline
    | HeartbeatDue
    | IntentsPollDue
    | ProbesDue
    | ShutdownStep
    | OrderRetry
    | ClaimsDue
    | ClaimRetry
    | ClaimEndsDue
    | SpareDue
    | HedgeDue
    | SlotDue
    | PatienceDue
    | QueueReviewDue
    | PauseDue
    | CheckDue
    | RelayDue
    | LapseDue
)
