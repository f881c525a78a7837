"""Guards against an entry whose bytes are no JSON and that hides other entries.

The store may hand out anything that another writer left. Whatever it is, the other
entries of the same answer are read, or the answer counts as none.
"""

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import pytest

from siskinpier.core.messages import RegisteredServer
from siskinpier.core.platform_results import Unavailable
from siskinpier.core.positions import StorePosition
from siskinpier.platform.documents import decode_server
from siskinpier.platform.json_documents import decode_json
from siskinpier.platform.store import ObjectList, StoreClient
from siskinpier.platform.store_objects import ChangeList, StoreObject
from tests.standins.platform_host import make_entry
from tests.standins.raw_store import Query, RawStore, make_reply, run_raw_store
from tests.test_foreign_entries import list_paths, run_pair, survives_a_message
from tests.test_platform_documents import ENTRY, change

MARK: Final = "@"
# Bytes in place of a value, its quotes included.
VALUES: Final = {
    "control character": b'"\x01"',
    "line break": b'"a\nb"',
    "NUL": b'"\x00"',
    "bare NUL": b"\x00",
    "unterminated text": b'"a',
    "lone quote": b'"',
    "three quotes": b'"""',
    "invalid escape": b'"\\x41"',
    "cut escape": b'"\\u12"',
    "escaped end": b'"a\\"',
    "bare text": b"undefined",
    "nothing": b"",
    "two values": b"1 2",
    "two members": b"1,2",
    "number with zero": b"007",
    "number without digits": b"-",
    "NaN": b"NaN",
    "infinity": b"-Infinity",
    "too large": b"1e999",
    "digits": b"9" * 5_000,
    "not UTF-8": b'"\xff\xfe"',
    "bare bytes": b"\xff\xfe",
    "byte order mark": b'\xef\xbb\xbf"a"',
    "lone surrogate": b'"\\udcff"',
    "open list": b"[",
    "open table": b"{",
    "closing bracket": b"]",
    "closing brace": b"}",
    "closing braces": b"1}}}}",
    "closing brackets": b"1]]]]",
    "open lists": b"[" * 5_000,
    "open tables": b'{"a":' * 5_000,
    "deep list": b"[" * 5_000 + b"]" * 5_000,
    "deeper list": b"[" * 100_000 + b"]" * 100_000,
    "row that begins": b'{"metadata":{"name":"x","revision":1},"spec":',
    "rows": b'[{"metadata":{"name":"x"}},{"metadata":{"name":"y"}}',
    "second list": b'1}],"items":[],"events":[],"x":[{"y":1',
    "second list one deeper": b'1}}],"items":[],"events":[],"x":[{"y":{"z":1',
    "second metadata": b'1},"metadata":{"name":"a","revision":13},"x":{"y":1',
    "metadata one deeper": b'1}},"metadata":{"name":"a","revision":13},"x":{"y":{"z":1',
    "second object": b'1}},"object":{"metadata":{"name":"a","revision":13},"y":{"z":1',
    "end of the answer": b'1}}],"hasMore":false,"storeRevision":1}',
    "megabyte": b'"' + b"x" * 1_048_576 + b'"',
    "megabyte of control characters": b'"' + b"\x01" * 1_048_576 + b'"',
}
ROW: Final[dict[str, Any]] = {
    "metadata": {
        "name": "b",
        "revision": 12,
        "created": 1,
        "finalizers": ["a"],
        "deleting": False,
    },
    "spec": ENTRY,
    "status": {"state": "ready"},
}
GOOD: Final = ("a", "z")
FIELDS: Final = [path for path in list_paths(ROW) if "finalizers.0" not in path]
AROUND: Final = ("hasMore", "storeRevision")


def make_row(name: str) -> bytes:
    """Return the entry of a good server."""
    return json.dumps(change(ROW, "metadata.name", name)).encode()


def list_damaged_rows(value: bytes) -> Iterator[tuple[str, bytes]]:
    """Return a row with the bytes in place of each of its values and keys."""
    mark = json.dumps(MARK).encode()
    for path in FIELDS:
        text = json.dumps(change(ROW, path, MARK)).encode()
        yield path, text.replace(mark, value)
    for key in ("metadata", "name", "spec", "info", "status"):
        yield key, value.join(make_row("b").rsplit(json.dumps(key).encode(), 1))
    for path in ("", "metadata.", "spec.", "spec.info."):
        text = json.dumps(change(ROW, path + MARK, 1)).encode()
        yield path + "key", text.replace(mark, value)


