"""What the shell needs of the platform, whichever interface it speaks."""

from collections.abc import Mapping
from typing import Protocol

from ..core.platform_results import ReadResult, WriteResult


class ObjectStore(Protocol):
    """Objects by kind and name, with conditional updates."""

    @property
    def calls(self) -> Mapping[str, int]:
        """Return the calls made, by kind."""

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
