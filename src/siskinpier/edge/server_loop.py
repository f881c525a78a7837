"""Serving of listening sockets that outlives the failure of a server."""

import socket
from collections.abc import Callable, Sequence
from typing import Final

import anyio

from ..failures import FailureLog
from .cancellation import unasked_cancellation_as_error
from .serving import CallerServer
from .shell import Shell
from .supervision import RestartDelay, UnexpectedReturnError

# Failures in a row after which a host ends, as it cannot serve callers.
MAX_CALLER_FAILURES: Final = 6


class ServerLoop:
    """Serves listening sockets, with a new server after each failure of one.

    The connections of a failed server stay open and are passed on to the next one.
    """

    def __init__(
        self,
        *,
        name: str,
        make_server: Callable[[], CallerServer],
        sockets: Sequence[socket.socket],
        failures: FailureLog,
    ) -> None:
        self._name = name
        self._make_server = make_server
        self._sockets = list(sockets)
        self._failures = failures
        self._server = make_server()
        self._is_stopping = False
        # A server closes its sockets when it fails, but not these copies of them.
        self._spares = [sock.dup() for sock in sockets]

    def stop(self) -> None:
        """Make `run` return once the last responses are written."""
        self._is_stopping = True
        self._server.should_exit = True
        for sock in self._spares:
            sock.close()

    async def run(
        self,
        set_serving: Callable[[bool], None] = lambda is_serving: None,
        max_failures: int | None = None,
    ) -> bool:
        """Serve until `stop` is called; return False after too many failures in a row.

        `set_serving` is told whenever the sockets are served or not any more.
        """
        delay = RestartDelay()
        failures_in_a_row = 0
        while True:
            delay.start()
            error = await self._serve()
            if self._is_stopping:
                return True
            set_serving(False)
            self._failures.record(f"loop/{self._name}", error)
            if delay.has_lasted():
                failures_in_a_row = 0
            failures_in_a_row += 1
            if max_failures is not None and failures_in_a_row >= max_failures:
                return False
            await anyio.sleep(delay.get_next_s())
            while not self._is_stopping and not self._try_replace_server():
                await anyio.sleep(delay.get_next_s())
            if self._is_stopping:
                return True
            set_serving(True)

    async def _serve(self) -> Exception:
        """Serve until the server ends, and return why it did."""
        try:
            with unasked_cancellation_as_error():
                await self._server.serve(self._sockets)
        except Exception as exc:
            return exc
        return UnexpectedReturnError(f"{self._name} returned")

    def _try_replace_server(self) -> bool:
        """Replace the server; return False after an error, such as no descriptors."""
        try:
            self._replace_server()
        except Exception as exc:
            self._failures.record(f"loop/{self._name}", exc)
            return False
        return True

    def _replace_server(self) -> None:
        """Take a new server for the same sockets and the connections of the old one."""
        failed = self._server
        failed.close_listeners()
        for sock in self._sockets:
            sock.close()
        self._sockets = [sock.dup() for sock in self._spares]
        self._server = self._make_server()
        self._server.server_state = failed.server_state


async def serve_callers(shell: Shell, server_loop: ServerLoop) -> None:
    """Serve callers until the host stops; shut it down if they cannot be served."""
    if not await server_loop.run(shell.set_serving, MAX_CALLER_FAILURES):
        shell.stop_for_failure("callers")
