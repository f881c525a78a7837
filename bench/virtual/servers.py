"""A fake backend server with slots, a queue, a journal and fault injection."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from siskinpier.core.routing.calls import Call
from siskinpier.core.verdict import AttemptFailure

from .scheduler import Scheduler


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Journal entry of a backend server: a call that it started to run."""

    at: float
    server: str
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerReply:
    """Reply of a backend server; `run_call_id` is None if no call ran."""

    status: int
    load: int
    draining: bool
    truncated: bool = False
    run_call_id: str | None = None


@dataclass(slots=True, eq=False, kw_only=True)
class ServerRequest:
    """A request at a backend server, queued or running."""

    call: Call
    reply: Callable[[ServerReply], None]
    fail: Callable[[AttemptFailure], None]
    is_cancelled: bool = False
    has_started: bool = False


class VirtualServer:
    """A backend server; service times are exponential with mean `mean_service_time_s`.

    `slow_factor` multiplies the service times, and `crashes_on` returns True for
    calls that crash the server.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        name: str,
        address: str,
        failure_domain: str,
        slots: int,
        mean_service_time_s: float,
    ) -> None:
        self.scheduler = scheduler
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        self.mean_service_time_s = mean_service_time_s
        self.slow_factor = 1.0
        self.is_rejecting = False
        self.is_down = False
        self.is_draining = False
        self.is_truncating = False
        self.honors_cancellation = True
        self.crashes_on: Callable[[Call], bool] = lambda call: False
        self.restart_s = 0.5
        self.crashes = 0
        self.journal: list[Run] = []
        self.probes = 0
        self.probe_times: list[float] = []
        self._running: list[ServerRequest] = []
        self._waiting: deque[ServerRequest] = deque()

    def accept(self, request: ServerRequest) -> None:
        """Run, queue or reject a request."""
        if self.is_down:
            request.fail(AttemptFailure.CONNECT_REFUSED)
            return
        if self.is_rejecting:
            request.reply(self._make_reply(503, None))
            return
        if len(self._running) < self.slots:
            self._start_request(request)
        else:
            self._waiting.append(request)

    def cancel(self, request: ServerRequest) -> None:
        """Cancel a request whose connection was closed."""
        if not self.honors_cancellation:
            return
        request.is_cancelled = True
        if request in self._running:
            self._running.remove(request)
            self._start_next()

    def handle_probe(self) -> ServerReply | None:
        """Return the reply of the health endpoint, or None if the server is down."""
        self.probes += 1
        self.probe_times.append(self.scheduler.now)
        if self.is_down:
            return None
        return self._make_reply(503 if self.is_draining else 200, None)

    def crash(self) -> None:
        """Reset every request and restart after `restart_s`."""
        self.crashes += 1
        self.is_down = True
        interrupted = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for request in interrupted:
            request.fail(AttemptFailure.RESET)
        self.scheduler.after(self.restart_s, self._restart)

    def _restart(self) -> None:
        self.is_down = False

    def _start_request(self, request: ServerRequest) -> None:
        request.has_started = True
        self._running.append(request)
        self.journal.append(
            Run(at=self.scheduler.now, server=self.name, call=request.call)
        )
        if self.crashes_on(request.call):
            self.crash()
            return
        service_time_s = self.scheduler.rng.expovariate(
            1.0 / (self.mean_service_time_s * self.slow_factor)
        )
        self.scheduler.after(service_time_s, lambda: self._finish_request(request))

    def _finish_request(self, request: ServerRequest) -> None:
        if request not in self._running:
            return
        self._running.remove(request)
        request.reply(self._make_reply(200, request.call.call_id))
        self._start_next()

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            request = self._waiting.popleft()
            if not request.is_cancelled:
                self._start_request(request)

    def _make_reply(self, status: int, run_call_id: str | None) -> ServerReply:
        return ServerReply(
            status=status,
            load=len(self._running) + len(self._waiting),
            draining=self.is_draining,
            truncated=self.is_truncating and run_call_id is not None,
            run_call_id=run_call_id,
        )
