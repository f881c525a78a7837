"""Guards against callers that get a truncated reply or part of another call's reply.

A backend server that sends too much or too late leaves bytes on a pooled connection,
which the host would read as the reply to the next request on it.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from threading import Thread
from typing import Final

import httpx
import pytest

from bench.fleet import Fleet, load_example
from siskinpier.core.configuration.intents import RoutingIntents
from tests.standins.process import HANG_TIMEOUT_S
from tests.test_whole_path import wait_for_revision

# Delay of bytes after a complete reply, when its connection is idle.
SURPLUS_DELAY_S: Final = 0.05
# Delay of replies that must miss the deadline of 150 ms.
LATE_DELAY_S: Final = 0.3
LATER_CALL_COUNT: Final = 3

Writer = asyncio.StreamWriter
Behavior = Callable[[Writer, bytes], Awaitable[None]]


def make_reply(body: bytes, *, length: int | None = None) -> bytes:
    """Return a reply whose Content-Length is `length`, or the right one."""
    size = len(body) if length is None else length
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (size, body)


async def truncate_length(writer: Writer, body: bytes) -> None:
    """Close the connection before the declared length was sent."""
    writer.write(make_reply(body, length=len(body) + 50))
    await writer.drain()
    writer.close()


async def truncate_chunks(writer: Writer, body: bytes) -> None:
    """Close the connection without the last chunk."""
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    writer.write(head + b"%x\r\n%b\r\n" % (len(body), body))
    await writer.drain()
    writer.close()


async def truncate_inside_a_chunk(writer: Writer, body: bytes) -> None:
    """Close the connection inside a chunk."""
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    writer.write(head + b"%x\r\n%b" % (len(body) + 9, body))
    await writer.drain()
    writer.close()


async def stop_in_the_head(writer: Writer, body: bytes) -> None:
    """Close the connection inside the head of the reply."""
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-le")
    await writer.drain()
    writer.close()


async def send_garbage(writer: Writer, body: bytes) -> None:
    """Send bytes that are not an HTTP reply."""
    writer.write(b"\x00\xffnot a reply\r\n\r\n")
    await writer.drain()


async def send_two_lengths(writer: Writer, body: bytes) -> None:
    """Send two different Content-Length headers."""
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 5\r\n\r\n"
    writer.write(head + body)
    await writer.drain()


async def send_twice(writer: Writer, body: bytes) -> None:
    """Send a second reply right after the first."""
    writer.write(make_reply(body) + make_reply(b"surplus"))
    await writer.drain()


async def send_again_later(writer: Writer, body: bytes) -> None:
    """Send a second reply on the connection once it is idle."""
    writer.write(make_reply(body))
    await writer.drain()
    await asyncio.sleep(SURPLUS_DELAY_S)
    writer.write(make_reply(b"surplus"))
    await writer.drain()


async def send_more_bytes_later(writer: Writer, body: bytes) -> None:
    """Send stray bytes on the connection once it is idle."""
    writer.write(make_reply(body))
    await writer.drain()
    await asyncio.sleep(SURPLUS_DELAY_S)
    writer.write(b"surplus")
    await writer.drain()


async def send_late(writer: Writer, body: bytes) -> None:
    """Reply after the deadline."""
    await asyncio.sleep(LATE_DELAY_S)
    writer.write(make_reply(b"late"))
    await writer.drain()


async def send_slow_body(writer: Writer, body: bytes) -> None:
    """Send the rest of the body after the deadline."""
    writer.write(make_reply(b"late", length=8))
    await writer.drain()
    await asyncio.sleep(LATE_DELAY_S)
    writer.write(b"late")
    await writer.drain()


async def name_another_call(writer: Writer, body: bytes) -> None:
    """Reply with the id of another call."""
    reply = make_reply(b"other").replace(b"\r\n", b"\r\nx-call-id: other\r\n", 1)
    writer.write(reply)
    await writer.drain()


class RawBackend:
    """A backend server in a thread that answers `/fault/NAME` with that behavior."""

    def __init__(self, behaviors: list[Behavior]) -> None:
        self.address = ""
        self.used_after_fault: list[bytes] = []
        self._behaviors = {f"/fault/{f.__name__}".encode(): f for f in behaviors}
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start the thread, and listen on a port chosen by the system."""
        self._thread.start()
        started = asyncio.run_coroutine_threadsafe(self._listen(), self._loop)
        self.address = started.result(timeout=HANG_TIMEOUT_S)

    def stop(self) -> None:
        """Stop the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=HANG_TIMEOUT_S)

    async def _listen(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        has_misbehaved = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1]
                if has_misbehaved:
                    self.used_after_fault.append(path)
                behavior = self._behaviors.get(path)
                has_misbehaved = behavior is not None
                if behavior is not None:
                    await behavior(writer, path)
                else:
                    writer.write(make_reply(path))
                    await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


def make_services(address: str, names: list[str]) -> RoutingIntents:
    """Return services on one backend server, without probes or retries.

    They share its connections, but a fault in one service ejects it in no other.
    """
    example = load_example("arhivski-kadar").services[0]
    service = replace(
        example,
        servers=(replace(example.servers[0], address=address),),
        probes=replace(example.probes, per_second=0.0),
        retry_share=0.0,
    )
    return RoutingIntents(services=tuple(replace(service, name=name) for name in names))


# Faults after which the caller must get no reply.
BROKEN: Final = [
    truncate_length,
    truncate_chunks,
    truncate_inside_a_chunk,
    stop_in_the_head,
    send_garbage,
    send_two_lengths,
    send_late,
    send_slow_body,
    name_another_call,
]
# Faults after a complete reply, which the caller must get.
COMPLETE: Final = [send_twice, send_again_later, send_more_bytes_later]


@pytest.fixture(scope="module")
def backend() -> Iterator[RawBackend]:
    """Yield the misbehaving backend server."""
    backend = RawBackend([*BROKEN, *COMPLETE])
    backend.start()
    yield backend
    backend.stop()


@pytest.fixture(scope="module")
def fleet(backend: RawBackend) -> Iterator[Fleet]:
    """Yield one host that sends search to the misbehaving backend server."""
    names = ["search", *(get_service_name(f) for f in (*BROKEN, *COMPLETE))]
    with Fleet(intents=make_services("127.0.0.1:1", ["search"]), hosts=1) as fleet:
        fleet.intents = make_services(backend.address, names)
        assert fleet.apply_intents()["status"] == "accepted"
        wait_for_revision(fleet, 1)
        yield fleet


def get_service_name(behavior: Behavior) -> str:
    """Return the name of the service that only this behavior uses."""
    return behavior.__name__.replace("_", "-")


async def fetch(
    fleet: Fleet, path: str, timeout_ms: int = 2000, service: str = "search"
) -> bytes | None:
    """Return the body of a complete 200 reply, or None if it broke or was refused."""
    url = f"http://{fleet.hosts[0].callers}/call/{service}{path}"
    headers = {"request-timeout-ms": str(timeout_ms)}
    async with httpx.AsyncClient(trust_env=False, timeout=10.0) as client:
        try:
            reply = await client.get(url, headers=headers)
        except httpx.HTTPError:
            return None
    return reply.content if reply.status_code == 200 else None


async def run_fault(
    fleet: Fleet, behavior: Behavior
) -> tuple[bytes | None, list[bytes | None]]:
    """Return the reply to the faulty call, and the replies to later calls."""
    is_slow = behavior in (send_late, send_slow_body)
    path = f"/fault/{behavior.__name__}"
    service = get_service_name(behavior)
    first = await fetch(fleet, path, 150 if is_slow else 400, service)
    await asyncio.sleep(2 * SURPLUS_DELAY_S)
    later = [await fetch(fleet, f"/whole/{n}") for n in range(LATER_CALL_COUNT)]
    await asyncio.sleep(LATE_DELAY_S if is_slow else SURPLUS_DELAY_S)
    later.append(await fetch(fleet, "/whole/last"))
    return first, later


class TestOwnAnswers:
    """A faulty reply affects no other call, and a truncated one reaches no caller."""

    @pytest.mark.parametrize("behavior", [*BROKEN, *COMPLETE])
    def test_every_caller_gets_only_its_own_reply(
        self, fleet: Fleet, backend: RawBackend, behavior: Behavior
    ) -> None:
        backend.used_after_fault.clear()
        first, later = asyncio.run(run_fault(fleet, behavior))
        own = f"/fault/{behavior.__name__}".encode()
        assert first == (own if behavior in COMPLETE else None)
        expected = [f"/whole/{n}".encode() for n in (*range(LATER_CALL_COUNT), "last")]
        assert later == expected
        assert backend.used_after_fault == []
