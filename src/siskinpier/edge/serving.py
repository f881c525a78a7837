"""What every kind of host runs on: callers' server, signals, clock, collector."""

import asyncio
import contextlib
import gc
import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any, Final

import anyio
import uvicorn

from ..core.events import ShutdownRequested
from .limits import CallerProtocol
from .shell import Shell
from .tls import Certificate

# Objects allocated before the youngest generation is collected, and collections
# of each younger generation before the next older one is.
COLLECTOR_THRESHOLDS: Final = (20_000, 50, 100)
# Time for requests on connections that were accepted, seconds.
LAST_REQUESTS_S: Final = 0.1


class CallerServer(uvicorn.Server):
    """A server that leaves signals to the host, and ends without cutting anyone off."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing: the host handles signals."""
        yield

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Answer what comes on accepted connections before they are closed.

        The server would close those at once whose request is on its way.
        """
        for conn in self._close_listeners():
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_connection, conn, ssl=self.config.ssl
            )
        await anyio.sleep(LAST_REQUESTS_S)
        await super().shutdown(sockets)

    def _close_listeners(self) -> list[socket.socket]:
        """Take no more connections; return those that waited to be accepted.

        They would be reset with the socket that listens.
        """
        listeners = [sock.dup() for server in self.servers for sock in server.sockets]
        for server in self.servers:
            server.close()
        accepted: list[socket.socket] = []
        for listener in listeners:
            listener.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    accepted.append(listener.accept()[0])
            listener.close()
        return accepted

    def _make_connection(self) -> asyncio.Protocol:
        """Return the protocol of a connection, as the server itself makes it."""
        return self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


def calm_collector() -> None:
    """Let the garbage collector run seldom, and over new objects only.

    Its runs over all that was loaded at the start would delay calls, the first calls
    too, so what loading left behind is kept.
    """
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    gc.enable()


async def watch_signals(shell: Shell, reload: Callable[[], None]) -> None:
    """Turn SIGTERM and SIGINT into a request to leave, and SIGHUP into `reload`."""
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload()
            else:
                shell.handle(ShutdownRequested(now=shell.clock()))


def _make_protocol(shell: Shell, *args: Any, **kwargs: Any) -> CallerProtocol:
    """Return a caller's connection under the limits of now."""
    limits = shell.settings.limits
    return CallerProtocol(*args, limits=limits, metrics=shell.metrics, **kwargs)


def make_caller_server(
    shell: Shell, app: Any, certificate: Certificate | None = None
) -> uvicorn.Server:
    """Return a server for callers; it ends when `should_exit` is set."""
    settings = shell.settings
    cfg = uvicorn.Config(
        app,
        http=partial(_make_protocol, shell),  # type: ignore[arg-type]
        loop="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        ws="none",
        timeout_keep_alive=int(settings.limits.keep_alive_s),
    )
    cfg.load()
    cfg.ssl = None if certificate is None else certificate.server
    return CallerServer(cfg)


def make_clock() -> "partial[float]":
    """Return a clock in seconds since the epoch that never steps back."""
    return partial(_read_clock, time.time() - time.monotonic())


def _read_clock(offset_s: float) -> float:
    return offset_s + time.monotonic()
