"""A fake of the platform's object API in virtual time, with fault injection."""

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from siskinpier.core.platform_results import (
    ObjectList,
    ObjectMissing,
    ReadResult,
    StoredObject,
    Unavailable,
    VersionConflict,
    WriteOutcomeUnknown,
    WriteResult,
)
from tests.standins.object_store import ObjectStore

from .scheduler import Scheduler

LATENCY_S: Final = 0.003
WRITE_DELAY_S: Final = 0.5


class VirtualPlatform:
    """An object store with latency, outages, lost replies and late writes.

    `calls` counts the calls by kind, and `call_times` holds their times. The next
    `writes_to_delay` writes get an unknown outcome and take effect `write_delay_s`
    later. `history` holds every write that took effect.
    """

    def __init__(self, *, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.store = ObjectStore()
        self.latency_s = LATENCY_S
        self.is_down = False
        self.replies_to_lose = 0
        self.writes_to_delay = 0
        self.write_delay_s = WRITE_DELAY_S
        self.history: list[tuple[float, StoredObject]] = []
        self.calls: Counter[str] = Counter()
        self.call_times: list[tuple[float, str]] = []
        self.watchers: dict[str, Callable[[StoredObject], None]] = {}

    def read(
        self, kind: str, name: str, callback: Callable[[ReadResult], None]
    ) -> None:
        """Read an object and pass the result to `callback` after the latency."""
        self._record_call("read")
        self.scheduler.after(self.latency_s, lambda: self._read(kind, name, callback))

    def list_kind(
        self, kind: str, callback: Callable[[ObjectList | Unavailable], None]
    ) -> None:
        """List all objects of a kind."""
        self._record_call("list")

        def finish() -> None:
            if self.is_down:
                callback(Unavailable(reason="outage"))
            else:
                callback(self.store.list_kind(kind=kind))

        self.scheduler.after(self.latency_s, finish)

    def write(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        expected_version: str | None,
        callback: Callable[[WriteResult], None],
    ) -> None:
        """Write an object if its version is `expected_version`; None creates it."""
        self._record_call("write")

        def finish() -> None:
            if self.is_down:
                callback(Unavailable(reason="outage"))
                return
            if self.writes_to_delay > 0:
                self.writes_to_delay -= 1
                callback(WriteOutcomeUnknown(reason="no reply"))

                def apply_write() -> None:
                    self._write(kind, name, spec, expected_version)

                self.scheduler.after(self.write_delay_s, apply_write)
                return
            result = self._write(kind, name, spec, expected_version)
            if self.replies_to_lose > 0:
                self.replies_to_lose -= 1
                self.scheduler.after(
                    1.0, lambda: callback(WriteOutcomeUnknown(reason="reply lost"))
                )
                return
            callback(result)

        self.scheduler.after(self.latency_s, finish)

    def watch(
        self,
        watcher: str,
        kind: str,
        callback: Callable[[StoredObject], None],
        version: str | None = None,
    ) -> None:
        """Watch a kind after a version until `unwatch`; a watch counts as one call."""
        self._record_call("watch")
        if self.is_down:
            return
        for _, stored in self.history:
            is_newer = version is not None and int(stored.version) > int(version)
            if stored.kind == kind and is_newer:
                self.scheduler.after(self.latency_s, partial(callback, stored))
        self.watchers[f"{watcher}/{kind}"] = callback

    def unwatch(self, watcher: str, kind: str) -> None:
        """Cancel a watch."""
        self.watchers.pop(f"{watcher}/{kind}", None)

    def break_watches(self) -> None:
        """Cancel all watches without notifying the watchers."""
        self.watchers.clear()

    def _read(
        self, kind: str, name: str, callback: Callable[[ReadResult], None]
    ) -> None:
        if self.is_down:
            callback(Unavailable(reason="outage"))
            return
        callback(self.store.read(kind=kind, name=name))

    def _write(
        self, kind: str, name: str, spec: dict[str, Any], expected: str | None
    ) -> WriteResult:
        if expected is None:
            result = self.store.create(kind=kind, name=name, spec=spec)
        else:
            updated = self.store.update(
                kind=kind, name=name, spec=spec, expected_version=expected
            )
            result = (
                VersionConflict() if isinstance(updated, ObjectMissing) else updated
            )
        if not isinstance(result, VersionConflict):
            stored = StoredObject(
                kind=kind, name=name, version=result.version, spec=spec
            )
            self.history.append((self.scheduler.now, stored))
            self._notify(stored)
        return result

    def _notify(self, stored: StoredObject) -> None:
        for key, callback in list(self.watchers.items()):
            if key.endswith(f"/{stored.kind}"):
                self.scheduler.after(self.latency_s, partial(callback, stored))

    def _record_call(self, kind: str) -> None:
        self.calls[kind] += 1
        self.call_times.append((self.scheduler.now, kind))
