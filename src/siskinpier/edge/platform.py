"""Asynchronous client for the platform's object API.

The API follows the published Kubernetes API conventions: objects carry
`metadata.name`, `metadata.resourceVersion` and `spec`, updates are conditional on
the version, and watches stream JSON lines.
"""

import json
import ssl
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator
from http import HTTPStatus
from typing import Any, Final, Literal, TypeVar
from urllib.parse import quote

import anyio
import httpx
from pydantic import BaseModel, Field, ValidationError

from ..core.platform_results import (
    ListResult,
    ObjectList,
    ObjectMissing,
    ReadResult,
    StoredObject,
    Unavailable,
    VersionConflict,
    WatchResult,
    WriteAccepted,
    WriteOutcomeUnknown,
    WriteResult,
)

API_GROUP: Final = "siskinpier.example/v1"
VALUE_LIMIT_BYTES: Final = 1024 * 1024
DEFAULT_TIMEOUT_S: Final = 2.0
KEEPALIVE_EXPIRY_S: Final = 2.0
WATCH_GRACE_S: Final = 1.0
# A list may hold some objects of that size; a line of a watch holds one, of which each
# byte may be written as an escape of six.
RESPONSE_LIMIT_BYTES: Final = 16_777_216
LINE_LIMIT_BYTES: Final = 8_388_608
NOT_SENT_ERRORS: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

_Model = TypeVar("_Model", bound=BaseModel)


class MetadataModel(BaseModel):
    """Metadata of an object."""

    name: str
    version: str = Field(alias="resourceVersion")


class ResponseTooLongError(httpx.HTTPError):
    """The platform sent more bytes than any response needs."""


class ObjectModel(BaseModel):
    """An object in the encoding of the API."""

    metadata: MetadataModel
    spec: dict[str, Any]

    def to_stored(self, *, kind: str) -> StoredObject:
        """Return the object as a `StoredObject` of the given kind."""
        return StoredObject(
            kind=kind,
            name=self.metadata.name,
            version=self.metadata.version,
            spec=self.spec,
        )


class ListMetadataModel(BaseModel):
    """Metadata of a list."""

    version: str = Field(alias="resourceVersion")


class ListModel(BaseModel):
    """A list of objects of one kind."""

    metadata: ListMetadataModel
    items: list[ObjectModel]


class WatchEventModel(BaseModel):
    """One line of a watch; `object` is a status if the type is ERROR."""

    type: Literal["ADDED", "MODIFIED", "DELETED", "BOOKMARK", "ERROR"]
    object: dict[str, Any]


class StatusDetailsModel(BaseModel):
    """Details of a failure."""

    applied: bool = True


class StatusModel(BaseModel):
    """A failure; `details.applied` is false if the request had no effect."""

    details: StatusDetailsModel


