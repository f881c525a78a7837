"""Stand-in of the platform's metadata store."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from .http import Message, make_response, read_message
from .record import Record

PREFIX = "/api/objects/"
ANSWER_S = 0.004
LIST_PAGE = 500
# What `choose_fate` returns: answer the call, turn it away, or carry it out and return
# nothing further on its connection.
ANSWER, BUSY, LOSE = "answer", "busy", "lose"


class Store:
    """Objects by kind and name, with revisions, conditional writes and watches."""

    def __init__(self, record: Record) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 10
        self.address = ""
        # Called when an answer is ready: method, path, parameters, document.
        self.choose_fate: Callable[[str, str, dict[str, str], Any], str] = (
            lambda method, path, params, document: ANSWER
        )
        self._record = record
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Create or replace an object; returning is the acknowledgement."""
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = item
        self._announce(kind, item, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        item = self.objects.pop((kind, name))
        item["metadata"] = {**item["metadata"], "revision": self.revision}
        self._announce(kind, item, deleted=True)

    def _announce(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while (call := await read_message(reader)) is not None and call.complete:
                if not await self._handle(call, reader, writer):
                    # Nothing further comes on this connection; it is not closed.
                    await reader.read()
                    return
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _handle(
        self,
        call: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        method, target, _ = call.first
        parts = urlsplit(target)
        params = {key: rows[0] for key, rows in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        kind, name = unquote(kind), unquote(name)
        await asyncio.sleep(ANSWER_S)
        if method != "GET":
            status, document = self._write(method, kind, name, json.loads(call.body))
        elif name:
            item = self.objects.get((kind, name))
            status, document = (404, None) if item is None else (200, item)
        elif "watch" in params:
            status, document = 200, await self._watch(kind, params)
        else:
            status, document = 200, self._list(kind, params)
        if reader.at_eof():
            return False  # The caller has gone meanwhile.
        fate = self.choose_fate(method, parts.path, params, document)
        if fate == LOSE:
            self._record.write("store", f"the answer to {method} {target} is lost")
            return False
        if fate == BUSY:
            status, document = 503, {"error": "busy"}
        fields = [("Content-Type", "application/json")]
        writer.write(make_response(status, fields, json.dumps(document).encode()))
        await writer.drain()
        return True

    def _list(self, kind: str, params: dict[str, str]) -> dict[str, Any]:
        after = params.get("after", "")
        rows = [
            item
            for (k, name), item in sorted(self.objects.items())
            if k == kind and name > after
        ]
        return {
            "items": rows[:LIST_PAGE],
            "hasMore": len(rows) > LIST_PAGE,
            "storeRevision": self.revision,
        }

    async def _watch(self, kind: str, params: dict[str, str]) -> dict[str, Any]:
        since = int(params["watch"])
        until = asyncio.get_running_loop().time() + int(params["waitMs"]) / 1000
        while True:
            changed = self._changed
            rows = [e for e in self._events if e[0] > since and e[1] == kind]
            left = until - asyncio.get_running_loop().time()
            if rows or left <= 0:
                events = [{"object": e[2], "deleted": e[3]} for e in rows]
                return {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _write(
        self, method: str, kind: str, name: str, document: Any
    ) -> tuple[int, Any]:
        metadata = document.get("metadata") or {}
        name = name or metadata["name"]
        stored = self.objects.get((kind, name))
        expected = metadata.get("revision")
        if method == "POST" and stored is not None:
            return 409, stored
        if method == "PUT" and stored is None:
            return 404, None
        if stored is not None and expected not in (
            None,
            stored["metadata"]["revision"],
        ):
            return 409, stored
        if stored is None or stored["spec"] != document["spec"]:
            self.put(kind, name, document["spec"])
        return 200, self.objects[kind, name]

    def stop(self) -> None:
        """Stop listening, and end the calls that wait."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
