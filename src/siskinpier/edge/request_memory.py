"""The memory of a host for heads and bodies of requests, shared by all its calls."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from .headers import Headers

# Memory of a header field besides its bytes, and copies that are kept of a target. A
# field takes 150 bytes when it is read, and 250 more while its request is sent on.
FIELD_OVERHEAD_BYTES: Final = 400
TARGET_COPIES: Final = 4


@dataclass(slots=True, kw_only=True)
class RequestMemory:
    """Counts the bytes that requests hold."""

    limit_bytes: int
    used_bytes: int = 0

    def reserve(self, size_bytes: int, *, own_bytes: int = 0) -> bool:
        """Reserve memory; return False if others than the owner hold too much."""
        has_others = self.used_bytes > own_bytes
        if has_others and self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def add(self, size_bytes: int) -> None:
        """Count bytes that are held already; a negative number returns them."""
        self.used_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Return memory that was reserved."""
        self.used_bytes -= size_bytes

    @contextmanager
    def share(self) -> Iterator["RequestShare"]:
        """Yield the share of one body, which is returned at the end of its call."""
        share = RequestShare(memory=self)
        try:
            yield share
        finally:
            self.release(share.held_bytes)


@dataclass(slots=True, kw_only=True)
class RequestShare:
    """The bytes that one call may hold of its body."""

    memory: RequestMemory
    held_bytes: int = 0

    def grow_to(self, size_bytes: int) -> bool:
        """Reserve memory up to a size; return False if other calls hold too much."""
        added_bytes = max(0, size_bytes - self.held_bytes)
        if not self.memory.reserve(added_bytes, own_bytes=self.held_bytes):
            return False
        self.held_bytes += added_bytes
        return True


def estimate_head_bytes(target: bytes, headers: Headers) -> int:
    """Return about how much memory the head of a request holds."""
    fields_bytes = sum(
        len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in headers
    )
    return len(target) * TARGET_COPIES + fields_bytes