class PlatformClient:
    """Client for one namespace of the object API.

    Network errors are returned as results, never raised. Each operation except a
    watch ends within `timeout_s` seconds. `calls` counts the requests made by kind:
    'read', 'list', 'write' and 'watch'.
    """

    def __init__(
        self,
        *,
        url: str,
        namespace: str,
        token: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        verify: ssl.SSLContext | bool = True,
    ) -> None:
        self.calls: Counter[str] = Counter()
        self._root = f"/apis/{API_GROUP}/namespaces/{quote(namespace, safe='')}"
        self._timeout_s = timeout_s
        self._client = httpx.AsyncClient(
            base_url=url,
            headers={"Authorization": f"Bearer {token}"} if token else {},
            timeout=httpx.Timeout(timeout_s, connect=timeout_s / 2, pool=timeout_s / 2),
            limits=httpx.Limits(keepalive_expiry=KEEPALIVE_EXPIRY_S),
            verify=verify,
            trust_env=False,
        )

    async def read_object(self, *, kind: str, name: str) -> ReadResult:
        """Read one object."""
        self.calls["read"] += 1
        reply = await self._send(method="GET", path=self._path(kind=kind, name=name))
        if not isinstance(reply, httpx.Response):
            return Unavailable(reason=reply.reason)
        if reply.status_code == HTTPStatus.NOT_FOUND:
            return ObjectMissing(kind=kind, name=name)
        model = _parse_reply(reply, model=ObjectModel)
        if isinstance(model, Unavailable):
            return model
        return model.to_stored(kind=kind)

    async def list_objects(self, *, kind: str) -> ListResult:
        """List all objects of one kind."""
        self.calls["list"] += 1
        reply = await self._send(method="GET", path=self._path(kind=kind))
        if not isinstance(reply, httpx.Response):
            return Unavailable(reason=reply.reason)
        model = _parse_reply(reply, model=ListModel)
        if isinstance(model, Unavailable):
            return model
        items = tuple(item.to_stored(kind=kind) for item in model.items)
        return ObjectList(version=model.metadata.version, items=items)

    async def write_object(
        self,
        *,
        kind: str,
        name: str,
        spec: dict[str, Any],
        expected_version: str | None,
    ) -> WriteResult:
        """Replace an object at `expected_version`, or create it if that is None."""
        value = json.dumps(spec, separators=(",", ":")).encode()
        if len(value) > VALUE_LIMIT_BYTES:
            return Unavailable(reason="value over 1 MiB")
        self.calls["write"] += 1
        is_create = expected_version is None
        reply = await self._send(
            method="POST" if is_create else "PUT",
            path=self._path(kind=kind, name=None if is_create else name),
            content=_encode_object(name=name, value=value, version=expected_version),
        )
        if not isinstance(reply, httpx.Response):
            return reply
        return _parse_write(reply, is_create=is_create)

    async def watch_object(
        self, *, kind: str, name: str | None, version: str, wait_s: float
    ) -> AsyncGenerator[WatchResult, None]:
        """Yield changes after `version` for at most `wait_s` seconds.

        A `name` of None watches all objects of the kind. A deleted object is
        yielded as `ObjectMissing`. An error, such as an expired version, is yielded as
        `Unavailable` and ends the watch; a normal end yields nothing more. Close the
        generator (`contextlib.aclosing`) if it is not run to its end.
        """
        self.calls["watch"] += 1
        deadline_s = anyio.current_time() + wait_s + WATCH_GRACE_S
        request = self._build_watch(
            kind=kind, name=name, version=version, wait_s=wait_s
        )
        reply = await self._open_watch(request)
        if isinstance(reply, Unavailable):
            yield reply
            return
        try:
            lines = _split_lines(reply.aiter_bytes())
            while (line := await _next_line(lines, deadline_s=deadline_s)) is not None:
                result = _parse_event(line, kind=kind)
                if result is not None:
                    yield result
                if isinstance(result, Unavailable):
                    return
        except httpx.HTTPError as exc:
            yield Unavailable(reason=_describe(exc))
        finally:
            with anyio.CancelScope(shield=True):
                await reply.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    def _path(self, *, kind: str, name: str | None = None) -> str:
        path = f"{self._root}/{quote(kind, safe='')}"
        return path if name is None else f"{path}/{quote(name, safe='')}"

    async def _send(
        self, *, method: str, path: str, content: bytes | None = None
    ) -> httpx.Response | Unavailable | WriteOutcomeUnknown:
        headers = {} if content is None else {"Content-Type": "application/json"}
        try:
            with anyio.fail_after(self._timeout_s):
                request = self._client.build_request(
                    method, path, content=content, headers=headers
                )
                return await self._read_bounded(request)
        except NOT_SENT_ERRORS as exc:
            return Unavailable(reason=_describe(exc))
        except (httpx.HTTPError, TimeoutError) as exc:
            return WriteOutcomeUnknown(reason=_describe(exc))

    async def _read_bounded(self, request: httpx.Request) -> httpx.Response:
        """Return a whole response; raise `ResponseTooLongError` if it has no end."""
        reply = await self._client.send(request, stream=True)
        try:
            content = b"".join(
                [
                    part
                    async for part in _limit(reply.aiter_bytes(), RESPONSE_LIMIT_BYTES)
                ]
            )
        finally:
            await reply.aclose()
        headers = {"content-type": reply.headers.get("content-type", "")}
        return httpx.Response(reply.status_code, content=content, headers=headers)

    def _build_watch(
        self, *, kind: str, name: str | None, version: str, wait_s: float
    ) -> httpx.Request:
        params = {
            "watch": "1",
            "resourceVersion": version,
            "timeoutSeconds": f"{wait_s:g}",
        }
        if name is not None:
            params["fieldSelector"] = f"metadata.name={name}"
        timeout = httpx.Timeout(self._timeout_s, read=wait_s + 2 * WATCH_GRACE_S)
        return self._client.build_request(
            "GET", self._path(kind=kind), params=params, timeout=timeout
        )

    async def _open_watch(self, request: httpx.Request) -> httpx.Response | Unavailable:
        try:
            with anyio.fail_after(self._timeout_s):
                reply = await self._client.send(request, stream=True)
        except (httpx.HTTPError, TimeoutError) as exc:
            return Unavailable(reason=_describe(exc))
        if reply.status_code == HTTPStatus.OK:
            return reply
        await reply.aclose()
        return Unavailable(reason=f"status {reply.status_code}")


