"""The platform's metadata store over its HTTP interface.

Network faults are returned as results, never raised. `calls` counts the requests
made, by kind of call.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any, Final
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

CONNECT_TIMEOUT_S: Final = 0.5
CALL_TIMEOUT_S: Final = 1.5
# Pauses before a call is tried again after a fault, which grow, seconds.
RETRY_S: Final = 0.3
RETRY_LONGEST_S: Final = 1.0
# How much later than asked a watch's answer may come.
WATCH_GRACE_S: Final = 1.0
LONGEST_LIST_PAGES: Final = 100
# A page of a list holds about a megabyte, or one object that is as large.
ANSWER_LIMIT_BYTES: Final = 2_097_152
# Rises by one each time the store comes back from an older copy of itself.
ERA_HEADER: Final = "Store-Era"
ERA_DIGITS: Final = 15
# Before the first answer.
NO_ERA: Final = -1
ERA_ROSE: Final = "the store came back from an older copy meanwhile"
ERA_BEFORE: Final = "an answer of an earlier era of the store"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreObject:
    """An object as the store holds it; `revision` is that of its last change."""

    name: str
    revision: int
    spec: Any
    status: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectList:
    """All objects of a kind; a watch may begin at `position`."""

    position: StorePosition
    items: tuple[StoreObject, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectChange:
    """An object that changed or was deleted."""

    item: StoreObject
    is_deleted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeList:
    """What changed up to `position`, from where the watch goes on."""

    position: StorePosition
    changes: tuple[ObjectChange, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryLost:
    """The store forgot the changes after the revision asked for."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    status: int
    document: Any
    era: int


class Store:
    """Calls to the store; each ends within its timeout.

    `era` is the latest that an answer named; later answers of an earlier one tell
    nothing of what the store holds now. `note_era` is called when it rises.
    """

    def __init__(self, *, address: str) -> None:
        self.calls: Counter[str] = Counter()
        self.era = NO_ERA
        self.note_era: Callable[[int], None] = lambda era: None
        self._root = f"http://{address}/api/objects"
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Prepare the connections; needs a running loop."""
        connector = aiohttp.TCPConnector(limit=0, socket_factory=make_outgoing_socket)
        loop = asyncio.get_running_loop()
        connector._factory = partial(StrictResponseHandler, loop=loop)  # type: ignore[assignment]
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # A write that was sent again by the client could act twice.
        self._session._retry_connection = False

    async def aclose(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def list_all(
        self, kind: str, *, may_be_stale: bool = False
    ) -> ObjectList | Unavailable:
        """Return all objects of a kind."""
        items: list[StoreObject] = []
        params: dict[str, str] = {"staleOk": "1"} if may_be_stale else {}
        position: StorePosition | None = None
        for _ in range(LONGEST_LIST_PAGES):
            answer = await self._call("list", "GET", self._path(kind), params=params)
            if isinstance(answer, Unavailable | WriteOutcomeUnknown):
                return Unavailable(reason=answer.reason)
            page = _parse_page(answer)
            if isinstance(page, Unavailable):
                return page
            if position is not None and page.position.era != position.era:
                return Unavailable(reason=ERA_ROSE)
            # Changes between two pages are seen by a watch from the first one.
            position = page.position if position is None else position
            items += page.items
            if not answer.document.get("hasMore") or not page.items:
                return ObjectList(position=position, items=tuple(items))
            params["after"] = page.items[-1].name
        return Unavailable(reason=f"more than {LONGEST_LIST_PAGES} pages")

    async def watch(
        self, kind: str, *, since: StorePosition, wait_s: float
    ) -> ChangeList | HistoryLost | Unavailable:
        """Return what changes after a position, at the latest after `wait_s`.

        What an answer of another era tells does not follow on that position.
        """
        params = {"watch": str(since.revision), "waitMs": str(int(wait_s * 1000))}
        answer = await self._call(
            "watch",
            "GET",
            self._path(kind),
            params=params,
            timeout_s=wait_s + WATCH_GRACE_S,
        )
        if isinstance(answer, Unavailable | WriteOutcomeUnknown):
            return Unavailable(reason=answer.reason)
        if answer.status == HTTPStatus.GONE or answer.era != since.era:
            return HistoryLost()
        return _parse_changes(answer)

    async def check(
        self, kind: str, name: str, *, timeout_s: float
    ) -> Unavailable | None:
        """Return None if the store answers at all; costs a part of a read."""
        answer = await self._call(
            "check",
            "GET",
            self._path(kind, name),
            params={"staleOk": "1"},
            timeout_s=timeout_s,
        )
        if (
            isinstance(answer, Unavailable | WriteOutcomeUnknown)
            and answer.reason != ERA_BEFORE
        ):
            return Unavailable(reason=answer.reason)
        return None

    async def read_object(self, *, kind: str, name: str) -> ReadResult:
        """Read one object."""
        answer = await self._call("read", "GET", self._path(kind, name))
        if isinstance(answer, Unavailable | WriteOutcomeUnknown):
            return Unavailable(reason=answer.reason)
        if answer.status == HTTPStatus.NOT_FOUND:
            return ObjectMissing(kind=kind, name=name)
        item = _parse_object(answer.document)
        if answer.status != HTTPStatus.OK or item is None:
            return Unavailable(reason=f"status {answer.status}")
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
        answer = await self._call(
            "write",
            "POST" if is_create else "PUT",
            self._path(kind, None if is_create else name),
            body={"metadata": metadata, "spec": spec},
        )
        if isinstance(answer, Unavailable | WriteOutcomeUnknown):
            return answer
        if answer.status in (HTTPStatus.OK, HTTPStatus.CREATED):
            item = _parse_object(answer.document)
            if item is None:
                return WriteOutcomeUnknown(reason="malformed answer")
            return WriteAccepted(version=str(item.revision))
        if answer.status in (HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND):
            return VersionConflict()
        return Unavailable(reason=f"status {answer.status}")

    def _path(self, kind: str, name: str | None = None) -> str:
        path = f"{self._root}/{quote(kind, safe='')}"
        return path if name is None else f"{path}/{quote(name, safe='')}"

    async def _call(
        self,
        counted: str,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Answer | Unavailable | WriteOutcomeUnknown:
        """Return the answer, or `WriteOutcomeUnknown` if a write may have run."""
        self.calls[counted] += 1
        if self._session is None:
            return Unavailable(reason="closed")
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, path, params=params, json=body, timeout=timeout
            ) as reply:
                text = await _read_bounded(reply)
                status = reply.status
                era = _parse_era(reply.headers.get(ERA_HEADER))
        except aiohttp.ClientConnectorError as exc:
            return Unavailable(reason=type(exc).__name__)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return WriteOutcomeUnknown(reason=type(exc).__name__)
        if era < self.era:
            return WriteOutcomeUnknown(reason=ERA_BEFORE)
        if era > self.era:
            is_first, self.era = self.era == NO_ERA, era
            if not is_first:
                self.note_era(era)
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            return Unavailable(reason=f"status {status}")
        try:
            document = json.loads(text) if text else None
        except ValueError:
            return WriteOutcomeUnknown(reason=f"malformed answer of status {status}")
        return _Answer(status=status, document=document, era=era)


async def _read_bounded(reply: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer, or raise if it is longer than any may be."""
    parts = []
    left_bytes = ANSWER_LIMIT_BYTES
    async for part in reply.content.iter_any():
        left_bytes -= len(part)
        if left_bytes < 0:
            raise aiohttp.ClientPayloadError("an answer without end")
        parts.append(part)
    return b"".join(parts)


