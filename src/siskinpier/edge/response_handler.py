"""Client connections that limit the bytes of a response outside its body."""

import asyncio
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import StreamReader

from ..logs import log_event

MAX_READ_BYTES: Final = 65_536
# Limit on the bytes of a response outside its body: heads, those of interim responses
# included, and chunk framing.
OVERHEAD_LIMIT_BYTES: Final = 131_072
# Added to the limit for each byte of the body, which may come in 1-byte chunks.
OVERHEAD_PER_BODY_BYTE: Final = 16
HEAD_END: Final = b"\r\n\r\n"


class EndlessAnswerError(aiohttp.ClientPayloadError):
    """A server sent more bytes outside the body than any response needs."""


class StrictResponseHandler(ResponseHandler):
    """A connection that never treats an abort as the end of a reply.

    A reply without a length ends when its connection closes; plain aiohttp accepts a
    reset as that end. The bytes of a response outside its body are limited.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit one read of the socket to a quarter of asyncio's default."""
        super().connection_made(transport)
        # Initialized here: a server may send bytes before it receives a request.
        self._received_bytes = 0
        self._counted_payload: StreamReader | None = None
        # asyncio's own transports read this attribute; others ignore it.
        transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]

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
        """Reset the counters at each request."""
        self._received_bytes = 0
        self._counted_payload = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; abort the connection if too many are outside the body."""
        self._received_bytes = self._received_bytes + len(data)
        head_end = (
            data.find(HEAD_END) + len(HEAD_END) if self._counted_payload is None else 0
        )
        if len(HEAD_END) <= head_end < len(data):
            # Invalid bytes after a complete response would fail the response too if
            # they were parsed together with its head.
            super().data_received(data[:head_end])
            data = data[head_end:]
        if self.transport is not None:
            super().data_received(data)
        if self._payload is not None:
            self._counted_payload = self._payload
        body_bytes = (
            self._counted_payload.total_bytes
            if self._counted_payload is not None
            else 0
        )
        overhead_bytes = self._received_bytes - body_bytes
        if overhead_bytes > OVERHEAD_LIMIT_BYTES + OVERHEAD_PER_BODY_BYTE * body_bytes:
            self._abort_endless(overhead_bytes, body_bytes)

    def _abort_endless(self, overhead_bytes: int, body_bytes: int) -> None:
        log_event("answer-without-end", around=overhead_bytes, body=body_bytes)
        exc = EndlessAnswerError(f"{overhead_bytes} bytes outside the body")
        transport = self.transport
        self.set_exception(exc)
        if transport is not None:
            transport.abort()