def _encode_object(*, name: str, value: bytes, version: str | None) -> bytes:
    metadata = {"name": name}
    if version is not None:
        metadata["resourceVersion"] = version
    return b'{"metadata":%b,"spec":%b}' % (json.dumps(metadata).encode(), value)


def _parse_reply(reply: httpx.Response, *, model: type[_Model]) -> _Model | Unavailable:
    if reply.status_code != HTTPStatus.OK:
        return Unavailable(reason=f"status {reply.status_code}")
    try:
        return model.model_validate_json(reply.content)
    except ValidationError:
        return Unavailable(reason="malformed reply")


def _parse_write(reply: httpx.Response, *, is_create: bool) -> WriteResult:
    status = reply.status_code
    if status in (HTTPStatus.OK, HTTPStatus.CREATED):
        return _parse_written(reply)
    if status == HTTPStatus.CONFLICT:
        return VersionConflict()
    if status == HTTPStatus.NOT_FOUND and not is_create:
        return VersionConflict()
    if reply.is_client_error and status != HTTPStatus.REQUEST_TIMEOUT:
        return Unavailable(reason=f"status {status}")
    if status == HTTPStatus.SERVICE_UNAVAILABLE and _is_not_applied(reply):
        return Unavailable(reason=f"status {status}")
    return WriteOutcomeUnknown(reason=f"status {status}")


def _parse_written(reply: httpx.Response) -> WriteAccepted | WriteOutcomeUnknown:
    try:
        model = ObjectModel.model_validate_json(reply.content)
    except ValidationError:
        return WriteOutcomeUnknown(reason="malformed reply")
    return WriteAccepted(version=model.metadata.version)


def _is_not_applied(reply: httpx.Response) -> bool:
    try:
        return not StatusModel.model_validate_json(reply.content).details.applied
    except ValidationError:
        return False


def _parse_event(line: str, *, kind: str) -> WatchResult | None:
    try:
        event = WatchEventModel.model_validate_json(line)
        if event.type == "BOOKMARK":
            return None
        if event.type == "ERROR":
            return Unavailable(reason=f"watch error {event.object.get('code')}")
        stored = ObjectModel.model_validate(event.object).to_stored(kind=kind)
    except ValidationError:
        return Unavailable(reason="malformed watch event")
    if event.type == "DELETED":
        return ObjectMissing(kind=kind, name=stored.name)
    return stored


async def _limit(parts: AsyncIterator[bytes], limit_bytes: int) -> AsyncIterator[bytes]:
    size = 0
    async for part in parts:
        size += len(part)
        if size > limit_bytes:
            raise ResponseTooLongError(f"more than {limit_bytes} bytes")
        yield part


async def _split_lines(parts: AsyncIterator[bytes]) -> AsyncIterator[str]:
    """Yield the lines of a watch; a line without end raises `ResponseTooLongError`."""
    rest = bytearray()
    async for part in parts:
        rest += part
        *lines, last = rest.split(b"\n") if b"\n" in part else [rest]
        for line in lines:
            yield line.decode(errors="replace")
        rest = last
        if len(rest) > LINE_LIMIT_BYTES:
            raise ResponseTooLongError(f"a line over {LINE_LIMIT_BYTES} bytes")
    if rest:
        yield rest.decode(errors="replace")


async def _next_line(lines: AsyncIterator[str], *, deadline_s: float) -> str | None:
    with anyio.move_on_after(deadline_s - anyio.current_time()):
        return await anext(lines, None)
    return None


def _describe(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}" if str(exc) else type(exc).__name__
