"""The call queue of a service, ordered by urgency, deadline, then arrival.

Calls that can no longer meet their latency objective come after the others of the same
urgency, so that an overload makes only some of the calls late.
"""

from typing import Final

from sortedcontainers import SortedList

from .calls import ActiveCall, QueueEntry

# Longest time that a host keeps back from the deadline of a forwarded call, so that a
# refusal can return in time, in seconds.
FORWARD_MARGIN_S: Final = 0.05


class CallQueue:
    """The waiting calls of one service in order; the lowest entry is sent first."""

    def __init__(self) -> None:
        self._entries: SortedList[QueueEntry] = SortedList()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, active: ActiveCall, *, is_late: bool = False) -> None:
        """Add a call; `is_late` if it cannot meet its latency objective."""
        self._sequence += 1
        deadline = active.call.deadline
        if active.call.hops > 0:
            # The forwarding host shortened the time left by up to this margin.
            deadline += FORWARD_MARGIN_S
        entry = (
            active.urgency,
            is_late,
            deadline,
            self._sequence,
            active.call.call_id,
        )
        active.queue_entry = entry
        self._entries.add(entry)

    def remove(self, active: ActiveCall) -> None:
        """Remove a call from any position; do nothing if it is not queued."""
        if active.queue_entry is None:
            return
        self._entries.discard(active.queue_entry)
        active.queue_entry = None

    def peek(self) -> str | None:
        """Return the id of the next call, or None if the queue is empty."""
        return self._entries[0][4] if self._entries else None

    def peek_last(self) -> tuple[int, str] | None:
        """Return urgency and id of the last call, or None if the queue is empty."""
        if not self._entries:
            return None
        urgency, _, _, _, call_id = self._entries[-1]
        return urgency, call_id

    def count_ahead(
        self, urgency: int, deadline: float, *, is_late: bool = False
    ) -> int:
        """Return how many queued calls precede a call of this urgency and deadline."""
        entry = (urgency, is_late, deadline, self._sequence, "")
        return int(self._entries.bisect_right(entry))

    def get_call_ids(self, first: int = 0, last: int | None = None) -> list[str]:
        """Return the ids of the queued calls in order, or of a slice of them."""
        return [entry[4] for entry in self._entries[first:last]]
