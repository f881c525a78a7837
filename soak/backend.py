"""A backend server that runs as its own process.

It prints `ready port=N` and writes the start and the end of each processed request to
its journal. It is slower in random periods, as if it shared its machine with others.
"""

import hashlib
import json
import os
import time
from random import Random
from typing import Final

import anyio
import fire

from soak.history import RunBegan, RunEnded, dump_entry
from tests.standins.process import Receive, Scope, Send, read_body, serve_app

# Requests to this path set the rate limit that the server names.
LIMIT_PATH: Final = "/control/limit"
# Length of the periods, each of which is slow or not.
PERIOD_S: Final = 0.5
# Share of the periods in which the server is slow, and by how much.
SLOW_PERIOD_SHARE: Final = 0.2
SLOWDOWN_FACTOR: Final = 5.0
# Share of the requests that are answered with status 500.
ERROR_SHARE: Final = 0.01


class SoakBackend:
    """An ASGI application that processes requests in slots, with a short queue."""

    def __init__(
        self, *, name: str, service: str, slots: int, work_s: float, journal: str
    ) -> None:
        self._name = name
        self._service = service
        self._slots = slots
        self._work_s = work_s
        self._journal = os.open(journal, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._rng = Random(name)
        self._running = 0
        self._waiting = 0
        # Value of the rate limit in responses; empty for none.
        self._limit = b""
        self._free_slots = anyio.Semaphore(slots)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        headers = {k.decode().lower(): v.decode() for k, v in scope["headers"]}
        body = await read_body(receive)
        if scope["path"] == LIMIT_PATH:
            self._limit = body
            await self._reply(send, 200, [], b"")
            return
        if scope["path"] == "/health":
            extra = [(b"x-instance-id", self._name.encode())]
            await self._reply(send, 200, extra, b"")
            return
        request = headers.get("x-request-id", "")
        extra = [(b"x-request-id", request.encode())]
        if headers.get("x-expected-instance") != self._name:
            await self._reply(send, 421, extra, b"")
        elif self._waiting >= self._slots:
            await self._reply(send, 503, [*extra, (b"x-not-executed", b"1")], b"")
        else:
            await self._run_in_slot(request, scope["path"], body, extra, send)

    async def _run_in_slot(
        self,
        request: str,
        path: str,
        body: bytes,
        extra: list[tuple[bytes, bytes]],
        send: Send,
    ) -> None:
        self._waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            status = await self._process_request(request, path, body)
        finally:
            self._running -= 1
            self._free_slots.release()
        signature = f"{self._name}.{request}".encode()
        content = json.dumps({"request": request, "server": self._name}).encode()
        extra = [*extra, (b"x-response-signature", signature)]
        await self._reply(send, status, extra, content)

    async def _process_request(self, request: str, path: str, body: bytes) -> int:
        self._write(
            RunBegan(
                at=time.monotonic(),
                request=request,
                server=self._name,
                service=self._service,
                path=path,
                body_digest=hashlib.sha256(body).hexdigest(),
            )
        )
        work_s = self._rng.uniform(0.5, 1.5) * self._work_s
        await anyio.sleep(work_s * self._compute_slowdown())
        status = 500 if self._rng.random() < ERROR_SHARE else 200
        self._write(
            RunEnded(
                at=time.monotonic(), request=request, server=self._name, status=status
            )
        )
        return status

    def _compute_slowdown(self) -> float:
        period = int(time.monotonic() / PERIOD_S)
        is_slow = Random(f"{self._name}/{period}").random() < SLOW_PERIOD_SHARE
        return SLOWDOWN_FACTOR if is_slow else 1.0

    def _write(self, entry: RunBegan | RunEnded) -> None:
        os.write(self._journal, dump_entry(entry).encode() + b"\n")

    async def _reply(
        self, send: Send, status: int, extra: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        slow = int(100 * self._compute_slowdown())
        load = f"{self._running},{self._waiting},{self._slots},{slow}"
        if self._limit:
            extra = [*extra, (b"server-limit", self._limit)]
        headers = [
            *extra,
            (b"x-server-load", load.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


def main(*, name: str, service: str, journal: str, slots: int, work_ms: float) -> None:
    """Serve on an unused loopback port; `work_ms` is the mean time of a request."""
    app = SoakBackend(
        name=str(name),
        service=str(service),
        slots=slots,
        work_s=work_ms / 1000,
        journal=str(journal),
    )
    serve_app(app, port=0)


if __name__ == "__main__":
    fire.Fire(main)
