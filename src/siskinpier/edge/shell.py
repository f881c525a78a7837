"""I/O shell around the core: passes events to it and carries out its effects.

All decisions are made by the core, in `reduce`.
"""

import time
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..core.configuration.orders import Order, OrderResult
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
    SetTimer,
    StopHost,
    WatchIntents,
    WriteObject,
)
from ..core.events import (
    AttemptFailed,
    Event,
    MessageReceived,
    ObjectRead,
    ObjectWritten,
    OrderGiven,
    PeerRefused,
    ProbeAnswered,
    ReplyFinished,
    TimerFired,
)
from ..core.messages import Message
from ..core.reducer import reduce
from ..core.routing.addresses import AddressAnswer, get_addresses
from ..core.routing.calls import LoadReport
from ..core.state import HostState, Lifecycle
from ..core.timers import Timer
from ..core.verdict import AttemptFailure
from ..failures import FailureLog
from ..logs import log_event
from ..metrics import HostMetrics
from ..settings.host import HostSettings
from .backends import AttemptError, BackendClient
from .exchange import AbortReply, Exchange
from .header_adapter import HeaderAdapter
from .headers import Headers
from .loop_timers import LoopTimers
from .mesh import Mesh
from .object_store import ObjectStore
from .request_memory import RequestMemory

# A probe fails if its response body is longer.
PROBE_BODY_LIMIT_BYTES: Final = 65_536
PROBE_HEADERS: Final[Headers] = [(b"accept", b"application/json")]


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
        self.mesh = Mesh(
            name=settings.name,
            key=settings.security.peer_key,
            handle_message=self._handle_message,
            handle_refusal=self._handle_refusal,
        )
        self.request_memory = RequestMemory(
            limit_bytes=settings.limits.all_requests_bytes
        )
        self._backends = backends
        self._timers = LoopTimers(clock=clock, fire=self._handle_timer)
        self._orders: dict[str, tuple[anyio.Event, list[OrderResult]]] = {}
        self._tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        """Run effects in the given task group from now on."""
        self._tasks = tasks

    def handle(self, event: Event) -> None:
        """Pass one event to the core and carry out the effects it returns."""
        if type(event) is ReplyFinished:
            self._record_latency(event)
        for effect in reduce(self.state, event):
            self._execute(effect)
        if self.state.lifecycle is not Lifecycle.STARTING and not self.started.is_set():
            self.started.set()

    def _record_latency(self, event: ReplyFinished) -> None:
        active = self.state.calls.get(event.call_id)
        if active is not None:
            latency_s = event.now - active.arrived
            self.metrics.observe_call(active.call.service, active.urgency, latency_s)
            if active.route is not None:
                name = active.route.name
                self.metrics.observe_route(name, active.urgency, latency_s)

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
        self.handle(
            OrderGiven(
                now=self.clock(),
                request_id=request_id,
                order=order,
                operator=operator,
                update_id=update_id,
            )
        )
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
                self.metrics.count_decision(event, fields)
                log_event(event, **fields)
            case AbandonAttempt():
                self._cancel_attempt(effect)
            case CutReply(call_id=call_id):
                exchange = self.exchanges.get(call_id)
                if exchange is not None:
                    exchange.set_instruction(AbortReply())
            case SendMessage(host=host, address=address, message=message):
                self.mesh.send(host, address, message)
            case SendProbe(service=service):
                self.metrics.probes.labels(service).inc()
                self._spawn(self._run_probe, effect)
            case ReadObject():
                self._spawn(self._read_object, effect)
            case WriteObject():
                self._spawn(self._write_object, effect)
            case WatchIntents(watching=watching):
                self.is_watching = watching
                self.watch_changed.set()
            case AnswerOrder(request_id=request_id, result=result):
                done, results = self._orders.pop(request_id)
                results.append(result)
                done.set()
            case StopHost(reason=reason, at_once=at_once):
                log_event("stop", reason=reason)
                self.stopped.set()
                if at_once:
                    self.aborted.set()

    def _spawn(self, function: Callable[..., object], effect: Effect) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, effect)  # type: ignore[arg-type]

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
        self.metrics.observe_wait(active.call.service, active.urgency, wait_s)

    def _start_attempt(self, effect: SendAttempt) -> None:
        exchange = self.exchanges.get(effect.call_id)
        if exchange is not None and not exchange.offer_attempt(effect):
            self._spawn(self.run_attempt, effect)

    async def run_attempt(self, effect: SendAttempt) -> None:
        """Send one attempt; report the head of its reply or its failure to the core."""
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
                    target=_get_target(effect, exchange, self.state),
                    headers=self.header_adapter.make_request_headers(
                        effect, exchange, call
                    ),
                    body=exchange.body,
                    connections=effect.connections,
                    is_forward=effect.is_forward,
                )
            except AttemptError as exc:
                self._report_failure(effect, exc.failure)
                return
            if scope.cancel_called:
                reply.close()
                return
            exchange.attempts.pop(effect.attempt, None)
            exchange.replies[effect.attempt] = reply
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
        started = self.clock()
        latency_s: float | None = None
        pause_s: float | None = None
        draining = is_other_server = False
        report: LoadReport | None = None
        size = 0
        with anyio.move_on_after(effect.timeout_s):
            try:
                reply = await self._backends.send(
                    address=effect.address,
                    method="GET",
                    target=effect.path,
                    headers=PROBE_HEADERS,
                    body=b"",
                )
                try:
                    size = await reply.skip_body(limit_bytes=PROBE_BODY_LIMIT_BYTES)
                finally:
                    reply.close()
                draining = self.header_adapter.is_leaving(reply.headers)
                is_other_server = self.header_adapter.is_other_server(
                    reply.headers, effect.server
                )
                report = self.header_adapter.read_report(reply.headers)
                pause_s = self.header_adapter.read_pause(reply.status, reply.headers)
                if reply.status < 400:
                    latency_s = self.clock() - started
            except AttemptError:
                latency_s = None
        self.metrics.probe_bytes.labels(effect.service).inc(size)
        self.handle(
            ProbeAnswered(
                now=self.clock(),
                service=effect.service,
                server=effect.server,
                latency_s=latency_s,
                draining=draining,
                is_other_server=is_other_server,
                bytes_used=size,
                report=report,
                pause_s=pause_s,
            )
        )

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


def _get_target(effect: SendAttempt, exchange: Exchange, state: HostState) -> str:
    if not effect.is_forward:
        return exchange.target
    return f"/call/{state.calls[effect.call_id].call.service}{exchange.target}"


def _make_addresses_document(answer: AddressAnswer) -> dict[str, object]:
    return {
        "service": answer.service,
        "addresses": list(answer.addresses),
        "keep_s": answer.keep_s,
        "revision": answer.revision,
    }
