"""Waiting watches on the store, one for each kind of object, and checks on them."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Final

import anyio

from ..core.events import Event, PlatformLost, PlatformReached
from ..core.platform_results import Unavailable
from ..core.positions import StorePosition
from ..edge.shell import Shell
from ..logs import log_event, log_warning
from .registration import HOSTS_KIND
from .store import HistoryLost, StoreClient
from .store_objects import ChangeList

# How long a watch waits for a change, seconds; the store allows 30. If the connection
# breaks silently in that time, the operating system closes it: `make_outgoing_socket`
# sets the socket options for that.
WATCH_TIMEOUT_S: Final = 25.0
# Changes that arrive within this time are handled together, and a watch without changes
# is not repeated before it has passed, seconds.
CHANGE_BATCHING_S: Final = 0.4
# Shortest interval between two lists of a kind while the history after each is gone,
# seconds.
MIN_LIST_INTERVAL_S: Final = 1.0
# How often a watching host checks that the store still answers it, and how long it
# waits for the answer, seconds.
CHECK_INTERVAL_S: Final = 0.5
CHECK_TIMEOUT_S: Final = 0.45
# How long a watch may be behind the store before its changes are read, seconds: longer
# than its answer takes, and changes of other kinds count too.
MAX_WATCH_LAG_S: Final = 0.8
# While the checks show a state of the store that is older than what is known, they say
# nothing of a watch: its changes are read if it was not answered for so long, seconds.
MAX_UNANSWERED_S: Final = 4.0


class EventFailedError(Exception):
    """The core did not apply an event; the failure is recorded already."""


@dataclass(slots=True, kw_only=True)
class WatchProgress:
    """The position through which a watch has brought all changes of its kind.

    `behind_since` is the time at which the store was first seen to be further, and
    `max_lag_s` how long that may last. `answered_at` is when the store last answered a
    consistent read of the kind.
    """

    position: StorePosition
    max_lag_s: float
    answered_at: float
    behind_since: float | None = None


class Watches:
    """The waiting watches of a host, by kind."""

    def __init__(self, *, shell: Shell, store: StoreClient) -> None:
        self._shell = shell
        self._store = store
        self._progress: dict[str, WatchProgress] = {}

    async def watch(
        self,
        kind: str,
        since: StorePosition,
        handle_changes: Callable[[ChangeList], None],
        *,
        for_s: float = inf,
        max_lag_s: float = MAX_WATCH_LAG_S,
    ) -> Unavailable | None:
        """Watch from a position on, for `for_s` seconds at most, or until a failure.

        Return the failure; None if the history after the position is gone or the time
        is over, so that the caller lists the objects again.
        """
        progress = WatchProgress(
            position=since, max_lag_s=max_lag_s, answered_at=self._shell.clock()
        )
        self._progress[kind] = progress
        try:
            return await self._follow(kind, progress, handle_changes, for_s)
        finally:
            del self._progress[kind]

    def handle(self, event: Event) -> None:
        """Pass an event to the core; raise `EventFailedError` if it was not applied.

        What was read must be read again then, as no later change repeats it.
        """
        if not self._shell.handle(event):
            raise EventFailedError(f"{type(event).__name__} was not applied")

    def report_reached(self) -> None:
        """Report to the core that the store answers."""
        self.handle(PlatformReached(now=self._shell.clock()))

    async def wait_to_list_again(self, listed_at: float) -> None:
        """Wait until a kind that was listed at a time may be listed again."""
        await self._sleep_until(listed_at + MIN_LIST_INTERVAL_S)

    async def check_store(self) -> None:
        """Detect a store that does not answer this host, and missed changes.

        A waiting watch cannot tell either from a store without changes.
        """
        shell = self._shell
        while True:
            await anyio.sleep(CHECK_INTERVAL_S * random.uniform(0.8, 1.2))
            if shell.state.relay.lost_at is not None:
                continue  # The watches are being restarted.
            position = await self._store.read_position(
                HOSTS_KIND, timeout_s=CHECK_TIMEOUT_S
            )
            if isinstance(position, Unavailable):
                shell.handle(PlatformLost(now=shell.clock(), reason=position.reason))
                shell.watch_changed.set()
                continue
            newest = max(
                (progress.position for progress in self._progress.values()),
                default=position,
            )
            for kind, progress in list(self._progress.items()):
                is_unanswered = position < newest and self._is_unanswered(progress)
                if self._is_behind(progress, position) or is_unanswered:
                    await self._read_missed_changes(kind, progress)

    async def _follow(
        self,
        kind: str,
        progress: WatchProgress,
        handle_changes: Callable[[ChangeList], None],
        for_s: float,
    ) -> Unavailable | None:
        until = self._shell.clock() + for_s
        while (left_s := until - self._shell.clock()) > 0.0:
            since = progress.position
            watched_at = self._shell.clock()
            result = await self._store.watch(
                kind, since=since, wait_s=min(WATCH_TIMEOUT_S, left_s)
            )
            if isinstance(result, HistoryLost):
                log_event("history-lost", kind=kind, revision=since.revision)
                return None
            if isinstance(result, Unavailable):
                return result
            self.report_reached()
            progress.position = max(progress.position, result.position)
            progress.behind_since = None
            progress.answered_at = self._shell.clock()
            if result.changes:
                handle_changes(result)
                await anyio.sleep(CHANGE_BATCHING_S)
            else:
                await self._sleep_until(watched_at + CHANGE_BATCHING_S)
        return None

    def _is_behind(self, progress: WatchProgress, position: StorePosition) -> bool:
        """Return True if a watch has been behind the store for its longest lag."""
        if position <= progress.position:
            progress.behind_since = None
            return False
        now = self._shell.clock()
        if progress.behind_since is None:
            progress.behind_since = now
        return now - progress.behind_since >= progress.max_lag_s

    def _is_unanswered(self, progress: WatchProgress) -> bool:
        return self._shell.clock() - progress.answered_at >= MAX_UNANSWERED_S

    async def _read_missed_changes(self, kind: str, progress: WatchProgress) -> None:
        """Restart the watches if the answer to one was lost.

        Mostly the store is further because of objects of other kinds.
        """
        since = progress.position
        with anyio.move_on_after(CHECK_TIMEOUT_S):
            result = await self._store.watch(kind, since=since, wait_s=0.0)
            if progress.position != since or isinstance(result, Unavailable):
                return
            if isinstance(result, HistoryLost) or result.changes:
                log_warning("watch-answer-lost", kind=kind, revision=since.revision)
                self._shell.watch_changed.set()
                return
            progress.position = max(since, result.position)
            progress.behind_since = None
            progress.answered_at = self._shell.clock()

    async def _sleep_until(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - self._shell.clock()))
