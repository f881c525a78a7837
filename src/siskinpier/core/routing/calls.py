"""State of a call and of its attempts."""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final

from ..configuration.intents import Route
from ..verdict import Verdict

DEFAULT_ATTEMPTS_LIMIT: Final = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueEntry:
    """The place of a call in a queue.

    The call `is_late` if it cannot meet its latency objective. `run_s` is its expected
    run time in seconds, 0 if it is unknown.
    """

    urgency: int
    is_late: bool
    workspace: str
    route: str
    deadline: float
    sequence: int
    call_id: str
    run_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A call as received from its caller; times are seconds of the host's clock.

    `hops` is 1 for a call that another entry host forwarded, else 0. `key` is
    the Idempotency-Key; `fingerprint` binds it to caller, method, path and
    body. The body of a call that is not `replayable` can be sent only once.
    The host that forwards a call sets `at_most_once`, which overrides the
    intents of this host, and `claimed` if it already holds the claim.
    A call to a `virtual_host` has no service until its route is found.
    """

    call_id: str
    service: str
    method: str
    path: str
    caller: str
    deadline: float
    urgency: int | None = None
    key: str | None = None
    fingerprint: str = ""
    hops: int = 0
    replayable: bool = True
    at_most_once: bool = False
    claimed: bool = False
    virtual_host: str = ""
    # Size of the body, bytes.
    size: int = 0
    # Digest of the key that the caller presented; None if it presented none.
    key_digest: str | None = None


class Stage(Enum):
    """The stage of an active call; the name in lower case is logged."""

    CLAIMING = auto()
    # The call waits for a credit of its workspace's quota.
    ADMITTING = auto()
    # The call waits for the answer of a home to its slot request.
    ASKING = auto()
    QUEUED = auto()
    # The call holds a slot of a server whose speed is being checked.
    CHECKING = auto()
    SENT = auto()
    RELAYING = auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The load that a backend server reports with an answer.

    `slowdown` is the current run time divided by the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitReport:
    """A rate limit that a backend server names in an answer.

    `per_s` is the number of calls a second that it takes from all hosts together; None
    if the field cannot be read. An answer without the field has no report.
    """

    per_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingSlotRequest:
    """A slot request that was not answered yet; the host `holder` sent it.

    A request with `is_spare` is sent in addition to the one at the call's own home.
    """

    home: str
    address: str
    holder: str
    is_spare: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """The home that granted the slot of an attempt, and the request it answered."""

    home: str
    address: str
    holder: str
    call_id: str
    request_number: int
    number: int


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One dispatch of a call to a backend server or to another entry host."""

    number: int
    target: str
    is_forward: bool
    started: float
    has_failed: bool = False
    is_unreachable: bool = False
    # Its slot was given back.
    is_released: bool = False
    # A different server answered at the address of the intended one.
    is_misdirected: bool = False
    # The attempt took the last slot of its server.
    took_last_slot: bool = False
    # Slowdown of the server when the attempt was sent.
    slowdown: float = 1.0
    grant: Grant | None = None
    # Time from the start until the answer was complete, in seconds; None before that.
    latency_s: float | None = None
    load: LoadReport | None = None
    # Pause that the server requested, in seconds.
    pause_s: float = 0.0
    rate_limit: RateLimitReport | None = None


@dataclass(slots=True, kw_only=True)
class ActiveCall:
    """A call between its arrival and its final answer.

    `other_attempt` is an attempt that runs beside the latest one. While a call
    waits for a slot of another home, `requested_home` is that home.
    `request_number` is the number of the latest slot request. For a call that
    another host holds, `holder` is that host.
    """

    call: Call
    urgency: int
    idempotent: bool
    arrived: float
    stage: Stage = Stage.QUEUED
    worst_verdict: Verdict = Verdict.NOT_RUN
    attempts: list[Attempt] = field(default_factory=list)
    queue_entry: QueueEntry | None = None
    # The place from which the call was sent, until its run time is known.
    sent_entry: QueueEntry | None = None
    reply_started_at: float = 0.0
    other_attempt: Attempt | None = None
    hedge_timer_set: bool = False
    attempts_limit: int = DEFAULT_ATTEMPTS_LIMIT
    aim_s: float = 0.0
    route: Route | None = None
    # Name of the route; a home also sets it for a call that another host holds.
    route_name: str = ""
    requested_home: str = ""
    requested_at: float = 0.0
    request_number: int = 0
    # Slot requests that were not answered yet, by request number.
    pending_requests: dict[int, PendingSlotRequest] = field(default_factory=dict)
    is_queued_at_home: bool = False
    # Expected time to the answer at the home where the call waits, seconds.
    expected_s: float = 0.0
    # Bytes of the request plus those of the expected reply.
    size: float = 0.0
    # The deadline timer is set to the limit of the wait, not to the deadline.
    has_wait_limit: bool = False
    # Time from which the call accepts a slow server.
    accepts_slow_from: float = 0.0
    # Homes that refused this attempt a slot or did not answer, and homes without a
    # spare slot.
    refused_by: set[str] = field(default_factory=set)
    homes_without_spare: set[str] = field(default_factory=set)
    holder: str = ""
    holder_address: str = ""
    holder_call_id: str = ""
    # Counted towards the retry and hedge budgets, here or at the first home that was
    # asked for a slot.
    has_earned_budget: bool = False
    # Number of speed checks for this call.
    check_count: int = 0
    # The holder has already sent the call to a server.
    is_retry: bool = False
    # Name of the workspace that the caller belongs to; empty if there is none.
    workspace: str = ""
    # Keys are required, so the caller's credentials are not sent on.
    hides_credentials: bool = False
    # When the call took a credit of its workspace's quota here; None if it did not.
    credit_at: float | None = None
    # The holder takes a slot here only if it is free at once.
    spare_only: bool = False
    # Servers that the holder has tried or that paused it, and servers whose speed check
    # timed out.
    avoided: frozenset[str] = frozenset()

    @property
    def attempt(self) -> Attempt | None:
        """Return the latest attempt, or None before the first."""
        return self.attempts[-1] if self.attempts else None

    def find_running_attempt(self, number: int) -> Attempt | None:
        """Return the running attempt with this number, or None."""
        for attempt in (self.attempt, self.other_attempt):
            if attempt is not None and attempt.number == number:
                return attempt
        return None

    def is_late(self, run_s: float, now: float) -> bool:
        """Return True if a run of `run_s` from now misses the latency objective."""
        return self.aim_s > 0.0 and now + run_s > self.arrived + self.aim_s

    def has_been_sent(self) -> bool:
        """Return True if an attempt may have reached a backend server."""
        return any(not attempt.is_unreachable for attempt in self.attempts)

    def list_running_attempts(self) -> list[Attempt]:
        """Return the latest attempt and the one that runs beside it, if any."""
        return [a for a in (self.attempt, self.other_attempt) if a is not None]

    def end_attempt(self, ended: Attempt) -> bool:
        """Remove one of two running attempts; return False if no other one runs."""
        other = self.other_attempt if ended is self.attempt else self.attempt
        if self.other_attempt is None or other is None:
            return False
        self.other_attempt = None
        self.set_current_attempt(other)
        return True

    def set_current_attempt(self, attempt: Attempt) -> None:
        """Move an earlier attempt to the end, which makes it the latest."""
        self.attempts.remove(attempt)
        self.attempts.append(attempt)

    def list_tried_targets(self) -> set[str]:
        """Return the targets of all attempts and the servers to avoid."""
        return {attempt.target for attempt in self.attempts} | self.avoided
