"""The queue of a service: by urgency, then deadline, then arrival.

Calls that cannot keep their aim any more come after the others of their urgency, so
that an overload makes some calls late and not all.
"""

from typing import Final

from sortedcontainers import SortedList

from .calls import ActiveCall, QueueEntry

FORWARD_MARGIN_S: Final = 0.05


class CallQueue:
    """Order the waiting calls of one service; the lowest entry goes first."""

    def __init__(self) -> None:
        self._entries: SortedList[QueueEntry] = SortedList()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, active: ActiveCall, *, is_late: bool = False) -> None:
        """Add a call; `is_late` if it cannot keep its aim."""
        self._sequence += 1
        deadline = active.call.deadline
        if active.call.hops > 0:
            # The host that forwarded the call kept this much of its time.
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
        """Take a call out wherever it stands; do nothing if it does not wait."""
        if active.queue_entry is None:
            return
        self._entries.discard(active.queue_entry)
        active.queue_entry = None

    def peek(self) -> str | None:
        """Return the id of the call that goes next, or None."""
        return self._entries[0][4] if self._entries else None

    def peek_last(self) -> tuple[int, str] | None:
        """Return urgency and id of the call that would go last, or None."""
        if not self._entries:
            return None
        urgency, _, _, _, call_id = self._entries[-1]
        return urgency, call_id

    def count_ahead(
        self, urgency: int, deadline: float, *, is_late: bool = False
    ) -> int:
        """Return how many waiting calls go before one of this urgency."""
        entry = (urgency, is_late, deadline, self._sequence, "")
        return int(self._entries.bisect_right(entry))

    def get_call_ids(self, first: int = 0, last: int | None = None) -> list[str]:
        """Return the ids of the waiting calls in order, or a part of them."""
        return [entry[4] for entry in self._entries[first:last]]
