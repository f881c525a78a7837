"""Guards against answers of the store that hosts mistake, or that cost more calls.

Whatever stands at the store's address, a call is sent once, ends, and raises nothing.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import pytest

from siskinpier.core.platform_results import Unavailable, WriteOutcomeUnknown
from siskinpier.core.positions import StorePosition
from siskinpier.platform.store import ObjectList, StoreClient
from tests.standins.raw_store import RawStore, make_reply, run_raw_store

VALUE_BYTES: Final = 1_048_576
REDIRECTS: Final = ["301 Moved", "302 Found", "303 See Other", "307 T", "308 P"]


async def list_servers(client: StoreClient) -> object:
    """List the servers."""
    return await client.list_all("servers")


async def watch_servers(client: StoreClient) -> object:
    """Watch the servers once."""
    since = StorePosition(era=0, revision=1)
    return await client.watch("servers", since=since, wait_s=0.0)


async def create_host(client: StoreClient) -> object:
    """Create an object."""
    return await client.write_object(
        kind="hosts", name="a", spec={}, expected_version=None
    )


async def replace_host(client: StoreClient) -> object:
    """Replace an object."""
    return await client.write_object(
        kind="hosts", name="a", spec={}, expected_version="1"
    )


CALLS: Final = [list_servers, watch_servers, create_host, replace_host]


class TestRedirects:
    """A redirect is no answer of the store, and nobody else is called instead."""

    @pytest.mark.parametrize("status", REDIRECTS)
    @pytest.mark.parametrize("call", CALLS)
    def test_call_is_not_sent_again(
        self, status: str, call: Callable[[StoreClient], Awaitable[object]]
    ) -> None:
        async def run() -> object:
            async with run_raw_store(store) as client:
                return await call(client)

        store = RawStore()
        location = "Location: /api/objects/servers\r\n"
        store.reply = make_reply(b"{}", status=status, fields=location)
        result = asyncio.run(run())
        assert isinstance(result, Unavailable | WriteOutcomeUnknown), result
        assert len(store.queries) == 1


class TestLargePages:
    """An object of the size that the store allows hides nothing, however it is sent."""

    @pytest.mark.parametrize("escape", [b"x", b"\\n", b"\\u0001", b"\\udcff"])
    def test_largest_object_is_listed(self, escape: bytes) -> None:
        async def run() -> object:
            async with run_raw_store(store) as client:
                return await client.list_all("servers")

        row = b'{"metadata":{"name":"%b","revision":1},"spec":"%b"}'
        odd = row % (b"b", escape * VALUE_BYTES)
        rows = b",".join([row % (b"a", b""), odd, row % (b"z", b"")])
        store = RawStore()
        store.reply = make_reply(
            b'{"items":[%b],"hasMore":false,"storeRevision":1}' % rows
        )
        listed = asyncio.run(run())
        assert isinstance(listed, ObjectList), listed
        assert [item.name for item in listed.items] == ["a", "b", "z"]
