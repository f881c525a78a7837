"""Watching the store for the configuration and the backend servers."""

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
from .configuration import Configuration, apply_limits, decode_configuration
from .documents import Unreadable, decode_server
from .registration import HOSTS_KIND
from .settings import AdapterSettings
from .store import (
    RETRY_LONGEST_S,
    RETRY_S,
    ChangeList,
    HistoryLost,
    ObjectList,
    Store,
    StoreObject,
)

CONFIGURATION_KIND: Final = "config"
CONFIGURATION_NAME: Final = "main"
SERVERS_KIND: Final = "servers"
# How long a watch waits for a change; the store allows 30. A connection that falls
# silent meanwhile is noticed by the operating system (edge/streams.py).
WATCH_S: Final = 25.0
# Changes that come within this time are taken together.
GATHER_S: Final = 0.4
# How often a host that watches asks whether the store still answers it, and for how
# long it waits.
CHECK_INTERVAL_S: Final = 0.5
CHECK_TIMEOUT_S: Final = 0.45
# After this long in an era each server that lives has written, seconds: three of
# their heartbeats.
ERA_SETTLED_S: Final = 5.0
# Faults of one version of the configuration that are logged each by itself.
FAULTS_LOGGED: Final = 20


class Relay:
    """Follows the store for as long as the core wants it."""

    def __init__(
        self, *, shell: Shell, store: Store, settings: AdapterSettings
    ) -> None:
        self._shell = shell
        self._store = store
        self._settings = settings
        self._unreadable: dict[str, str] = {}
        self._noted_revision = 0
        store.note_era = self._note_era

    async def run(self) -> None:
        """Watch whenever the core wants it, until cancelled."""
        shell = self._shell
        while True:
            shell.watch_changed = anyio.Event()
            if not shell.is_watching:
                await shell.watch_changed.wait()
                continue
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._repeat, self._follow_configuration)
                tasks.start_soon(self._repeat, self._follow_servers)
                tasks.start_soon(self._check_silence)
                await shell.watch_changed.wait()
                tasks.cancel_scope.cancel()

    def _note_era(self, era: int) -> None:
        """List and watch anew: what was known of the store's history is void."""
        log_event("store-era", era=era, known=self._shell.state.registry.position.era)
        self._shell.watch_changed.set()

    async def _repeat(
        self, follow: Callable[[], Coroutine[Any, Any, Unavailable]]
    ) -> None:
        """Begin again after each fault, with growing delays in an outage."""
        delay_s = RETRY_S
        shell = self._shell
        while True:
            began = shell.clock()
            fault = await follow()
            now = shell.clock()
            shell.handle(PlatformLost(now=now, reason=fault.reason))
            if now - began > RETRY_LONGEST_S:
                delay_s = RETRY_S
            await anyio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(RETRY_LONGEST_S, delay_s * 2)

    async def _follow_configuration(self) -> Unavailable:
        """Read the configuration, then watch it; return what ended that."""
        while True:
            listed = await self._store.list_all(CONFIGURATION_KIND)
            if isinstance(listed, Unavailable):
                return listed
            self._confirm()
            for item in listed.items:
                self._take_configuration(item)
            fault = await self._watch(
                CONFIGURATION_KIND, listed.position, self._take_configuration_changes
            )
            if fault is not None:
                return fault

    async def _follow_servers(self) -> Unavailable:
        """List the servers, then watch them; return what ended that.

        In a new era they are listed again later, when those that live have written.
        """
        while True:
            known_era = self._shell.state.registry.position.era
            listed = await self._store.list_all(SERVERS_KIND)
            if isinstance(listed, Unavailable):
                return listed
            self._confirm()
            self._take_servers(listed)
            is_new_era = listed.position.era > known_era
            fault = await self._watch(
                SERVERS_KIND,
                listed.position,
                self._take_server_changes,
                for_s=ERA_SETTLED_S if is_new_era else inf,
            )
            if fault is not None:
                return fault

    async def _watch(
        self,
        kind: str,
        since: StorePosition,
        take: Callable[[ChangeList], None],
        *,
        for_s: float = inf,
    ) -> Unavailable | None:
        """Watch from a position on; return None when its history is gone, or in time.

        It lasts for `for_s` seconds at most.
        """
        until = self._shell.clock() + for_s
        while (left_s := until - self._shell.clock()) > 0.0:
            result = await self._store.watch(
                kind, since=since, wait_s=min(WATCH_S, left_s)
            )
            if isinstance(result, HistoryLost):
                log_event("history-lost", kind=kind, revision=since.revision)
                return None
            if isinstance(result, Unavailable):
                return result
            self._confirm()
            since = max(since, result.position)
            if result.changes:
                take(result)
                await anyio.sleep(GATHER_S)
        return None

    async def _check_silence(self) -> None:
        """Notice a store that leaves this host without answers.

        A watch that waits cannot tell silence from peace.
        """
        shell = self._shell
        while True:
            await anyio.sleep(CHECK_INTERVAL_S * random.uniform(0.8, 1.2))
            if shell.state.relay.lost_at is not None:
                continue  # The watches are beginning anew.
            fault = await self._store.check(
                HOSTS_KIND, self._settings.name, timeout_s=CHECK_TIMEOUT_S
            )
            if fault is not None:
                shell.handle(PlatformLost(now=shell.clock(), reason=fault.reason))
                shell.watch_changed.set()

    def _confirm(self) -> None:
        shell = self._shell
        shell.handle(PlatformReached(now=shell.clock()))

    def _take_configuration_changes(self, result: ChangeList) -> None:
        for change in result.changes:
            if not change.is_deleted:
                self._take_configuration(change.item)

    def _take_configuration(self, item: StoreObject) -> None:
        if item.name != CONFIGURATION_NAME:
            return
        decoded = decode_configuration(item.spec, self._settings)
        if isinstance(decoded, Unreadable):
            self._note_unreadable(f"config/{item.name}", decoded)
            return
        self._note_faults(decoded)
        shell = self._shell
        limits = apply_limits(shell.settings.limits, decoded.limits)
        if limits != shell.settings.limits:
            shell.settings = replace(shell.settings, limits=limits)
            log_event("limits", idle_s=limits.keep_alive_s, body=limits.body_bytes)
        seen = IntentsSeen(
            now=shell.clock(), version=str(item.revision), intents=decoded.intents
        )
        shell.handle(seen)

    def _take_servers(self, listed: ObjectList) -> None:
        shell = self._shell
        servers = [self._decode_server(item) for item in listed.items]
        shell.handle(
            ServersListed(
                now=shell.clock(),
                position=listed.position,
                servers=tuple(s for s in servers if s is not None),
            )
        )

    def _take_server_changes(self, result: ChangeList) -> None:
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
            self._note_unreadable(f"server/{item.name}", decoded)
            return None
        return decoded

    def _note_faults(self, decoded: Configuration) -> None:
        """Log what of a version could not be read, once for each version."""
        revision = decoded.intents.revision
        if revision <= self._noted_revision:
            return
        self._noted_revision = revision
        for fault in decoded.faults[:FAULTS_LOGGED]:
            log_warning(
                "configuration-fault",
                revision=revision,
                path=fault.path,
                reason=fault.reason,
                effect=fault.effect,
            )
        left_out = len(decoded.faults) - FAULTS_LOGGED
        if left_out > 0:
            log_warning("configuration-faults", revision=revision, left_out=left_out)

    def _note_unreadable(self, name: str, decoded: Unreadable) -> None:
        """Log an entry that is passed over, once for each reason."""
        if self._unreadable.get(name) != decoded.reason:
            self._unreadable[name] = decoded.reason
            log_warning("entry-unreadable", name=name, reason=decoded.reason)
