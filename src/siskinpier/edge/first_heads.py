"""Connections that have not sent a complete request head yet.

When a server has as many connections as it may have, the oldest of them gives way to a
new one. Otherwise connections that send nothing, or too slowly, could keep all others
out until their time limit.
"""

import asyncio
from typing import Final, Protocol

# Callers send a head within 3 s.
MIN_AGE_S: Final = 3.0


class WaitingConnection(Protocol):
    """A connection that waits for its first head."""

    def expire_head(self) -> None:
        """Close the connection because its head did not arrive in time."""


class FirstHeads:
    """The connections of one server that wait for their first head, oldest first."""

    def __init__(self) -> None:
        self._accepted_at: dict[WaitingConnection, float] = {}

    def add(self, connection: WaitingConnection) -> None:
        """Add a connection that was just accepted."""
        self._accepted_at[connection] = asyncio.get_running_loop().time()

    def discard(self, connection: WaitingConnection) -> None:
        """Remove a connection that has sent a head, or was lost."""
        self._accepted_at.pop(connection, None)

    def close_oldest(self) -> bool:
        """Close the oldest connection; return False if all are recent."""
        oldest = next(iter(self._accepted_at), None)
        if oldest is None:
            return False
        age_s = asyncio.get_running_loop().time() - self._accepted_at[oldest]
        if age_s < MIN_AGE_S:
            return False
        self.discard(oldest)
        oldest.expire_head()
        return True
