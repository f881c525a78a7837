"""The memory of a host for request bodies, shared by all its calls."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class BodyMemory:
    """Counts the bytes that calls hold of their request bodies."""

    limit_bytes: int
    used_bytes: int = 0

    @contextmanager
    def share(self) -> Iterator["BodyShare"]:
        """Yield the share of one call, which is returned at the end of the call."""
        share = BodyShare(memory=self)
        try:
            yield share
        finally:
            self.used_bytes -= share.held_bytes


@dataclass(slots=True, kw_only=True)
class BodyShare:
    """The bytes that one call may hold of its body."""

    memory: BodyMemory
    held_bytes: int = 0

    def grow_to(self, size_bytes: int) -> bool:
        """Reserve memory up to a size; return False if other calls hold too much."""
        memory = self.memory
        added_bytes = max(0, size_bytes - self.held_bytes)
        others_bytes = memory.used_bytes - self.held_bytes
        if others_bytes and memory.used_bytes + added_bytes > memory.limit_bytes:
            return False
        memory.used_bytes += added_bytes
        self.held_bytes += added_bytes
        return True
