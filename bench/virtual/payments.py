"""Histories of payments that run at most once: retries, faults and a checker.

For each call refused as not run, the checker requires that it never runs and that
no call with its key had started to run before it was sent. The second requirement
does not apply if the call was refused because of another fingerprint or because
earlier calls were not looked up.
"""

from dataclasses import dataclass
from enum import StrEnum, unique
from functools import partial
from typing import Final

from siskinpier.core.claims.call_claims import NOT_LOOKED_UP_DETAIL
from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.effects import Effect, RefuseCall
from siskinpier.core.events import Event
from siskinpier.core.routing.calls import Call
from siskinpier.core.verdict import Verdict

from .deployment import make_deployment
from .environment import Answer
from .world import World

HOST_COUNT: Final = 4
SERVER_COUNT: Final = 3
DEADLINE_S: Final = 3.0
MEAN_SERVICE_TIME_S: Final = 0.008
RETRY_DELAY_S: Final = 0.02
MAX_ATTEMPTS: Final = 5
HISTORY_LENGTH_S: Final = 16.0
ANSWER_GRACE_S: Final = 0.25
SLOW_PLATFORM_LATENCY_S: Final = 0.7
SLOW_MESSAGE_DELAY_S: Final = 1.6


@unique
class FaultKind(StrEnum):
    """The kind of a temporary fault."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    CUT_ONE_WAY = "cut-one-way"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_SLOW = "platform-slow"
    REPLY_LOST = "reply-lost"
    WRITE_LATE = "write-late"
    SERVER_DOWN = "server-down"
    SERVER_SLOW = "server-slow"
    SERVER_CRASH = "server-crash"
    TRUNCATION = "truncation"
    MESSAGES_SLOW = "messages-slow"


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault at a host or backend server, given by number; times in seconds."""

    kind: FaultKind
    at: float
    length_s: float
    target: int
    other: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Payment:
    """A payment that its caller tries at one host after the other.

    The caller goes on to the next host after `attempt_timeout_s` without an answer. A
    payment without a key is not retried.
    """

    key: int | None
    at: float
    host: int
    attempt_timeout_s: float
    fingerprint: str = "f"


@dataclass(slots=True, kw_only=True)
class PaymentAttempt:
    """One attempt of a payment."""

    call: Call
    host: str
    at: float
    answer: Answer | None = None


class PaymentHistory:
    """Payments and faults in a virtual deployment, and checks of their history."""

    def __init__(self, *, payments: list[Payment], faults: list[Fault]) -> None:
        self.world = make_deployment(
            intents=make_intents(),
            hosts=HOST_COUNT,
            seed=1,
            mean_service_time_s=MEAN_SERVICE_TIME_S,
        )
        self.sent: dict[str, PaymentAttempt] = {}
        self._payments = payments
        self._faults = faults
        self._not_looked_up: set[str] = set()
        self._start = self.world.now
        self.world.answer_hooks.append(self._handle_answer)
        self._outstanding: dict[str, tuple[Payment, int]] = {}
        for host in self.world.hosts.values():
            host.event_hooks.append(self._record_refusals)

    def run(self) -> list[str]:
        """Run the history and return its violations."""
        world = self.world
        for payment in self._payments:
            world.after(payment.at, partial(self._send, payment, 0))
        for fault in self._faults:
            world.after(fault.at, partial(apply_fault, world, fault))
        world.run_for(HISTORY_LENGTH_S)
        return [
            *self._check_runs(),
            *self._check_refusals(),
            *self._check_answers(),
            *self._check_times(),
        ]

    def _send(self, payment: Payment, number: int) -> None:
        world = self.world
        host = f"host-{(payment.host + number) % HOST_COUNT}"
        call = Call(
            call_id=f"call-{len(self.sent)}",
            service="payments",
            method="POST",
            path="/pay",
            caller="caller",
            deadline=world.now + DEADLINE_S,
            key=None if payment.key is None else f"key-{payment.key}",
            fingerprint=payment.fingerprint,
        )
        self.sent[call.call_id] = PaymentAttempt(call=call, host=host, at=world.now)
        self._outstanding[call.call_id] = (payment, number)
        world.call(host, call)
        world.after(
            payment.attempt_timeout_s, lambda: self._handle_timeout(call.call_id)
        )

    def _handle_timeout(self, call_id: str) -> None:
        if self.sent[call_id].answer is None:
            self._retry(call_id)

    def _handle_answer(self, answer: Answer) -> None:
        sent = self.sent[answer.call_id]
        sent.answer = answer
        if answer.is_complete and answer.status < 500:
            self._outstanding.pop(answer.call_id, None)
            return
        self.world.after(RETRY_DELAY_S, lambda: self._retry(answer.call_id))

    def _retry(self, call_id: str) -> None:
        found = self._outstanding.pop(call_id, None)
        if found is None:
            return
        payment, number = found
        if payment.key is not None and number + 1 < MAX_ATTEMPTS:
            self._send(payment, number + 1)

    def _record_refusals(self, event: Event, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, RefuseCall) and effect.problem.detail == (
                NOT_LOOKED_UP_DETAIL
            ):
                self._not_looked_up.add(effect.call_id)

    def _list_run_times(self, call: Call) -> list[float]:
        """Return the start times of all runs of a call and of calls with its key."""
        return [
            run.at
            for server in self.world.servers.values()
            for run in server.journal
            if run.call.call_id == call.call_id
            or (call.key is not None and run.call.key == call.key)
        ]

    def _check_runs(self) -> list[str]:
        seen: dict[str, int] = {}
        for server in self.world.servers.values():
            for run in server.journal:
                name = run.call.key or run.call.call_id
                seen[name] = seen.get(name, 0) + 1
        return [
            f"{name} ran {count} times" for name, count in seen.items() if count > 1
        ]

    def _check_refusals(self) -> list[str]:
        violations: list[str] = []
        ran = {
            run.call.call_id
            for server in self.world.servers.values()
            for run in server.journal
        }
        for call_id, sent in self.sent.items():
            answer = sent.answer
            if answer is None or answer.verdict is not Verdict.NOT_RUN:
                continue
            if call_id in ran:
                violations.append(f"{call_id} ran, and was refused as not run")
            if call_id in self._not_looked_up or answer.status == 422:
                continue
            if any(at < sent.at for at in self._list_run_times(sent.call)):
                violations.append(f"key of {call_id} ran, and was refused as not run")
        return violations

    def _check_answers(self) -> list[str]:
        violations: list[str] = []
        for call_id, sent in self.sent.items():
            answer = sent.answer
            if answer is None or not answer.is_complete or answer.status != 200:
                continue
            source = self.sent.get(answer.run_call_id or "")
            if source is None:
                violations.append(f"{call_id} got an answer of no run")
            elif source.call.key != sent.call.key:
                violations.append(f"{call_id} got the answer of another key")
            elif sent.call.key is None and answer.run_call_id != call_id:
                violations.append(f"{call_id} got the answer of {answer.run_call_id}")
            elif source.call.fingerprint != sent.call.fingerprint:
                violations.append(f"{call_id} got the answer to another request")
        return violations

    def _check_times(self) -> list[str]:
        violations: list[str] = []
        for call_id, sent in self.sent.items():
            if sent.answer is None:
                violations.append(f"{call_id} has no answer")
                continue
            late_s = sent.answer.at - sent.call.deadline
            if late_s > ANSWER_GRACE_S and not self._was_host_frozen(sent):
                violations.append(f"{call_id} was answered {late_s:.3f} s late")
        return violations

    def _was_host_frozen(self, sent: PaymentAttempt) -> bool:
        for fault in self._faults:
            host = f"host-{fault.target % HOST_COUNT}"
            until = self._start + fault.at + fault.length_s
            is_during = until > sent.at and self._start + fault.at < sent.call.deadline
            if fault.kind is FaultKind.FREEZE and host == sent.host and is_during:
                return True
        return False


