"""Callers' connections: limits and refusals that the server library lacks.

The library parses and frames HTTP. This module limits the size and duration of request
heads and the number of connections, and refuses with problems that carry a verdict.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final, Protocol

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..core.verdict import Problem, Verdict
from ..logs import log_event
from ..metrics import HostMetrics
from ..settings.host import LimitSettings
from .first_heads import FirstHeads
from .headers import CALL_ID_HEADER
from .read_ahead import HEAD_END, CallerFlow, split_heads
from .request_memory import (
    FIELD_OVERHEAD_BYTES,
    TARGET_COPIES,
    RequestMemory,
    estimate_head_bytes,
)
from .responses import make_problem_response
from .unread_responses import UnreadResponseLimit

# All connections may hold the bytes of one read before a call takes them.
MAX_READ_BYTES: Final = 16_384
# Bytes of responses that a connection holds beyond those that the operating system
# takes; a call that has more to send waits. All connections may hold this much.
MAX_UNSENT_BYTES: Final = 16_384
# Bytes of a header field besides its name and value: the colon and the line's end.
FIELD_SEPARATOR_BYTES: Final = 3
# Header fields that are kept of a request for which there is no room.
KEPT_FIELDS: Final = frozenset({b"expect", b"x-request-id", CALL_ID_HEADER})
CONNECTION_LIMIT_RETRY_AFTER_S: Final = 1.0
LIMITS_RETRY_AFTER_S: Final = 1.0
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
        self.written_bytes = 0
        # Called after a write of which the operating system did not take everything.
        self.on_unsent: Callable[[], None] | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def set_read_size(self, size_bytes: int) -> None:
        """Limit the bytes of one read."""
        # asyncio's own transports read this attribute; others ignore it.
        self._transport.max_size = size_bytes  # type: ignore[attr-defined]

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
            self.written_bytes += len(data)
            if self.on_unsent is not None and self._transport.get_write_buffer_size():
                self.on_unsent()


class CallerProtocol(HttpToolsProtocol):
    """The protocol of a caller's connection, with limits."""

    on_lost: Callable[[], None] | None = None

    def __init__(
        self,
        *args: Any,
        get_limits: Callable[[], LimitSettings],
        metrics: HostMetrics,
        memory: RequestMemory | None = None,
        first_heads: FirstHeads | None = None,
        knows_limits: Callable[[], bool] = lambda: True,
        **kwargs: Any,
    ) -> None:
        """Create the protocol; without `memory`, heads are not counted together.

        The limits in force are those that `get_limits` returns at each request. While
        `knows_limits` returns False, what exceeds them may be allowed.
        `first_heads` holds the connections of a server that wait for their first head.
        """
        super().__init__(*args, **kwargs)
        self._first_heads = first_heads or FirstHeads()
        self._get_limits = get_limits
        self._knows_limits = knows_limits
        self._limits = get_limits()
        self._memory = memory
        # Memory that the heads of open requests hold, and the part of each request
        # whose head is complete, oldest first.
        self._held_bytes = 0
        self._held_heads: deque[int] = deque()
        # Part of it for the latest head while it arrives, and the bytes read meanwhile.
        self._arriving_bytes = 0
        self._arrived_bytes = 0
        self._is_in_head = False
        # There was memory for all of that head so far.
        self._has_room = True
        # The request that is being answered; `cycle` is the one parsed last.
        self._running: Any = None
        # Bytes behind a request that is not answered yet.
        self._read_ahead = b""
        self._unread_limit: UnreadResponseLimit | None = None
        self._update_limits()
        self._metrics = metrics
        self._head_timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        self._is_head_too_large = False
        # The body of the latest request has not arrived completely.
        self._is_body_open = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Accept a connection, or refuse it if there are too many."""
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        batching: Any = BatchingTransport(transport)
        batching.set_read_size(MAX_READ_BYTES)
        super().connection_made(batching)
        self.flow: CallerFlow = CallerFlow(batching)
        batching.on_unsent = self._limit_unread
        self._metrics.connections.inc()
        is_full = len(self.connections) > self._limits.connections
        if is_full and not self._first_heads.close_oldest():
            self._refuse(503, "Too many connections", CONNECTION_LIMIT_RETRY_AFTER_S)
        else:
            self._first_heads.add(self)
            self._start_head_timer(self._limits.body_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the call in progress that its caller disconnected; drop all others."""
        super().connection_lost(exc)
        self._metrics.connections.dec()
        self._first_heads.discard(self)
        self._stop_head_timer()
        if self._unread_limit is not None:
            self._unread_limit.stop()
        self.flow.close()
        self._keep_read_ahead(b"")
        self._release_heads()
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()
        self._drop_references()
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them until the request before is answered."""
        if self.transport.is_closing():
            return
        if self._must_wait():
            self._keep_read_ahead(self._read_ahead + data)
        else:
            self._parse(data)

    def _must_wait(self) -> bool:
        """Return True if bytes that arrive now belong to a later request."""
        return (
            bool(self._read_ahead)
            or bool(self.pipeline)
            or (self._has_open_request() and not self._is_body_open)
        )

    def _parse(self, data: bytes) -> None:
        """Parse bytes up to the end of a request; keep those of later ones."""
        if data.find(HEAD_END) in (-1, len(data) - len(HEAD_END)):
            self._parse_part(data)
            return
        parsed = 0
        for part in split_heads(data):
            self._parse_part(part)
            parsed += len(part)
            if self.transport.is_closing():
                return
            if parsed < len(data) and self._must_wait():
                self._keep_read_ahead(data[parsed:])
                return

    def _parse_part(self, data: bytes) -> None:
        """Parse bytes; limit a head that is still incomplete afterwards."""
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
                self._start_head_timer(self._limits.body_timeout_s)
        elif self._head_bytes > self._limits.header_bytes:
            self._refuse_large_head()
        elif self._head_bytes or self._is_in_head:
            if self._head_timer is None or self._head_bytes == len(data):
                self._start_head_timer(self._limits.head_timeout_s)
        elif self._head_timer is None:
            # The end of the body of a call that was answered before.
            self._start_head_timer(self._limits.keep_alive_s)
        if self._is_in_head:
            self._hold_arriving_head(len(data))
        elif self._is_body_open:
            # Trailer fields, which are not passed on.
            self.headers.clear()

    def _keep_read_ahead(self, data: bytes) -> None:
        """Keep bytes of later requests; stop reading at their limit."""
        if self._memory is not None:
            self._memory.add(len(data) - len(self._read_ahead))
        self._read_ahead = data
        if self.transport.is_closing():
            return
        room = self._limits.read_ahead_bytes - len(data)
        self.transport.set_read_size(min(MAX_READ_BYTES, max(1, room)))  # type: ignore[attr-defined]
        self.flow.set_full(room <= 0)

    def _parse_read_ahead(self) -> None:
        """Parse the bytes that were kept behind a request that is answered now."""
        data = self._read_ahead
        if data and not self.transport.is_closing():
            self._keep_read_ahead(b"")
            self.data_received(data)

    def _update_limits(self) -> None:
        """Put the limits in force for what comes next on this connection."""
        self._limits = self._get_limits()
        self.timeout_keep_alive = self._limits.keep_alive_s  # type: ignore[assignment]

    def on_message_begin(self) -> None:
        """Make the connection available to the application."""
        super().on_message_begin()
        self._update_limits()
        self._is_in_head = True
        self._has_room = True
        self._arriving_bytes = self._arrived_bytes = 0
        self.scope["state"]["connection"] = self

    def on_headers_complete(self) -> None:
        """Start the request unless its head exceeds the limit."""
        self._stop_head_timer()
        size = self._compute_head_bytes()
        self._is_head_too_large = size > self._limits.header_bytes
        if self._is_head_too_large:
            raise HeadTooLargeError
        self._is_body_open = True
        self._is_in_head = False
        self._first_heads.discard(self)
        self._hold_head()
        super().on_headers_complete()
        # A trailer field must not become one of the head, which the scope holds.
        self.headers = []

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def on_message_complete(self) -> None:
        """Count the bytes of the next head from here."""
        super().on_message_complete()
        self._is_body_open = False
        self._head_bytes = 0
        self._stop_head_timer()

    def on_response_complete(self) -> None:
        """Release the request of a finished call; the connection may stay idle."""
        cycle = self.cycle
        if cycle is not None and cycle.response_complete:
            if self.scope is cycle.scope:
                self.headers = []
                self.scope = {"type": "http", "state": {}}  # type: ignore[typeddict-item]
            cycle.scope = self.scope
            cycle.body = bytearray()
        self._release_oldest_head()
        self._update_limits()
        super().on_response_complete()
        if self._read_ahead:
            self.loop.call_soon(self._parse_read_ahead)

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
        for cycle in (self.cycle, self._running):
            if cycle is not None:
                cycle.disconnected = True
        # Without a reset, the operating system would keep unsent bytes for a caller
        # that may never read them.
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):  # Closed already.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def _compute_head_bytes(self) -> int:
        fields = (len(k) + len(v) + FIELD_SEPARATOR_BYTES for k, v in self.headers)
        return len(self.url) + sum(fields)

    def _has_open_request(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _hold_arriving_head(self, size_bytes: int) -> None:
        """Reserve memory for the part of a head that has arrived.

        Without room, its fields are dropped as they come: the request is refused when
        its head is complete.
        """
        if self._memory is None:
            return
        self._arrived_bytes += size_bytes
        if self._has_room:
            fields_bytes = len(self.headers) * FIELD_OVERHEAD_BYTES
            size = self._arrived_bytes * TARGET_COPIES + fields_bytes
            self._has_room = self._reserve_head(size)
        if not self._has_room:
            self._drop_fields()

    def _hold_head(self) -> None:
        """Reserve memory for a head; without room, keep what a refusal needs of it.

        The application refuses the request if `scope["state"]["has_room"]` is False.
        """
        if self._memory is None:
            return
        size = estimate_head_bytes(self.url, self.headers)
        has_room = self._has_room and self._reserve_head(size)
        self._held_heads.append(self._arriving_bytes)
        self._arriving_bytes = 0
        self.scope["state"]["has_room"] = has_room
        if not has_room:
            self.url = b"/"
            self._drop_fields()

    def _reserve_head(self, size: int) -> bool:
        """Reserve memory up to the size of the head that arrives."""
        memory = self._memory
        added_bytes = max(0, size - self._arriving_bytes)
        if memory is None or not memory.reserve(
            added_bytes, own_bytes=self._held_bytes
        ):
            return False
        self._arriving_bytes += added_bytes
        self._held_bytes += added_bytes
        return True

    def _drop_fields(self) -> None:
        self.headers[:] = [item for item in self.headers if item[0] in KEPT_FIELDS]

    def _release_oldest_head(self) -> None:
        """Release the head of the request that was answered.

        The head of the next one may be complete, or may arrive, already.
        """
        if self._memory is not None and self._held_heads:
            size = self._held_heads.popleft()
            self._memory.release(size)
            self._held_bytes -= size

    def _release_heads(self) -> None:
        if self._memory is not None:
            self._memory.release(self._held_bytes)
            self._held_bytes = self._arriving_bytes = 0
            self._held_heads.clear()

    def _start_head_timer(self, timeout_s: float) -> None:
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            timeout_s or self._limits.body_timeout_s, self.expire_head
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _limit_unread(self) -> None:
        """Limit the time in which the caller must read something."""
        if self._unread_limit is None:
            self._unread_limit = UnreadResponseLimit(
                self.transport,  # type: ignore[arg-type]
                timeout_s=self._limits.unread_response_s,
                expire=self._expire_unread,
            )
        self._unread_limit.start()

    def _drop_references(self) -> None:
        """Drop what refers to this connection, as garbage is collected rarely."""
        self.pipeline.clear()
        self.headers = []
        self.scope = {"type": "http", "state": {}}  # type: ignore[typeddict-item]
        self.cycle = self._running = self._unread_limit = None  # type: ignore[assignment]
        self.transport.on_unsent = None  # type: ignore[attr-defined]

    def _expire_unread(self) -> None:
        log_event("response-unread", unsent=self.transport.get_write_buffer_size())
        self.reset_connection()

    def expire_head(self) -> None:
        """Close the connection because its head did not arrive in time."""
        if self._head_bytes > 0:
            self._refuse(408, "Request head too slow")
        else:
            self.transport.close()

    def _refuse_large_head(self) -> None:
        if self._knows_limits():
            self._refuse(431, "Request head too large")
        else:
            self._refuse(503, "Limits on heads not known", LIMITS_RETRY_AFTER_S)

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
        if self._is_in_head:
            # The connection is lost only after those that are ready now were read.
            self.headers.clear()


class StatusProtocol(CallerProtocol):
    """The protocol of a connection whose requests need no header fields."""

    _fields_bytes = 0

    def on_message_begin(self) -> None:
        """Count the fields of each head."""
        super().on_message_begin()
        self._fields_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a field in place of keeping it."""
        self._fields_bytes += len(name) + len(value) + FIELD_SEPARATOR_BYTES

    def _compute_head_bytes(self) -> int:
        return len(self.url) + self._fields_bytes
