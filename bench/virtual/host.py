"""A host in virtual time: runs one core, executes its effects, simulates faults."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any, Final

from siskinpier.core.claims.messages import KeptReply
from siskinpier.core.configuration.orders import Order, OrderResult
from siskinpier.core.effects import (
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
from siskinpier.core.events import (
    AttemptFailed,
    CallArrived,
    Event,
    HostStarted,
    MessageReceived,
    OrderGiven,
    PeerRefused,
    ProbeAnswered,
    ReplyFinished,
    ReplyStarted,
    TimerFired,
)
from siskinpier.core.reducer import reduce
from siskinpier.core.routing.calls import Call
from siskinpier.core.state import (
    CoreSettings,
    HostIdentity,
    Lifecycle,
    make_state,
)
from siskinpier.core.timers import Timer
from siskinpier.core.verdict import AttemptFailure, Verdict, get_failure_verdict
from siskinpier.edge.codec import encode_message

from .environment import Answer, Environment
from .platform_client import VirtualPlatformClient, parse_or_none
from .servers import ServerReply, ServerRequest

PROBE_BYTES: Final = 400
CONNECT_DELAY_S: Final = 0.001
CALLER_DELAY_S: Final = 0.003


@dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    """A reply on its way back over one hop."""

    status: int
    verdict: Verdict | None
    load: int | None = None
    draining: bool = False
    truncated: bool = False
    run_call_id: str | None = None
    retry_after_s: float | None = None


@dataclass(slots=True, eq=False, kw_only=True)
class _ServedCall:
    """A call that this host serves.

    `forwarder` is the host that forwarded it and the number of its attempt, or
    None. `replies` and `requests` are by attempt number.
    """

    call: Call
    forwarder: "tuple[VirtualHost, int] | None"
    replies: dict[int, _Reply]
    requests: dict[int, ServerRequest]


def find_host(hosts: Iterable["VirtualHost"], address: str) -> "VirtualHost | None":
    """Return the host with this caller or peer address."""
    for host in hosts:
        if address in (host.identity.callers, host.identity.peers):
            return host
    return None


class VirtualHost:
    """Runs one core; `kill`, `restart`, `freeze` and `resume` simulate host faults."""

    def __init__(
        self,
        *,
        world: Environment,
        hosts: Mapping[str, "VirtualHost"],
        name: str,
        failure_domain: str,
        seed: int,
    ) -> None:
        self.world = world
        self._hosts = hosts
        self.name = name
        self.failure_domain = failure_domain
        self.is_alive = True
        self.is_frozen = False
        self.was_frozen = False
        self.bytes_sent: Counter[str] = Counter()
        self.messages_sent: Counter[str] = Counter()
        self.decisions: Counter[str] = Counter()
        self.forwards = 0
        self.revisions: list[tuple[float, int]] = []
        self.log: list[tuple[float, str, dict[str, object]]] = []
        self.records_log = False
        self.event_hooks: list[Callable[[Event, list[Effect]], None]] = []
        self.seed_peers: tuple[str, ...] = ()
        self.peers_sent_to: set[str] = set()
        self._seed = seed
        self._deferred_events: list[Callable[[], Event]] = []
        self._timers: dict[Timer, int] = {}
        self._timer_sequence = 0
        self._served_calls: dict[str, _ServedCall] = {}
        self._orders: dict[str, Callable[[OrderResult], None]] = {}
        self._generation = 0
        self._connected: set[str] = set()
        self._platform = VirtualPlatformClient(
            world=world,
            name=name,
            deliver=self.deliver,
            is_frozen=lambda: self.is_frozen,
            needs_frequent_polls=self._needs_frequent_polls,
        )
        self.identity = self._make_identity()
        self.state = self._make_state()

    def start(self) -> None:
        """Start the core and the polls of the platform."""
        self.deliver(lambda: HostStarted(now=self.world.now))
        self._platform.start()

    def kill(self) -> None:
        """Stop the host at once; its calls and connections are lost."""
        self.is_alive = False
        self._generation += 1
        self._platform.stop()
        for served in list(self._served_calls.values()):
            for request in served.requests.values():
                self._cancel_request(request)
            self._fail_served_call(served)
        self._served_calls.clear()

    def restart(self) -> None:
        """Start again with the same name and addresses and a new state."""
        self.kill()
        self.is_alive = True
        self.is_frozen = False
        self._deferred_events.clear()
        self._timers.clear()
        self._orders.clear()
        self._connected.clear()
        self.identity = self._make_identity()
        self.state = self._make_state()
        self.start()

    def freeze(self) -> None:
        """Suspend the host; events that arrive are deferred."""
        self.is_frozen = True
        self.was_frozen = True

    def resume(self) -> None:
        """Resume the host and deliver the deferred events in order."""
        self.is_frozen = False
        deferred, self._deferred_events = self._deferred_events, []
        for make_event in deferred:
            self.deliver(make_event)

    def deliver(self, make_event: Callable[[], Event]) -> None:
        """Pass an event to the core; `make_event` creates it with the current time."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._deferred_events.append(make_event)
            return
        event = make_event()
        effects = reduce(self.state, event)
        for hook in self.event_hooks:
            hook(event, effects)
        revision = self.state.intents.revision
        if self.state.lifecycle is not Lifecycle.STARTING and (
            not self.revisions or self.revisions[-1][1] != revision
        ):
            self.revisions.append((self.world.now, revision))
        for effect in effects:
            self._execute_effect(effect)

    def accept_call(
        self, call: Call, forwarder: "tuple[VirtualHost, int] | None"
    ) -> None:
        """Accept a call from a caller, or from the host that forwards it."""
        if not self.is_alive:
            if forwarder is None:
                self._answer_caller(call.call_id, None)
            else:
                source, attempt = forwarder
                source.handle_attempt_failed(
                    call.call_id, attempt, AttemptFailure.CONNECT_REFUSED
                )
            return
        self._served_calls[call.call_id] = _ServedCall(
            call=call, forwarder=forwarder, replies={}, requests={}
        )
        self.deliver(lambda: CallArrived(now=self.world.now, call=call))

    def give_order(
        self,
        order: Order,
        operator: str,
        callback: Callable[[OrderResult], None],
        update_id: str | None = None,
    ) -> None:
        """Pass an operator's order to the core; `callback` gets its result."""
        request_id = f"{self.name}-{self._generation}-{self.world.rng.getrandbits(40)}"
        self._orders[request_id] = callback
        self.deliver(
            lambda: OrderGiven(
                now=self.world.now,
                request_id=request_id,
                order=order,
                operator=operator,
                update_id=update_id,
            )
        )

    def handle_attempt_failed(
        self, call_id: str, attempt: int, failure: AttemptFailure
    ) -> None:
        """Pass the failure of an attempt to the core."""
        self.deliver(
            lambda: AttemptFailed(
                now=self.world.now, call_id=call_id, attempt=attempt, failure=failure
            )
        )

    def handle_reply_started(self, call_id: str, attempt: int, reply: _Reply) -> None:
        """Store a reply and pass its start to the core."""
        served = self._served_calls.get(call_id)
        if served is None:
            return
        served.replies[attempt] = reply
        self.deliver(
            lambda: ReplyStarted(
                now=self.world.now,
                call_id=call_id,
                attempt=attempt,
                status=reply.status,
                load=reply.load,
                draining=reply.draining,
                verdict=reply.verdict,
            )
        )

    def _execute_effect(self, effect: Effect) -> None:
        match effect:
            case SendAttempt(is_forward=True):
                self._forward_call(effect)
            case SendAttempt():
                self._send_to_server(effect)
            case AbandonAttempt(call_id=call_id, attempt=attempt):
                self._cancel_attempt(call_id, attempt)
            case RelayReply():
                self._relay_reply(effect)
            case RefuseCall(call_id=call_id, problem=problem):
                self._finish_call(
                    call_id,
                    _Reply(
                        status=problem.status,
                        verdict=problem.verdict,
                        retry_after_s=problem.retry_after_s,
                    ),
                )
            case ReplayReply(call_id=call_id, kept=kept):
                run_call_id = kept.body.decode()
                reply = _Reply(
                    status=kept.status,
                    verdict=Verdict.RAN,
                    run_call_id=run_call_id or None,
                )
                self._finish_call(call_id, reply)
            case CutReply(call_id=call_id):
                served = self._served_calls.pop(call_id, None)
                if served is not None:
                    self._fail_served_call(served)
            case SetTimer(timer=timer, at=at):
                self._set_timer(timer, at)
            case ClearTimer(timer=timer):
                self._timers.pop(timer, None)
            case SendMessage():
                self._send_message(effect)
            case SendProbe():
                self._send_probe(effect)
            case ReadObject():
                self._platform.read(effect)
            case WriteObject():
                self._platform.write(effect)
            case WatchIntents(watching=watching):
                self._platform.watch(watching=watching)
            case AnswerOrder(request_id=request_id, result=result):
                callback = self._orders.pop(request_id, None)
                if callback is not None:
                    callback(result)
            case LogDecision(event=event, fields=fields):
                self.decisions[event] += 1
                if self.records_log:
                    self.log.append((self.world.now, event, fields))
            case StopHost():
                self.kill()

    def _send_to_server(self, effect: SendAttempt) -> None:
        world = self.world
        server = world.servers.get(effect.address)
        served = self._served_calls.get(effect.call_id)
        if server is None or served is None:
            self._fail_later(effect, AttemptFailure.CONNECT_REFUSED, 0.0)
            return
        if world.network.is_cut(self.name, server.name):
            self._fail_later(effect, AttemptFailure.CONNECT_TIMEOUT, 0.5)
            return
        delay_s = world.network.get_delay_s(self.failure_domain, server.failure_domain)
        return_delay_s = delay_s
        if effect.address not in self._connected:
            self._connected.add(effect.address)
            delay_s += CONNECT_DELAY_S
        generation = self._generation
        call_id, number = effect.call_id, effect.attempt

        def reply(reply: ServerReply) -> None:
            if generation != self._generation or world.network.is_cut(
                server.name, self.name
            ):
                return
            message = _Reply(
                status=reply.status,
                verdict=None,
                load=reply.load,
                draining=reply.draining,
                truncated=reply.truncated,
                run_call_id=reply.run_call_id,
            )
            world.after(
                return_delay_s,
                lambda: self.handle_reply_started(call_id, number, message),
            )

        def fail(failure: AttemptFailure) -> None:
            if generation != self._generation:
                return
            world.after(
                return_delay_s,
                lambda: self.handle_attempt_failed(call_id, number, failure),
            )

        request = ServerRequest(call=served.call, reply=reply, fail=fail)
        served.requests[number] = request
        world.after(
            delay_s, lambda: None if request.is_cancelled else server.accept(request)
        )

    def _forward_call(self, effect: SendAttempt) -> None:
        world = self.world
        peer = find_host(self._hosts.values(), effect.address)
        served = self._served_calls.get(effect.call_id)
        if peer is None or served is None:
            self._fail_later(effect, AttemptFailure.CONNECT_REFUSED, 0.0)
            return
        if world.network.is_cut(self.name, peer.name):
            self._fail_later(effect, AttemptFailure.CONNECT_TIMEOUT, 0.5)
            return
        self.forwards += 1
        call = replace(
            served.call,
            hops=served.call.hops + 1,
            deadline=world.now + effect.timeout_s,
            at_most_once=effect.at_most_once,
            claimed=effect.claimed,
        )
        delay_s = world.network.get_delay_s(self.failure_domain, peer.failure_domain)
        forwarder = (self, effect.attempt)
        world.after(delay_s, lambda: peer.accept_call(call, forwarder))

    def _fail_later(
        self, effect: SendAttempt, failure: AttemptFailure, delay_s: float
    ) -> None:
        self.world.after(
            delay_s,
            lambda: self.handle_attempt_failed(effect.call_id, effect.attempt, failure),
        )

    def _cancel_attempt(self, call_id: str, attempt: int) -> None:
        served = self._served_calls.get(call_id)
        if served is None:
            return
        served.replies.pop(attempt, None)
        request = served.requests.pop(attempt, None)
        if request is not None:
            self._cancel_request(request)

    def _cancel_request(self, request: ServerRequest) -> None:
        if not request.has_started:
            request.is_cancelled = True
            return
        for server in self.world.servers.values():
            server.cancel(request)

    def _relay_reply(self, effect: RelayReply) -> None:
        served = self._served_calls.get(effect.call_id)
        if served is None:
            return
        reply = served.replies[effect.attempt]
        call_id, attempt = effect.call_id, effect.attempt
        if reply.truncated:
            self.handle_attempt_failed(call_id, attempt, AttemptFailure.TRUNCATED)
            return
        body = (reply.run_call_id or "").encode()
        kept = KeptReply(status=reply.status, headers=(), body=body)
        self._finish_call(call_id, replace(reply, verdict=effect.verdict))
        self.deliver(
            lambda: ReplyFinished(
                now=self.world.now, call_id=call_id, attempt=attempt, kept=kept
            )
        )

    def _finish_call(self, call_id: str, reply: _Reply) -> None:
        """Send the final answer of a call to its caller or forwarder."""
        served = self._served_calls.pop(call_id, None)
        if served is None:
            return
        if served.forwarder is None:
            self._answer_caller(call_id, reply)
            return
        source, attempt = served.forwarder
        if self.world.network.is_cut(self.name, source.name):
            return
        delay_s = self.world.network.get_delay_s(
            self.failure_domain, source.failure_domain
        )
        self.world.after(
            delay_s, lambda: source.handle_reply_started(call_id, attempt, reply)
        )

    def _fail_served_call(self, served: _ServedCall) -> None:
        call_id = served.call.call_id
        if served.forwarder is None:
            self._answer_caller(call_id, None)
            return
        source, attempt = served.forwarder
        source.handle_attempt_failed(call_id, attempt, AttemptFailure.RESET)

    def _answer_caller(self, call_id: str, reply: _Reply | None) -> None:
        """Send the caller its answer; None means that the connection failed."""
        if reply is None:
            verdict = get_failure_verdict(AttemptFailure.RESET)
            reply = _Reply(status=0, verdict=verdict, truncated=True)
        answer = Answer(
            call_id=call_id,
            at=self.world.now + CALLER_DELAY_S,
            status=reply.status,
            verdict=reply.verdict or Verdict.MAY_HAVE_RUN,
            is_complete=not reply.truncated,
            run_call_id=reply.run_call_id,
            retry_after_s=reply.retry_after_s,
        )
        self.world.at(answer.at, lambda: self.world.record_answer(answer))

    def _set_timer(self, timer: Timer, at: float) -> None:
        self._timer_sequence += 1
        number = self._timer_sequence
        self._timers[timer] = number
        generation = self._generation

        def fire() -> None:
            if generation != self._generation or self._timers.get(timer) != number:
                return
            del self._timers[timer]
            self.deliver(lambda: TimerFired(now=self.world.now, timer=timer))

        self.world.at(at, fire)

    def _send_message(self, effect: SendMessage) -> None:
        kind = type(effect.message).__name__
        self.messages_sent[kind] += 1
        self.peers_sent_to.add(effect.address)
        self.bytes_sent[kind] += len(encode_message(effect.message))
        peer = find_host(self._hosts.values(), effect.address)
        if peer is None or self.world.network.is_cut(self.name, peer.name):
            return
        delay_s = self.world.network.get_delay_s(
            self.failure_domain, peer.failure_domain
        )
        if not peer.is_alive:
            name = peer.name
            self.world.after(
                2 * delay_s,
                lambda: self.deliver(
                    lambda: PeerRefused(now=self.world.now, host=name)
                ),
            )
            return
        message, sender = effect.message, self.name
        self.world.after(
            delay_s + self.world.network.message_delay_s,
            lambda: peer.deliver(
                lambda: MessageReceived(
                    now=self.world.now, sender=sender, message=message
                )
            ),
        )

    def _send_probe(self, effect: SendProbe) -> None:
        world = self.world
        server = world.servers.get(effect.address)
        reply = None
        rtt_s = effect.timeout_s
        if server is not None and not world.network.is_cut(self.name, server.name):
            reply = server.handle_probe()
            delay_s = world.network.get_delay_s(
                self.failure_domain, server.failure_domain
            )
            rtt_s = 2 * delay_s
        is_healthy = reply is not None and reply.status < 400
        draining = reply is not None and reply.draining
        world.after(
            rtt_s,
            lambda: self.deliver(
                lambda: ProbeAnswered(
                    now=world.now,
                    service=effect.service,
                    server=effect.server,
                    latency_s=rtt_s if is_healthy else None,
                    has_reply=reply is not None,
                    draining=draining,
                    bytes_used=PROBE_BYTES,
                )
            ),
        )

    def _needs_frequent_polls(self) -> bool:
        """Return True if the host list must be polled at the short interval."""
        return self.state.watching or self.state.lifecycle is Lifecycle.STARTING

    def _make_identity(self) -> HostIdentity:
        return HostIdentity(
            name=self.name,
            incarnation=int(self.world.now * 1_000_000),
            failure_domain=self.failure_domain,
            region="main",
            callers=f"{self.name}:callers",
            peers=f"{self.name}:peers",
        )

    def _make_state(self) -> Any:
        return make_state(
            identity=self.identity,
            settings=CoreSettings(seed_peers=self.seed_peers),
            parse_intents=parse_or_none,
            seed=self._seed + self._generation,
        )
