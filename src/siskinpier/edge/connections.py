"""Connections to servers and to the store, held to what an answer may bring."""

import asyncio
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import StreamReader

from ..logs import log_event

READ_BYTES: Final = 65_536
# Bytes of an answer that are not of its body: heads, interim ones included, and what
# stands around chunks.
AROUND_LIMIT_BYTES: Final = 131_072
# As many more for each byte of a body, which may come in chunks of one byte.
AROUND_PER_BYTE: Final = 16


HEAD_END: Final = b"\r\n\r\n"


class EndlessAnswerError(aiohttp.ClientPayloadError):
    """A server sent more bytes around an answer than any answer needs."""


class StrictHandler(ResponseHandler):
    """A connection whose break is never taken for the end of a reply.

    A reply without a length ends with its connection; the client would take a reset
    for that end.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what one read of the socket may bring: four times as much is usual."""
        super().connection_made(transport)
        # A server may speak before it is asked.
        self._received_bytes = 0
        self._counted: StreamReader | None = None
        # An attribute of the event loop's own transports; others pass it over.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the reply in progress by an error if the connection broke."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection broke"))
        super().connection_lost(exc)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """End the body in progress too, as after bytes that cannot be read."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection broke"))
        super().set_exception(exc, *cause)

    def set_response_params(self, **params: Any) -> None:
        """Begin to count anew with each request."""
        self._received_bytes = 0
        self._counted = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Take in bytes; close on a server whose answer is not getting anywhere."""
        self._received_bytes = self._received_bytes + len(data)
        head_end = data.find(HEAD_END) + len(HEAD_END) if self._counted is None else 0
        if len(HEAD_END) <= head_end < len(data):
            # Bytes after a whole answer would cost the answer if they came with its
            # head.
            super().data_received(data[:head_end])
            data = data[head_end:]
        if self.transport is not None:
            super().data_received(data)
        if self._payload is not None:
            self._counted = self._payload
        body_bytes = self._counted.total_bytes if self._counted is not None else 0
        around_bytes = self._received_bytes - body_bytes
        if around_bytes > AROUND_LIMIT_BYTES + AROUND_PER_BYTE * body_bytes:
            self._close_on(around_bytes, body_bytes)

    def _close_on(self, around_bytes: int, body_bytes: int) -> None:
        log_event("answer-without-end", around=around_bytes, body=body_bytes)
        exc = EndlessAnswerError(f"{around_bytes} bytes that are no body")
        transport = self.transport
        self.set_exception(exc)
        if transport is not None:
            transport.abort()
