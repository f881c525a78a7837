"""The watch on the store's requests to evacuate failure domains.

Each object of the kind is named like the domain; its content says nothing. Nothing is
written to it.
"""

from typing import Final

import anyio

from ..core.events import EvacuationsSeen
from ..core.platform_results import Unavailable
from ..core.positions import StorePosition
from ..edge.shell import Shell
from .store import StoreClient
from .store_objects import MAX_NAME_CHARS, ChangeList
from .watches import Watches

EVACUATIONS_KIND: Final = "evacuations"
# How long this watch may be behind the store before its changes are read, seconds.
# Other kinds change every second, so that costs a call each time; a lost answer is
# still found within the 5 s in which an evacuation must be in force.
MAX_LAG_S: Final = 1.5
# How long the first list of servers waits for that of the evacuations, seconds.
FIRST_LIST_WAIT_S: Final = 1.0


class EvacuationsWatch:
    """Lists and watches the evacuations, and passes the set to the core."""

    def __init__(self, *, shell: Shell, store: StoreClient, watches: Watches) -> None:
        self._shell = shell
        self._store = store
        self._watches = watches
        self._domains: set[str] = set()
        self._listed = anyio.Event()

    async def wait_for_list(self) -> None:
        """Wait for the first list, a short time at most.

        Servers that are used before it is known would get calls in spite of it.
        """
        with anyio.move_on_after(FIRST_LIST_WAIT_S):
            await self._listed.wait()

    async def run(self) -> Unavailable:
        """List the evacuations and watch them; return the failure that ended this."""
        while True:
            listed_at = self._shell.clock()
            listed = await self._store.list_all(EVACUATIONS_KIND)
            if isinstance(listed, Unavailable):
                return listed
            self._watches.report_reached()
            self._domains = {
                item.name for item in listed.items if _is_usable(item.name)
            }
            self._pass_on(listed.position)
            self._listed.set()
            failure = await self._watches.watch(
                EVACUATIONS_KIND,
                listed.position,
                self._handle_changes,
                max_lag_s=MAX_LAG_S,
            )
            if failure is not None:
                return failure
            await self._watches.wait_to_list_again(listed_at)

    def _handle_changes(self, result: ChangeList) -> None:
        for change in result.changes:
            if change.is_deleted:
                self._domains.discard(change.item.name)
            elif _is_usable(change.item.name):
                self._domains.add(change.item.name)
        self._pass_on(result.position)

    def _pass_on(self, position: StorePosition) -> None:
        event = EvacuationsSeen(
            now=self._shell.clock(),
            position=position,
            domains=tuple(sorted(self._domains)),
        )
        self._watches.handle(event)


def _is_usable(name: str) -> bool:
    """Return True for a name that a failure domain can have."""
    return 0 < len(name) <= MAX_NAME_CHARS
