"""Watches on the store for the configuration and the backend servers."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from math import inf
from typing import Any, Final

import anyio

from ..core.events import (
    IntentsSeen,
    PlatformLost,
    PlatformReached,
    ServersChanged,
    ServersListed,
)
from ..core.messages import RegisteredServer
from ..core.platform_results import Unavailable
from ..core.positions import StorePosition
from ..edge.shell import Shell
from ..logs import log_event, log_warning
from .configuration import Configuration, decode_configuration, make_limit_settings
from .documents import Unreadable, decode_server
from .registration import HOSTS_KIND
from .settings import AdapterSettings
from .store import (
    MAX_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    ChangeList,
    HistoryLost,
    ObjectList,
    StoreClient,
    StoreObject,
)

CONFIGURATION_KIND: Final = "config"
CONFIGURATION_NAME: Final = "main"
SERVERS_KIND: Final = "servers"
# How long a watch waits for a change, seconds; the store allows 30. If the connection
# breaks silently in that time, the operating system closes it: `make_outgoing_socket`
# sets the socket options for that.
WATCH_TIMEOUT_S: Final = 25.0
# Changes that arrive within this time are handled together, seconds.
CHANGE_BATCHING_S: Final = 0.4
# How often a watching host checks that the store still answers it, and how long it
# waits for the answer, seconds.
CHECK_INTERVAL_S: Final = 0.5
CHECK_TIMEOUT_S: Final = 0.45
# Time from the start of an era until every live server has written its entry again,
# seconds: three of their heartbeats.
ERA_RELIST_DELAY_S: Final = 5.0
# Faults of one version of the configuration that are logged; the rest are counted.
MAX_LOGGED_FAULTS: Final = 20


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
                tasks.start_soon(self._keep_running, self._watch_configuration)
                tasks.start_soon(self._keep_running, self._watch_servers)
                tasks.start_soon(self._check_store)
                await shell.watch_changed.wait()
                tasks.cancel_scope.cancel()

    def _handle_new_era(self, era: int) -> None:
        """Restart the lists and watches: positions of an earlier era are invalid."""
        log_event("store-era", era=era, known=self._shell.state.registry.position.era)
        self._shell.watch_changed.set()

    async def _keep_running(
        self, watch_loop: Callable[[], Coroutine[Any, Any, Unavailable]]
    ) -> None:
        """Restart a watch loop after each failure, with growing delays in an outage."""
        delay_s = MIN_RETRY_DELAY_S
        shell = self._shell
        while True:
            started_at = shell.clock()
            failure = await watch_loop()
            now = shell.clock()
            shell.handle(PlatformLost(now=now, reason=failure.reason))
            if now - started_at > MAX_RETRY_DELAY_S:
                delay_s = MIN_RETRY_DELAY_S
            await anyio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _watch_configuration(self) -> Unavailable:
        """Read the configuration and watch it; return the failure that ended this."""
        while True:
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

    async def _watch_servers(self) -> Unavailable:
        """List the servers and watch them; return the failure that ended this.

        In a new era they are listed again after `ERA_RELIST_DELAY_S`, when all live
        servers have written their entries.
        """
        while True:
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
        until = self._shell.clock() + for_s
        while (left_s := until - self._shell.clock()) > 0.0:
            result = await self._store.watch(
                kind, since=since, wait_s=min(WATCH_TIMEOUT_S, left_s)
            )
            if isinstance(result, HistoryLost):
                log_event("history-lost", kind=kind, revision=since.revision)
                return None
            if isinstance(result, Unavailable):
                return result
            self._report_reached()
            since = max(since, result.position)
            if result.changes:
                handle_changes(result)
                await anyio.sleep(CHANGE_BATCHING_S)
        return None

    async def _check_store(self) -> None:
        """Detect a store that does not answer this host.

        A waiting watch cannot tell a store that does not answer from one without
        changes.
        """
        shell = self._shell
        while True:
            await anyio.sleep(CHECK_INTERVAL_S * random.uniform(0.8, 1.2))
            if shell.state.relay.lost_at is not None:
                continue  # The watches are being restarted.
            failure = await self._store.check_reachable(
                HOSTS_KIND, self._settings.name, timeout_s=CHECK_TIMEOUT_S
            )
            if failure is not None:
                shell.handle(PlatformLost(now=shell.clock(), reason=failure.reason))
                shell.watch_changed.set()

    def _report_reached(self) -> None:
        """Report to the core that the store answers."""
        shell = self._shell
        shell.handle(PlatformReached(now=shell.clock()))

    def _handle_configuration_changes(self, result: ChangeList) -> None:
        for change in result.changes:
            if not change.is_deleted:
                self._handle_configuration(change.item)

    def _handle_configuration(self, item: StoreObject) -> None:
        if item.name != CONFIGURATION_NAME:
            return
        decoded = decode_configuration(item.spec, self._settings)
        if isinstance(decoded, Unreadable):
            self._log_unreadable(f"config/{item.name}", decoded)
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
        shell.handle(seen)

    def _handle_server_list(self, listed: ObjectList) -> None:
        shell = self._shell
        self._forget_missing_entries(listed)
        servers = [self._decode_server(item) for item in listed.items]
        shell.handle(
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
        shell.handle(
            ServersChanged(
                now=shell.clock(),
                position=result.position,
                servers=tuple(servers),
                gone=tuple(gone),
            )
        )

    def _decode_server(self, item: StoreObject) -> RegisteredServer | None:
        decoded = decode_server(item.name, item.spec, item.status)
        if isinstance(decoded, Unreadable):
            self._log_unreadable(f"server/{item.name}", decoded)
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
