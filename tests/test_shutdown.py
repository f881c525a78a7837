"""Guards against calls lost at the graceful shutdown of a host process.

A host could stop while calls are queued, running or partly sent, or refuse new calls
before callers have been sent to another host.
"""

import asyncio
import signal
import socket
import subprocess
import time
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import parse_qs

import anyio
import httpx
import pytest

from bench.fleet import Fleet
from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.effects import StopHost
from siskinpier.core.events import HostStarted, ShutdownRequested, TimerFired
from siskinpier.core.reducer import reduce
from siskinpier.core.state import CoreSettings, HostIdentity, make_state
from siskinpier.core.timers import ShutdownCheckDue
from tests.standins.app_thread import AppThread
from tests.standins.process import HANG_TIMEOUT_S, Receive, Scope, Send, StandIn
from tests.test_whole_path import wait_for_revision

BIG_BYTES = 10_000_000
BLOCK = bytes(range(256)) * 256
# Hosts of the bench announce their shutdown for 1 s, or longer if address lists are
# valid for longer, and then wait at most 10 s for open calls.


async def serve_streams(scope: Scope, receive: Receive, send: Send) -> None:
    """Wait `wait_s` seconds, then send `parts` delayed chunks and `bytes` bytes."""
    query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
    await asyncio.sleep(float(query.get("wait_s", "0")))
    await send({"type": "http.response.start", "status": 200, "headers": []})
    for number in range(int(query.get("parts", "0"))):
        await asyncio.sleep(0.25)
        body = f"part-{number};".encode()
        await send({"type": "http.response.body", "body": body, "more_body": True})
    left = int(query.get("bytes", "2"))
    while left > 0:
        block = BLOCK[:left]
        left -= len(block)
        await send({"type": "http.response.body", "body": block, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


def make_intents(address: str) -> RoutingIntents:
    """Return a service with one slot and one with 50, on the same server."""
    services = tuple(
        ServiceIntent(
            name=name,
            deadline_s=20.0,
            servers=(
                BackendServer(
                    name=f"{name}-1", address=address, failure_domain="a", slots=slots
                ),
            ),
        )
        for name, slots in (("single", 1), ("streams", 50))
    )
    return RoutingIntents(services=services)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoppingFleet:
    """A fleet whose first host is stopped by the test."""

    fleet: Fleet

    @property
    def url(self) -> str:
        return f"http://{self.fleet.hosts[0].callers}"

    def signal(self) -> None:
        self.fleet.hosts[0].process._child.send_signal(signal.SIGTERM)

    def request_addresses(self, host: int) -> list[str]:
        url = f"http://{self.fleet.hosts[host].callers}/addresses?service=single"
        reply = httpx.get(url, trust_env=False).json()
        return list(reply["addresses"])


def start_fleet(hosts: int) -> Iterator[StoppingFleet]:
    """Yield a fleet in which the intents are in force."""
    with AppThread(serve_streams) as backend:
        seed = RoutingIntents(services=make_intents(backend.address).services[:1])
        with Fleet(intents=seed, hosts=hosts) as fleet:
            fleet.intents = make_intents(backend.address)
            assert fleet.apply_intents()["status"] == "accepted"
            wait_for_revision(fleet, 1)
            yield StoppingFleet(fleet=fleet)


@pytest.fixture
def one_host() -> Iterator[StoppingFleet]:
    """Yield a host without peers."""
    yield from start_fleet(1)


@pytest.fixture
def two_hosts() -> Iterator[StoppingFleet]:
    """Yield a host with one peer."""
    yield from start_fleet(2)


async def read_last(url: str, process: StandIn) -> int:
    """Read a reply that is the last one open at a shutdown; return its size in bytes.

    Reading pauses once the core has stopped: the rest is then in buffers of the host,
    which must be sent before the process exits.
    """
    size = 0
    transport = httpx.AsyncHTTPTransport(
        socket_options=[(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)]
    )
    async with (
        httpx.AsyncClient(transport=transport, timeout=HANG_TIMEOUT_S) as client,
        client.stream("GET", url) as reply,
    ):
        await anyio.sleep(2.6)
        is_stopped = False
        async for block in reply.aiter_raw(65_536):
            size += len(block)
            if size > BIG_BYTES // 2 and not is_stopped:
                # Read so slowly that the host's buffers stay full until the core stops.
                await anyio.sleep(0.025)
            if not is_stopped and "event=stop" in process.read_log():
                is_stopped = True
                await anyio.sleep(1.0)
    assert is_stopped
    return size


class TestCallsInFlight:
    """SIGTERM interrupts no call, whatever its state."""

    def test_every_call_in_flight_is_answered_completely(
        self, one_host: StoppingFleet
    ) -> None:
        results: dict[str, object] = {}

        async def get(name: str, path: str) -> None:
            async with httpx.AsyncClient(trust_env=False, timeout=20.0) as client:
                reply = await client.get(f"{one_host.url}{path}")
                results[name] = (reply.status_code, reply.content)

        async def get_big() -> None:
            url = f"{one_host.url}/call/streams/?bytes={BIG_BYTES}"
            results["big"] = await read_last(url, one_host.fleet.hosts[0].process)

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(get, "sent", "/call/single/?wait_s=2.2")
                await anyio.sleep(0.2)
                tasks.start_soon(get, "queued", "/call/single/?wait_s=0.1")
                tasks.start_soon(get, "parts", "/call/streams/?parts=8")
                tasks.start_soon(get_big)
                await anyio.sleep(0.3)
                one_host.signal()

        anyio.run(run)
        parts = b"".join(f"part-{number};".encode() for number in range(8))
        assert results == {
            "sent": (200, BLOCK[:2]),
            "queued": (200, BLOCK[:2]),
            "parts": (200, parts + BLOCK[:2]),
            "big": BIG_BYTES,
        }
        assert one_host.fleet.hosts[0].process.wait_exit(within_s=HANG_TIMEOUT_S) == 0

    def test_second_signal_stops_at_once(self, one_host: StoppingFleet) -> None:
        process = one_host.fleet.hosts[0].process

        async def run() -> None:
            async with httpx.AsyncClient(trust_env=False, timeout=20.0) as client:
                reply = await client.get(f"{one_host.url}/call/single/?wait_s=15")
                assert reply.status_code == 503
                assert reply.json()["verdict"] == "may-have-run"

        async def signal_twice() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run)
                await anyio.sleep(0.3)
                one_host.signal()
                await anyio.sleep(0.3)
                assert process.exit_code is None
                one_host.signal()
                await anyio.to_thread.run_sync(
                    lambda: process.wait_exit(within_s=HANG_TIMEOUT_S)
                )

        anyio.run(signal_twice)
        assert process.exit_code == 0


class TestNewCalls:
    """A host that is leaving sends callers to other hosts before it refuses calls."""

    def test_address_is_withdrawn_before_calls_are_refused(
        self, two_hosts: StoppingFleet
    ) -> None:
        fleet = two_hosts.fleet
        own = fleet.hosts[0].callers
        statuses: list[tuple[int, str | None]] = []
        with httpx.Client(trust_env=False, timeout=20.0) as kept_client:
            held_call = subprocess.Popen(
                ["curl", "-s", f"{two_hosts.url}/call/streams/?wait_s=3"],
                stdout=subprocess.DEVNULL,
            )
            time.sleep(0.3)
            two_hosts.signal()
            signalled_at = time.monotonic()
            time.sleep(0.7)
            assert own not in two_hosts.request_addresses(0)
            assert own not in two_hosts.request_addresses(1)
            while time.monotonic() < signalled_at + 3.0:
                reply = kept_client.get(f"{two_hosts.url}/call/streams/")
                verdict = reply.headers["siskinpier-verdict"]
                statuses.append((reply.status_code, verdict))
                if reply.status_code == 503:
                    assert reply.headers["retry-after"]
                    assert reply.headers["connection"] == "close"
                    break
                # Address lists with the host stay valid for up to 1 s.
                time.sleep(0.05)
            refused_after = time.monotonic() - signalled_at
            assert held_call.wait(HANG_TIMEOUT_S) == 0
        assert statuses[-1] == (503, "not-run")
        assert set(statuses[:-1]) == {(200, "ran")}
        assert refused_after >= 1.0
        assert fleet.hosts[0].process.wait_exit(within_s=HANG_TIMEOUT_S) == 0


class TestBound:
    """The core stops the host at the time limit, or at once at a second request."""

    def test_request_after_the_stop_does_not_restart_the_shutdown(self) -> None:
        state = make_state(
            identity=HostIdentity(
                name="h",
                incarnation=1,
                failure_domain="a",
                region="main",
                callers="127.0.0.1:1",
                peers="127.0.0.1:2",
            ),
            settings=CoreSettings(announce_s=1.0),
            parse_intents=lambda spec: None,
            seed=1,
        )
        reduce(state, HostStarted(now=0.0))
        reduce(state, ShutdownRequested(now=1.0))
        step = TimerFired(now=2.0, timer=ShutdownCheckDue())
        assert StopHost(reason="nothing in flight") in reduce(state, step)
        again = reduce(state, ShutdownRequested(now=2.1))
        assert again == [StopHost(reason="asked twice", at_once=True)]
