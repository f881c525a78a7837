"""Stand-in backend server with slots, a FIFO queue and a journal of the calls it ran.

`python -m tests.standins.backend --port 0 --slots 4 --service-ms 5 --seed 1
--journal PATH` prints `ready port=NNNN`. Controls, all by POST:

    /control/drain, /control/undrain
    /control/slow?factor=5
    /control/reject           answer 503 without running the call
    /control/crash-on?path=/p exit when a call with this path starts
    /control/hang             leave calls unanswered without running them
    /control/clear            undo all controls

`GET /health` answers under every control except a crash, even if calls fail.
"""

import hashlib
import json
import os
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import parse_qsl

import anyio
import fire

from tests.standins.process import Receive, Scope, Send, serve_app

CRASH_EXIT_CODE: Final = 70


@dataclass(slots=True, kw_only=True)
class Controls:
    """Faults and states that are set by the controls."""

    draining: bool = False
    slow_factor: float = 1.0
    rejecting: bool = False
    crash_path: str | None = None
    hanging: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A received call; the body is kept as its SHA-256 digest."""

    method: str
    path: str
    headers: Mapping[str, str]
    body_sha256: str


class Journal:
    """File with one JSON line per run, appended without buffering."""

    def __init__(self, *, path: str, server: str) -> None:
        self._server = server
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def append(self, call: Call) -> None:
        """Record that the run of a call starts now."""
        entry = {
            "idempotency_key": call.headers.get("idempotency-key"),
            "method": call.method,
            "path": call.path,
            "body_sha256": call.body_sha256,
            "server": self._server,
            "time_s": time.time(),
        }
        os.write(self._fd, json.dumps(entry).encode() + b"\n")


class BackendApp:
    """ASGI app of the backend server."""

    def __init__(
        self, *, name: str, slots: int, service_s: float, seed: int, journal: Journal
    ) -> None:
        self._name = name
        self._slots = slots
        self._service_s = service_s
        self._rng = random.Random(seed)
        self._journal = journal
        self._controls = Controls()
        self._free_slots = anyio.Semaphore(slots)
        self._in_flight = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path.startswith("/control/"):
            await self._control(path.removeprefix("/control/"), scope, send)
        elif path == "/health":
            await self._report_health(send)
        else:
            await self._serve(scope, receive, send)

    async def _control(self, control: str, scope: Scope, send: Send) -> None:
        params = dict(parse_qsl(scope["query_string"].decode()))
        status = HTTPStatus.OK
        match control:
            case "drain":
                self._controls.draining = True
            case "undrain":
                self._controls.draining = False
            case "slow":
                self._controls.slow_factor = float(params["factor"])
            case "reject":
                self._controls.rejecting = True
            case "crash-on":
                self._controls.crash_path = params["path"]
            case "hang":
                self._controls.hanging = True
            case "clear":
                self._controls = Controls()
            case _:
                status = HTTPStatus.NOT_FOUND
        await self._reply(send, status, {})

    async def _report_health(self, send: Send) -> None:
        draining = self._controls.draining
        status = HTTPStatus.SERVICE_UNAVAILABLE if draining else HTTPStatus.OK
        value = {
            "server": self._name,
            "in_flight": self._in_flight,
            "slots": self._slots,
            "draining": draining,
        }
        await self._reply(send, status, value)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await _read_body(receive)
        if body is None:
            return
        if self._controls.hanging:
            await _wait_disconnect(receive)
            return
        if self._controls.rejecting:
            await self._reply(send, HTTPStatus.SERVICE_UNAVAILABLE, {"ran": False})
            return
        call = _build_call(scope, body)
        if await self._run_unless_cancelled(call, receive):
            await self._reply(send, HTTPStatus.OK, self._echo(call))

    async def _run_unless_cancelled(self, call: Call, receive: Receive) -> bool:
        """Run a call until the client disconnects; return True if it finished."""
        finished = False
        self._in_flight += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
                async with self._free_slots:
                    await self._run(call)
                finished = True
                group.cancel_scope.cancel()
        finally:
            self._in_flight -= 1
        return finished

    async def _run(self, call: Call) -> None:
        self._journal.append(call)
        if call.path == self._controls.crash_path:
            os._exit(CRASH_EXIT_CODE)
        service_s = self._rng.expovariate(1 / self._service_s)
        await anyio.sleep(service_s * self._controls.slow_factor)

    def _echo(self, call: Call) -> dict[str, Any]:
        return {
            "method": call.method,
            "path": call.path,
            "body_sha256": call.body_sha256,
            "x-call-id": call.headers.get("x-call-id"),
            "server": self._name,
        }

    async def _reply(self, send: Send, status: int, value: Mapping[str, Any]) -> None:
        content = json.dumps(value).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
            (b"x-load", f"{self._in_flight}/{self._slots}".encode()),
        ]
        if self._controls.draining:
            headers.append((b"x-draining", b"1"))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": content, "more_body": False})


async def _read_body(receive: Receive) -> bytes | None:
    """Return the complete body, or None if the client disconnects before its end."""
    chunks = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _wait_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    await _wait_disconnect(receive)
    scope.cancel()


def _build_call(scope: Scope, body: bytes) -> Call:
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    return Call(
        method=scope["method"],
        path=scope["path"],
        headers=headers,
        body_sha256=hashlib.sha256(body).hexdigest(),
    )


def main(
    *,
    journal: str,
    port: int = 0,
    slots: int = 4,
    service_ms: float = 5.0,
    seed: int = 1,
    name: str | None = None,
) -> None:
    """Serve calls on a loopback port with a mean service time of `service_ms`."""
    server = f"backend-{os.getpid()}" if name is None else str(name)
    app = BackendApp(
        name=server,
        slots=slots,
        service_s=service_ms / 1000,
        seed=seed,
        journal=Journal(path=str(journal), server=server),
    )
    serve_app(app, port=port)


if __name__ == "__main__":
    fire.Fire(main)
