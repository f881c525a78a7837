"""Stand-in of an upstream."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from .http import Fields, Message, make_response, read_message
from .record import Record
from .store import Store

HEALTH_PATH = "/health"
IDLE_S = 10.0
# How often a waiting request looks for a free slot.
POLL_S = 0.002


class Upstream:
    """An upstream that answers each request with a body of its own."""

    def __init__(
        self,
        record: Record,
        *,
        name: str,
        service: str,
        zone: str = "z1",
        slots: int = 4,
        work_s: float = 0.02,
        queue: int = 0,
        tells_load: bool = True,
        drops: bool = True,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        # How many requests may wait for a slot.
        self.queue = queue
        # Without it, health checks wait for a slot or are rejected as other requests.
        self.tells_load = tells_load
        # Whether a request ends when its connection closes.
        self.drops = drops
        self.address = ""
        self.born = int(time.time() * 1000)
        # The requests that ran: request id and path, in order.
        self.runs: list[tuple[str, str]] = []
        self.running = 0
        self.waiting = 0
        # Writes an answer; a case replaces it to answer wrongly.
        self.write_answer: Callable[
            [Message, bytes, asyncio.StreamWriter], Awaitable[None]
        ] = self._write_answer
        # Called when a request arrives, before anything is answered.
        self.before_read: Callable[[Message, asyncio.StreamWriter], Awaitable[None]] = (
            self._do_nothing
        )
        self._record = record
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def register(self, store: Store, state: str = "ready") -> None:
        """Write the entry of this upstream."""
        store.put("servers", self.name, *self.make_entry(state))

    def make_entry(self, state: str = "ready") -> tuple[dict[str, Any], dict[str, Any]]:
        """Return the entry's `spec` and `status`."""
        spec = {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "born": self.born,
        }
        return spec, {"state": state, "sequence": 1, "warmupLeftS": 0}

    def make_body(self, request_id: str) -> bytes:
        """Return the body of the answer to a request."""
        return f"answer of {self.service} to {request_id}".encode()

    def make_signature(self, request_id: str) -> str:
        """Return the signature of the answer to a request."""
        return f"{self.name}.{request_id}"

    async def _do_nothing(self, call: Message, writer: asyncio.StreamWriter) -> None:
        pass

    async def _write_answer(
        self, call: Message, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(answer)
        await writer.drain()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while True:
                call = await asyncio.wait_for(read_message(reader), IDLE_S)
                if call is None or not call.complete:
                    return
                await self.before_read(call, writer)
                answer = await self._handle(call)
                await self.write_answer(call, answer, writer)
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()

    def _make_fields(self, request_id: str | None) -> Fields:
        fields: Fields = []
        if request_id:
            fields.append(("X-Request-Id", request_id))
        if self.tells_load:
            load = f"{self.running},{self.waiting},{self.slots},100"
            fields.append(("X-Server-Load", load))
        return fields

    async def _handle(self, call: Message) -> bytes:
        method, path, _ = call.first
        is_health = path == HEALTH_PATH
        request_id = call.get("x-request-id")
        rejected = ("X-Not-Executed", "1")
        if not is_health and not request_id:
            return make_response(400, [*self._make_fields(None), rejected])
        if call.get("x-expected-instance") not in (None, self.name):
            return make_response(421, [*self._make_fields(request_id), rejected])
        if (not is_health or not self.tells_load) and not await self._take_slot():
            self._record.write(self.name, f"rejects {request_id} {method} {path}")
            return make_response(503, [*self._make_fields(request_id), rejected])
        if is_health:
            if not self.tells_load:
                self.running -= 1
            fields = [*self._make_fields(None), ("X-Instance-Id", self.name)]
            return make_response(200, fields)
        assert request_id is not None
        self.runs.append((request_id, path))
        self._record.write(self.name, f"runs {request_id} {method} {path}")
        work = asyncio.create_task(self._work())
        if self.drops:
            await work
        else:
            self._tasks.add(work)
            work.add_done_callback(self._tasks.discard)
            await asyncio.shield(work)
        fields = self._make_fields(request_id)
        fields.append(("X-Response-Signature", self.make_signature(request_id)))
        return make_response(200, fields, self.make_body(request_id))

    async def _take_slot(self) -> bool:
        """Wait for a slot and take it; return False if the queue is full."""
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                return False
            self.waiting += 1
            try:
                while self.running >= self.slots:
                    await asyncio.sleep(POLL_S)
            finally:
                self.waiting -= 1
        self.running += 1
        return True

    async def _work(self) -> None:
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