def make_list(rows: list[bytes], *, has_more: bool = False) -> bytes:
    """Return an answer with a page of a list."""
    end = b"true" if has_more else b"false"
    return (
        b'{"items":['
        + b",".join(rows)
        + b'],"hasMore":'
        + end
        + b',"storeRevision":12}'
    )


def make_event(row: bytes) -> bytes:
    """Return an event in which an entry changed."""
    return b'{"object": ' + row + b', "deleted": false}'


def make_watch_answer(events: list[bytes]) -> bytes:
    """Return an answer to a watch."""
    return b'{"events": [' + b", ".join(events) + b'], "storeRevision": 13}'


def list_damaged_events(value: bytes) -> list[bytes]:
    """Return an event with the bytes in place of each of its values and keys."""
    row = make_row("b")
    return [
        b'{"object": ' + row + b', "deleted": ' + value + b"}",
        b'{"object": ' + row + b", " + value + b": false}",
        b'{"object": ' + value + b', "deleted": false}',
        b"{" + value + b": " + row + b', "deleted": false}',
    ]


def damage_field(body: bytes, field: str, value: str) -> bytes:
    """Return an answer with damage in one of the fields behind its rows."""
    begin = body.rindex(b'"' + field.encode() + b'"') + len(field) + 3
    end = min(i for i in (body.find(b",", begin), body.find(b"}", begin)) if i > 0)
    return body[:begin] + VALUES[value] + body[end:]


def check_items(items: list[StoreObject], case: object) -> None:
    """Assert that the good servers are decoded, and the odd one harms nothing."""
    decoded = {
        item.name: decode_server(item.name, item.spec, item.status)
        for item in items
        if item.name in GOOD
    }
    assert sorted(decoded) == sorted(GOOD), case
    assert all(isinstance(s, RegisteredServer) for s in decoded.values()), case
    for item in items:
        server = decode_server(item.name, item.spec, item.status)
        if isinstance(server, RegisteredServer):
            assert survives_a_message(server), case


async def check_list(client: StoreClient, case: object) -> None:
    """Assert that a list has all good servers."""
    listed = await client.list_all("servers")
    assert isinstance(listed, ObjectList), (case, listed)
    check_items(list(listed.items), case)


async def check_watch(client: StoreClient, case: object) -> None:
    """Assert that a watch tells of all good servers and can be continued."""
    since = StorePosition(era=0, revision=11)
    result = await client.watch("servers", since=since, wait_s=0.0)
    assert isinstance(result, ChangeList), (case, result)
    assert result.position == StorePosition(era=0, revision=13)
    assert not any(c.is_deleted for c in result.changes if c.item.name in GOOD), case
    check_items([change.item for change in result.changes], case)


