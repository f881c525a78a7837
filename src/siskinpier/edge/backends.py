"""HTTP client for calls and probes to backend servers, and for forwarded calls.

A connection whose reply was not read completely is closed and never reused.
The client's own retries are disabled: only the core may retry a call.
"""

import asyncio
import re
import ssl
import time
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from dataclasses import dataclass
from functools import partial
from math import inf
from typing import Final

import aiohttp
import anyio.lowlevel
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from yarl import URL

from ..core.verdict import AttemptFailure
from ..logs import log_event
from .bodies import Body, is_caused_by_body
from .early_responses import EarlyResponse
from .headers import CALL_ID_HEADER, Headers, get_header, strip_hop_by_hop
from .idle_limit import IdleLimit
from .outgoing_sockets import make_outgoing_socket
from .response_handler import EndlessAnswerError, StrictResponseHandler

CONNECT_TIMEOUT_S: Final = 0.25
MAX_IDLE_S: Final = 15.0
FIELD_LIMIT_BYTES: Final = 16_384
# aiohttp buffers up to twice this of a reply, plus one socket read, before it stops
# reading until the caller has taken some of it.
READ_BUFFER_BYTES: Final = 16_384

# Longest time that the rest of a request body may take after its response, seconds. The
# part that comes from a caller has a limit of its own.
REST_OF_BODY_S: Final = 30.0

FINAL_STATUSES: Final = range(200, 600)
# Those that a header field must not hold; a tab is allowed.
_CONTROL_CHARACTERS: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class AttemptError(Exception):
    """An attempt failed in the way that `failure` names."""

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(failure)
        self.failure = failure


