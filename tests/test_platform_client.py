"""Guards against a platform client that reports the wrong result of a call.

After a lost reply or a timeout, a write may or may not have taken effect; reporting it
as refused or as accepted would mislead the core. The stand-in API injects the faults.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import aclosing
from typing import Any, Final

import httpx
import pytest

from siskinpier.core import platform_results as results
from siskinpier.edge.platform import VALUE_LIMIT_BYTES, PlatformClient
from tests.standins.process import StandIn

KIND = results.CLAIMS

# For tests that expect no timeout: a full garbage collection of the test process alone
# took 0.3 s, so a shorter timeout would fail on slow machines.
LONG_TIMEOUT_S: Final = 30.0
SHORT_TIMEOUT_S: Final = 0.4  # for tests whose reply never arrives, or after 0.9 s
CONNECT_ATTEMPTS: Final = 20  # of 0.2 s at most: one must succeed within 4 s


@pytest.fixture
def anyio_backend() -> str:
    """Run the tests on asyncio."""
    return "asyncio"


@pytest.fixture
def platform() -> Iterator[StandIn]:
    """Start a stand-in object API."""
    with StandIn(module="tests.standins.platform", args=["--port", "0"]) as stand_in:
        yield stand_in


def make_client(platform: StandIn, *, timeout_s: float) -> PlatformClient:
    """Return a client of the stand-in object API."""
    return PlatformClient(
        url=platform.url, namespace="test", token="secret", timeout_s=timeout_s
    )


@pytest.fixture
async def client(platform: StandIn) -> AsyncIterator[PlatformClient]:
    """Return a client whose timeout no test reaches."""
    client = make_client(platform, timeout_s=LONG_TIMEOUT_S)
    yield client
    await client.aclose()


@pytest.fixture
async def short_timeout_client(platform: StandIn) -> AsyncIterator[PlatformClient]:
    """Return a client with a short timeout."""
    client = make_client(platform, timeout_s=SHORT_TIMEOUT_S)
    yield client
    await client.aclose()


def control(platform: StandIn, path: str) -> None:
    """Set a fault in the stand-in object API."""
    httpx.post(f"{platform.url}/control/{path}", trust_env=False).raise_for_status()


def make_stored(version: str, value: int) -> results.StoredObject:
    """Return the object `a` as a read should return it."""
    return results.StoredObject(
        kind=KIND, name="a", version=version, spec={"value": value}
    )


async def read(client: PlatformClient) -> results.ReadResult:
    """Read the object `a`."""
    return await client.read_object(kind=KIND, name="a")


async def is_connected(client: PlatformClient) -> bool:
    """Return True once a read succeeded, so that a pooled connection is open."""
    for _ in range(CONNECT_ATTEMPTS):
        if isinstance(await read(client), results.ObjectMissing):
            return True
    return False


async def write(client: PlatformClient, value: Any, version: str | None) -> Any:
    """Write the object `a`."""
    return await client.write_object(
        kind=KIND, name="a", spec={"value": value}, expected_version=version
    )


async def watch(client: PlatformClient, version: str) -> list[results.WatchResult]:
    """Return all results of a short watch of the object `a`."""
    events = client.watch_object(kind=KIND, name="a", version=version, wait_s=0.3)
    return [result async for result in events]


@pytest.mark.anyio
class TestPlatformClient:
    """Each operation returns the documented result, with and without faults."""

    async def test_update_is_conditional(self, client: PlatformClient) -> None:
        assert await read(client) == results.ObjectMissing(kind=KIND, name="a")
        assert await write(client, 1, "1") == results.VersionConflict()
        first = await write(client, 1, None)
        assert await write(client, 2, None) == results.VersionConflict()
        second = await write(client, 2, first.version)
        assert int(second.version) > int(first.version)
        assert await write(client, 3, first.version) == results.VersionConflict()
        stored = make_stored(second.version, 2)
        assert await read(client) == stored
        listed = await client.list_objects(kind=KIND)
        assert listed == results.ObjectList(version=second.version, items=(stored,))
        assert client.calls == {"write": 5, "read": 2, "list": 1}

    async def test_value_size_is_limited(self, client: PlatformClient) -> None:
        result = await write(client, "x" * VALUE_LIMIT_BYTES, None)
        assert result == results.Unavailable(reason="value over 1 MiB")

    @pytest.mark.parametrize(
        ("fault", "expected"),
        [
            ("outage?mode=refuse", (results.Unavailable, results.ObjectMissing)),
            ("lose_replies?n=1", (results.WriteOutcomeUnknown, results.StoredObject)),
        ],
    )
    async def test_write_under_fault(
        self, client: PlatformClient, platform: StandIn, fault: str, expected: object
    ) -> None:
        control(platform, fault)
        written = await write(client, 1, None)
        control(platform, "outage?on=0")
        assert (type(written), type(await read(client))) == expected

    async def test_write_that_hangs(
        self,
        client: PlatformClient,
        short_timeout_client: PlatformClient,
        platform: StandIn,
    ) -> None:
        # The write uses an open connection, so that only its reply can time out.
        assert await is_connected(short_timeout_client)
        control(platform, "outage?mode=hang")
        written = await write(short_timeout_client, 1, None)
        control(platform, "outage?on=0")
        replies = (type(written), type(await read(client)))
        assert replies == (results.WriteOutcomeUnknown, results.ObjectMissing)

    async def test_reads_under_refusal(
        self, client: PlatformClient, platform: StandIn
    ) -> None:
        control(platform, "outage?mode=refuse")
        listed = await client.list_objects(kind=KIND)
        replies = [await read(client), listed, *await watch(client, "0")]
        assert [type(reply) for reply in replies] == [results.Unavailable] * 3

    @pytest.mark.parametrize("fault", ["outage?mode=hang", "latency?ms=900"])
    async def test_reads_that_time_out(
        self, short_timeout_client: PlatformClient, platform: StandIn, fault: str
    ) -> None:
        control(platform, fault)
        listed = await short_timeout_client.list_objects(kind=KIND)
        replies = [
            await read(short_timeout_client),
            listed,
            *await watch(short_timeout_client, "0"),
        ]
        assert [type(reply) for reply in replies] == [results.Unavailable] * 3

    async def test_refused_connection(
        self, client: PlatformClient, platform: StandIn
    ) -> None:
        platform.kill()
        assert isinstance(await write(client, 1, None), results.Unavailable)

    async def test_stale_read(self, client: PlatformClient, platform: StandIn) -> None:
        first = await write(client, 1, None)
        await write(client, 2, first.version)
        control(platform, "stale_reads")
        assert await read(client) == make_stored(first.version, 1)

    async def test_watch(self, client: PlatformClient) -> None:
        first = await write(client, 1, None)
        second = await write(client, 2, first.version)
        changes = [make_stored(second.version, 2)]
        assert await watch(client, first.version) == changes
        assert await watch(client, second.version) == []

    async def test_broken_watch(
        self, client: PlatformClient, platform: StandIn
    ) -> None:
        await write(client, 1, None)
        events = client.watch_object(kind=KIND, name="a", version="0", wait_s=5)
        async with aclosing(events):
            assert isinstance(await anext(events), results.StoredObject)
            control(platform, "break_watches")
            assert isinstance(await anext(events), results.Unavailable)
