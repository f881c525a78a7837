"""Guards against treating a reset connection as the end of a reply without a length.

Such a reply ends when its connection closes; plain aiohttp accepts a reset as that
end, so a truncated reply would be passed on as a complete one.
"""

import asyncio
import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from siskinpier.core.verdict import AttemptFailure
from siskinpier.edge.backends import AttemptError, BackendClient

REPLY = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of an answer"
# SO_LINGER on, with 0 s: closing the socket sends a reset.
RESET = struct.pack("ii", 1, 0)
PAUSE_S = 0.1


@contextmanager
def serve_once(*, is_reset: bool) -> Iterator[str]:
    """Serve one reply without a length, then close or reset its connection."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        conn, _ = listener.accept()
        conn.recv(65536)
        conn.sendall(REPLY)
        # Let the client read the body before the connection ends.
        threading.Event().wait(PAUSE_S)
        if is_reset:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        conn.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    thread.join()
    listener.close()


async def read_reply(address: str) -> bytes:
    """Return the body of a reply."""
    client = BackendClient()
    await client.open()
    try:
        reply = await client.send(
            address=address, method="GET", target="/", headers=[], body=b""
        )
        return b"".join([part async for part in reply.iterate()])
    finally:
        await client.aclose()


class TestRepliesWithoutLength:
    """Only an orderly close of the connection ends a reply."""

    def test_close_ends_the_reply(self) -> None:
        with serve_once(is_reset=False) as address:
            assert asyncio.run(read_reply(address)) == b"part of an answer"

    def test_reset_truncates_the_reply(self) -> None:
        with (
            serve_once(is_reset=True) as address,
            pytest.raises(AttemptError) as caught,
        ):
            asyncio.run(read_reply(address))
        assert caught.value.failure is AttemptFailure.TRUNCATED
