"""Start-time fair queueing: the order of waiting calls that share a capacity.

Each call of a flow gets a start tag: where the flow's earlier calls end, in units of
expected run time, but no less than the tag of the call that was sent last (Goyal, Vin
and Cheng, "Start-time Fair Queueing", 1996). The lowest tag is sent first. A tag
belongs to the flow, not to the call: the first tag of a flow is for the first of its
calls in the order within the flow.

Each operation takes time logarithmic in the number of waiting calls, plus the number of
flows that end. Flows without waiting calls are dropped as soon as their calls no longer
count, or with the last waiting call of all flows.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from math import inf
from typing import Final, Protocol, TypeAlias

from sortedcontainers import SortedList

from .calls import QueueEntry

# Run time of a call for which none is known, in seconds: all such calls count the same.
UNKNOWN_RUN_S: Final = 0.001

# Start tag, deadline, sequence, and name of a flow.
Tag: TypeAlias = tuple[float, float, int, str]


class Order(Protocol):
    """Waiting calls in the order in which they are sent."""

    def add(self, entry: QueueEntry) -> None:
        """Add a call."""

    def remove(self, entry: QueueEntry, *, is_sent: bool) -> None:
        """Remove a call; one that is not sent leaves its tag to later calls."""

    def correct(self, entry: QueueEntry, extra_s: float) -> None:
        """Count a call that was sent as longer than expected, in seconds."""

    def count_ahead(self, entry: QueueEntry) -> int:
        """Return how many calls precede a call that was not added."""

    def get_last(self) -> str:
        """Return the id of the last call."""

    def __iter__(self) -> Iterator[str]:
        """Yield the ids of the calls."""

    def __len__(self) -> int:
        """Return the number of calls."""


class DeadlineOrder:
    """Calls by lateness, deadline, then arrival."""

    def __init__(self) -> None:
        self._entries: SortedList[tuple[bool, float, int, str]] = SortedList()

    def add(self, entry: QueueEntry) -> None:
        """Add a call."""
        self._entries.add(_make_key(entry, entry.call_id))

    def remove(self, entry: QueueEntry, *, is_sent: bool) -> None:
        """Remove a call."""
        self._entries.remove(_make_key(entry, entry.call_id))

    def correct(self, entry: QueueEntry, extra_s: float) -> None:
        """Do nothing: calls of one flow do not compete."""

    def count_ahead(self, entry: QueueEntry) -> int:
        """Return how many calls precede a call that was not added."""
        return int(self._entries.bisect_right(_make_key(entry, "")))

    def get_last(self) -> str:
        """Return the id of the last call."""
        return str(self._entries[-1][3])

    def __iter__(self) -> Iterator[str]:
        """Yield the ids of the calls."""
        return (entry[3] for entry in self._entries)

    def __len__(self) -> int:
        """Return the number of calls."""
        return len(self._entries)


def _make_key(entry: QueueEntry, call_id: str) -> tuple[bool, float, int, str]:
    return entry.is_late, entry.deadline, entry.sequence, call_id


@dataclass(slots=True, kw_only=True)
class Flow:
    """The calls of one flow, and the tags of those that wait.

    The next call starts at `finish`, unless the flow was idle meanwhile.
    """

    calls: Order
    finish: float = 0.0
    tags: deque[Tag] = field(default_factory=deque)


class FairOrder:
    """Calls of several flows, by the start tags of their flows.

    `get_flow` names the flow of a call, and `make_calls` returns the order within one.
    """

    def __init__(
        self,
        get_flow: Callable[[QueueEntry], str],
        make_calls: Callable[[str], Order],
    ) -> None:
        self._get_flow = get_flow
        self._make_calls = make_calls
        self._flows: dict[str, Flow] = {}
        self._tags: SortedList[Tag] = SortedList()
        # Finish and name of flows that have no waiting call but still count.
        self._ended: SortedList[tuple[float, str]] = SortedList()
        # Start tag of the call that was sent last.
        self._virtual_time = 0.0

    def adopt(self, name: str, calls: Order, run_s: float) -> None:
        """Make calls that wait already a flow, each of expected run time `run_s`."""
        flow = self._flows[name] = Flow(calls=calls)
        for number in range(len(calls)):
            # Lower sequences than those of calls that are added later.
            tag = (flow.finish, 0.0, number - len(calls), name)
            flow.finish += run_s or UNKNOWN_RUN_S
            flow.tags.append(tag)
        self._tags.update(flow.tags)

    def add(self, entry: QueueEntry) -> None:
        """Add a call."""
        name = self._get_flow(entry)
        flow = self._flows.get(name)
        if flow is None:
            flow = self._flows[name] = Flow(calls=self._make_calls(name))
        start = max(self._virtual_time, flow.finish)
        tag = (start, entry.deadline, entry.sequence, name)
        flow.finish = start + (entry.run_s or UNKNOWN_RUN_S)
        flow.tags.append(tag)
        self._tags.add(tag)
        flow.calls.add(entry)

    def remove(self, entry: QueueEntry, *, is_sent: bool) -> None:
        """Remove a call; one that is not sent leaves its tag to later calls."""
        name = self._get_flow(entry)
        flow = self._flows[name]
        flow.calls.remove(entry, is_sent=is_sent)
        if is_sent:
            self._virtual_time = max(self._virtual_time, self._tags[0][0])
            tag = flow.tags.popleft()
        else:
            tag = flow.tags.pop()
            last = flow.tags[-1][0] if flow.tags else 0.0
            flow.finish = max(last, flow.finish - (entry.run_s or UNKNOWN_RUN_S))
        self._tags.remove(tag)
        if not flow.tags:
            self._ended.add((flow.finish, name))
        self._drop_ended()

    def correct(self, entry: QueueEntry, extra_s: float) -> None:
        """Count a call that was sent as longer than expected, in seconds."""
        flow = self._flows.get(self._get_flow(entry))
        if flow is None:
            return
        last = flow.tags[-1][0] if flow.tags else 0.0
        flow.finish = max(last, flow.finish + extra_s)
        flow.calls.correct(entry, extra_s)

    def count_ahead(self, entry: QueueEntry) -> int:
        """Return how many calls precede a call that was not added."""
        flow = self._flows.get(self._get_flow(entry))
        number = flow.calls.count_ahead(entry) if flow is not None else 0
        if flow is not None and number < len(flow.tags):
            return int(self._tags.index(flow.tags[number]))
        start = max(self._virtual_time, flow.finish if flow is not None else 0.0)
        return int(self._tags.bisect_right((start, entry.deadline, inf, "")))

    def get_last(self) -> str:
        """Return the id of the last call."""
        return self._flows[self._tags[-1][3]].calls.get_last()

    def get_lead(self) -> float:
        """Return how far the last tag lies ahead of the call that was sent last."""
        return float(self._tags[-1][0]) - self._virtual_time

    def find_above_share(self, entry: QueueEntry, lead: float) -> str | None:
        """Return the id of the last call if its flow is above its share, else None.

        A flow is if its last call starts when the flow of a call that was not added
        has run that call too; `lead` is how far that flow is ahead now.
        """
        name = self._tags[-1][3]
        if name == self._get_flow(entry):
            calls = self._flows[name].calls
            if not isinstance(calls, FairOrder):
                return None
            return calls.find_above_share(entry, calls.get_flow_lead(entry))
        run_s = entry.run_s or UNKNOWN_RUN_S
        return self.get_last() if self.get_lead() >= lead + run_s else None

    def get_flow_lead(self, entry: QueueEntry) -> float:
        """Return how far the flow of a call that was not added is ahead."""
        flow = self._flows.get(self._get_flow(entry))
        finish = flow.finish if flow is not None else 0.0
        return max(0.0, finish - self._virtual_time)

    def __iter__(self) -> Iterator[str]:
        """Yield the ids of the calls."""
        calls: dict[str, Iterator[str]] = {}
        for _, _, _, name in self._tags:
            if name not in calls:
                calls[name] = iter(self._flows[name].calls)
            yield from islice(calls[name], 1)

    def __len__(self) -> int:
        """Return the number of calls."""
        return len(self._tags)

    def count_flows(self) -> int:
        """Return the number of flows whose state is kept."""
        return len(self._flows)

    def _drop_ended(self) -> None:
        """Drop the flows whose earlier calls no longer count."""
        while self._ended and self._ended[0][0] <= self._virtual_time:
            _, name = self._ended.pop(0)
            flow = self._flows.get(name)
            if flow is None or flow.tags:
                continue
            if flow.finish > self._virtual_time:
                self._ended.add((flow.finish, name))
            else:
                del self._flows[name]
