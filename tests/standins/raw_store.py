"""Stand-in for the users' metadata store that answers with arbitrary bytes.

It runs in the event loop of the test.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final
from urllib.parse import parse_qs, urlsplit

from siskinpier.platform.store import StoreClient, StoreTimeouts

from .process import HANG_TIMEOUT_S

REQUEST_END: Final = b"\r\n\r\n"
# The stand-in answers every call, so that a timeout only ends a test that hangs.
TIMEOUTS: Final = StoreTimeouts(
    connect=HANG_TIMEOUT_S, call=HANG_TIMEOUT_S, watch_grace=HANG_TIMEOUT_S
)
Query = dict[str, str]


def make_reply(body: bytes, *, status: str = "200 OK", fields: str = "") -> bytes:
    """Return an HTTP response with a body; each of `fields` ends with CRLF."""
    head = f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def damage(text: bytes, rng: random.Random) -> bytes:
    """Return a text in which some bytes are changed, removed or added."""
    damaged = bytearray(text)
    for _ in range(rng.randrange(1, 6)):
        begin = rng.randrange(len(damaged) + 1)
        end = begin + rng.choice([0, 1, 8])
        pieces = [b"", b"\r\n", b"\x00", b" ", b":", b"\xff", b"9", b",", b";", b"{"]
        damaged[begin:end] = rng.choice(pieces)
    return bytes(damaged)


class RawStore:
    """Answers each request with what `respond` returns for its query, or `reply`."""

    def __init__(self, respond: Callable[[Query], bytes] | None = None) -> None:
        self.respond = respond or (lambda query: self.reply)
        self.reply = b""
        self.queries: list[Query] = []
        self.closes = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(REQUEST_END)
                query = urlsplit(head.split()[1].decode()).query
                params = {name: values[0] for name, values in parse_qs(query).items()}
                self.queries.append(params)
                writer.write(self.respond(params))
                await writer.drain()
                if self.closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def run_raw_store(store: RawStore) -> AsyncIterator[StoreClient]:
    """Serve a stand-in on a loopback port; return a client of it."""
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = StoreClient(address=f"127.0.0.1:{port}", timeouts=TIMEOUTS)
    await client.open()
    try:
        yield client
    finally:
        await client.aclose()
        server.close()
