"""Calls and probes to backend servers, and forwarded calls to other hosts.

A connection whose reply was not read to its end is closed and never reused.
The client's own retries are off: only the core may try a call again.
"""

import asyncio
import ssl
import time
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from dataclasses import dataclass
from functools import partial
from typing import Final

import aiohttp
import anyio.lowlevel
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from yarl import URL

from ..core.verdict import AttemptFailure
from ..logs import log_event
from .bodies import Body
from .connections import EndlessAnswerError, StrictHandler
from .headers import CALL_ID, Headers, get_header, strip_hop_by_hop
from .resting import RestLimit
from .streams import make_stream_socket

CONNECT_BOUND_S: Final = 0.25
KEEP_ALIVE_S: Final = 15.0
FIELD_LIMIT_BYTES: Final = 16_384
# What is read of a reply before its caller takes some of it: twice this, and one read
# of the socket more.
READ_BUFFER_BYTES: Final = 16_384


class AttemptError(Exception):
    """An attempt broke in the way that `failure` names."""

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(failure)
        self.failure = failure


@dataclass(slots=True, kw_only=True)
class BackendReply:
    """The head of a reply, and the stream of its body."""

    status: int
    headers: Headers
    response: aiohttp.ClientResponse
    release: Callable[[], None] | None = None

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `AttemptError` when it ends early."""
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as exc:
            raise AttemptError(AttemptFailure.TRUNCATED) from exc

    async def drain(self, *, limit_bytes: int) -> int:
        """Pass over the body and return its size; raise if it is longer than that."""
        size = 0
        async for chunk in self.iterate():
            size += len(chunk)
            if size > limit_bytes:
                raise AttemptError(AttemptFailure.BAD_REPLY)
        return size

    def is_at_end(self) -> bool:
        """Return True if the whole body was yielded."""
        return self.response.content.at_eof()

    def close(self) -> None:
        """Close the connection unless the reply was read to its end."""
        self.response.close()
        if self.release is not None:
            self.release()
            self.release = None

    def discard(self) -> None:
        """Close the connection even if the reply was read to its end."""
        self.close()
        # The client puts a connection back as soon as a reply's end arrives.
        protocol = self.response._protocol
        if protocol is not None:
            protocol.close()


# How long the connection had rested that the request of this task uses, seconds; 0
# for a new one.
_rested_s: ContextVar[float] = ContextVar("rested_s", default=0.0)


class StrictConnector(aiohttp.TCPConnector):
    """A pool that reuses the freshest connection, and none that rested too long.

    Neither does it reuse one on which unasked bytes arrived: they would be read as the
    reply to the next request.
    """

    rest_limit: RestLimit

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while self._offer_freshest(key):
            conn = await super()._get(key, traces)
            if conn is None:
                return None
            # Bytes that wait in the socket are read in this turn of the loop.
            await anyio.lowlevel.checkpoint()
            protocol = conn.protocol
            if (
                protocol is not None
                and protocol.is_connected()
                and not protocol.should_close
            ):
                return conn
            conn.close()
        return None

    def _offer_freshest(self, key: ConnectionKey) -> bool:
        """Put the freshest connection first; return False if it rested too long."""
        conns = self._conns.get(key)
        if not conns:
            return False
        conns.rotate(1)
        now = time.monotonic()
        rested_s = now - conns[0][1]
        if rested_s > self.rest_limit.get(now):
            return False
        _rested_s.set(rested_s)
        return True


class BackendClient:
    """Open, keep and bound the connections to backend servers."""

    def __init__(
        self,
        *,
        peer_tls: ssl.SSLContext | None = None,
        id_field: bytes = CALL_ID,
        keep_alive_s: float = KEEP_ALIVE_S,
    ) -> None:
        """Prepare a client; replies that name another id in `id_field` are refused."""
        self._peer_tls = peer_tls
        self._id_field = id_field
        self._keep_alive_s = keep_alive_s
        self._rest_limit = RestLimit(longest_s=keep_alive_s)
        self._session: aiohttp.ClientSession | None = None
        self._in_use: dict[str, int] = {}

    async def open(self) -> None:
        """Prepare the connection pool; needs a running loop."""
        connector = StrictConnector(
            limit=0,
            keepalive_timeout=self._keep_alive_s,
            socket_factory=make_stream_socket,
            enable_cleanup_closed=False,
        )
        loop = asyncio.get_running_loop()
        connector.rest_limit = self._rest_limit
        connector._factory = partial(StrictHandler, loop=loop)  # type: ignore[assignment]
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_BOUND_S),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=FIELD_LIMIT_BYTES,
            max_field_size=FIELD_LIMIT_BYTES,
        )
        # A retry inside the client could run a call twice.
        self._session._retry_connection = False

    async def aclose(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        *,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: Body,
        connections: int = 0,
        is_forward: bool = False,
    ) -> BackendReply:
        """Send a request and return the head of its reply, or raise `AttemptError`.

        With `connections`, that many may be in use to the address at a time. A
        call that is forwarded to another entry host goes over TLS if hosts do.
        """
        tls = self._peer_tls if is_forward else None
        scheme = "http" if tls is None else "https"
        url = URL(f"{scheme}://{address}{target}", encoded=True)
        in_use = self._in_use.get(address, 0)
        if connections and in_use >= connections:
            raise AttemptError(AttemptFailure.NO_CONNECTION_FREE)
        self._in_use[address] = in_use + 1
        release = partial(self._release, address)
        try:
            response = await self._request(method, url, headers, body, tls)
        except BaseException:
            release()
            raise
        reply = BackendReply(
            status=response.status,
            headers=[(key.lower(), val) for key, val in response.raw_headers],
            response=response,
            release=release,
        )
        named = get_header(reply.headers, self._id_field)
        if named is not None and named != get_header(headers, self._id_field):
            reply.discard()
            raise AttemptError(AttemptFailure.BAD_REPLY)
        return reply

    def _release(self, address: str) -> None:
        left = self._in_use[address] - 1
        if left:
            self._in_use[address] = left
        else:
            del self._in_use[address]

    async def _request(
        self,
        method: str,
        url: URL,
        headers: Headers,
        body: Body,
        tls: ssl.SSLContext | None,
    ) -> aiohttp.ClientResponse:
        if self._session is None:
            raise AttemptError(AttemptFailure.CANCELLED_BEFORE_SEND)
        fields = [
            (key.decode("latin-1"), val.decode("latin-1")) for key, val in headers
        ]
        _rested_s.set(0.0)
        sent_at = time.monotonic()
        try:
            return await self._session.request(
                method,
                url,
                ssl=True if tls is None else tls,
                headers=fields,
                data=(body or None) if isinstance(body, bytes) else body.iterate(),
                allow_redirects=False,
            )
        except aiohttp.ConnectionTimeoutError as exc:
            raise AttemptError(AttemptFailure.CONNECT_TIMEOUT) from exc
        except aiohttp.ClientConnectorError as exc:
            raise AttemptError(AttemptFailure.CONNECT_REFUSED) from exc
        except (aiohttp.ClientResponseError, EndlessAnswerError) as exc:
            raise AttemptError(AttemptFailure.BAD_REPLY) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            self._note_break(sent_at)
            raise AttemptError(AttemptFailure.RESET) from exc

    def _note_break(self, sent_at: float) -> None:
        """Learn from a request that broke before its reply began."""
        now = time.monotonic()
        rested_s = _rested_s.get()
        if self._rest_limit.note_break(rested_s=rested_s, sent_at=sent_at, now=now):
            log_event(
                "rest-limit",
                rested_s=round(rested_s, 3),
                limit_s=round(self._rest_limit.get(now), 3),
            )


def clean_reply_headers(headers: Headers) -> Headers:
    """Return the fields of a reply that a caller may see."""
    return strip_hop_by_hop(headers)
