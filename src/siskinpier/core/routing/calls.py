"""What the core knows of one call and of its attempts."""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final, TypeAlias

from ..configuration.intents import Route
from ..verdict import Verdict

DEFAULT_ATTEMPTS_LIMIT: Final = 3

# Urgency, whether the call cannot keep its aim, deadline, place, and id.
QueueEntry: TypeAlias = tuple[int, bool, float, int, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A call as the shell received it; times are seconds of the host's clock.

    `hops` is 1 for a call that another entry host forwarded, else 0. `key` is
    the Idempotency-Key, `fingerprint` binds it to caller, method, path and
    body. A call that is not `replayable` has a body that can be sent once.
    The host that forwards a call says whether it is `at_most_once`, whatever
    the intents here say, and whether its claim is held already (`claimed`).
    A call that names a `virtual_host` has no service until its route is found.
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
    # Bytes of the body.
    size: int = 0


class Stage(Enum):
    """The stage that an active call is in."""

    CLAIMING = auto()
    ASKING = auto()
    QUEUED = auto()
    CHECKING = auto()
    SENT = auto()
    RELAYING = auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """What a backend server reports of itself with an answer.

    `slowdown` is how many times longer than usual its work takes now.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingSlotRequest:
    """A request for a slot that is on its way; `holder` is the host that asks.

    With `is_spare` it is one beside the request to the call's own home.
    """

    home: str
    address: str
    holder: str
    is_spare: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """The home that granted an attempt its slot, and for which request."""

    home: str
    address: str
    holder: str
    call_id: str
    request_number: int
    number: int


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One dispatch to a backend server, or to another entry host."""

    number: int
    target: str
    is_forward: bool
    started: float
    has_failed: bool = False
    is_unreachable: bool = False
    # Another server answered at the address of the one that was meant.
    is_misdirected: bool = False
    # Took the last slot of its server.
    took_last_slot: bool = False
    # How many times longer than usual work took on its server when it was sent.
    slowdown: float = 1.0
    grant: Grant | None = None
    # The time that the answer took, once it is whole.
    latency_s: float | None = None
    load: LoadReport | None = None
    # For how long its server wants nothing more, seconds.
    pause_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class ActiveCall:
    """A call between its arrival and its final answer.

    `rival` is a second attempt that runs beside the latest one. A call that
    waits for a slot asked another home (`asked`) for it, in its `ask`th
    request; a call that another host holds names that host (`holder`).
    """

    call: Call
    urgency: int
    idempotent: bool
    arrived: float
    stage: Stage = Stage.QUEUED
    worst_verdict: Verdict = Verdict.NOT_RUN
    attempts: list[Attempt] = field(default_factory=list)
    queue_entry: QueueEntry | None = None
    reply_started_at: float = 0.0
    other_attempt: Attempt | None = None
    hedge_timer_set: bool = False
    attempts_limit: int = DEFAULT_ATTEMPTS_LIMIT
    aim_s: float = 0.0
    route: Route | None = None
    # Name of the call's route, here and at the home of a call that another host holds.
    route_name: str = ""
    requested_home: str = ""
    asked_at: float = 0.0
    request_number: int = 0
    # Requests for a slot that were not answered with one yet, by their numbers.
    pending_requests: dict[int, PendingSlotRequest] = field(default_factory=dict)
    is_queued_at_home: bool = False
    # Bytes of the request, and of the reply that is expected.
    size: float = 0.0
    # Its timer stands for the end of waiting, not for its deadline.
    has_wait_limit: bool = False
    # Until then the call does not settle for a slow server.
    accepts_slow_from: float = 0.0
    # Homes that this attempt asked in vain, and those that had no slot to spare.
    refused_by: set[str] = field(default_factory=set)
    homes_without_spare: set[str] = field(default_factory=set)
    holder: str = ""
    holder_address: str = ""
    holder_call_id: str = ""
    # Was counted as a fresh call, here or at the home that was asked first.
    has_earned_budget: bool = False
    # Servers that were asked for their speed for this call.
    checks: int = 0
    # Whether the holder sent the call to a server before.
    is_retry: bool = False
    # Servers that the holder has tried.
    avoided: frozenset[str] = frozenset()

    @property
    def attempt(self) -> Attempt | None:
        """Return the latest attempt, or None before the first."""
        return self.attempts[-1] if self.attempts else None

    def find_running_attempt(self, number: int) -> Attempt | None:
        """Return the attempt of a number if it is the latest or its rival."""
        for attempt in (self.attempt, self.other_attempt):
            if attempt is not None and attempt.number == number:
                return attempt
        return None

    def is_late(self, run_s: float, now: float) -> bool:
        """Return True if a run of so many seconds would miss the aim."""
        return self.aim_s > 0.0 and now + run_s > self.arrived + self.aim_s

    def has_been_sent(self) -> bool:
        """Return True if an attempt may have reached a backend server."""
        return any(not attempt.is_unreachable for attempt in self.attempts)

    def list_running_attempts(self) -> list[Attempt]:
        """Return the latest attempt and its rival."""
        return [a for a in (self.attempt, self.other_attempt) if a is not None]

    def end_attempt(self, ended: Attempt) -> bool:
        """Drop one of two attempts; return False if no other one runs."""
        other = self.other_attempt if ended is self.attempt else self.attempt
        if self.other_attempt is None or other is None:
            return False
        self.other_attempt = None
        self.set_current_attempt(other)
        return True

    def set_current_attempt(self, attempt: Attempt) -> None:
        """Let an earlier attempt take the place of the latest."""
        self.attempts.remove(attempt)
        self.attempts.append(attempt)

    def list_tried_targets(self) -> set[str]:
        """Return the targets that earlier attempts went to."""
        return {attempt.target for attempt in self.attempts} | self.avoided
