"""Request bodies: buffered up to a limit, streamed above it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

import anyio

from ..core.verdict import Problem, Verdict
from ..settings.host import LimitSettings
from .headers import IDEMPOTENCY_KEY_HEADER, Headers, get_header
from .request_memory import RequestShare
from .responses import Receive

# Bytes of a streamed body that are held besides its buffered part: what was read last,
# and what arrived since.
STREAM_BYTES: Final = 262_144
NO_ROOM_RETRY_AFTER_S: Final = 0.5


class CallerDisconnectedError(Exception):
    """The caller disconnected before the end of its request."""


class BodyBrokenError(Exception):
    """A streamed body ended early, was too slow or exceeded the size limit."""


def is_caused_by_body(exc: BaseException | None) -> bool:
    """Return True if a broken body led to the error of a client that was sending it."""
    while exc is not None and not isinstance(exc, BodyBrokenError):
        exc = exc.__cause__
    return exc is not None


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamedBody:
    """A body that can be sent only once; `first` holds the bytes received so far."""

    first: bytes
    receive: Receive
    limits: LimitSettings

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `BodyBrokenError` if it breaks off or is too large."""
        yield self.first
        size = len(self.first)
        deadline = anyio.current_time() + self.limits.body_timeout_s
        has_more = True
        while has_more:
            part, has_more = await self._receive_until(deadline)
            size += len(part)
            if size > self.limits.body_bytes:
                raise BodyBrokenError
            yield part

    async def _receive_until(self, deadline: float) -> tuple[bytes, bool]:
        with anyio.CancelScope(deadline=deadline):
            message = await self.receive()
            if message["type"] != "http.disconnect":
                return message.get("body", b""), message.get("more_body", False)
        raise BodyBrokenError


Body = bytes | StreamedBody


# Refusals after which the rest of a body is read and discarded.
DISCARDED_STATUSES: Final = frozenset({401, 503})


def must_close(problem: Problem, headers: Headers) -> bool:
    """Return True if a connection cannot be used after its body was refused.

    For lack of room or of a key, the rest of the body is discarded as it arrives:
    closing the connection could reset it before the caller has read the refusal. A
    caller that was told to wait for 100 (Continue) sends no rest.
    """
    is_discarded = problem.status in DISCARDED_STATUSES
    return not is_discarded or get_header(headers, b"expect") is not None


async def read_body(
    headers: Headers,
    receive: Receive,
    limits: LimitSettings,
    share: RequestShare,
) -> Body | Problem:
    """Return the body, or a problem if it is too large, too slow or finds no room.

    Raises `CallerDisconnectedError`. The body of a call with an idempotency key is
    never streamed: the key is bound to a digest that covers it.
    """
    length = get_header(headers, b"content-length")
    if length is None and get_header(headers, b"transfer-encoding") is None:
        return b""
    has_key = get_header(headers, IDEMPOTENCY_KEY_HEADER) is not None
    limit_bytes = limits.buffered_body_bytes if has_key else limits.body_bytes
    if length is not None and int(length) > limit_bytes:
        return _make_too_large_problem(limit_bytes)
    if length is not None:
        held_bytes = limits.buffered_body_bytes + STREAM_BYTES
        if not share.grow_to(min(int(length), held_bytes)):
            return make_no_room_problem()
    with anyio.move_on_after(limits.body_timeout_s):
        body = await _receive_body(receive, limits, share)
        if isinstance(body, StreamedBody) and has_key:
            return _make_too_large_problem(limit_bytes)
        return body
    return _make_too_slow_problem(limits.body_timeout_s)


async def _receive_body(
    receive: Receive, limits: LimitSettings, share: RequestShare
) -> Body | Problem:
    # Parts may have one byte each, and would take 40 times as much in a list.
    buffered = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        buffered += message.get("body", b"")
        size = len(buffered)
        if not share.grow_to(size):
            return make_no_room_problem()
        if not message.get("more_body", False):
            return bytes(buffered)
        if size > limits.buffered_body_bytes:
            if not share.grow_to(size + STREAM_BYTES):
                return make_no_room_problem()
            return StreamedBody(first=bytes(buffered), receive=receive, limits=limits)


def _make_too_large_problem(limit_bytes: int) -> Problem:
    return Problem(
        status=413,
        title="Body too large",
        detail=f"the limit for this call is {limit_bytes} bytes",
        verdict=Verdict.NOT_RUN,
    )


def _make_too_slow_problem(timeout_s: float) -> Problem:
    return Problem(
        status=408,
        title="Body too slow",
        detail=f"the body did not arrive within {timeout_s:g} s",
        verdict=Verdict.NOT_RUN,
    )


def make_no_room_problem() -> Problem:
    """Return the refusal of a request for which there is no memory."""
    return Problem(
        status=503,
        title="No room for the request",
        detail="the host holds too many requests",
        verdict=Verdict.NOT_RUN,
        retry_after_s=NO_ROOM_RETRY_AFTER_S,
    )
