"""Decoding of the store's answers: lists of objects, changes and single objects.

An object that cannot be decoded affects no other object of its answer.
"""

import re
import reprlib
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from typing import Any, Final, TypeGuard

import msgspec
from msgspec import Raw, Struct

from ..core.positions import StorePosition
from ..logs import log_warning
from .json_documents import decode_json
from .json_rows import ROW_BYTES, Slices, split_answer
from .validation import is_readable

CONFIGURATION_KIND: Final = "config"
CONFIGURATION_NAME: Final = "main"
# Of a larger object, only the metadata is decoded, unless it is the configuration: no
# entry of a backend server or host is this large.
MAX_ENTRY_BYTES: Final = 16_384
# No entry is used whose name is longer, or has characters behind the tilde.
MAX_NAME_CHARS: Final = 200
_NAME_START: Final = re.compile(r"[\x00-~]{0,200}")
LAST_CHARACTER: Final = "\U0010ffff"
# Exact in every JSON decoder.
MAX_REVISION: Final = 2**53
# Unreadable objects of one answer that are logged; the rest are counted.
MAX_LOGGED_OBJECTS: Final = 5
MAX_LOGGED_CHARS: Final = 80

# The beginning of an object or event, up to the end of the object's metadata.
_METADATA: Final = re.compile(
    rb'\s*\{\s*(?:"deleted"\s*:\s*\w+\s*,\s*)?(?:"object"\s*:\s*\{\s*)?'
    rb'"metadata"\s*:\s*(\{[^{}]{0,4096}\})'
)

