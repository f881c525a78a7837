"""Parts of every kind of host: callers' server, signals, clock, garbage collector."""

import asyncio
import gc
import logging
import signal
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import closing, contextmanager
from functools import partial
from typing import Any, Final

import anyio
import uvicorn

from ..core.events import ShutdownRequested
from ..exit_codes import ExitCode
from ..failures import FailureLog, LibraryErrors
from ..logs import log_event, log_warning
from ..settings.host import LimitSettings
from ..signals import SIGNALS
from .caller_connections import CallerProtocol, StatusProtocol
from .first_heads import FirstHeads
from .request_memory import RequestMemory
from .shell import Shell
from .sockets import BACKLOG_CONNECTIONS
from .tls import Certificate

# Thresholds for `gc.set_threshold`: allocations before a collection of the youngest
# generation, then collections of each generation before one of the next older.
GC_THRESHOLDS: Final = (20_000, 50, 100)
# Connections accepted at once. Each takes a descriptor, also if it is refused.
ACCEPT_BATCH: Final = 32
# Time to receive requests on connections already accepted at shutdown, seconds.
LAST_REQUESTS_WAIT_S: Final = 0.1
# Bytes read at once from the socket that signals write to, one each.
WAKEUP_BYTES: Final = 4_096
# Time to close the connections of one client at the end of a host, seconds.
CLOSE_TIMEOUT_S: Final = 0.2


class CallerServer(uvicorn.Server):
    """A uvicorn server that handles no signals and loses no requests at shutdown."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing: the host handles signals."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start listening; restore the queue, which accepting in batches shortens."""
        await super().startup(sockets)
        for server in self.servers:
            for listener in server.sockets:
                _listen_again(listener.fileno())

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Answer requests on accepted connections before these are closed.

        Plain uvicorn would close connections whose request is still in transit.
        """
        for conn in self._close_listeners():
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_connection, conn, ssl=self.config.ssl
            )
        await anyio.sleep(LAST_REQUESTS_WAIT_S)
        await super().shutdown(sockets)

    def _close_listeners(self) -> list[socket.socket]:
        """Stop listening; return the connections that waited to be accepted.

        Closing the listening socket would reset them.
        """
        accepted: list[socket.socket] = []
        for server in self.servers:
            for listener in server.sockets:
                accepted += _accept_waiting(listener.fileno())
            server.close()
        return accepted

    def close_listeners(self) -> None:
        """Stop listening after a failure; connections stay open."""
        for server in getattr(self, "servers", ()):
            server.close()

    def _make_connection(self) -> asyncio.Protocol:
        """Return the protocol of a connection, constructed as uvicorn does."""
        return self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


def _accept_waiting(listener_fd: int) -> list[socket.socket]:
    """Return the connections that wait to be accepted, as far as there is room."""
    accepted: list[socket.socket] = []
    listener = socket.socket(fileno=listener_fd)
    try:
        while True:
            accepted.append(listener.accept()[0])
    except BlockingIOError:
        pass
    except OSError as exc:
        log_warning("accept-failed", reason=str(exc), accepted=len(accepted))
    finally:
        listener.detach()
    return accepted


def _listen_again(listener_fd: int) -> None:
    """Set the length of the queue of connections that wait to be accepted."""
    listener = socket.socket(fileno=listener_fd)
    try:
        listener.listen(BACKLOG_CONNECTIONS)
    finally:
        listener.detach()


def install_failure_log(failures: FailureLog, handler: logging.Handler) -> None:
    """Record the errors that the event loop and libraries report, one line each."""
    asyncio.get_running_loop().set_exception_handler(failures.handle_loop_error)
    handler.addFilter(LibraryErrors(failures))


async def close_all(
    failures: FailureLog, *functions: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Call functions that close something; one that fails or hangs stops no other."""
    for function in functions:
        with (
            anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True),
            failures.guard("close"),
        ):
            await function()


def log_end(shell: Shell) -> ExitCode:
    """Log why a host ends, and return the exit code of its process."""
    part = shell.failed_part or ("" if shell.stopped.is_set() else "host")
    code = ExitCode.INTERNAL if part else ExitCode.OK
    log_event(
        "end",
        host=shell.settings.name,
        reason="failure" if part else "asked",
        where=part,
        code=int(code),
    )
    return code


