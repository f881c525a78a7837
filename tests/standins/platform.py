"""Stand-in for the platform's object API, run as a separate process.

`python -m tests.standins.platform --port 0` prints `ready port=NNNN`. Requests
that control faults:

    POST /control/outage?on=1&mode=refuse|hang
    POST /control/latency?ms=20
    POST /control/lose_replies?n=1
    POST /control/stale_reads?on=1
    POST /control/break_watches
    GET  /control/counts
"""

import json
import re
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final, Literal
from urllib.parse import parse_qsl

import anyio
import fire

from siskinpier.core.platform_results import (
    ObjectMissing,
    StoredObject,
    VersionConflict,
    WriteAccepted,
)
from tests.standins.object_store import Change, Expired, ObjectStore
from tests.standins.process import Receive, Scope, Send, serve_app

OBJECT_PATH: Final = re.compile(
    r"/apis/siskinpier\.example/v1/namespaces/[^/]+/(?P<kind>[^/]+)(?:/(?P<name>.+))?"
)
NAME_SELECTOR: Final = "metadata.name="
DEFAULT_WATCH_S: Final = 30.0
JSON_HEADERS: Final = [(b"content-type", b"application/json")]

OutageMode = Literal["off", "refuse", "hang"]


@dataclass(slots=True, kw_only=True)
class Faults:
    """The faults that are currently injected."""

    outage: OutageMode = "off"
    latency_s: float = 0.0
    lost_replies_left: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request, and methods to reply to it."""

    scope: Scope
    receive: Receive
    send: Send

    @property
    def params(self) -> dict[str, str]:
        """The query parameters."""
        return dict(parse_qsl(self.scope["query_string"].decode()))

    async def read_body(self) -> bytes:
        """Read the whole body."""
        chunks = []
        while True:
            message = await self.receive()
            if message["type"] != "http.request":
                break
            chunks.append(message.get("body", b""))
            if not message.get("more_body", False):
                break
        return b"".join(chunks)

    async def wait_disconnect(self) -> None:
        """Wait until the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def abort(self) -> None:
        """Close the connection without sending more bytes."""
        self.scope["state"]["transport"].abort()
        await self.wait_disconnect()

    async def start_reply(self, status: int) -> None:
        """Send the status and headers."""
        await self.send(
            {"type": "http.response.start", "status": status, "headers": JSON_HEADERS}
        )

    async def send_chunk(self, content: bytes, *, more: bool) -> None:
        """Send a chunk of the reply's body."""
        await self.send(
            {"type": "http.response.body", "body": content, "more_body": more}
        )

    async def reply(self, status: int, value: Mapping[str, Any]) -> None:
        """Send a complete JSON reply."""
        await self.start_reply(status)
        await self.send_chunk(json.dumps(value).encode(), more=False)