@dataclass(slots=True, kw_only=True)
class BackendReply:
    """The head of a reply, and access to its body."""

    status: int
    headers: Headers
    response: aiohttp.ClientResponse
    release: Callable[[], None] | None = None

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; raise `AttemptError` if it ends early."""
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as exc:
            failure = AttemptFailure.TRUNCATED
            if is_caused_by_body(exc):
                failure = AttemptFailure.BODY_BROKEN
            raise AttemptError(failure) from exc

    async def skip_body(self, *, limit_bytes: int) -> int:
        """Discard the body and return its size in bytes.

        Raises `AttemptError` if it ends early or is longer than `limit_bytes`.
        """
        size = 0
        async for chunk in self.iterate():
            size += len(chunk)
            if size > limit_bytes:
                raise AttemptError(AttemptFailure.BAD_REPLY)
        return size

    def is_fully_read(self) -> bool:
        """Return True if the whole body has been yielded."""
        return self.response.content.at_eof()

    def is_request_open(self) -> bool:
        """Return True if the request body has not been sent completely."""
        return self.response._writer is not None

    async def wait_until_request_sent(self) -> None:
        """Wait until the server has the whole request body, or does not get it."""
        writer = self.response._writer
        if writer is not None:
            await asyncio.wait([writer], timeout=REST_OF_BODY_S)

    def close(self) -> None:
        """Close the connection unless the reply was read completely.

        A server that replied early still gets the rest of the request body, so that it
        may keep the connection.
        """
        writer = self.response._writer
        if writer is None or not self.is_fully_read():
            self._close_now()
            return
        timer = asyncio.get_running_loop().call_later(REST_OF_BODY_S, writer.cancel)

        def end(_: "asyncio.Task[None]") -> None:
            timer.cancel()
            self._close_now()

        # The client's own callbacks come first and return the connection to its pool.
        writer.add_done_callback(end)

    def _close_now(self) -> None:
        self.response.close()
        if self.release is not None:
            self.release()
            self.release = None

    def close_connection(self) -> None:
        """Close the connection even if the reply was read completely."""
        self._close_now()
        # aiohttp returns a connection to its pool as soon as the reply's end arrives.
        protocol = self.response._protocol
        if protocol is not None:
            protocol.close()


# Longest idle time of a pooled connection that the request of this task may use, in
# seconds.
_max_idle_s: ContextVar[float] = ContextVar("max_idle_s", default=inf)
# Idle time of the pooled connection that the request of this task uses, in seconds; 0
# for a new connection.
_reused_idle_s: ContextVar[float] = ContextVar("reused_idle_s", default=0.0)


class StrictConnector(aiohttp.TCPConnector):
    """A pool that reuses the connection that was used last.

    It reuses none that has been idle too long, and none that received bytes while idle:
    they would be parsed as the reply to the next request.
    """

    idle_limit: IdleLimit

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while self._move_latest_first(key):
            conn = await super()._get(key, traces)
            if conn is None:
                return None
            try:
                # Let the event loop read the bytes that wait in the socket.
                await anyio.lowlevel.checkpoint()
            except BaseException:
                conn.close()
                raise
            protocol = conn.protocol
            if (
                protocol is not None
                and protocol.is_connected()
                and not protocol.should_close
            ):
                return conn
            conn.close()
        return None

    def _move_latest_first(self, key: ConnectionKey) -> bool:
        """Move the connection used last to the front; return False if it is too old."""
        conns = self._conns.get(key)
        if not conns:
            return False
        conns.rotate(1)
        now = time.monotonic()
        idle_s = now - conns[0][1]
        if idle_s > min(self.idle_limit.get(now), _max_idle_s.get()):
            return False
        _reused_idle_s.set(idle_s)
        return True


class BackendClient:
    """HTTP client with a connection pool and a limit on connections per address."""

    def __init__(
        self,
        *,
        peer_tls: ssl.SSLContext | None = None,
        id_field: bytes = CALL_ID_HEADER,
        echoes_id: bool = False,
        keep_alive_s: float = MAX_IDLE_S,
        once_idle_s: float | None = None,
    ) -> None:
        """Create a client; a reply whose `id_field` names another call is an error.

        With `echoes_id`, servers repeat the id of every request that has one, so a
        reply without it belongs to a request without an id, such as a probe. Requests
        that may run only once use no connection that was idle for over `once_idle_s`.
        """
        self._peer_tls = peer_tls
        self._id_field = id_field
        self._echoes_id = echoes_id
        self._keep_alive_s = keep_alive_s
        self._once_idle_s = inf if once_idle_s is None else once_idle_s
        self._idle_limit = IdleLimit(max_idle_s=keep_alive_s)
        self._session: aiohttp.ClientSession | None = None
        self._in_use: dict[str, int] = {}

    async def open(self) -> None:
        """Create the connection pool; requires a running event loop."""
        connector = StrictConnector(
            limit=0,
            keepalive_timeout=self._keep_alive_s,
            socket_factory=make_outgoing_socket,
            enable_cleanup_closed=False,
        )
        loop = asyncio.get_running_loop()
        connector.idle_limit = self._idle_limit
        connector._factory = partial(StrictResponseHandler, loop=loop)  # type: ignore[assignment]
        self._session = aiohttp.ClientSession(
            connector=connector,
            response_class=EarlyResponse,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
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
        may_run_once: bool = False,
    ) -> BackendReply:
        """Send a request and return the head of its reply, or raise `AttemptError`.

        `connections` limits the requests in flight to the address; 0 means no limit.
        With `is_forward`, the request goes to another host, over TLS if hosts use it.
        With `may_run_once`, it cannot be sent again if its connection breaks.
        """
        tls = self._peer_tls if is_forward else None
        scheme = "http" if tls is None else "https"
        url = URL(f"{scheme}://{address}{target}", encoded=True)
        _max_idle_s.set(self._once_idle_s if may_run_once else inf)
        in_use = self._in_use.get(address, 0)
        if connections and in_use >= connections:
            raise AttemptError(AttemptFailure.NO_CONNECTION_FREE)
        self._in_use[address] = in_use + 1
        release = partial(self._release_connection, address)
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
        if not _is_forwardable(reply) or not self._is_reply_to(headers, reply.headers):
            reply.close_connection()
            raise AttemptError(AttemptFailure.BAD_REPLY)
        return reply

    def _is_reply_to(self, request: Headers, reply: Headers) -> bool:
        """Return True if the header fields of a reply fit those of a request."""
        reply_id = get_header(reply, self._id_field)
        request_id = get_header(request, self._id_field)
        if reply_id is None:
            return request_id is None or not self._echoes_id
        return reply_id == request_id

    def _release_connection(self, address: str) -> None:
        remaining = self._in_use[address] - 1
        if remaining:
            self._in_use[address] = remaining
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
        _reused_idle_s.set(0.0)
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
            if is_caused_by_body(exc):
                raise AttemptError(AttemptFailure.BODY_BROKEN) from exc
            self._record_break(sent_at)
            raise AttemptError(AttemptFailure.RESET) from exc

    def _record_break(self, sent_at: float) -> None:
        """Update the idle limit after a connection broke before the reply began."""
        now = time.monotonic()
        idle_s = _reused_idle_s.get()
        if self._idle_limit.record_break(idle_s=idle_s, sent_at=sent_at, now=now):
            log_event(
                "rest-limit",
                rested_s=round(idle_s, 3),
                limit_s=round(self._idle_limit.get(now), 3),
            )


def _is_forwardable(reply: BackendReply) -> bool:
    """Return True if the server of callers can send the head of a reply on."""
    return reply.status in FINAL_STATUSES and not any(
        _CONTROL_CHARACTERS.search(name) or _CONTROL_CHARACTERS.search(value)
        for name, value in reply.headers
    )


def clean_reply_headers(headers: Headers) -> Headers:
    """Return the header fields of a reply that are passed on to the caller."""
    return strip_hop_by_hop(headers)
