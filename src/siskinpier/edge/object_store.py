"""The interface to the platform's object store that the shell requires."""

from collections.abc import Mapping
from typing import Protocol

from ..core.platform_results import ReadResult, WriteResult


class ObjectStore(Protocol):
    """Stores objects by kind and name; writes are conditional on the version."""

    @property
    def calls(self) -> Mapping[str, int]:
        """Return the number of calls made, by kind of call."""

    async def read_object(self, *, kind: str, name: str) -> ReadResult:
        """Read one object."""

    async def write_object(
        self,
        *,
        kind: str,
        name: str,
        spec: dict[str, object],
        expected_version: str | None,
    ) -> WriteResult:
        """Create an object, or replace one that is at the expected version."""
