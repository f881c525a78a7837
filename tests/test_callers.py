"""Guards against calls and replies that a host changes, truncates or mixes up.

A host decodes, re-encodes and streams both. It could alter a target, pass on hop-by-hop
fields, send a reply to another caller, or hold the slot of a caller that disconnected.
"""

import base64
import contextlib
import hashlib
import json
import select
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import anyio
import httpx
import pytest

from bench.fleet import Fleet
from siskinpier.core.configuration.intents import RoutingIntents
from siskinpier.core.verdict import AttemptFailure, Verdict, get_failure_verdict
from siskinpier.edge.backends import AttemptError, BackendClient
from siskinpier.edge.sockets import make_listener
from siskinpier.settings.host import Address
from tests.standins.app_thread import AppThread
from tests.standins.echo import BLOCK, make_echo_intents, serve_echo
from tests.standins.process import HANG_TIMEOUT_S
from tests.test_whole_path import wait_for_revision

BUFFERED_BYTES: Final = 10_000
BODY_BYTES: Final = 3_000_000
LIMITS: Final = {"buffered_body_bytes": BUFFERED_BYTES, "body_bytes": BODY_BYTES}


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """Yield two hosts, so that a call can be forwarded once."""
    with AppThread(serve_echo) as backend:
        intents = make_echo_intents(backend.address)
        first = RoutingIntents(services=intents.services[:1])
        with Fleet(intents=first, hosts=2, limits=LIMITS) as fleet:
            fleet.intents = intents
            assert fleet.apply_intents()["status"] == "accepted"
            wait_for_revision(fleet, 1)
            yield fleet


@pytest.fixture(params=["home", "forwarded"])
def url(fleet: Fleet, request: pytest.FixtureRequest) -> str:
    """Return the URL of the service at its home, or at a host that forwards."""
    deadline = time.monotonic() + HANG_TIMEOUT_S
    homes: list[str] = []
    while time.monotonic() < deadline and len(homes) != 1:
        answers = [
            httpx.get(f"http://{host.callers}/addresses?service=echo", trust_env=False)
            for host in fleet.hosts
        ]
        homes = sorted({address for a in answers for address in a.json()["addresses"]})
    others = [h.callers for h in fleet.hosts if h.callers not in homes]
    address = homes[0] if request.param == "home" else others[0]
    return f"http://{address}/call/echo"


def call(method: str, url: str, **options: Any) -> httpx.Response:
    """Make one call."""
    return httpx.request(
        method, url, trust_env=False, timeout=HANG_TIMEOUT_S, **options
    )


def list_open_files(pid: int) -> list[str]:
    """Return the targets of a process's file descriptors."""
    links = []
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        # A connection may close between the listing and this read.
        with contextlib.suppress(FileNotFoundError):
            links.append(str(fd.readlink()))
    return links


class TestProcess:
    """A host uses no io_uring, and its accepted sockets send without delay."""

    def test_host_uses_no_io_uring(self, fleet: Fleet, url: str) -> None:
        assert call("GET", f"{url}/x").status_code == 200
        for host in fleet.hosts:
            links = list_open_files(host.process.pid)
            assert links
            assert not [link for link in links if "io_uring" in link]

    def test_accepted_sockets_have_no_delay(self) -> None:
        sock = make_listener(Address(ip="127.0.0.1", port=0))
        with sock, socket.create_connection(sock.getsockname()):
            sock.setblocking(True)
            conn, _ = sock.accept()
            with conn:
                option = conn.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert option != 0