@pytest.mark.parametrize("value", VALUES)
class TestDamagedRows:
    """Only the damaged entry is passed over, wherever it stands in an answer."""

    @pytest.mark.parametrize("place", [0, 1, 2])
    def test_list(self, value: str, place: int) -> None:
        async def run() -> None:
            async with run_raw_store(store) as client:
                for path, row in list_damaged_rows(VALUES[value]):
                    rows = [make_row(name) for name in GOOD]
                    rows.insert(place, row)
                    store.reply = make_reply(make_list(rows))
                    await check_list(client, path)

        store = RawStore()
        asyncio.run(run())

    def test_last_on_a_page(self, value: str) -> None:
        def respond(params: Query) -> bytes:
            after = params.get("after", "")
            left = [rows[name] for name in sorted(rows) if name > after]
            return make_reply(make_list(left[:2], has_more=len(left) > 2))

        async def run() -> None:
            async with run_raw_store(RawStore(respond)) as client:
                for path, row in list_damaged_rows(VALUES[value]):
                    rows["b"] = row
                    await check_list(client, path)

        rows = {name: make_row(name) for name in GOOD}
        asyncio.run(run())

    @pytest.mark.parametrize("place", [0, 1, 2])
    def test_watch(self, value: str, place: int) -> None:
        async def run() -> None:
            async with run_raw_store(store) as client:
                for path, row in list_damaged_rows(VALUES[value]):
                    rows = [make_row(name) for name in GOOD]
                    rows.insert(place, row)
                    store.reply = make_reply(
                        make_watch_answer([make_event(row) for row in rows])
                    )
                    await check_watch(client, path)

        store = RawStore()
        asyncio.run(run())

    def test_field_of_an_event(self, value: str) -> None:
        async def run() -> None:
            async with run_raw_store(store) as client:
                for event in list_damaged_events(VALUES[value]):
                    events = [make_event(make_row(name)) for name in GOOD]
                    events.insert(1, event)
                    store.reply = make_reply(make_watch_answer(events))
                    await check_watch(client, event[-200:])

        store = RawStore()
        asyncio.run(run())

    @pytest.mark.parametrize("field", ["hasMore", "storeRevision"])
    def test_field_of_a_list(self, value: str, field: str) -> None:
        def respond(params: Query) -> bytes:
            return make_reply(make_list([]) if "after" in params else body)

        async def run() -> object:
            async with run_raw_store(RawStore(respond)) as client:
                return await client.list_all("servers")

        body = damage_field(make_list([make_row(name) for name in GOOD]), field, value)
        result = asyncio.run(run())
        if isinstance(result, ObjectList):
            check_items(list(result.items), body)
        else:
            assert isinstance(result, Unavailable), result

    def test_revision_of_a_watch(self, value: str) -> None:
        async def run() -> object:
            async with run_raw_store(store) as client:
                since = StorePosition(era=0, revision=11)
                return await client.watch("servers", since=since, wait_s=0.0)

        body = make_watch_answer([make_event(make_row(name)) for name in GOOD])
        store = RawStore()
        store.reply = make_reply(damage_field(body, "storeRevision", value))
        assert isinstance(asyncio.run(run()), Unavailable)


ODD_NAMES: Final = {
    "not UTF-8": b"b\xff",
    "surrogate": b"b\\ud800",
    "first": b"\xff",
    "long": b"b" * 10_000,
    "long and control character": b"\\u0000" + b"x" * 300,
    "slashes": b"../b/%2e?after=a&b#c",
    "control character": b"b\\u0000\\n",
    "space": b" ",
    "empty": b"",
    "other case": b"A",
    "not normalised": b"a\xcc\x81",
    "beyond the plane": b"b\xf0\x9f\x98\x80",
}


class TestOddNames:
    """A list goes on behind an entry whose name no request can hold."""

    @pytest.mark.parametrize("page_rows", [1, 2])
    @pytest.mark.parametrize("name", ODD_NAMES)
    def test_alone_on_a_page(self, name: str, page_rows: int) -> None:
        def respond(params: Query) -> bytes:
            # As sorted by a store in which text is a list of code points.
            left = [rows[key] for key in sorted(rows) if key > params.get("after", "")]
            page = make_list(left[:page_rows], has_more=len(left) > page_rows)
            return make_reply(page)

        async def run() -> None:
            async with run_raw_store(store) as client:
                await check_list(client, name)

        odd = b'{"metadata":{"name":"%b","revision":1},"spec":{}}' % ODD_NAMES[name]
        key = decode_json(odd)["metadata"]["name"]
        rows = {good: make_row(good) for good in GOOD} | {key: odd}
        store = RawStore(respond)
        asyncio.run(run())
        assert all(len(query.get("after", "")) <= 201 for query in store.queries)


class TestHosts:
    """Hosts follow the store while damaged entries stand in it."""

    def test_hosts_go_on(self, tmp_path: Path) -> None:
        with run_pair(tmp_path) as pair:
            values = {f"@{name}@": value for name, value in VALUES.items()}
            pair.store.replacements = {
                json.dumps(mark).encode(): value for mark, value in values.items()
            }
            for number, mark in enumerate(values):
                spec = change(make_entry(pair.address), "info.slots", mark)
                pair.store.put("servers", f"other-{number}", spec)
            pair.add_server("i-2")
            pair.store.drop_history()
            pair.add_server("i-3")
