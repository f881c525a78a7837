"""The HTTP client of the platform's metadata store.

Network failures are returned as results, never raised.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Final
from urllib.parse import quote

import aiohttp

from ..core.platform_results import (
    ObjectMissing,
    ReadResult,
    StoredObject,
    Unavailable,
    VersionConflict,
    WriteAccepted,
    WriteOutcomeUnknown,
    WriteResult,
)
from ..core.positions import StorePosition
from ..edge.outgoing_sockets import make_outgoing_socket
from ..edge.response_handler import StrictResponseHandler
from .json_rows import looks_like_json
from .store_objects import (
    ChangeList,
    Malformed,
    StoreObject,
    decode_changes,
    decode_object,
    decode_page,
)

# First and longest delay before a call is retried after a failure, seconds.
MIN_RETRY_DELAY_S: Final = 0.3
MAX_RETRY_DELAY_S: Final = 1.0
MAX_LIST_PAGES: Final = 100
# A page of a list holds about a megabyte, or one object of that size, of which each
# byte may be written as an escape of six.
MAX_RESPONSE_BYTES: Final = 8_388_608
# The era rises by one each time the store is restored from an older copy of itself.
ERA_HEADER: Final = "Store-Era"
MAX_ERA_DIGITS: Final = 15
# The era before the first response.
UNKNOWN_ERA: Final = -1
# Sorts after the names of all objects.
LAST_NAME: Final = "~"
CANNOT_CONTINUE: Final = "no name to continue a list from"
ERA_CHANGED: Final = "the store came back from an older copy meanwhile"
EARLIER_ERA: Final = "an answer of an earlier era of the store"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreTimeouts:
    """Timeouts of calls, seconds.

    `watch_grace` is how much longer than its wait time a watch may take to respond.
    """

    connect: float = 0.5
    call: float = 1.5
    watch_grace: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectList:
    """All objects of a kind, and the position from which a watch continues."""

    position: StorePosition
    items: tuple[StoreObject, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryLost:
    """The store no longer has the changes after the requested position."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Response:
    status: int
    content: bytes
    era: int


