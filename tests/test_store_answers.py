"""Guards against answers of the store that hosts mistake, or that cost more calls.

Whatever stands at the store's address, a call is sent once, ends, and raises nothing.
"""

import asyncio
import gzip
import random
from collections.abc import Awaitable, Callable
from typing import Final

import pytest

from siskinpier.core.platform_results import Unavailable, WriteOutcomeUnknown
from siskinpier.core.positions import StorePosition
from siskinpier.platform.store import ObjectList, StoreClient
from tests.standins.raw_store import RawStore, make_reply, run_raw_store

LIST: Final = b'{"items":[],"hasMore":false,"storeRevision":12}'
CHUNKED: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
# Answers that are no HTTP, or whose fields are odd.
ODD_ANSWERS: Final = [
    make_reply(LIST),
    make_reply(b""),
    make_reply(LIST, fields="Content-Encoding: gzip\r\n"),
    make_reply(LIST, fields="Content-Encoding: deflate\r\n"),
    make_reply(LIST, fields="Content-Encoding: br\r\n"),
    make_reply(gzip.compress(LIST), fields="Content-Encoding: gzip\r\n"),
    make_reply(gzip.compress(LIST)[:20], fields="Content-Encoding: gzip\r\n"),
    make_reply(gzip.compress(b" " * 50_000_000), fields="Content-Encoding: gzip\r\n"),
    make_reply(LIST, fields="Content-Type: text/\x01; charset=none; charset\r\n"),
    make_reply(LIST, fields="Set-Cookie: =;;\x01\r\nSet-Cookie: a; expires=x\r\n"),
    make_reply(LIST, fields="Store-Era: x\r\n"),
    make_reply(LIST, fields="Store-Era: -1\r\n"),
    make_reply(LIST, fields="Store-Era: 1.0\r\nStore-Era: 2\r\n"),
    make_reply(LIST, fields="Keep-Alive: timeout=-1\r\nConnection: x\r\n"),
    make_reply(LIST, fields="Link: <http://[>; rel=x\r\n"),
    make_reply(LIST, status="302 Found", fields="Location: http://[::1\r\n"),
    make_reply(LIST, status="401 No", fields="WWW-Authenticate: Digest x\r\n"),
    *(make_reply(LIST, status=f"{code} X") for code in (0, 101, 199, 204, 304, 999)),
    make_reply(LIST, status="1000 X"),
    make_reply(LIST, status="-1 X"),
    b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + make_reply(LIST),
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n" + LIST,
    b"HTTP/1.1 200 OK\r\n\r\n" + LIST,
    b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
    b"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 \xff\x01\r\n\xff: x\r\nContent-Length: 0\r\n\r\n",
    CHUNKED + b"\r\nzz\r\n",
    CHUNKED + b"\r\nffffffffffffffffffffffff\r\n",
    CHUNKED + b"\r\n5\r\n{",
    CHUNKED + b"Content-Length: 5\r\n\r\n0\r\n\r\n",
    b"HTTP/2 200\r\n\r\n",
    b"HTTP/9.9 200 OK\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
    b"\r\n\r\n",
    b"junk",
    b"",
]
MUTATIONS: Final = 1_500
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


class TestOddAnswers:
    """A call raises nothing, whatever bytes answer it, and the next one is made."""

    @pytest.mark.parametrize("call", CALLS)
    def test_answer_that_is_no_http(
        self, call: Callable[[StoreClient], Awaitable[object]]
    ) -> None:
        async def run() -> None:
            async with run_raw_store(store) as client:
                for answer in ODD_ANSWERS:
                    store.reply = answer
                    await call(client)
                store.reply = make_reply(LIST)
                assert isinstance(await client.list_all("servers"), ObjectList)

        store = RawStore()
        store.closes = True
        asyncio.run(run())

    def test_damaged_answers(self) -> None:
        async def run() -> None:
            async with run_raw_store(store) as client:
                for _ in range(MUTATIONS):
                    store.reply = damage(rng.choice(short), rng)
                    await rng.choice(CALLS)(client)

        rng = random.Random(1)
        short = [answer for answer in ODD_ANSWERS if 0 < len(answer) < 5_000]
        store = RawStore()
        store.closes = True
        asyncio.run(run())


def damage(answer: bytes, rng: random.Random) -> bytes:
    """Return an answer in which some bytes are changed, removed or added."""
    damaged = bytearray(answer)
    for _ in range(rng.randrange(1, 6)):
        begin = rng.randrange(len(damaged) + 1)
        end = begin + rng.choice([0, 1, 8])
        pieces = [b"", b"\r\n", b"\x00", b" ", b":", b"\xff", b"9", b",", b";", b"{"]
        damaged[begin:end] = rng.choice(pieces)
    return bytes(damaged)