class TestRequests:
    """The backend server receives what the caller sent."""

    @pytest.mark.parametrize(
        "target", ["/a%2Fb/%7e/..;x//c%20d", "/%C3%A9?q=%41&r=a+b%26", "/", "/?", "//x"]
    )
    def test_target_arrives_byte_for_byte(self, url: str, target: str) -> None:
        ip, port = url[7:].split("/")[0].split(":")
        head = f"GET /call/echo{target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        with socket.create_connection((ip, int(port)), HANG_TIMEOUT_S) as conn:
            conn.sendall(head.encode() + b"\r\n")
            reply = b"".join(iter(lambda: conn.recv(65_536), b""))
        echo = json.loads(reply.partition(b"\r\n\r\n")[2])
        path, _, query = target.partition("?")
        assert base64.b64decode(echo["target"]).decode() == path
        assert echo["query"] == query

    @pytest.mark.parametrize("size", [0, 1, BUFFERED_BYTES, BODY_BYTES])
    @pytest.mark.parametrize("is_chunked", [False, True])
    def test_body_arrives_complete(self, url: str, size: int, is_chunked: bool) -> None:
        body = (BLOCK * (size // len(BLOCK) + 1))[:size]
        parts = (body[at : at + 50_000] for at in range(0, size, 50_000))
        reply = call("PUT", f"{url}/x", content=parts if is_chunked else body)
        echo = reply.json()
        assert echo["size"] == size
        assert echo["sha256"] == hashlib.sha256(body).hexdigest()

    def test_hop_by_hop_fields_are_not_forwarded(self, url: str) -> None:
        fields = {
            "connection": "keep-alive, x-hop",
            "x-hop": "1",
            "te": "trailers",
            "expect": "100-continue",
            "proxy-authorization": "secret",
            "siskinpier-verdict": "ran",
            "x-own": "kept",
            "priority": "u=1, i",
        }
        got = dict(
            call("POST", f"{url}/x", headers=fields, content=b"a").json()["headers"]
        )
        assert got["x-own"] == "kept"
        assert got["priority"] == "u=1, i"
        hidden = {"x-hop", "te", "expect", "proxy-authorization", "siskinpier-verdict"}
        assert not hidden & set(got)
        assert 0 < int(got["request-timeout-ms"]) <= 10_000

    def test_deadline_of_the_caller_is_kept(self, url: str) -> None:
        started = time.monotonic()
        reply = call("GET", f"{url}/x?wait_s=5", headers={"request-timeout-ms": "300"})
        assert reply.status_code == 504
        assert reply.json()["verdict"] == "may-have-run"
        assert time.monotonic() - started < 3.0


class TestReplies:
    """The caller receives what the backend server sent."""

    @pytest.mark.parametrize(
        ("method", "status"),
        [("HEAD", 200), ("GET", 204), ("GET", 304), ("GET", 404), ("POST", 201)],
    )
    def test_status_and_body(self, url: str, method: str, status: int) -> None:
        with httpx.Client(trust_env=False, timeout=HANG_TIMEOUT_S) as client:
            reply = client.request(method, f"{url}/x?status={status}")
            assert reply.status_code == status, reply.text
            has_body = method != "HEAD" and status not in (204, 304)
            assert bool(reply.content) == has_body
            # A reply without a body must not shift the responses after it.
            assert client.get(f"{url}/after").json()["path"] == "/after"

    def test_large_reply_is_complete(self, url: str) -> None:
        assert call("GET", f"{url}/x?bytes=5000000").content == (BLOCK * 77)[:5_000_000]

    def test_hop_by_hop_fields_are_dropped_and_others_kept(self, url: str) -> None:
        reply = call("GET", f"{url}/x")
        assert "x-private" not in reply.headers
        assert reply.headers.get_list("x-public") == ["1", "2"]
        assert reply.headers["siskinpier-verdict"] == "ran"
        assert len(reply.headers.get_list("x-call-id")) == 1

    def test_concurrent_replies_are_not_mixed_up(self, url: str) -> None:
        async def request(client: httpx.AsyncClient, number: int) -> None:
            wait_s = (number * 7 % 13) / 100
            reply = await client.get(f"{url}/{number}?wait_s={wait_s}")
            assert reply.json()["path"] == f"/{number}"

        async def run() -> None:
            async with (
                httpx.AsyncClient(trust_env=False, timeout=HANG_TIMEOUT_S) as client,
                anyio.create_task_group() as tasks,
            ):
                for number in range(40):
                    tasks.start_soon(request, client, number)

        anyio.run(run)


class TestDisconnectingCallers:
    """The slot of a caller that disconnects is freed."""

    def test_slots_are_freed(self, url: str) -> None:
        ip, port = url[7:].split("/")[0].split(":")
        conns = [socket.create_connection((ip, int(port))) for _ in range(50)]
        for conn in conns:
            conn.sendall(b"GET /call/echo/x?wait_s=9 HTTP/1.1\r\nHost: h\r\n\r\n")
        time.sleep(0.3)
        for conn in conns:
            conn.close()
        started = time.monotonic()
        # All 50 slots of the backend server would otherwise be taken for 9 s.
        assert call("GET", f"{url}/x").status_code == 200
        assert time.monotonic() - started < 3.0


class TestCallersThatDoNotRead:
    """The connection of a caller that reads no reply is reset at the deadline."""

    def test_connection_is_reset_at_the_deadline(self, url: str) -> None:
        ip, port = url[7:].split("/")[0].split(":")
        head = b"GET /call/echo/x?bytes=30000000 HTTP/1.1\r\nHost: h\r\n"
        with socket.create_connection((ip, int(port)), HANG_TIMEOUT_S) as conn:
            conn.sendall(head + b"Request-Timeout-Ms: 500\r\n\r\n")
            poll = select.poll()
            poll.register(conn, 0)
            # `poll` reports errors even if no events are requested.
            events = poll.poll(HANG_TIMEOUT_S * 1000)
        assert events and events[0][1] & (select.POLLERR | select.POLLHUP)


class TestConnectionLimit:
    """A backend server gets no more connections than its intent allows."""

    def test_attempt_over_the_limit_fails_as_not_run(self) -> None:
        async def run(address: str) -> None:
            client = BackendClient()
            await client.open()
            send = {
                "address": address,
                "method": "GET",
                "target": "/x",
                "headers": [],
                "body": b"",
                "connections": 2,
            }
            replies = [await client.send(**send) for _ in range(2)]
            with pytest.raises(AttemptError) as caught:
                await client.send(**send)
            failure = caught.value.failure
            assert failure is AttemptFailure.NO_CONNECTION_FREE
            assert get_failure_verdict(failure) is Verdict.NOT_RUN
            replies[0].close()
            (await client.send(**send)).close()
            replies[1].close()
            await client.aclose()

        with AppThread(serve_echo) as backend:
            anyio.run(run, backend.address)