def _parse_era(value: str | None) -> int:
    """Return the era that an answer names; 0 where the store names none."""
    if value is None or not value.isascii() or not value.isdigit():
        return 0
    return int(value[:ERA_DIGITS])


def _parse_page(answer: _Answer) -> ObjectList | Unavailable:
    document = answer.document
    if answer.status != HTTPStatus.OK or not isinstance(document, dict):
        return Unavailable(reason=f"status {answer.status}")
    rows, revision = document.get("items"), document.get("storeRevision")
    if not isinstance(rows, list) or not isinstance(revision, int):
        return Unavailable(reason="malformed list")
    items = [_parse_object(row) for row in rows]
    return ObjectList(
        position=StorePosition(era=answer.era, revision=revision),
        items=tuple(item for item in items if item is not None),
    )


def _parse_changes(answer: _Answer) -> ChangeList | Unavailable:
    document = answer.document
    if answer.status != HTTPStatus.OK or not isinstance(document, dict):
        return Unavailable(reason=f"status {answer.status}")
    rows, revision = document.get("events"), document.get("storeRevision")
    if not isinstance(rows, list) or not isinstance(revision, int):
        return Unavailable(reason="malformed events")
    changes = []
    for row in rows:
        item = _parse_object(row.get("object")) if isinstance(row, dict) else None
        if item is not None:
            is_deleted = row.get("deleted") is True
            changes.append(ObjectChange(item=item, is_deleted=is_deleted))
    position = StorePosition(era=answer.era, revision=revision)
    return ChangeList(position=position, changes=tuple(changes))


def _parse_object(row: Any) -> StoreObject | None:
    """Return an object, or None where not even its name can be read."""
    metadata = row.get("metadata") if isinstance(row, dict) else None
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    return StoreObject(
        name=name,
        revision=revision,
        spec=row.get("spec"),
        status=row.get("status"),
    )
