"""Callers in virtual time that look up hosts, retry with the same key and time out."""

import hashlib
import random
from dataclasses import dataclass, field
from typing import Final

from siskinpier.core.routing.addresses import get_addresses
from siskinpier.core.routing.calls import Call
from siskinpier.core.verdict import Verdict

from .environment import Answer
from .host import find_host
from .world import World

MAX_ATTEMPTS: Final = 5
TIMEOUT_MARGIN_S: Final = 0.5
RETRY_DELAY_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """An operation that a caller wants run once; `key` is None if it is idempotent.

    `time_limit_s` is the time from an attempt to its deadline.
    """

    service: str
    method: str
    path: str
    key: str | None = None
    urgency: int = 3
    time_limit_s: float = 2.0


@dataclass(slots=True, eq=False, kw_only=True)
class OperationRecord:
    """All attempts at one operation; `calls` has one call, with its own id, for each.

    An answer with status 0 means that the connection failed or that the caller
    stopped waiting.
    """

    caller: str
    operation: Operation
    calls: list[Call] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    is_finished: bool = False

    @property
    def answer(self) -> Answer | None:
        """Return the last answer, or None before the first."""
        return self.answers[-1] if self.answers else None


class VirtualCallers:
    """Any number of callers; `records` lists all operations that were started."""

    def __init__(self, *, world: World, seed: int) -> None:
        self.world = world
        self.records: list[OperationRecord] = []
        self._rng = random.Random(seed)
        self._pending: dict[str, OperationRecord] = {}
        self._sequence = 0
        world.answer_hooks.append(self._handle_answer)

    def start(
        self, caller: str, operation: Operation, delay_s: float = 0.0
    ) -> OperationRecord:
        """Start an operation after a delay and return its record."""
        record = OperationRecord(caller=caller, operation=operation)
        self.records.append(record)
        self.world.after(delay_s, lambda: self._send_attempt(record))
        return record

    def _send_attempt(self, record: OperationRecord) -> None:
        host = self._choose_host(record)
        if host is None:
            self.world.after(RETRY_DELAY_S, lambda: self._send_attempt(record))
            return
        self._sequence += 1
        operation = record.operation
        call = Call(
            call_id=f"{record.caller}-{self._sequence}",
            service=operation.service,
            method=operation.method,
            path=operation.path,
            caller=record.caller,
            deadline=self.world.now + operation.time_limit_s,
            urgency=operation.urgency,
            key=operation.key,
            fingerprint=make_fingerprint(record.caller, operation),
        )
        record.calls.append(call)
        self._pending[call.call_id] = record
        self.world.call(host, call)
        self.world.after(
            operation.time_limit_s + TIMEOUT_MARGIN_S,
            lambda: self._expire_call(call.call_id),
        )

    def _choose_host(self, record: OperationRecord) -> str | None:
        """Look up addresses in a random live host; each retry uses the next address."""
        live = [h for h in self.world.hosts.values() if h.is_alive and not h.is_frozen]
        if not live:
            return None
        queried_host = self._rng.choice(live)
        answer = get_addresses(
            queried_host.state,
            record.operation.service,
            queried_host.failure_domain,
            record.caller,
            self.world.now,
        )
        if answer is None or not answer.addresses:
            return None
        address = answer.addresses[len(record.calls) % len(answer.addresses)]
        host = find_host(self.world.hosts.values(), address)
        return host.name if host is not None else None

    def _handle_answer(self, answer: Answer) -> None:
        record = self._pending.pop(answer.call_id, None)
        if record is None:
            return
        record.answers.append(answer)
        if not self._can_retry(record, answer):
            record.is_finished = True
            return
        retry_delay_s = max(RETRY_DELAY_S, answer.retry_after_s or 0.0)
        self.world.after(retry_delay_s, lambda: self._send_attempt(record))

    def _expire_call(self, call_id: str) -> None:
        if call_id not in self._pending:
            return
        self._handle_answer(
            Answer(
                call_id=call_id,
                at=self.world.now,
                status=0,
                verdict=Verdict.MAY_HAVE_RUN,
                is_complete=False,
            )
        )

    def _can_retry(self, record: OperationRecord, answer: Answer) -> bool:
        if len(record.calls) >= MAX_ATTEMPTS:
            return False
        if answer.status == 0:
            return True
        if (answer.retry_after_s or 0.0) > MAX_RETRY_AFTER_S:
            return False
        return answer.status >= 500 and answer.verdict is Verdict.NOT_RUN


def make_fingerprint(caller: str, operation: Operation) -> str:
    """Return the digest of caller and request that a key is bound to."""
    text = f"{caller}\0{operation.method}\0{operation.path}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]
