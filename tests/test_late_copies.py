"""Guards against late copies of replies that pass for the reply to another request.

A faulty backend server sends a reply twice, the second time when the next request on
the connection has arrived. Probes and requests share connections, and the replies to
probes have no id. A copy of a rejected probe made a payment run at a second server, or
told its caller that it had not run; a copy of a good one was passed on as a success.
"""

import asyncio
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Final

import anyio
import pytest
from anyio.from_thread import start_blocking_portal

from siskinpier.core.verdict import AttemptFailure
from siskinpier.edge.backends import AttemptError, BackendClient
from siskinpier.platform.headers import REQUEST_ID_HEADER
from tests.standins.app_thread import AppThread
from tests.standins.metadata_store import MetadataStore
from tests.standins.platform_host import (
    CONFIG,
    PlatformHost,
    make_entry,
    wait_until,
)

Writer = asyncio.StreamWriter

HEAD: Final = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s"
NOT_RUN: Final = b"X-Not-Executed: 1\r\n"
PAYMENT_COUNT: Final = 6
# Replies to probes and to other requests, of which a copy comes late.
COPIES: Final = {
    "good-probe": HEAD % (b"200 OK", 0, b"X-Instance-Id: i-1\r\n", b""),
    "rejected-probe": HEAD % (b"503 Busy", 0, NOT_RUN, b""),
    "misdirected-probe": HEAD % (b"421 Other", 0, NOT_RUN, b""),
    "rejected-request": HEAD % (b"503 Busy", 0, NOT_RUN + b"X-Request-Id: q\r\n", b""),
    "empty-id": HEAD % (b"503 Busy", 0, NOT_RUN + b"X-Request-Id:\r\n", b""),
    "other-request": HEAD % (b"200 OK", 1, b"X-Request-Id: q\r\n", b"q"),
}


class CopyingServer:
    """A backend server that sends a late copy before its reply to each request."""

    def __init__(self, copy: bytes) -> None:
        self.address = ""
        self.runs: list[bytes] = []
        self._copy = copy
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "CopyingServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *args: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = _read_id(head)
                if request_id is None:
                    writer.write(COPIES["good-probe"])
                    continue
                self.runs.append(request_id)
                own = b"X-Response-Signature: s\r\nX-Request-Id: " + request_id
                own = HEAD % (b"200 OK", 3, own + b"\r\n", b"own")
                writer.write(self._copy + own)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def _read_id(head: bytes) -> bytes | None:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == REQUEST_ID_HEADER:
            return value.strip()
    return None


async def send_probe_then_request(copy: bytes) -> AttemptFailure | int:
    """Return the status of the request's reply, or how the request failed."""
    client = BackendClient(id_field=REQUEST_ID_HEADER, echoes_id=True)
    await client.open()
    try:
        async with CopyingServer(copy) as server:
            probe = await client.send(
                address=server.address, method="GET", target="/h", headers=[], body=b""
            )
            await probe.skip_body(limit_bytes=100)
            probe.close()
            reply = await client.send(
                address=server.address,
                method="POST",
                target="/pay",
                headers=[(REQUEST_ID_HEADER, b"r1")],
                body=b"",
            )
            return reply.status
    except AttemptError as exc:
        return exc.failure
    finally:
        await client.aclose()


# Heads that the client library accepts, and that no server of callers can send on.
NO_REPLIES: Final = {
    "switch": HEAD % (b"101 Switching", 3, b"X-Request-Id: r1\r\n", b"own"),
    "status-600": HEAD % (b"600 Odd", 3, b"X-Request-Id: r1\r\n", b"own"),
    "status-999": HEAD % (b"999 Odd", 3, b"X-Request-Id: r1\r\n", b"own"),
    "control": HEAD % (b"200 OK", 3, b"X-Request-Id: r1\r\nX-A: \x01\r\n", b"own"),
    "delete": HEAD % (b"200 OK", 3, b"X-Request-Id: r1\r\nX-A: \x7f\r\n", b"own"),
}


class TestClient:
    """Only a reply with the id of a request is the reply to it."""

    @pytest.mark.parametrize("name", COPIES)
    def test_copy_is_no_reply(self, name: str) -> None:
        result = anyio.run(send_probe_then_request, COPIES[name])
        assert result is AttemptFailure.BAD_REPLY

    @pytest.mark.parametrize("name", NO_REPLIES)
    def test_head_that_cannot_be_sent_on(self, name: str) -> None:
        result = anyio.run(send_probe_then_request, NO_REPLIES[name])
        assert result is AttemptFailure.BAD_REPLY

    def test_own_reply(self) -> None:
        assert anyio.run(send_probe_then_request, b"") == 200


@contextmanager
def run_with_copies(
    folder: Path, copy: bytes
) -> Iterator[tuple[PlatformHost, list[CopyingServer]]]:
    """Run a host with two backend servers that send late copies."""
    store = MetadataStore()
    servers = [CopyingServer(copy), CopyingServer(copy)]
    with (
        AppThread(store) as served,
        start_blocking_portal() as portal,
        ExitStack() as s,
    ):
        store.put("config", "main", CONFIG)
        for number, server in enumerate(servers):
            s.enter_context(portal.wrap_async_context_manager(server))
            store.put("servers", f"i-{number}", make_entry(server.address))
        host = PlatformHost(folder=folder, store=served.address)
        s.callback(host.stop)
        wait_until(host.is_ready)
        yield host, servers


class TestHost:
    """No copy makes a payment run twice, or its caller believe that it did not run."""

    @pytest.mark.parametrize("name", COPIES)
    def test_payments(self, tmp_path: Path, name: str) -> None:
        with run_with_copies(tmp_path, COPIES[name]) as (host, servers):
            for number in range(PAYMENT_COUNT):
                reply = host.send_request(
                    "/pay/1", method="POST", X_Request_Id=f"p{number}"
                )
                assert reply.status_code == 502, reply.headers
            runs = [run for server in servers for run in server.runs]
            assert len(runs) == len(set(runs)) > 0

    def test_request_without_an_id_is_refused(self, tmp_path: Path) -> None:
        with run_with_copies(tmp_path, b"") as (host, _):
            reply = host.send_request("/pay/1", method="POST", X_Request_Id="")
            assert reply.status_code == 400
