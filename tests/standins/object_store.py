"""In-memory object store with versions, conditional updates and a change log.

The store performs no I/O and reads no clock, so it can run in virtual time.
"""

from collections import deque
from copy import deepcopy
from dataclasses import dataclass, replace
from typing import Any, Final, Literal, TypeAlias

from siskinpier.core.platform_results import (
    ObjectList,
    ObjectMissing,
    StoredObject,
    VersionConflict,
    WriteAccepted,
)

LOG_LIMIT_CHANGES: Final = 1000

ChangeType: TypeAlias = Literal["ADDED", "MODIFIED", "DELETED"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One entry of the change log."""

    type: ChangeType
    stored: StoredObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Expired:
    """The change log no longer covers the requested version."""


class ObjectStore:
    """Objects of all kinds; versions increase over the whole store.

    With `stale_reads` set, reads and lists return the previous version of each
    object; an object with a single version is then missing.
    """

    def __init__(self, *, log_limit: int = LOG_LIMIT_CHANGES) -> None:
        self.stale_reads = False
        self._version = 0
        self._log_limit = log_limit
        self._current: dict[tuple[str, str], StoredObject] = {}
        self._previous: dict[tuple[str, str], StoredObject | None] = {}
        self._changed_at: dict[tuple[str, str], int] = {}
        self._logs: dict[str, deque[Change]] = {}
        self._log_starts: dict[str, int] = {}

    def read(self, *, kind: str, name: str) -> StoredObject | ObjectMissing:
        """Return one object, or `ObjectMissing`."""
        source = self._previous if self.stale_reads else self._current
        stored = source.get((kind, name))
        return (
            ObjectMissing(kind=kind, name=name) if stored is None else deepcopy(stored)
        )

    def list_kind(self, *, kind: str) -> ObjectList:
        """Return all objects of a kind, sorted by name."""
        source = self._previous if self.stale_reads else self._current
        found = [stored for stored in source.values() if stored is not None]
        items = [deepcopy(stored) for stored in found if stored.kind == kind]
        items.sort(key=lambda stored: stored.name)
        return ObjectList(version=str(self._get_list_version(kind)), items=tuple(items))

    def create(
        self, *, kind: str, name: str, spec: dict[str, Any]
    ) -> WriteAccepted | VersionConflict:
        """Create an object; conflict if it exists."""
        if (kind, name) in self._current:
            return VersionConflict()
        return self._put(kind=kind, name=name, spec=spec, change_type="ADDED")

    def update(
        self, *, kind: str, name: str, spec: dict[str, Any], expected_version: str
    ) -> WriteAccepted | VersionConflict | ObjectMissing:
        """Replace an object; conflict unless it has the expected version."""
        stored = self._current.get((kind, name))
        if stored is None:
            return ObjectMissing(kind=kind, name=name)
        if stored.version != expected_version:
            return VersionConflict()
        return self._put(kind=kind, name=name, spec=spec, change_type="MODIFIED")

    def delete(self, *, kind: str, name: str) -> WriteAccepted | ObjectMissing:
        """Delete an object; the result carries the version of the deletion."""
        stored = self._current.pop((kind, name), None)
        if stored is None:
            return ObjectMissing(kind=kind, name=name)
        self._version += 1
        deleted = replace(stored, version=str(self._version))
        self._record(change_type="DELETED", stored=deleted, previous=stored)
        return WriteAccepted(version=deleted.version)

    def list_changes_after(
        self, *, kind: str, version: int, name: str | None = None
    ) -> list[Change] | Expired:
        """Return the changes of a kind or of one object after a version."""
        if version < self._log_starts.get(kind, 0):
            return Expired()
        return [
            deepcopy(change)
            for change in self._logs.get(kind, ())
            if int(change.stored.version) > version
            and name in (None, change.stored.name)
        ]

    def _put(
        self, *, kind: str, name: str, spec: dict[str, Any], change_type: ChangeType
    ) -> WriteAccepted:
        self._version += 1
        version = str(self._version)
        stored = StoredObject(
            kind=kind, name=name, version=version, spec=deepcopy(spec)
        )
        previous = self._current.get((kind, name))
        self._current[kind, name] = stored
        self._record(change_type=change_type, stored=stored, previous=previous)
        return WriteAccepted(version=version)

    def _record(
        self,
        *,
        change_type: ChangeType,
        stored: StoredObject,
        previous: StoredObject | None,
    ) -> None:
        key = (stored.kind, stored.name)
        self._previous[key] = previous
        self._changed_at[key] = self._version
        log = self._logs.setdefault(stored.kind, deque())
        log.append(Change(type=change_type, stored=stored))
        if len(log) > self._log_limit:
            self._log_starts[stored.kind] = int(log.popleft().stored.version)

    def _get_list_version(self, kind: str) -> int:
        if not self.stale_reads:
            return self._version
        changed_at = [at for key, at in self._changed_at.items() if key[0] == kind]
        return min(changed_at, default=self._version + 1) - 1