def tune_garbage_collector() -> None:
    """Make the garbage collector run rarely, and over new objects only.

    Collections that traverse everything loaded at the start would delay calls, the
    first ones included, so all existing objects are exempted.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


async def handle_signals(shell: Shell, reload: Callable[[], None]) -> None:
    """Start the shutdown on SIGTERM and SIGINT, and call `reload` on SIGHUP.

    Signals that were kept until now come first: those of the start of the process, or
    since an error of `reload`. Once cancelled, signals are ignored, as the process is
    about to end.
    """

    def handle(number: int) -> None:
        if number == signal.SIGHUP:
            reload()
        else:
            shell.handle(ShutdownRequested(now=shell.clock()))

    SIGNALS.open()
    with closing(_SignalWakeup(asyncio.get_running_loop())) as wakeup:
        try:
            while True:
                SIGNALS.take(handle)
                await wakeup.wait()
        except asyncio.CancelledError:
            SIGNALS.close()
            raise


class _SignalWakeup:
    """Wakes the event loop when a signal arrives."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._woken = asyncio.Event()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        loop.add_reader(self._reader, self._handle_readable)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    async def wait(self) -> None:
        """Wait until a signal has arrived since the last call."""
        await self._woken.wait()
        self._woken.clear()

    def close(self) -> None:
        """Release the sockets."""
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._reader)
        self._reader.close()
        self._writer.close()

    def _handle_readable(self) -> None:
        self._reader.recv(WAKEUP_BYTES)
        self._woken.set()


class AdjustedLimits:
    """The limits of one server, computed anew when those of its host change."""

    def __init__(
        self, shell: Shell, adjust: Callable[[LimitSettings], LimitSettings]
    ) -> None:
        self._shell = shell
        self._adjust = adjust
        self._limits = shell.settings.limits
        self._adjusted = adjust(self._limits)

    def get(self) -> LimitSettings:
        """Return the limits in force."""
        if self._shell.settings.limits is not self._limits:
            self._limits = self._shell.settings.limits
            self._adjusted = self._adjust(self._limits)
        return self._adjusted


def _make_protocol(
    shell: Shell,
    memory: RequestMemory | None,
    get_limits: Callable[[], LimitSettings],
    first_heads: FirstHeads,
    *args: Any,
    **kwargs: Any,
) -> CallerProtocol:
    """Return the protocol of a caller's connection, with the limits in force."""
    protocol = StatusProtocol if memory is None else CallerProtocol
    return protocol(
        *args,
        get_limits=get_limits,
        knows_limits=shell.knows_caller_limits,
        metrics=shell.metrics,
        memory=memory,
        first_heads=first_heads,
        **kwargs,
    )


def make_caller_server(
    shell: Shell,
    app: Any,
    certificate: Certificate | None = None,
    *,
    memory: RequestMemory | None = None,
    adjust_limits: Callable[[LimitSettings], LimitSettings] = lambda limits: limits,
) -> CallerServer:
    """Return a server for callers; it stops when `should_exit` is set.

    `memory` is that of all requests together, for an app that refuses those for which
    there is no room. Without it, an app gets no header fields. `adjust_limits`
    returns the limits of this server for those in the host's settings.
    """
    get_limits = AdjustedLimits(shell, adjust_limits).get
    cfg = uvicorn.Config(
        app,
        http=partial(_make_protocol, shell, memory, get_limits, FirstHeads()),  # type: ignore[arg-type]
        loop="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        ws="none",
        backlog=ACCEPT_BATCH,
        timeout_keep_alive=int(get_limits().keep_alive_s),
    )
    cfg.load()
    cfg.ssl = None if certificate is None else certificate.server
    return CallerServer(cfg)


def make_clock() -> "partial[float]":
    """Return a clock in seconds since the epoch that never goes backwards."""
    return partial(_read_clock, time.time() - time.monotonic())


def _read_clock(offset_s: float) -> float:
    return offset_s + time.monotonic()
