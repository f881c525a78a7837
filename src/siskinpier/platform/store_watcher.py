"""Watches on the store for the configuration and the backend servers."""

import random
from collections.abc import Callable, Coroutine
from math import inf
from typing import Any, Final, TypeAlias

import anyio

from ..core.events import (
    IntentsSeen,
    PlatformLost,
    ServersChanged,
    ServersListed,
)
from ..core.messages import RegisteredServer
from ..core.platform_results import Unavailable
from ..edge.cancellation import unasked_cancellation_as_error
from ..edge.shell import Shell
from ..edge.supervision import supervise
from ..logs import log_event, log_warning
from .configuration import Configuration, decode_configuration
from .documents import Unreadable, decode_server
from .evacuations_watch import EvacuationsWatch
from .settings import AdapterSettings
from .store import (
    MAX_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    ObjectList,
    StoreClient,
)
from .store_objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ChangeList,
    StoreObject,
)
from .watches import EventFailedError, Watches

SERVERS_KIND: Final = "servers"
# Time from the start of an era until every live server has written its entry again,
# seconds: three of their heartbeats.
ERA_RELIST_DELAY_S: Final = 5.0
# Faults of one version of the configuration that are logged; the rest are counted.
MAX_LOGGED_FAULTS: Final = 20

WatchLoop: TypeAlias = Callable[[], Coroutine[Any, Any, Unavailable]]


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
        self._watches = Watches(shell=shell, store=store)
        self._watch_loops: dict[str, WatchLoop] = {
            "watch-configuration": self._watch_configuration,
            "watch-servers": self._watch_servers,
        }
        self._evacuations: EvacuationsWatch | None = None
        if settings.evacuate_s > 0.0:
            self._evacuations = EvacuationsWatch(
                shell=shell, store=store, watches=self._watches
            )
            self._watch_loops["watch-evacuations"] = self._evacuations.run
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
                    supervise,
                    "store-check",
                    self._watches.check_store,
                    shell.failures,
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

    async def _watch_configuration(self) -> Unavailable:
        """Read the configuration and watch it; return the failure that ended this."""
        while True:
            listed_at = self._shell.clock()
            listed = await self._store.list_all(CONFIGURATION_KIND)
            if isinstance(listed, Unavailable):
                return listed
            self._watches.report_reached()
            for item in listed.items:
                self._handle_configuration(item)
            failure = await self._watches.watch(
                CONFIGURATION_KIND, listed.position, self._handle_configuration_changes
            )
            if failure is not None:
                return failure
            await self._watches.wait_to_list_again(listed_at)

    async def _watch_servers(self) -> Unavailable:
        """List the servers and watch them; return the failure that ended this.

        In a new era they are listed again after `ERA_RELIST_DELAY_S`, when all live
        servers have written their entries.
        """
        is_first = self._shell.state.registry.position.revision == 0
        if self._evacuations is not None and is_first:
            await self._evacuations.wait_for_list()
        while True:
            listed_at = self._shell.clock()
            known_era = self._shell.state.registry.position.era
            listed = await self._store.list_all(SERVERS_KIND)
            if isinstance(listed, Unavailable):
                return listed
            self._watches.report_reached()
            self._handle_server_list(listed)
            is_new_era = listed.position.era > known_era
            failure = await self._watches.watch(
                SERVERS_KIND,
                listed.position,
                self._handle_server_changes,
                for_s=ERA_RELIST_DELAY_S if is_new_era else inf,
            )
            if failure is not None:
                return failure
            await self._watches.wait_to_list_again(listed_at)

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
        seen = IntentsSeen(
            now=shell.clock(), version=str(item.revision), intents=decoded.intents
        )
        self._watches.handle(seen)

    def _handle_server_list(self, listed: ObjectList) -> None:
        shell = self._shell
        self._forget_missing_entries(listed)
        servers = [self._decode_server(item) for item in listed.items]
        self._watches.handle(
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
        self._watches.handle(
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
