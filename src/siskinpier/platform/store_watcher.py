"""Watches on the store for the configuration and the backend servers."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from math import inf
from typing import Any, Final, TypeAlias

import anyio

from ..core.events import (
    Event,
    IntentsSeen,
    PlatformLost,
    PlatformReached,
    ServersChanged,
    ServersListed,
)
from ..core.messages import RegisteredServer
from ..core.platform_results import Unavailable
from ..core.positions import StorePosition
from ..edge.cancellation import unasked_cancellation_as_error
from ..edge.shell import Shell
from ..edge.supervision import supervise
from ..logs import log_event, log_warning
from .configuration import Configuration, decode_configuration, make_limit_settings
from .documents import Unreadable, decode_server
from .registration import HOSTS_KIND
from .settings import AdapterSettings
from .store import (
    MAX_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    HistoryLost,
    ObjectList,
    StoreClient,
)
from .store_objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ChangeList,
    StoreObject,
)

SERVERS_KIND: Final = "servers"
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
# Time from the start of an era until every live server has written its entry again,
# seconds: three of their heartbeats.
ERA_RELIST_DELAY_S: Final = 5.0
# Faults of one version of the configuration that are logged; the rest are counted.
MAX_LOGGED_FAULTS: Final = 20

WatchLoop: TypeAlias = Callable[[], Coroutine[Any, Any, Unavailable]]


class EventFailedError(Exception):
    """The core did not apply an event; the failure is recorded already."""


@dataclass(slots=True, kw_only=True)
class WatchProgress:
    """The position through which a watch has brought all changes of its kind.

    `behind_since` is the time at which the store was first seen to be further.
    """

    position: StorePosition
    behind_since: float | None = None


class StoreWatcher:
    """Watches the store while the core requests it, and passes events to the core."""

    def __init__(
        self, *, shell: Shell, store: StoreClient, settings: AdapterSettings
    ) -> None:
        self._shell = shell
        self._store = store
        self._settings = settings
        self._unreadable_reasons: dict[str, str] = {}
        self._logged_revision = 0
        # The waiting watches, by kind.
        self._watches: dict[str, WatchProgress] = {}
        self._watch_loops = {
            "watch-configuration": self._watch_configuration,
            "watch-servers": self._watch_servers,
        }
        store.handle_new_era = self._handle_new_era

    async def run(self) -> None:
        """Watch whenever the core requests it, until cancelled."""
        shell = self._shell
        while True:
            shell.watch_changed = anyio.Event()
            if not shell.is_watching:
                await shell.watch_changed.wait()
                continue
            async with anyio.create_task_group() as tasks:
                for name, watch_loop in self._watch_loops.items():
                    tasks.start_soon(self._keep_running, name, watch_loop)
                tasks.start_soon(
                    supervise, "store-check", self._check_store, shell.failures
                )
                await shell.watch_changed.wait()
                tasks.cancel_scope.cancel()

    def _handle_new_era(self, era: int) -> None:
        """Restart the lists and watches: positions of an earlier era are invalid."""
        log_event("store-era", era=era, known=self._shell.state.registry.position.era)
        self._shell.watch_changed.set()

    async def _keep_running(self, name: str, watch_loop: WatchLoop) -> None:
        """Restart a watch loop after each failure, with growing delays in an outage.

        The core is told of every failure, so that another host watches in place of one
        that cannot.
        """
        delay_s = MIN_RETRY_DELAY_S
        shell = self._shell
        while True:
            started_at = shell.clock()
            failure = await self._run_watch_loop(name, watch_loop)
            now = shell.clock()
            shell.handle(PlatformLost(now=now, reason=failure.reason))
            if now - started_at > MAX_RETRY_DELAY_S:
                delay_s = MIN_RETRY_DELAY_S
            await anyio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _run_watch_loop(self, name: str, watch_loop: WatchLoop) -> Unavailable:
        """Run a watch loop until it fails, expectedly or not."""
        try:
            with unasked_cancellation_as_error():
                return await watch_loop()
        except EventFailedError as exc:
            return Unavailable(reason=str(exc))
        except Exception as exc:
            self._shell.failures.record(f"loop/{name}", exc)
            return Unavailable(reason=f"unexpected error in {name}")

    def _handle(self, event: Event) -> None:
        """Pass an event to the core; raise `EventFailedError` if it was not applied.

        What was read must be read again then, as no later change repeats it.
        """
        if not self._shell.handle(event):
            raise EventFailedError(f"{type(event).__name__} was not applied")

    async def _watch_configuration(self) -> Unavailable:
        """Read the configuration and watch it; return the failure that ended this."""
        while True:
            listed_at = self._shell.clock()
            listed = await self._store.list_all(CONFIGURATION_KIND)
            if isinstance(listed, Unavailable):
                return listed
            self._report_reached()
            for item in listed.items:
                self._handle_configuration(item)
            failure = await self._watch(
                CONFIGURATION_KIND, listed.position, self._handle_configuration_changes
            )
            if failure is not None:
                return failure
            await self._sleep_until(listed_at + MIN_LIST_INTERVAL_S)

    async def _watch_servers(self) -> Unavailable:
        """List the servers and watch them; return the failure that ended this.

        In a new era they are listed again after `ERA_RELIST_DELAY_S`, when all live
        servers have written their entries.
        """
        while True:
            listed_at = self._shell.clock()
            known_era = self._shell.state.registry.position.era
            listed = await self._store.list_all(SERVERS_KIND)
            if isinstance(listed, Unavailable):
                return listed
            self._report_reached()
            self._handle_server_list(listed)
            is_new_era = listed.position.era > known_era
            failure = await self._watch(
                SERVERS_KIND,
                listed.position,
                self._handle_server_changes,
                for_s=ERA_RELIST_DELAY_S if is_new_era else inf,
            )
            if failure is not None:
                return failure
            await self._sleep_until(listed_at + MIN_LIST_INTERVAL_S)

    async def _watch(
        self,
        kind: str,
        since: StorePosition,
        handle_changes: Callable[[ChangeList], None],
        *,
        for_s: float = inf,
    ) -> Unavailable | None:
        """Watch from a position on, for `for_s` seconds at most, or until a failure.

        Return the failure; None if the history after the position is gone or the time
        is over, so that the caller lists the objects again.
        """
        progress = WatchProgress(position=since)
        self._watches[kind] = progress
        try:
            return await self._follow(kind, progress, handle_changes, for_s)
        finally:
            del self._watches[kind]

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
            self._report_reached()
            progress.position = max(progress.position, result.position)
            progress.behind_since = None
            if result.changes:
                handle_changes(result)
                await anyio.sleep(CHANGE_BATCHING_S)
            else:
                await self._sleep_until(watched_at + CHANGE_BATCHING_S)
        return None

    async def _check_store(self) -> None:
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
            for kind, progress in list(self._watches.items()):
                if self._is_behind(progress, position):
                    await self._read_missed_changes(kind, progress)

    def _is_behind(self, progress: WatchProgress, position: StorePosition) -> bool:
        """Return True if a watch has been behind the store for `MAX_WATCH_LAG_S`."""
        if position <= progress.position:
            progress.behind_since = None
            return False
        now = self._shell.clock()
        if progress.behind_since is None:
            progress.behind_since = now
        return now - progress.behind_since >= MAX_WATCH_LAG_S

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

    async def _sleep_until(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - self._shell.clock()))

    def _report_reached(self) -> None:
        """Report to the core that the store answers."""
        shell = self._shell
        self._handle(PlatformReached(now=shell.clock()))

    def _handle_configuration_changes(self, result: ChangeList) -> None:
        for change in result.changes:
            if not change.is_deleted:
                self._handle_configuration(change.item)

    def _handle_configuration(self, item: StoreObject) -> None:
        if item.name != CONFIGURATION_NAME:
            return
        name = f"config/{item.name}"
        decoded = decode_configuration(item.spec, self._settings)
        if isinstance(decoded, Unreadable):
            self._log_unreadable(name, decoded)
            return
        self._log_faults(decoded)
        shell = self._shell
        limits = make_limit_settings(shell.settings.limits, decoded.limits)
        if limits != shell.settings.limits:
            shell.settings = replace(shell.settings, limits=limits)
            log_event("limits", idle_s=limits.keep_alive_s, body=limits.body_bytes)
        seen = IntentsSeen(
            now=shell.clock(), version=str(item.revision), intents=decoded.intents
        )
        self._handle(seen)

    def _handle_server_list(self, listed: ObjectList) -> None:
        shell = self._shell
        self._forget_missing_entries(listed)
        servers = [self._decode_server(item) for item in listed.items]
        self._handle(
            ServersListed(
                now=shell.clock(),
                position=listed.position,
                servers=tuple(s for s in servers if s is not None),
            )
        )

    def _handle_server_changes(self, result: ChangeList) -> None:
        shell = self._shell
        latest = {change.item.name: change for change in result.changes}
        servers: list[RegisteredServer] = []
        gone: list[str] = []
        for name, change in latest.items():
            server = None if change.is_deleted else self._decode_server(change.item)
            if server is not None:
                servers.append(server)
            else:
                gone.append(name)
            if change.is_deleted:
                self._unreadable_reasons.pop(f"server/{name}", None)
        self._handle(
            ServersChanged(
                now=shell.clock(),
                position=result.position,
                servers=tuple(servers),
                gone=tuple(gone),
            )
        )

    def _decode_server(self, item: StoreObject) -> RegisteredServer | None:
        """Return the server of an entry, or None if the entry cannot be used.

        After an unexpected error, the entry known before stays in use: this says
        nothing about the server.
        """
        name = f"server/{item.name}"
        try:
            decoded = decode_server(item.name, item.spec, item.status)
        except Exception as exc:
            self._shell.failures.record("decode/server", exc)
            return self._shell.state.registry.servers.get(item.name)
        if isinstance(decoded, Unreadable):
            self._log_unreadable(name, decoded)
            return None
        return decoded

    def _log_faults(self, decoded: Configuration) -> None:
        """Log the faults of a configuration, once for each revision."""
        revision = decoded.intents.revision
        if revision <= self._logged_revision:
            return
        self._logged_revision = revision
        for fault in decoded.faults[:MAX_LOGGED_FAULTS]:
            log_warning(
                "configuration-fault",
                revision=revision,
                path=fault.path,
                reason=fault.reason,
                effect=fault.effect,
            )
        left_out = len(decoded.faults) - MAX_LOGGED_FAULTS
        if left_out > 0:
            log_warning("configuration-faults", revision=revision, left_out=left_out)

    def _forget_missing_entries(self, listed: ObjectList) -> None:
        """Forget why entries of servers were skipped that are not listed any more."""
        kept = {f"server/{item.name}" for item in listed.items}
        kept.add(f"config/{CONFIGURATION_NAME}")
        for name in self._unreadable_reasons.keys() - kept:
            del self._unreadable_reasons[name]

    def _log_unreadable(self, name: str, decoded: Unreadable) -> None:
        """Log a skipped entry, once for each reason."""
        if self._unreadable_reasons.get(name) != decoded.reason:
            self._unreadable_reasons[name] = decoded.reason
            log_warning("entry-unreadable", name=name, reason=decoded.reason)
