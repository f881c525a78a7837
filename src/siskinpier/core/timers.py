"""Timers that the core sets; timers that compare equal are the same timer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class CallDeadline:
    """The deadline of a call."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatDue:
    """Time to send heartbeats and to check which hosts have stopped sending them."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentsPollDue:
    """Time to poll the routing intents, in case a watch missed a change."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbesDue:
    """Time to send the next probes within the probe budget."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IsolationCheckDue:
    """Time to check whether this host reaches any backend server."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownCheckDue:
    """Time to check whether a graceful shutdown can be completed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRetry:
    """Time to resolve an order whose write had an unknown outcome."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimsDue:
    """Time to write a shard's claims or to check how long they have been pending."""

    shard: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRetry:
    """Time to resend a claim request, as the request or its answer may be lost."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEndResendDue:
    """Time to resend the claim ends that no owner has acknowledged."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SpareNoticeDue:
    """The earliest time for the next notice of a service's free slots."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeDue:
    """The time after which a running call is slow enough for a hedge."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotResponseDue:
    """The time limit for a home to respond to the slot request of a call."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowServersAllowedDue:
    """The time from which queued calls may be sent to slow servers."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueReviewDue:
    """Time to reconsider whether queued calls should still wait for slow servers."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseDue:
    """The end of a pause that a server requested from the host `holder`.

    `holder` is empty for this host.
    """

    service: str
    server: str
    holder: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedCheckDue:
    """The time limit for a server to report its speed before a call is sent to it."""

    service: str
    server: str
    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayDue:
    """Time to report that the watches work, or to check whether any relay does."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldEntryExpiryDue:
    """Time to remove servers that expired in an outage and did not register again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CreditsDue:
    """Time to request credits of quotas, or to give up calls that wait for them."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CreditTransferDue:
    """Time to ask the allocators of other failure domains for credits."""


Timer = (
    CallDeadline
    | HeartbeatDue
    | IntentsPollDue
    | ProbesDue
    | IsolationCheckDue
    | ShutdownCheckDue
    | OrderRetry
    | ClaimsDue
    | ClaimRetry
    | ClaimEndResendDue
    | SpareNoticeDue
    | HedgeDue
    | SlotResponseDue
    | SlowServersAllowedDue
    | QueueReviewDue
    | PauseDue
    | SpeedCheckDue
    | RelayDue
    | HeldEntryExpiryDue
    | CreditsDue
    | CreditTransferDue
)