def make_intents() -> RoutingIntents:
    """Return intents with one service of non-idempotent calls."""
    servers = tuple(
        BackendServer(
            name=f"pay-{number}",
            address=f"10.0.0.{number}:80",
            failure_domain=f"domain-{number}",
        )
        for number in range(SERVER_COUNT)
    )
    service = ServiceIntent(name="payments", deadline_s=DEADLINE_S, servers=servers)
    return RoutingIntents(services=(service,))


def apply_fault(world: World, fault: Fault) -> None:
    """Inject a fault, and schedule its end."""
    host = world.hosts[f"host-{fault.target % HOST_COUNT}"]
    other = f"host-{fault.other % HOST_COUNT}"
    server = list(world.servers.values())[fault.target % SERVER_COUNT]
    platform = world.platform
    assert platform is not None
    match fault.kind:
        case FaultKind.KILL:
            host.kill()
            world.after(fault.length_s, host.restart)
        case FaultKind.FREEZE:
            host.freeze()
            world.after(fault.length_s, host.resume)
        case FaultKind.CUT:
            world.network.cut(host.name, other)
            world.network.cut(other, host.name)
            world.after(fault.length_s, world.network.heal)
        case FaultKind.CUT_ONE_WAY:
            world.network.cut(host.name, other)
            world.after(fault.length_s, world.network.heal)
        case FaultKind.PLATFORM_DOWN:
            platform.is_down = True
            world.after(fault.length_s, lambda: setattr(platform, "is_down", False))
        case FaultKind.PLATFORM_SLOW:
            usual_s, platform.latency_s = 0.003, SLOW_PLATFORM_LATENCY_S
            world.after(fault.length_s, lambda: setattr(platform, "latency_s", usual_s))
        case FaultKind.REPLY_LOST:
            platform.replies_to_lose += 1
        case FaultKind.WRITE_LATE:
            platform.writes_to_delay += 1
        case FaultKind.SERVER_DOWN:
            server.is_down = True
            world.after(fault.length_s, lambda: setattr(server, "is_down", False))
        case FaultKind.SERVER_SLOW:
            server.slow_factor = 100.0
            world.after(fault.length_s, lambda: setattr(server, "slow_factor", 1.0))
        case FaultKind.SERVER_CRASH:
            server.crash()
        case FaultKind.TRUNCATION:
            server.is_truncating = True
            world.after(fault.length_s, lambda: setattr(server, "is_truncating", False))
        case FaultKind.MESSAGES_SLOW:
            network = world.network
            network.message_delay_s = SLOW_MESSAGE_DELAY_S
            world.after(
                fault.length_s, lambda: setattr(network, "message_delay_s", 0.0)
            )