class StoreClient:
    """A client of the store, whose calls each end within their timeouts.

    `calls` counts the requests by kind of call. `era` is the latest era in a response;
    responses of an earlier era are rejected, because they do not show the current state
    of the store. `handle_new_era` is called when the era rises.
    """

    def __init__(
        self, *, address: str, timeouts: StoreTimeouts = StoreTimeouts()
    ) -> None:
        self.calls: Counter[str] = Counter()
        self.era = UNKNOWN_ERA
        self.handle_new_era: Callable[[int], None] = lambda era: None
        self._timeouts = timeouts
        self._root = f"http://{address}/api/objects"
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the HTTP session; requires a running event loop."""
        connector = aiohttp.TCPConnector(limit=0, socket_factory=make_outgoing_socket)
        loop = asyncio.get_running_loop()
        connector._factory = partial(StrictResponseHandler, loop=loop)  # type: ignore[assignment]
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # A write that aiohttp sends again could take effect twice.
        self._session._retry_connection = False

    async def aclose(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def list_all(
        self, kind: str, *, may_be_stale: bool = False
    ) -> ObjectList | Unavailable:
        """Return all objects of a kind; the list may lag if `may_be_stale` is set."""
        items: list[StoreObject] = []
        params: dict[str, str] = {"staleOk": "1"} if may_be_stale else {}
        position: StorePosition | None = None
        for _ in range(MAX_LIST_PAGES):
            response = await self._call("list", "GET", self._path(kind), params=params)
            if isinstance(response, Unavailable | WriteOutcomeUnknown):
                return Unavailable(reason=response.reason)
            if response.status != HTTPStatus.OK:
                return Unavailable(reason=f"status {response.status}")
            page = await decode_page(kind, response.content)
            if isinstance(page, Malformed):
                return Unavailable(reason=page.reason)
            if position is not None and response.era != position.era:
                return Unavailable(reason=ERA_CHANGED)
            if position is None:
                # A watch from here gets the changes between the first and last page.
                position = StorePosition(era=response.era, revision=page.revision)
            items += page.items
            if not page.has_more:
                return ObjectList(position=position, items=tuple(items))
            if page.last_name is None or page.last_name == params.get("after"):
                return Unavailable(reason=CANNOT_CONTINUE)
            params["after"] = page.last_name
        return Unavailable(reason=f"more than {MAX_LIST_PAGES} pages")

    async def watch(
        self, kind: str, *, since: StorePosition, wait_s: float
    ) -> ChangeList | HistoryLost | Unavailable:
        """Return the changes after a position, waiting up to `wait_s` seconds.

        A response of another era does not continue from that position, so the result is
        `HistoryLost`.
        """
        params = {"watch": str(since.revision), "waitMs": str(int(wait_s * 1000))}
        response = await self._call(
            "watch",
            "GET",
            self._path(kind),
            params=params,
            timeout_s=wait_s + self._timeouts.watch_grace,
        )
        if isinstance(response, Unavailable | WriteOutcomeUnknown):
            return Unavailable(reason=response.reason)
        if response.status == HTTPStatus.GONE or response.era != since.era:
            return HistoryLost()
        if response.status != HTTPStatus.OK:
            return Unavailable(reason=f"status {response.status}")
        changes = await decode_changes(kind, response.content, era=response.era)
        if isinstance(changes, Malformed):
            return Unavailable(reason=changes.reason)
        return changes

    async def read_position(
        self, kind: str, *, timeout_s: float
    ) -> StorePosition | Unavailable:
        """Return the store's position; it may lag. Cheaper than a consistent read.

        The position is that of the list of a kind from its end on, which is empty.
        """
        response = await self._call(
            "check",
            "GET",
            self._path(kind),
            params={"staleOk": "1", "after": LAST_NAME},
            timeout_s=timeout_s,
        )
        if isinstance(response, Unavailable | WriteOutcomeUnknown):
            # A lagging read may show an earlier era of a store that answers.
            if response.reason == EARLIER_ERA:
                return StorePosition()
            return Unavailable(reason=response.reason)
        if response.status != HTTPStatus.OK:
            return Unavailable(reason=f"status {response.status}")
        page = await decode_page(kind, response.content)
        if isinstance(page, Malformed):
            return Unavailable(reason=page.reason)
        return StorePosition(era=response.era, revision=page.revision)

    async def read_object(self, *, kind: str, name: str) -> ReadResult:
        """Read one object."""
        response = await self._call("read", "GET", self._path(kind, name))
        if isinstance(response, Unavailable | WriteOutcomeUnknown):
            return Unavailable(reason=response.reason)
        if response.status == HTTPStatus.NOT_FOUND:
            return ObjectMissing(kind=kind, name=name)
        if response.status != HTTPStatus.OK:
            return Unavailable(reason=f"status {response.status}")
        item = decode_object(kind, response.content)
        if item is None:
            return Unavailable(reason="malformed answer")
        spec = item.spec if isinstance(item.spec, dict) else {}
        return StoredObject(kind=kind, name=name, version=str(item.revision), spec=spec)

    async def write_object(
        self,
        *,
        kind: str,
        name: str,
        spec: dict[str, object],
        expected_version: str | None,
    ) -> WriteResult:
        """Create an object, or replace one that is at the expected version."""
        metadata: dict[str, object] = {"name": name}
        is_create = expected_version is None
        if expected_version is not None:
            metadata["revision"] = int(expected_version)
        response = await self._call(
            "write",
            "POST" if is_create else "PUT",
            self._path(kind, None if is_create else name),
            body={"metadata": metadata, "spec": spec},
        )
        if isinstance(response, Unavailable | WriteOutcomeUnknown):
            return response
        if response.status in (HTTPStatus.OK, HTTPStatus.CREATED):
            item = decode_object(kind, response.content)
            if item is None:
                return WriteOutcomeUnknown(reason="malformed answer")
            return WriteAccepted(version=str(item.revision))
        if response.status in (HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND):
            return VersionConflict()
        return Unavailable(reason=f"status {response.status}")

    def _path(self, kind: str, name: str | None = None) -> str:
        path = f"{self._root}/{quote(kind, safe='')}"
        return path if name is None else f"{path}/{quote(name, safe='')}"

    async def _call(
        self,
        call_kind: str,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        body: object = None,
        timeout_s: float | None = None,
    ) -> _Response | Unavailable | WriteOutcomeUnknown:
        """Return the response, or `WriteOutcomeUnknown` if the call may have run."""
        self.calls[call_kind] += 1
        if self._session is None:
            return Unavailable(reason="closed")
        timeout = aiohttp.ClientTimeout(
            total=self._timeouts.call if timeout_s is None else timeout_s,
            sock_connect=self._timeouts.connect,
        )
        try:
            async with self._session.request(
                method,
                path,
                params=params,
                json=body,
                timeout=timeout,
                allow_redirects=False,
            ) as reply:
                content = await _read_bounded(reply)
                status = reply.status
                era = _parse_era(reply.headers.get(ERA_HEADER))
        except aiohttp.ClientConnectorError as exc:
            return Unavailable(reason=type(exc).__name__)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return WriteOutcomeUnknown(reason=type(exc).__name__)
        if era < self.era:
            return WriteOutcomeUnknown(reason=EARLIER_ERA)
        if era > self.era:
            is_first, self.era = self.era == UNKNOWN_ERA, era
            if not is_first:
                self.handle_new_era(era)
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            return Unavailable(reason=f"status {status}")
        if content and not looks_like_json(content):
            return WriteOutcomeUnknown(reason=f"malformed answer of status {status}")
        return _Response(status=status, content=content, era=era)


async def _read_bounded(reply: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response; raise `ClientPayloadError` if it is too long."""
    parts = []
    remaining_bytes = MAX_RESPONSE_BYTES
    async for part in reply.content.iter_any():
        remaining_bytes -= len(part)
        if remaining_bytes < 0:
            raise aiohttp.ClientPayloadError("the body is too long")
        parts.append(part)
    return b"".join(parts)


def _parse_era(value: str | None) -> int:
    """Return the era in a response; 0 if it has none or an invalid one."""
    if value is None or not value.isascii() or not value.isdigit():
        return 0
    return int(value[:MAX_ERA_DIGITS])