class CallCounts:
    """Counts of calls by kind, in total and per second since the start."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._seconds: dict[int, Counter[str]] = {}

    def add(self, call: str) -> None:
        """Count one call at the current time."""
        second = int(time.monotonic() - self._started_s)
        self._seconds.setdefault(second, Counter())[call] += 1

    def to_json(self) -> dict[str, Any]:
        """Return the totals, and the counts of each second that had calls."""
        totals: Counter[str] = sum(self._seconds.values(), Counter())
        seconds = [{"second": at, **calls} for at, calls in self._seconds.items()]
        elapsed_s = time.monotonic() - self._started_s
        return {"elapsed_s": elapsed_s, "totals": totals, "seconds": seconds}


class PlatformApp:
    """ASGI app of the object API and of the fault controls."""

    def __init__(self, *, store: ObjectStore) -> None:
        self._store = store
        self._faults = Faults()
        self._counts = CallCounts()
        self._changed = anyio.Event()
        self._watch_epoch = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        req = Request(scope=scope, receive=receive, send=send)
        if scope["path"].startswith("/control/"):
            await self._control(req, scope["path"].removeprefix("/control/"))
        elif match := OBJECT_PATH.fullmatch(scope["path"]):
            await self._serve(req, kind=match["kind"], name=match["name"])
        else:
            await req.reply(HTTPStatus.NOT_FOUND, _make_status("NotFound"))

    async def _control(self, req: Request, control: str) -> None:
        params = req.params
        match control:
            case "outage":
                self._set_outage(params)
            case "latency":
                self._faults.latency_s = float(params["ms"]) / 1000
            case "lose_replies":
                self._faults.lost_replies_left = int(params["n"])
            case "stale_reads":
                self._store.stale_reads = params.get("on", "1") == "1"
            case "break_watches":
                self._break_watches()
            case "counts":
                await req.reply(HTTPStatus.OK, self._counts.to_json())
                return
            case _:
                await req.reply(HTTPStatus.NOT_FOUND, _make_status("NotFound"))
                return
        await req.reply(HTTPStatus.OK, {})

    def _set_outage(self, params: dict[str, str]) -> None:
        if params.get("on", "1") != "1":
            self._faults.outage = "off"
            self._notify_watches()
            return
        self._faults.outage = "hang" if params.get("mode") == "hang" else "refuse"
        if self._faults.outage == "refuse":
            self._break_watches()

    def _break_watches(self) -> None:
        self._watch_epoch += 1
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _serve(self, req: Request, *, kind: str, name: str | None) -> None:
        is_watch = req.params.get("watch") in ("1", "true")
        method = req.scope["method"]
        self._counts.add(_get_call_kind(method, name=name, is_watch=is_watch))
        body = await req.read_body()
        if self._faults.latency_s:
            await anyio.sleep(self._faults.latency_s)
        if self._faults.outage == "hang":
            await req.wait_disconnect()
        elif self._faults.outage == "refuse":
            await req.reply(HTTPStatus.SERVICE_UNAVAILABLE, _make_not_applied_status())
        elif method != "GET":
            await self._write(req, kind=kind, name=name, body=body)
        elif is_watch:
            await self._watch(req, kind=kind)
        else:
            await self._read(req, kind=kind, name=name)

    async def _read(self, req: Request, *, kind: str, name: str | None) -> None:
        if name is None:
            listed = self._store.list_kind(kind=kind)
            items = [_encode(stored) for stored in listed.items]
            metadata = {"resourceVersion": listed.version}
            await req.reply(HTTPStatus.OK, {"metadata": metadata, "items": items})
            return
        stored = self._store.read(kind=kind, name=name)
        if isinstance(stored, ObjectMissing):
            await req.reply(HTTPStatus.NOT_FOUND, _make_status("NotFound"))
        else:
            await req.reply(HTTPStatus.OK, _encode(stored))

    async def _write(
        self, req: Request, *, kind: str, name: str | None, body: bytes
    ) -> None:
        try:
            result = self._apply(req.scope["method"], kind=kind, name=name, body=body)
        except (KeyError, TypeError, ValueError):
            await req.reply(HTTPStatus.BAD_REQUEST, _make_status("BadRequest"))
            return
        match result:
            case WriteAccepted():
                await self._send_write_result(
                    req, kind=kind, name=name, body=body, result=result
                )
            case VersionConflict():
                await req.reply(HTTPStatus.CONFLICT, _make_status("Conflict"))
            case ObjectMissing():
                await req.reply(HTTPStatus.NOT_FOUND, _make_status("NotFound"))

    def _apply(
        self, method: str, *, kind: str, name: str | None, body: bytes
    ) -> WriteAccepted | VersionConflict | ObjectMissing:
        if method == "DELETE" and name is not None:
            return self._store.delete(kind=kind, name=name)
        value = json.loads(body)
        metadata, spec = value["metadata"], value["spec"]
        if method == "POST" and name is None:
            return self._store.create(kind=kind, name=metadata["name"], spec=spec)
        if method == "PUT" and name is not None:
            return self._store.update(
                kind=kind,
                name=name,
                spec=spec,
                expected_version=metadata["resourceVersion"],
            )
        raise ValueError(f"{method} is not supported on this path")

    async def _send_write_result(
        self,
        req: Request,
        *,
        kind: str,
        name: str | None,
        body: bytes,
        result: WriteAccepted,
    ) -> None:
        self._notify_watches()
        if self._faults.lost_replies_left > 0:
            self._faults.lost_replies_left -= 1
            await req.abort()
            return
        value: dict[str, Any] = json.loads(body or b'{"metadata":{},"spec":{}}')
        value["metadata"]["resourceVersion"] = result.version
        status = HTTPStatus.CREATED if name is None else HTTPStatus.OK
        await req.reply(status, value)

    async def _watch(self, req: Request, *, kind: str) -> None:
        params = req.params
        selector = params.get("fieldSelector", "")
        name = selector.removeprefix(NAME_SELECTOR) if selector else None
        version = int(params.get("resourceVersion") or 0)
        wait_s = float(params.get("timeoutSeconds", DEFAULT_WATCH_S))
        await req.start_reply(HTTPStatus.OK)
        with anyio.move_on_after(wait_s):
            await self._stream(req, kind=kind, name=name, version=version)
            return
        await req.send_chunk(b"", more=False)

    async def _stream(
        self, req: Request, *, kind: str, name: str | None, version: int
    ) -> None:
        epoch = self._watch_epoch
        while epoch == self._watch_epoch:
            changed = self._changed
            changes = self._list_pending_changes(kind=kind, name=name, version=version)
            if isinstance(changes, Expired):
                await req.send_chunk(_encode_expired(), more=False)
                return
            for change in changes:
                await req.send_chunk(_encode_change(change), more=True)
                version = int(change.stored.version)
            await changed.wait()
        await req.abort()

    def _list_pending_changes(
        self, *, kind: str, name: str | None, version: int
    ) -> list[Change] | Expired:
        if self._faults.outage == "hang":
            return []
        return self._store.list_changes_after(kind=kind, version=version, name=name)


def _get_call_kind(method: str, *, name: str | None, is_watch: bool) -> str:
    if method != "GET":
        return "write"
    if is_watch:
        return "watch"
    return "list" if name is None else "read"


def _encode(stored: StoredObject) -> dict[str, Any]:
    metadata = {"name": stored.name, "resourceVersion": stored.version}
    return {"metadata": metadata, "spec": stored.spec}


def _encode_change(change: Change) -> bytes:
    event = {"type": change.type, "object": _encode(change.stored)}
    return json.dumps(event).encode() + b"\n"


def _encode_expired() -> bytes:
    status = {**_make_status("Expired"), "code": int(HTTPStatus.GONE)}
    return json.dumps({"type": "ERROR", "object": status}).encode() + b"\n"


def _make_status(reason: str) -> dict[str, Any]:
    return {"kind": "Status", "status": "Failure", "reason": reason}


def _make_not_applied_status() -> dict[str, Any]:
    return {**_make_status("ServiceUnavailable"), "details": {"applied": False}}


def main(*, port: int = 0) -> None:
    """Serve the object API on a loopback port; 0 chooses a free one."""
    serve_app(PlatformApp(store=ObjectStore()), port=port)


if __name__ == "__main__":
    fire.Fire(main)
