"""The call queue of a service: by urgency, fair share, lateness, then deadline.

Calls of equal urgency share the servers fairly, by run time, first among workspaces,
then among the routes of a workspace (`fair_order`). Calls without a workspace count as
one workspace. Within these, calls that can no longer meet their latency objective come
after the others, so that an overload makes only some of the calls late.
"""

from itertools import islice
from typing import Final

from .calls import ActiveCall, QueueEntry
from .fair_order import DeadlineOrder, FairOrder, Order

# Longest time that a host keeps back from the deadline of a forwarded call, so that a
# refusal can return in time, in seconds.
FORWARD_MARGIN_S: Final = 0.05


class CallQueue:
    """The waiting calls of one service in order."""

    def __init__(self) -> None:
        # By urgency; fair orders where workspaces have calls.
        self._orders: dict[int, Order] = {}
        self._length = 0
        self._sequence = 0

    def __len__(self) -> int:
        return self._length

    def push(
        self, active: ActiveCall, *, is_late: bool = False, run_s: float = 0.0
    ) -> None:
        """Add a call of expected run time `run_s`, in seconds; 0 if it is unknown.

        `is_late` if it cannot meet its latency objective.
        """
        self._sequence += 1
        deadline = active.call.deadline
        if active.call.hops > 0:
            # The forwarding host shortened the time left by up to this margin.
            deadline += FORWARD_MARGIN_S
        entry = self._make_entry(active, deadline, is_late, run_s)
        active.queue_entry = entry
        self._get_order(entry).add(entry)
        self._length += 1

    def remove(self, active: ActiveCall) -> None:
        """Remove a call from any position; do nothing if it is not queued."""
        self._remove(active, is_sent=False)

    def take(self, active: ActiveCall) -> None:
        """Remove a call that gets a slot, and count its expected run."""
        active.sent_entry = active.queue_entry
        self._remove(active, is_sent=True)

    def correct_run(self, active: ActiveCall, run_s: float) -> None:
        """Count the run that was seen in place of the expected one, once."""
        entry, active.sent_entry = active.sent_entry, None
        if entry is None or entry.run_s <= 0.0:
            return
        order = self._orders.get(entry.urgency)
        if order is not None:
            order.correct(entry, run_s - entry.run_s)

    def peek(self) -> str | None:
        """Return the id of the next call, or None if the queue is empty."""
        if not self._orders:
            return None
        return next(iter(self._orders[min(self._orders)]))

    def peek_last(self) -> str | None:
        """Return the id of the last call, or None if the queue is empty."""
        if not self._orders:
            return None
        return self._orders[max(self._orders)].get_last()

    def find_above_share(self, active: ActiveCall, run_s: float) -> str | None:
        """Return the last waiting call of a flow that is above its share, or None.

        A flow is a workspace, or a route of the workspace of `active`. It is compared
        to that of `active`, which has the same urgency and is not queued.
        """
        entry = self._make_entry(active, active.call.deadline, False, run_s)
        order = self._orders.get(active.urgency)
        if not isinstance(order, FairOrder):
            return None
        return order.find_above_share(entry, order.get_flow_lead(entry))

    def count_ahead(self, active: ActiveCall, *, is_late: bool = False) -> int:
        """Return how many queued calls precede a call that is not queued."""
        entry = self._make_entry(active, active.call.deadline, is_late, 0.0)
        own = entry.urgency
        ahead = sum(len(order) for key, order in self._orders.items() if key < own)
        order = self._orders.get(own)
        return ahead + (order.count_ahead(entry) if order is not None else 0)

    def get_call_ids(self, first: int = 0, last: int | None = None) -> list[str]:
        """Return the ids of the queued calls in order, or of a slice of them."""
        calls = (call for key in sorted(self._orders) for call in self._orders[key])
        return list(islice(calls, first, last))

    def count_flows(self) -> int:
        """Return the number of workspaces whose state is kept."""
        orders = self._orders.values()
        return sum(o.count_flows() for o in orders if isinstance(o, FairOrder))

    def _get_order(self, entry: QueueEntry) -> Order:
        """Return the order that a call is added to, a fair one for a workspace."""
        key = entry.urgency
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = DeadlineOrder()
        if entry.workspace and not isinstance(order, FairOrder):
            fair = FairOrder(_get_workspace, _make_calls)
            if len(order) > 0:
                fair.adopt("", order, entry.run_s)
            order = self._orders[key] = fair
        return order

    def _remove(self, active: ActiveCall, *, is_sent: bool) -> None:
        entry = active.queue_entry
        if entry is None:
            return
        active.queue_entry = None
        key = entry.urgency
        order = self._orders[key]
        order.remove(entry, is_sent=is_sent)
        self._length -= 1
        if len(order) == 0:
            del self._orders[key]

    def _make_entry(
        self, active: ActiveCall, deadline: float, is_late: bool, run_s: float
    ) -> QueueEntry:
        return QueueEntry(
            urgency=active.urgency,
            is_late=is_late,
            workspace=active.workspace,
            route=active.route_name,
            deadline=deadline,
            sequence=self._sequence,
            call_id=active.call.call_id,
            run_s=run_s,
        )


def _get_workspace(entry: QueueEntry) -> str:
    return entry.workspace


def _get_route(entry: QueueEntry) -> str:
    return entry.route


def _make_calls(workspace: str) -> Order:
    """Return the order of a workspace's calls: fair among its routes."""
    if not workspace:
        return DeadlineOrder()
    return FairOrder(_get_route, lambda _: DeadlineOrder())
