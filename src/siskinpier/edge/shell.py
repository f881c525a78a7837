"""I/O shell around the core: passes events to it and carries out its effects.

All decisions are made by the core, in `reduce`.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Any, Final, TypeAlias, TypeVar

import anyio
from anyio.abc import TaskGroup

from ..core.cluster.readiness import is_ready
from ..core.configuration.intents import CallerLimits
from ..core.configuration.orders import Order, OrderResult, OrderStatus
from ..core.effects import (
    AbandonAttempt,
    AnswerOrder,
    ClearTimer,
    CutReply,
    Effect,
    LogDecision,
    ReadObject,
    RefuseCall,
    RelayReply,
    ReplayReply,
    SendAttempt,
    SendMessage,
    SendProbe,
    SetCallerLimits,
    SetTimer,
    StopHost,
    WatchIntents,
    WriteObject,
)
from ..core.events import (
    AttemptFailed,
    CallArrived,
    CallCancelled,
    CallFailed,
    Event,
    MessageReceived,
    ObjectRead,
    ObjectWritten,
    OrderGiven,
    PeerRefused,
    ReplyFinished,
    ReplyStarted,
    ShutdownRequested,
    TimerFired,
)
from ..core.messages import Message
from ..core.problems import make_host_stopped, make_internal_error
from ..core.reducer import apply_event
from ..core.routing.addresses import AddressAnswer, get_addresses
from ..core.routing.calls import Stage
from ..core.routing.refusals import get_untracked_verdict
from ..core.routing.slot_counts import recount_slots
from ..core.state import HostState, Lifecycle
from ..core.timers import CallDeadline, ShutdownCheckDue, Timer
from ..core.verdict import AttemptFailure, Verdict
from ..failures import FailureLog
from ..logs import log_event, log_warning
from ..metrics import HostMetrics
from ..settings.host import HostSettings
from .backends import AttemptError, BackendClient
from .caller_limits import apply_caller_limits
from .cancellation import unasked_cancellation_as_error
from .exchange import AbortReply, Exchange
from .failed_events import (
    INTERNAL_ERROR,
    get_call_id,
    get_event_name,
    get_order_id,
    list_lost_timers,
    make_failed_result,
)
from .header_adapter import HeaderAdapter
from .loop_timers import LoopTimers
from .mesh import Mesh
from .object_store import ObjectStore
from .probe_requests import run_probe
from .request_memory import RequestMemory
from .supervision import MAX_RESTART_DELAY_S, MIN_RESTART_DELAY_S

# How soon slots are counted anew after an event that failed, seconds.
RECOUNT_DELAY_S: Final = 1.0
# How long after its time limit a shutdown is forced if the core did not stop, seconds.
OVERDUE_MARGIN_S: Final = 0.1

_EffectT = TypeVar("_EffectT", bound=Effect)
EffectTask: TypeAlias = Callable[[_EffectT], Coroutine[Any, Any, None]]


class Shell:
    """The I/O of one host: its calls, probes, timers, messages and orders."""

    def __init__(
        self,
        *,
        settings: HostSettings,
        state: HostState,
        clock: Callable[[], float],
        platform: ObjectStore,
        header_adapter: HeaderAdapter,
        backends: BackendClient,
        metrics: HostMetrics,
        dropped_lines: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        self.settings = settings
        # Where the routing intents have limits on callers, those are in `settings`.
        self._own_limits = settings.limits
        self.state = state
        self.clock = clock
        self.platform = platform
        self.header_adapter = header_adapter
        self.metrics = metrics
        metrics.register_state(state, clock, platform.calls, dropped_lines)
        security = settings.security
        self.peer_key = security.peer_key.encode()
        self.failures = FailureLog(
            count=metrics.count_failure,
            secrets=(
                security.peer_key,
                security.operator_token,
                *security.operator_tokens.values(),
                settings.platform.token,
            ),
        )
        self.exchanges: dict[str, Exchange] = {}
        # Set once the lifecycle is past STARTING: the host serves or is shutting down.
        self.started = anyio.Event()
        # Set when the core has nothing in flight: send the last responses, then exit.
        self.stopped = anyio.Event()
        self.is_watching = False
        self.watch_changed = anyio.Event()
        # Set when the host must exit at once, without waiting for open responses.
        self.aborted = anyio.Event()
        # The part of the host whose failure ends it; empty if a stop was asked for.
        self.failed_part = ""
        # False while the server of callers has failed and was not started again.
        self.is_serving = True
        self.mesh = Mesh(
            name=settings.name,
            key=settings.security.peer_key,
            failures=self.failures,
            handle_message=self._handle_message,
            handle_refusal=self._handle_refusal,
            count_ignored=partial(metrics.count_decision, "peer-message-ignored", {}),
        )
        self.request_memory = RequestMemory(
            limit_bytes=settings.limits.all_requests_bytes
        )
        self._backends = backends
        self._timers = LoopTimers(clock=clock, fire=self._handle_timer)
        self._orders: dict[str, tuple[anyio.Event, list[OrderResult]]] = {}
        self._tasks: TaskGroup | None = None
        self._is_closed = False
        self._is_recount_due = False
        self._is_stop_requested = False
        # Failures in a row of timers that go on after a failure.
        self._timer_failures: dict[Timer, int] = {}

    def start(self, tasks: TaskGroup) -> None:
        """Run effects in the given task group from now on."""
        self._tasks = tasks

    def close(self) -> None:
        """Stop timers, tasks and messages; later events are dropped."""
        self._is_closed = True
        self._timers.close()
        self.mesh.close()
        self._tasks = None

    def is_ready(self) -> bool:
        """Return True if callers should be sent to this host."""
        return self.is_serving and is_ready(self.state, self.clock())

    def set_serving(self, is_serving: bool) -> None:
        """Record whether the server of callers runs."""
        self.is_serving = is_serving

    def stop_for_failure(self, part: str) -> None:
        """Shut down gracefully, as a part that the host needs has failed for good."""
        self.failed_part = self.failed_part or part
        self.handle(ShutdownRequested(now=self.clock()))

    def handle(self, event: Event) -> bool:
        """Pass one event to the core and carry out the effects it returns.

        Return False if an unexpected error occurred. It costs the call, order or timer
        that the event belongs to; nothing is raised.
        """
        if self._is_closed:
            self._refuse_late_call(event)
            return False
        if type(event) is ReplyFinished:
            self._record_latency(event)
        is_applied = self._apply(event)
        if not is_applied:
            self._settle(event)
        elif self._timer_failures and isinstance(event, TimerFired):
            self._timer_failures.pop(event.timer, None)
        if isinstance(event, ShutdownRequested):
            self._limit_shutdown()
        if self.state.lifecycle is not Lifecycle.STARTING and not self.started.is_set():
            self.started.set()
        return is_applied

    def fail_call(self, call_id: str, exc: Exception) -> None:
        """Record an error in the task that serves a call, and end the call."""
        self.failures.record("task/call", exc)
        self._end_call(CallFailed(now=self.clock(), call_id=call_id), call_id)

    def _apply(self, event: Event) -> bool:
        """Apply an event; after an error, carry out the effects of the applied part."""
        out: list[Effect] = []
        is_applied = True
        try:
            apply_event(self.state, event, out)
        except Exception as exc:
            is_applied = False
            self.failures.record(f"event/{get_event_name(event)}", exc)
        failed: list[Effect] = []
        for effect in out:
            try:
                self._execute(effect)
            except Exception as exc:
                failed.append(effect)
                self.failures.record(f"effect/{type(effect).__name__}", exc)
        for effect in failed:
            self._report_failed_effect(effect)
        return is_applied

    def _report_failed_effect(self, effect: Effect) -> None:
        result = make_failed_result(effect, self.clock())
        if result is not None:
            self.handle(result)

    def _settle(self, event: Event) -> None:
        """Do what must follow an event although its handling failed."""
        call_id = get_call_id(event)
        if call_id is not None:
            self._end_call(event, call_id)
        order_id = get_order_id(event)
        if order_id is not None:
            self._answer_failed_order(order_id)
        for timer in list_lost_timers(event, self.state):
            if not self._timers.is_set(timer):
                self._set_lost_timer(timer, event)
        if not self._is_recount_due:
            self._is_recount_due = True
            asyncio.get_running_loop().call_later(RECOUNT_DELAY_S, self._recount_slots)

    def _end_call(self, event: Event, call_id: str) -> None:
        """End a call with its final answer, unless its reply is on its way."""
        active = self.state.calls.get(call_id)
        is_relaying = active is not None and active.stage is Stage.RELAYING
        if isinstance(event, ReplyStarted) and is_relaying:
            return
        has_reply = isinstance(event, ReplyFinished | CallCancelled)
        now = self.clock()
        failed = CallFailed(now=now, call_id=call_id, has_reply=has_reply)
        if not self._apply(failed):
            self._forget_call(call_id)
        exchange = self.exchanges.get(call_id)
        if exchange is None or has_reply or exchange.instruction is not None:
            return
        verdict = Verdict.MAY_HAVE_RUN
        if isinstance(event, CallArrived) and exchange.next_attempt is None:
            verdict = get_untracked_verdict(event.call)
        problem = make_internal_error(verdict)
        exchange.set_instruction(RefuseCall(call_id=call_id, problem=problem))

    def _forget_call(self, call_id: str) -> None:
        """Remove a call that the core cannot end, and cancel its attempts."""
        active = self.state.calls.pop(call_id, None)
        self._timers.clear(CallDeadline(call_id=call_id))
        if active is not None:
            for service in self.state.services.values():
                with self.failures.guard("queue"):
                    service.queue.remove(active)
        exchange = self.exchanges.get(call_id)
        if exchange is not None:
            for number in {*exchange.attempts, *exchange.replies}:
                self._cancel_attempt(AbandonAttempt(call_id=call_id, attempt=number))

    def _answer_failed_order(self, request_id: str) -> None:
        """Tell an operator that the result of an order is unknown."""
        self.state.orders.pop(request_id, None)
        waiting = self._orders.pop(request_id, None)
        if waiting is not None:
            done, results = waiting
            results.append(_make_unknown_result(self.state.intents.revision))
            done.set()

    def _set_lost_timer(self, timer: Timer, event: Event) -> None:
        """Set a timer again whose handling failed, after a growing delay."""
        count = self._timer_failures.get(timer, 0)
        self._timer_failures[timer] = count + 1
        delay_s = min(MAX_RESTART_DELAY_S, MIN_RESTART_DELAY_S * 2 ** min(count, 10))
        if isinstance(event, ShutdownRequested) and timer == ShutdownCheckDue():
            delay_s = self.state.settings.announce_s
        self._timers.set(timer, self.clock() + delay_s)

    def _recount_slots(self) -> None:
        """Free slots that an event left in use although it failed."""
        self._is_recount_due = False
        with self.failures.guard("recount"):
            wrong = recount_slots(self.state)
            if wrong:
                log_warning("slots-recounted", servers=wrong)

    def _limit_shutdown(self) -> None:
        """Stop the host at its time limit even if the core does not."""
        if self._is_stop_requested:
            return
        self._is_stop_requested = True
        settings = self.state.settings
        limit_s = settings.announce_s + settings.shutdown_bound_s + OVERDUE_MARGIN_S
        asyncio.get_running_loop().call_later(limit_s, self._stop_overdue)

    def _stop_overdue(self) -> None:
        if not self.stopped.is_set():
            self.failures.record("shutdown", TimeoutError("the core did not stop"))
            self._stop("overdue", at_once=True)

    def _stop(self, reason: str, *, at_once: bool) -> None:
        self.stopped.set()
        if at_once:
            self.aborted.set()
        log_event("stop", reason=reason)

    def _refuse_late_call(self, event: Event) -> None:
        """Refuse a call that arrives when the host has ended."""
        if isinstance(event, CallArrived) and event.call.call_id in self.exchanges:
            problem = make_host_stopped(get_untracked_verdict(event.call))
            refusal = RefuseCall(call_id=event.call.call_id, problem=problem)
            self.exchanges[event.call.call_id].set_instruction(refusal)

    def _record_latency(self, event: ReplyFinished) -> None:
        active = self.state.calls.get(event.call_id)
        if active is None:
            return
        latency_s = event.now - active.arrived
        try:
            self.metrics.observe_call(active.call.service, active.urgency, latency_s)
            if active.route is not None:
                name = active.route.name
                self.metrics.observe_route(name, active.urgency, latency_s)
        except Exception as exc:
            self.failures.record("metrics", exc)

    def get_addresses(
        self, service: str, failure_domain: str, caller_key: str
    ) -> dict[str, object] | None:
        """Return the addresses of a service as a JSON document, or None."""
        answer = get_addresses(
            self.state, service, failure_domain, caller_key, self.clock()
        )
        return _make_addresses_document(answer) if answer is not None else None

    async def give_order(
        self, order: Order, operator: str, update_id: str | None = None
    ) -> OrderResult:
        """Pass an operator's order to the core; return its result once it is known."""
        request_id = f"order-{time.monotonic_ns()}-{len(self._orders)}"
        done = anyio.Event()
        results: list[OrderResult] = []
        self._orders[request_id] = (done, results)
        given = OrderGiven(
            now=self.clock(),
            request_id=request_id,
            order=order,
            operator=operator,
            update_id=update_id,
        )
        if not self.handle(given):
            self._answer_failed_order(request_id)
        await done.wait()
        return results[0]

    def _execute(self, effect: Effect) -> None:
        match effect:
            case SendAttempt():
                self._record_queue_wait(effect)
                self._start_attempt(effect)
            case RelayReply() | RefuseCall() | ReplayReply():
                self._set_instruction(effect)
            case SetTimer(timer=timer, at=at):
                self._timers.set(timer, at)
            case ClearTimer(timer=timer):
                self._timers.clear(timer)
            case LogDecision(event=event, fields=fields):
                log_event(event, **fields)
                self.metrics.count_decision(event, fields)
            case AbandonAttempt():
                self._cancel_attempt(effect)
            case CutReply(call_id=call_id):
                exchange = self.exchanges.get(call_id)
                if exchange is not None:
                    exchange.set_instruction(AbortReply())
            case SendMessage(host=host, address=address, message=message):
                self.mesh.send(host, address, message)
            case SendProbe(service=service):
                with self.failures.guard("metrics"):
                    self.metrics.probes.labels(service).inc()
                self._spawn(self._run_probe, effect)
            case ReadObject():
                self._spawn(self._read_object, effect)
            case WriteObject():
                self._spawn(self._write_object, effect)
            case SetCallerLimits(limits=limits):
                self._set_caller_limits(limits)
            case WatchIntents(watching=watching):
                self.is_watching = watching
                self.watch_changed.set()
            case AnswerOrder(request_id=request_id, result=result):
                done, results = self._orders.pop(request_id)
                results.append(result)
                done.set()
            case StopHost(reason=reason, at_once=at_once):
                self._stop(reason, at_once=at_once)

    def _set_caller_limits(self, caller_limits: CallerLimits | None) -> None:
        limits = apply_caller_limits(self._own_limits, caller_limits)
        self.settings = replace(self.settings, limits=limits)
        log_event(
            "limits",
            header=limits.header_bytes,
            body=limits.body_bytes,
            head_s=limits.head_timeout_s,
            idle_s=limits.keep_alive_s,
        )

    def knows_caller_limits(self) -> bool:
        """Return False while a request may be allowed that exceeds the limits here."""
        if not self.state.settings.servers_register:
            return True
        known = self.state.intents.caller_limits is not None
        return known and not self.state.lacks_caller_limits

    def _spawn(self, function: EffectTask[_EffectT], effect: _EffectT) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._run_task, function, effect)

    async def _run_task(self, function: EffectTask[_EffectT], effect: _EffectT) -> None:
        """Run the task of an effect; report its failure as the result of the effect."""
        try:
            with unasked_cancellation_as_error():
                await function(effect)
        except Exception as exc:
            self.failures.record(f"task/{type(effect).__name__}", exc)
            if isinstance(effect, SendAttempt):
                self._drop_attempt(effect)
            self._report_failed_effect(effect)

    def _set_instruction(self, effect: RelayReply | RefuseCall | ReplayReply) -> None:
        exchange = self.exchanges.get(effect.call_id)
        if exchange is not None:
            exchange.set_instruction(effect)

    def _cancel_attempt(self, effect: AbandonAttempt) -> None:
        exchange = self.exchanges.get(effect.call_id)
        if exchange is None:
            return
        scope = exchange.attempts.pop(effect.attempt, None)
        if scope is not None:
            scope.cancel()
        reply = exchange.replies.pop(effect.attempt, None)
        if reply is not None:
            reply.close()

    def _record_queue_wait(self, effect: SendAttempt) -> None:
        """Record how long a call waited for its first backend server."""
        active = self.state.calls.get(effect.call_id)
        if active is None or effect.attempt > 0 or effect.is_forward:
            return
        wait_s = self.clock() - active.arrived
        try:
            self.metrics.observe_wait(active.call.service, active.urgency, wait_s)
        except Exception as exc:
            self.failures.record("metrics", exc)

    def _start_attempt(self, effect: SendAttempt) -> None:
        exchange = self.exchanges.get(effect.call_id)
        if exchange is not None and not exchange.offer_attempt(effect):
            self._spawn(self.run_attempt, effect)

    async def run_attempt(self, effect: SendAttempt) -> None:
        """Send one attempt; report the head of its reply or its failure to the core."""
        await self._run_task(self._send_attempt, effect)

    def _drop_attempt(self, effect: SendAttempt) -> None:
        """Close the reply of an attempt that met an unexpected error."""
        exchange = self.exchanges.get(effect.call_id)
        if exchange is not None:
            exchange.attempts.pop(effect.attempt, None)
            reply = exchange.replies.pop(effect.attempt, None)
            if reply is not None:
                reply.close()

    async def _send_attempt(self, effect: SendAttempt) -> None:
        exchange = self.exchanges.get(effect.call_id)
        active = self.state.calls.get(effect.call_id)
        if exchange is None or active is None:
            return
        call = active.call
        with anyio.CancelScope() as scope:
            exchange.attempts[effect.attempt] = scope
            try:
                reply = await self._backends.send(
                    address=effect.address,
                    method=exchange.method,
                    target=self.header_adapter.make_target(effect, exchange, call),
                    headers=self.header_adapter.make_request_headers(
                        effect, exchange, call
                    ),
                    body=exchange.body,
                    connections=effect.connections,
                    is_forward=effect.is_forward,
                    may_run_once=effect.at_most_once,
                )
            except AttemptError as exc:
                self._report_failure(effect, exc.failure)
                return
            if scope.cancel_called:
                reply.close()
                return
            exchange.replies[effect.attempt] = reply
            exchange.attempts.pop(effect.attempt, None)
            self.handle(self.header_adapter.read_reply(effect, reply, self.clock()))

    def _report_failure(self, effect: SendAttempt, failure: AttemptFailure) -> None:
        self.handle(
            AttemptFailed(
                now=self.clock(),
                call_id=effect.call_id,
                attempt=effect.attempt,
                failure=failure,
            )
        )

    async def _run_probe(self, effect: SendProbe) -> None:
        answered = await run_probe(
            effect, self._backends, self.header_adapter, self.clock
        )
        self.metrics.probe_bytes.labels(effect.service).inc(answered.bytes_used)
        self.handle(answered)

    async def _read_object(self, effect: ReadObject) -> None:
        result = await self.platform.read_object(kind=effect.kind, name=effect.name)
        self.handle(
            ObjectRead(now=self.clock(), request_id=effect.request_id, result=result)
        )

    async def _write_object(self, effect: WriteObject) -> None:
        result = await self.platform.write_object(
            kind=effect.kind,
            name=effect.name,
            spec=effect.spec,
            expected_version=effect.expected_version,
        )
        self.handle(
            ObjectWritten(now=self.clock(), request_id=effect.request_id, result=result)
        )

    def _handle_timer(self, timer: Timer) -> None:
        self.handle(TimerFired(now=self.clock(), timer=timer))

    def _handle_refusal(self, host: str) -> None:
        self.handle(PeerRefused(now=self.clock(), host=host))

    def _handle_message(self, sender: str, message: Message) -> None:
        self.handle(MessageReceived(now=self.clock(), sender=sender, message=message))


def _make_unknown_result(revision: int) -> OrderResult:
    status = OrderStatus.UNKNOWN
    return OrderResult(status=status, revision=revision, detail=INTERNAL_ERROR)


def _make_addresses_document(answer: AddressAnswer) -> dict[str, object]:
    return {
        "service": answer.service,
        "addresses": list(answer.addresses),
        "keep_s": answer.keep_s,
        "revision": answer.revision,
    }
