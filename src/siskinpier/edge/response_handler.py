"""Client connections that bound what a server can make a host keep.

A server may send bytes without end in every part of a response, and before and after
it. What is kept of a connection is bounded in bytes and in objects: a parsed head or
chunk takes many times its bytes.
"""

import asyncio
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import EmptyStreamReader, StreamReader

from ..logs import log_event

# Bytes of one read of the socket. It begins with the least for each response, and grows
# with each read that is full and has few small chunks: parsing those takes long, and
# hundreds of connections may be read in a row.
MIN_READ_BYTES: Final = 4_096
MAX_READ_BYTES: Final = 65_536
# Limit on the bytes of a response outside its body: heads, those of interim responses
# included, and chunk framing.
OVERHEAD_LIMIT_BYTES: Final = 131_072
# Added to the limit for each byte of the body, which may come in 1-byte chunks.
OVERHEAD_PER_BODY_BYTE: Final = 16
# Limit on the interim responses (status 1xx) before a response.
MAX_INTERIM_RESPONSES: Final = 16
# Bytes that are parsed at a time. An error about invalid ones holds them several times.
MAX_HEAD_PART_BYTES: Final = 2_048
MAX_BODY_PART_BYTES: Final = 16_384
# Parts of a body that wait to be read, beyond which they are joined.
MAX_BODY_PARTS: Final = 64
FINAL_STATUS: Final = 200
SWITCHING_PROTOCOLS: Final = 101
HEAD_END: Final = b"\r\n\r\n"
# Every response begins with this, so that a part of the bytes without it inside holds
# the beginning of at most one.
RESPONSE_START: Final = b"HTTP/1."


class EndlessAnswerError(aiohttp.ClientPayloadError):
    """A server sent more bytes outside the body than any response needs."""


class StrictResponseHandler(ResponseHandler):
    """A connection that never treats an abort as the end of a reply.

    A reply without a length ends when its connection closes; plain aiohttp accepts a
    reset as that end. The bytes of a response outside its body are limited, and a
    connection with bytes that belong to no response is closed.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take bytes for what belongs to no response until there is a request."""
        super().connection_made(transport)
        # Initialized here: a server may send bytes before it receives a request.
        self._reset()
        self._has_request = False

    def _reset(self) -> None:
        self._set_read_size(MIN_READ_BYTES)
        self._parsed_bytes = 0
        self._interim_count = 0
        # The body of the response, once its head has arrived.
        self._body: StreamReader | None = None
        # Bytes that are parsed when the body's reader has taken some of it.
        self._rest = b""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the reply in progress if the connection broke."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection broke"))
        super().connection_lost(exc)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail the body in progress too, for example after invalid bytes."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection broke"))
        super().set_exception(exc, *cause)

    def set_response_params(self, **params: Any) -> None:
        """Expect the response to a request."""
        self._reset()
        self._has_request = True
        super().set_response_params(**params)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Count interim responses, and note the body of the final one."""
        message, body = data
        if message.code < FINAL_STATUS and message.code != SWITCHING_PROTOCOLS:
            self._interim_count += 1
        elif self._body is None:
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse bytes in parts, until one ends the response or exceeds a limit.

        Without bytes, parsing goes on where a full body had paused it.
        """
        if data and not self._has_request:
            self._abort_surplus(len(data))
            return
        received_bytes = len(data)
        if not data:
            super().data_received(data)
        data, self._rest = self._rest + data, b""
        start = 0
        while start < len(data) and self.transport is not None:
            if self._is_response_complete():
                self._abort_surplus(len(data) - start)
                return
            if self._reading_paused:
                self._rest = data[start:]
                return
            end = self._find_part_end(data, start)
            self._parsed_bytes += end - start
            super().data_received(data[start:end])
            start = end
            if self._is_beyond_limits():
                return
        if self._is_response_complete():
            self._has_request = False
        if not received_bytes:
            # The reader is taking parts of the body, which must stay as they are.
            return
        if self._has_many_parts():
            self._set_read_size(MIN_READ_BYTES)
            self._join_body_parts()
        elif received_bytes >= self._read_bytes:
            self._set_read_size(min(MAX_READ_BYTES, 2 * self._read_bytes))

    def _set_read_size(self, size_bytes: int) -> None:
        self._read_bytes = size_bytes
        if self.transport is not None:
            # asyncio's own transports read this attribute; others ignore it.
            self.transport.max_size = size_bytes  # type: ignore[attr-defined]

    def _find_part_end(self, data: bytes, start: int) -> int:
        """Return the end of a part that completes at most one head."""
        if self._body is None:
            end = min(len(data), start + MAX_HEAD_PART_BYTES)
            found = data.find(HEAD_END, start, end)
            return end if found < 0 else found + len(HEAD_END)
        end = min(len(data), start + MAX_BODY_PART_BYTES)
        found = data.find(RESPONSE_START, start + 1, end)
        return end if found < 0 else found

    def _is_response_complete(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def _is_beyond_limits(self) -> bool:
        """Return True if the response has too many bytes outside its body.

        The connection is closed then.
        """
        body_bytes = self._body.total_bytes if self._body is not None else 0
        overhead_bytes = self._parsed_bytes - body_bytes
        limit = OVERHEAD_LIMIT_BYTES + OVERHEAD_PER_BODY_BYTE * body_bytes
        if self._interim_count <= MAX_INTERIM_RESPONSES and overhead_bytes <= limit:
            return False
        self._abort_endless(overhead_bytes, body_bytes)
        return True

    def _has_many_parts(self) -> bool:
        body = self._body
        if body is None or isinstance(body, EmptyStreamReader):
            return False
        splits = body._http_chunk_splits
        return max(len(body._buffer), len(splits or ())) > MAX_BODY_PARTS

    def _join_body_parts(self) -> None:
        """Join the parts of a body that wait to be read: small ones take much room."""
        body = self._body
        assert body is not None
        joined = b"".join(body._buffer)
        body._buffer.clear()
        if joined:
            # An empty part would pass for the end of the body.
            body._buffer.append(joined)
        splits = body._http_chunk_splits
        if splits:
            last = splits[-1]
            splits.clear()
            splits.append(last)

    def _abort_surplus(self, surplus_bytes: int) -> None:
        """Close the connection after bytes that belong to no response."""
        log_event("bytes-without-request", bytes=surplus_bytes)
        transport = self.transport
        self._rest = b""
        self.force_close()
        if transport is not None:
            transport.abort()

    def _abort_endless(self, overhead_bytes: int, body_bytes: int) -> None:
        log_event(
            "answer-without-end",
            around=overhead_bytes,
            body=body_bytes,
            interim=self._interim_count,
        )
        exc = EndlessAnswerError(f"{overhead_bytes} bytes outside the body")
        transport = self.transport
        self._rest = b""
        self.set_exception(exc)
        if transport is not None:
            transport.abort()
