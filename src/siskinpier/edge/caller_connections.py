"""Callers' connections: limits and refusals that the server library lacks.

The library parses and frames HTTP. This module limits the size and duration of request
heads and the number of connections, and refuses with problems that carry a verdict.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any, Final, Protocol

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..core.verdict import Problem, Verdict
from ..logs import log_event
from ..metrics import HostMetrics
from ..settings.host import LimitSettings
from .headers import CALL_ID_HEADER
from .request_memory import RequestMemory, estimate_head_bytes
from .responses import make_problem_response

# All connections may hold the bytes of one read before a call takes them.
MAX_READ_BYTES: Final = 16_384
# Header fields that are kept of a request for which there is no room.
KEPT_FIELDS: Final = frozenset({b"expect", b"x-request-id", CALL_ID_HEADER})
CONNECTION_LIMIT_RETRY_AFTER_S: Final = 1.0
# Value of SO_LINGER (on, 0 s) with which closing the socket sends a reset.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


class CallerConnection(Protocol):
    """The connection of a request, found as `scope["state"]["connection"]`.

    `on_lost` is called when the caller disconnects.
    """

    on_lost: Callable[[], None] | None

    def reset_connection(self) -> None:
        """Reset the connection, so that a partial reply cannot look complete."""


class HeadTooLargeError(Exception):
    """The request line and header fields exceed the limit."""


class BatchingTransport:
    """A transport that joins the writes of one event loop iteration.

    The server library writes the head and the body of a response separately; each write
    costs a system call and a TCP segment.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._parts: list[bytes] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Queue data to be written at the end of this loop iteration."""
        if not self._parts:
            self._loop.call_soon(self._flush)
        self._parts.append(data)

    def close(self) -> None:
        """Write what is queued, then close."""
        self._flush()
        self._transport.close()

    def abort(self) -> None:
        """Discard what is queued and close at once."""
        self._parts.clear()
        self._transport.abort()

    def _flush(self) -> None:
        if self._parts:
            data = b"".join(self._parts)
            self._parts.clear()
            self._transport.write(data)


class CallerProtocol(HttpToolsProtocol):
    """The protocol of a caller's connection, with limits."""

    on_lost: Callable[[], None] | None = None

    def __init__(
        self,
        *args: Any,
        limits: LimitSettings,
        metrics: HostMetrics,
        memory: RequestMemory | None = None,
        **kwargs: Any,
    ) -> None:
        """Create the protocol; without `memory`, heads are not counted together."""
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._memory = memory
        # Memory that the heads of open requests hold.
        self._held_bytes = 0
        self.timeout_keep_alive = limits.keep_alive_s  # type: ignore[assignment]
        self._metrics = metrics
        self._head_timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        self._is_head_too_large = False
        # The body of the latest request has not arrived completely.
        self._is_body_open = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Accept a connection, or refuse it if there are too many."""
        # asyncio's own transports read this attribute; others ignore it.
        transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]
        batching: Any = BatchingTransport(transport)
        super().connection_made(batching)
        self._metrics.connections.inc()
        if len(self.connections) > self._limits.connections:
            self._refuse(503, "Too many connections", CONNECTION_LIMIT_RETRY_AFTER_S)
        else:
            self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the call in progress that its caller disconnected."""
        super().connection_lost(exc)
        self._metrics.connections.dec()
        self._stop_head_timer()
        self._release_heads()
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; limit a head that is still incomplete afterwards."""
        if self.transport.is_closing():
            return
        self._head_bytes += len(data)
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self._has_open_request():
            self._head_bytes = 0
        elif self._is_body_open:
            # The rest of the body of a call that is answered already.
            self._head_bytes = 0
            if self._head_timer is None:
                self._start_head_timer()
        elif self._head_bytes > self._limits.header_bytes:
            self._refuse_large_head()
        elif self._head_timer is None:
            self._start_head_timer()

    def on_message_begin(self) -> None:
        """Make the connection available to the application."""
        super().on_message_begin()
        self.scope["state"]["connection"] = self

    def on_headers_complete(self) -> None:
        """Start the request unless its head exceeds the limit."""
        self._stop_head_timer()
        size = len(self.url) + sum(len(k) + len(v) + 4 for k, v in self.headers)
        self._is_head_too_large = size > self._limits.header_bytes
        if self._is_head_too_large:
            raise HeadTooLargeError
        self._is_body_open = True
        self._hold_head()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Count the bytes of the next head from here."""
        super().on_message_complete()
        self._is_body_open = False
        self._head_bytes = 0
        self._stop_head_timer()

    def on_response_complete(self) -> None:
        """Release the request of a finished call; the connection may stay idle."""
        cycle = self.cycle
        if cycle.response_complete:
            if self.scope is cycle.scope:
                self.headers = []
                self.scope = {"type": "http", "state": {}}  # type: ignore[typeddict-item]
            cycle.scope = self.scope
            cycle.body = bytearray()
            self._release_heads()
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse invalid HTTP, or reset the connection where a refusal could mislead.

        While a call runs, the caller would take the refusal for that call's response.
        """
        has_call = self.on_lost is not None
        if self._has_open_request() and (has_call or not self.cycle.more_body):
            log_event("bad-request", reason="invalid data after a request")
            self.reset_connection()
        elif self._is_head_too_large:
            self._refuse_large_head()
        else:
            self._refuse(400, "Invalid HTTP request")

    def reset_connection(self) -> None:
        """Reset the connection, so that a partial reply cannot look complete."""
        if self.cycle is not None:
            self.cycle.disconnected = True
        # Without a reset, the operating system would keep unsent bytes for a caller
        # that may never read them.
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def _has_open_request(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _hold_head(self) -> None:
        """Reserve memory for a head; without room, keep what a refusal needs of it.

        The application refuses the request if `scope["state"]["has_room"]` is False.
        """
        if self._memory is None:
            return
        size = estimate_head_bytes(self.url, self.headers)
        has_room = self._memory.reserve(size, own_bytes=self._held_bytes)
        self.scope["state"]["has_room"] = has_room
        if has_room:
            self._held_bytes += size
        else:
            self.url = b"/"
            self.headers[:] = [item for item in self.headers if item[0] in KEPT_FIELDS]

    def _release_heads(self) -> None:
        if self._memory is not None:
            self._memory.release(self._held_bytes)
            self._held_bytes = 0

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self._limits.body_timeout_s, self._expire_head
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _expire_head(self) -> None:
        if self._head_bytes > 0:
            self._refuse(408, "Request head too slow")
        else:
            self.transport.close()

    def _refuse_large_head(self) -> None:
        self._refuse(431, "Request head too large")

    def _refuse(
        self, status: int, title: str, retry_after_s: float | None = None
    ) -> None:
        log_event("bad-request", status=status, reason=title)
        problem = Problem(
            status=status,
            title=title,
            detail="the request was not passed on",
            verdict=Verdict.NOT_RUN,
            retry_after_s=retry_after_s,
        )
        self.transport.write(make_problem_response(problem))
        self.transport.close()
