"""Guards against answers of the store that hold the event loop while they are decoded.

Another writer's entry may be as large as the store allows. The work on it is counted,
not timed.
"""

import asyncio
from typing import Final

import pytest

from siskinpier.platform import store_objects
from siskinpier.platform.json_documents import decode_json
from siskinpier.platform.json_rows import SLICE_BYTES, Slices, split_answer
from siskinpier.platform.store_objects import MAX_ENTRY_BYTES, ObjectPage, decode_page

VALUE_BYTES: Final = 1_048_576
# A value of the size that the store allows: what it begins with, repeats and ends with.
VALUES: Final = {
    "text": (b'"', b"x", b'"'),
    "escapes": (b'"', b"\\u0001", b'"'),
    "quotes": (b'"', b'\\"', b'"'),
    "backslashes": (b'"', b"\\\\", b'"'),
    "surrogates": (b'"', b"\\udcff", b'"'),
    "control characters": (b'"', b"\x01", b'"'),
    "not UTF-8": (b'"', b"\xff", b'"'),
    "unterminated": (b'"', b"x", b""),
    "lists": (b"[1", b",[]", b"]"),
    "tables": (b"[1", b",{}", b"]"),
    "integers": (b"[1", b",1", b"]"),
    "floats": (b"[1", b",1e5", b"]"),
    "texts": (b"[1", b',"a"', b"]"),
    "digits": (b"1", b"9", b""),
    "long integers": (b"[1", b"," + b"9" * 5_000, b"]"),
    "nested lists": (b"[1", b"," + b"[" * 900 + b"]" * 900, b"]"),
    "nested and damaged": (b"[\x01", b"," + b"[" * 200 + b"]" * 200, b"]"),
    "open lists": (b"", b"[", b""),
    "open tables": (b"", b'{"a":', b"1"),
    "spaces": (b"", b" ", b"1"),
    "commas": (b"", b"," + b" " * 15, b""),
    "rows": (b"[1", b',{"metadata":{"name":"x","revision":1}}', b"]"),
    "rows and damage": (b"[\x01", b',{"metadata":{"name":"x","revision":1}}', b"]"),
}
# Values that end the list as JSON, so that it is scanned for its rows.
DAMAGES: Final = [name for name in VALUES if "damage" in name or "open" in name]


def make_list(name: str, size_bytes: int) -> bytes:
    """Return a list with an odd entry between two good ones."""
    begin, repeated, end = VALUES[name]
    value = begin + repeated * (size_bytes // len(repeated)) + end
    rows = [
        b'{"metadata":{"name":"%b","revision":1},"spec":%b}' % row
        for row in ((b"a", b"{}"), (b"b", value), (b"z", b"{}"))
    ]
    return b'{"items":[%b],"hasMore":false,"storeRevision":1}' % b",".join(rows)


async def count_turns(content: bytes) -> tuple[ObjectPage, int]:
    """Return a page, and how often another task ran while it was decoded."""
    turns = 0

    async def run_beside() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    task = asyncio.create_task(run_beside())
    page = await decode_page("servers", content)
    task.cancel()
    assert isinstance(page, ObjectPage), page
    return page, turns


class TestLargeEntries:
    """The work between two turns of the loop does not grow with an entry."""

    @pytest.mark.parametrize("name", VALUES)
    def test_large_entry_is_not_decoded(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        sizes = []

        def decode(content: bytes) -> object:
            sizes.append(len(content))
            return decode_json(content)

        monkeypatch.setattr(store_objects, "decode_json", decode)
        page, _ = asyncio.run(count_turns(make_list(name, VALUE_BYTES)))
        names = [item.name for item in page.items]
        assert (names[0], names[-1]) == ("a", "z")
        assert "b" in names
        assert max(sizes) <= MAX_ENTRY_BYTES

    @pytest.mark.parametrize("name", DAMAGES)
    def test_other_tasks_run_while_a_damaged_answer_is_split(self, name: str) -> None:
        _, turns = asyncio.run(count_turns(make_list(name, VALUE_BYTES)))
        assert turns >= VALUE_BYTES // SLICE_BYTES

    def test_other_tasks_run_while_many_rows_are_decoded(self) -> None:
        row = b'{"metadata":{"name":"a","revision":1},"spec":"%b"}' % (b"x" * 1_000)
        rows = b",".join([row] * 1_000)
        content = b'{"items":[%b],"hasMore":false,"storeRevision":1}' % rows
        page, turns = asyncio.run(count_turns(content))
        assert len(page.items) == 1_000
        assert turns >= len(content) // SLICE_BYTES

    @pytest.mark.parametrize("name", VALUES)
    def test_work_grows_no_faster_than_the_answer(self, name: str) -> None:
        async def count_slices(size_bytes: int) -> int:
            slices = Slices()
            await split_answer(make_list(name, size_bytes), slices)
            return slices.count

        once = asyncio.run(count_slices(VALUE_BYTES))
        twice = asyncio.run(count_slices(2 * VALUE_BYTES))
        assert twice <= 2 * once + 2
