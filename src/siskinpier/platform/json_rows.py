"""Splitting of a JSON answer into the rows of its list.

The answer is scanned but not decoded, so that a row that cannot be decoded, or is not
JSON at all, hides no other row.
"""

import asyncio
import json
import re
from itertools import pairwise
from typing import Any, Final

import msgspec
from msgspec import Raw, Struct

# Work after which other tasks of the event loop get their turn. One row counts as
# `ROW_BYTES` more than it has.
SLICE_BYTES: Final = 65_536
ROW_BYTES: Final = 128

# What stands before a row, if the row is a table that begins with a field that rows
# have. Tables inside a row follow a colon, or have other fields.
_ROW_START: Final = re.compile(
    rb"[\[,]\s{0,16}"
    rb'(?=\{\s{0,16}"(?:metadata|spec|status|object|deleted)"\s{0,16}:)'
)
MAX_ROW_START_BYTES: Final = 64
# What stands between two rows.
_NEXT_ROW: Final = re.compile(rb"\s*,\s*(?=\{)")
_LIST_START: Final = re.compile(rb'"(?:items|events)"\s{0,16}:\s{0,16}\[\s{0,16}')
_DECODER: Final = json.JSONDecoder()
_REVISION_FIELD: Final = b'"storeRevision"'
_BYTE_ORDER_MARK: Final = b"\xef\xbb\xbf"


class Answer(Struct, kw_only=True):
    """The fields of an answer; its rows are in `items` or `events`."""

    items: list[Raw] | None = None
    events: list[Raw] | None = None
    has_more: Any = msgspec.field(name="hasMore", default=None)
    revision: Any = msgspec.field(name="storeRevision", default=None)


class Slices:
    """Divides a long computation, so that it does not hold the event loop.

    `count` is the number of finished slices.
    """

    def __init__(self) -> None:
        self.count = 0
        self._left_bytes = SLICE_BYTES

    async def add(self, size_bytes: int) -> None:
        """Count work; at the end of a slice, let the other tasks run."""
        self._left_bytes -= size_bytes
        if self._left_bytes <= 0:
            self._left_bytes = SLICE_BYTES
            self.count += 1
            await asyncio.sleep(0)


def looks_like_json(content: bytes) -> bool:
    """Return True if an answer begins and ends like a JSON table, list or null."""
    text = content.removeprefix(_BYTE_ORDER_MARK).strip()
    return (text[:1], text[-1:]) in ((b"{", b"}"), (b"[", b"]")) or text == b"null"


async def split_answer(content: bytes, slices: Slices) -> Answer:
    """Return an answer with its rows undecoded.

    Raises `ValueError` if the fields of the answer cannot be told from its rows.
    """
    content = content.removeprefix(_BYTE_ORDER_MARK)
    try:
        answer = msgspec.json.decode(content, type=Answer)
    except (msgspec.MsgspecError, RecursionError):
        return await _split_damaged(content, slices)
    if not _begins_with_rows(content, answer):
        return await _split_damaged(content, slices)
    return answer


def _begins_with_rows(content: bytes, answer: Answer) -> bool:
    """Return True if the rows are those of the first list.

    A damaged row may end that list and begin another one.
    """
    rows = answer.items if answer.items is not None else answer.events
    start = _LIST_START.search(content)
    if rows is None or start is None:
        return rows is None
    first = bytes(rows[0]) if rows else b"]"
    return content.startswith(first, start.end())


async def _split_damaged(content: bytes, slices: Slices) -> Answer:
    """Split an answer that is not JSON where its rows begin."""
    first = _LIST_START.search(content)
    end = content.rfind(b"]")
    if first is None or end < first.end():
        raise ValueError("no list")
    start = content.index(b"[", first.start())
    around = content[: start + 1] + content[end:]
    try:
        answer = msgspec.json.decode(around, type=Answer)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ValueError("unreadable fields around a list") from exc
    if answer.items is not None and not isinstance(answer.has_more, bool):
        raise ValueError("a list without a readable hasMore")
    rows = await _split_list(content[start:end], slices)
    if _REVISION_FIELD not in content[end:] and not (rows and _is_json(rows[-1])):
        raise ValueError("a list that may be cut off")
    if answer.items is not None:
        answer.items = rows
    else:
        answer.events = rows
    return answer


async def _split_list(text: bytes, slices: Slices) -> list[Raw]:
    """Return the rows of a list without its closing bracket."""
    starts = await _find_row_starts(text, slices)
    rows: list[Raw] = []
    for start, end in pairwise((*starts, len(text))):
        part = text[start + 1 : end]
        rows += _read_rows(part)
        await slices.add(len(part) + ROW_BYTES)
    return rows


def _read_rows(part: bytes) -> list[Raw]:
    """Return the rows of a part of a list; of a damaged part, one or two."""
    try:
        return msgspec.json.decode(b"[" + part + b"]", type=list[Raw])
    except (msgspec.MsgspecError, RecursionError):
        pass
    found = _find_second_row(part)
    if found is None:
        return [Raw(part)]
    return [Raw(part[: found.start()]), Raw(part[found.end() :])]


def _find_second_row(part: bytes) -> re.Match[bytes] | None:
    """Return the comma before a row whose beginning is damaged, behind a good one."""
    # One character for each byte.
    text = part[:SLICE_BYTES].decode("latin-1")
    begin = len(text) - len(text.lstrip())
    try:
        _, end = _DECODER.raw_decode(text, begin)
    except (ValueError, RecursionError):
        return None
    return _NEXT_ROW.match(part, end)


async def _find_row_starts(text: bytes, slices: Slices) -> list[int]:
    """Return where the rows of a list begin: the indexes of `[` and commas."""
    starts = [0]
    for begin in range(0, len(text), SLICE_BYTES):
        end = begin + SLICE_BYTES
        for match in _ROW_START.finditer(text, begin, end + MAX_ROW_START_BYTES):
            if starts[-1] < match.start() < end:
                starts.append(match.start())
        await slices.add(SLICE_BYTES)
    return starts


def _is_json(row: Raw) -> bool:
    try:
        msgspec.json.decode(row, type=Raw)
    except (msgspec.MsgspecError, RecursionError):
        return False
    return True