_METADATA_KEY: Final = b'"metadata"'


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreObject:
    """An object in the store; `revision` is the revision of its last change.

    `spec` and `status` are None if they cannot be decoded.
    """

    name: str
    revision: int
    spec: Any
    status: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectPage:
    """Some objects of a kind; with `has_more`, further pages follow.

    `last_name` is the name after which the next page begins, if one is readable.
    """

    revision: int
    items: tuple[StoreObject, ...]
    has_more: bool
    last_name: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectChange:
    """An object that changed or was deleted."""

    item: StoreObject
    is_deleted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeList:
    """Changes up to `position`, from which the watch continues."""

    position: StorePosition
    changes: tuple[ObjectChange, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Malformed:
    """An answer that cannot be decoded, and the reason."""

    reason: str


class _Envelope(Struct, kw_only=True):
    """The undecoded metadata of an object, or the undecoded object of an event."""

    metadata: Raw = Raw(b"null")
    item: Raw | None = msgspec.field(name="object", default=None)


class _UnreadableLog:
    """Logs the objects of one answer that cannot be decoded, the first few of them."""

    def __init__(self) -> None:
        self._count = 0

    def add(self, name: str, **fields: object) -> None:
        """Log an object."""
        self._count += 1
        if self._count <= MAX_LOGGED_OBJECTS:
            log_warning("object-unreadable", name=name, **fields)

    def end(self) -> None:
        """Log how many objects were left out."""
        left_out = self._count - MAX_LOGGED_OBJECTS
        if left_out > 0:
            log_warning("objects-unreadable", left_out=left_out)


async def decode_page(kind: str, content: bytes) -> ObjectPage | Malformed:
    """Return the readable objects of a page of a list."""
    slices = Slices()
    try:
        answer = await split_answer(content, slices)
    except ValueError as exc:
        return Malformed(reason=f"malformed list: {exc}")
    if answer.items is None or not _is_revision(answer.revision):
        return Malformed(reason="malformed list")
    log = _UnreadableLog()
    documents = _decode_rows(kind, answer.items, slices)
    found = [_make_object(document, log) async for document in documents]
    log.end()
    items = tuple(item for item in found if item is not None)
    return ObjectPage(
        revision=answer.revision,
        items=items,
        has_more=bool(answer.has_more),
        last_name=_get_last_name(answer.items, items),
    )


async def decode_changes(
    kind: str, content: bytes, *, era: int
) -> ChangeList | Malformed:
    """Return the changes of readable objects in an answer to a watch."""
    slices = Slices()
    try:
        answer = await split_answer(content, slices)
    except ValueError as exc:
        return Malformed(reason=f"malformed events: {exc}")
    if answer.events is None or not _is_revision(answer.revision):
        return Malformed(reason="malformed events")
    log = _UnreadableLog()
    changes = []
    async for document in _decode_rows(kind, answer.events, slices):
        # Of an event that cannot be decoded, only the object's metadata is there.
        item = _make_object(document.get("object", document), log)
        if item is not None:
            is_deleted = document.get("deleted") is True
            changes.append(ObjectChange(item=item, is_deleted=is_deleted))
    log.end()
    position = StorePosition(era=era, revision=answer.revision)
    return ChangeList(position=position, changes=tuple(changes))


def _get_last_name(rows: list[Raw], items: Iterable[StoreObject]) -> str | None:
    """Return a name that a request can hold, after which the next page begins.

    If a page has none, it is one that sorts behind the page's last name, and before all
    later names of entries that are used.
    """
    short = [item.name for item in items if len(item.name) <= MAX_NAME_CHARS]
    if short:
        return short[-1]
    metadata = _decode_metadata(bytes(rows[-1])) if rows else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    found = _NAME_START.match(name) if isinstance(name, str) else None
    return None if found is None else f"{found[0]}{LAST_CHARACTER}"


def decode_object(kind: str, content: bytes) -> StoreObject | None:
    """Return a single object; None, logged, if its name or revision is invalid."""
    return _make_object(_decode_row(kind, content), _UnreadableLog())


async def _decode_rows(
    kind: str, rows: Iterable[Raw], slices: Slices
) -> AsyncIterator[dict[str, Any]]:
    for row in rows:
        content = bytes(row)
        yield _decode_row(kind, content)
        await slices.add(len(content) + ROW_BYTES)


def _decode_row(kind: str, content: bytes) -> dict[str, Any]:
    """Return a decoded object or event, or only the metadata of its object."""
    metadata: Any = None
    if len(content) > MAX_ENTRY_BYTES:
        metadata = _decode_metadata(content)
    if len(content) <= MAX_ENTRY_BYTES or _is_configuration(kind, metadata):
        try:
            document = decode_json(content)
        except ValueError:
            document = None
        if isinstance(document, dict) and not _has_second_metadata(content, document):
            return document
        metadata = _decode_metadata(content)
    return {"metadata": metadata}


def _has_second_metadata(content: bytes, document: dict[str, Any]) -> bool:
    """Return True if a damaged value repeats the metadata or object of its entry.

    Decoders take the last one, which may be the name of another entry.
    """
    found = _METADATA.match(content)
    if found is None or content.count(_METADATA_KEY) == 1:
        return False
    item = document.get("object", document)
    metadata = item.get("metadata") if isinstance(item, dict) else None
    return bool(metadata != _decode_metadata(content))


def _is_configuration(kind: str, metadata: Any) -> bool:
    return (
        kind == CONFIGURATION_KIND
        and isinstance(metadata, dict)
        and metadata.get("name") == CONFIGURATION_NAME
    )


def _decode_metadata(content: bytes) -> Any:
    """Return the metadata of an object or event, or None if it cannot be decoded."""
    found = _METADATA.match(content)
    try:
        text = _find_metadata(content) if found is None else found[1]
        return decode_json(text) if len(text) <= MAX_ENTRY_BYTES else None
    except (ValueError, RecursionError, msgspec.MsgspecError):
        return None


def _find_metadata(content: bytes) -> bytes:
    envelope = msgspec.json.decode(content, type=_Envelope)
    if envelope.item is not None:
        envelope = msgspec.json.decode(envelope.item, type=_Envelope)
    return bytes(envelope.metadata)


def _make_object(document: Any, log: _UnreadableLog) -> StoreObject | None:
    """Return an object, or None after logging that its name or revision is invalid."""
    metadata = document.get("metadata") if isinstance(document, dict) else None
    if not isinstance(metadata, dict):
        metadata = {}
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or not is_readable(name):
        log.add(reprlib.repr(name))
        return None
    if not _is_revision(revision):
        log.add(name[:MAX_LOGGED_CHARS], revision=reprlib.repr(revision))
        return None
    return StoreObject(
        name=name,
        revision=revision,
        spec=document.get("spec"),
        status=document.get("status"),
    )


def _is_revision(value: object) -> TypeGuard[int]:
    """Return True for a revision that every host and decoder can hold."""
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return 0 <= value <= MAX_REVISION
