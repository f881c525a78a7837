"""Stand-in of clients."""

import asyncio
import itertools
import secrets

from .http import Fields, Message, make_request, read_message

_count = itertools.count(1)


def make_request_id() -> str:
    """Return a new request id."""
    return f"{next(_count):06d}{secrets.token_hex(5)}"


def make_fields(host: str, request_id: str, deadline_s: float) -> Fields:
    """Return the header fields of a client's request."""
    return [
        ("Host", host),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(int(deadline_s * 1000))),
    ]


async def send_request(
    port: int,
    method: str,
    path: str,
    fields: Fields,
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
) -> Message | None:
    """Send a request on a new connection; return None if no answer came."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(make_request(method, path, fields, body))
                await writer.drain()
                return await read_message(reader, is_response=True)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
