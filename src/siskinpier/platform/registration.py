"""Registration of this host in the store, and discovery of the other hosts."""

import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio

from ..core.events import HostsListed, ListedHost
from ..core.platform_results import (
    StoredObject,
    Unavailable,
    VersionConflict,
    WriteAccepted,
)
from ..edge.shell import Shell
from ..logs import log_event
from .documents import Unreadable, decode_host, encode_host
from .settings import AdapterSettings
from .store import MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S, StoreClient
from .store_objects import StoreObject

# Kind of objects that only hosts write: one object for each entry host.
HOSTS_KIND: Final = "siskinpier-hosts"
# Interval at which the objects of all hosts are listed, seconds.
HOSTS_POLL_INTERVAL_S: Final = 20.0
# The same while no message of another host has arrived: lists may lag, so the first
# ones may be empty.
HOSTS_POLL_ALONE_INTERVAL_S: Final = 1.0
# How often a host checks whether the era of the store rose, and the longest random
# delay of its calls after that, so that not all hosts call at once; seconds.
ERA_CHECK_INTERVAL_S: Final = 1.0
ERA_JITTER_S: Final = 0.8


class HostRegistration:
    """Writes the object of this host, and periodically lists those of all hosts."""

    def __init__(
        self, *, shell: Shell, store: StoreClient, settings: AdapterSettings
    ) -> None:
        self._shell = shell
        self._store = store
        self._settings = settings

    async def run(self) -> None:
        """Write this host's object once, and poll those of all hosts, until cancelled.

        The object is written again in a new era of the store if the older copy that the
        store was restored from does not hold it.
        """
        host_spec = encode_host(self._settings)
        is_written = False
        era: int | None = None
        while True:
            if era is not None and self._get_era() > era:
                era = self._get_era()
                await self._retry_until_done(self._write_if_lost)
            listed = await self._store.list_all(HOSTS_KIND, may_be_stale=True)
            if isinstance(listed, Unavailable):
                await anyio.sleep(MAX_RETRY_DELAY_S * random.uniform(0.5, 1.0))
                continue
            hosts = [self._decode_host(item) for item in listed.items]
            known = tuple(h for h in hosts if not isinstance(h, Unreadable))
            shell = self._shell
            shell.handle(HostsListed(now=shell.clock(), hosts=known))
            specs = {item.name: item.spec for item in listed.items}
            if not is_written and specs.get(self._settings.name) != host_spec:
                await self._retry_until_done(self._write_host)
            is_written = True
            era = self._get_era() if era is None else era
            delay_s = (
                HOSTS_POLL_ALONE_INTERVAL_S
                if self._is_alone()
                else HOSTS_POLL_INTERVAL_S
            )
            await self._sleep_in_era(era, delay_s * random.uniform(0.8, 1.2))

    def _decode_host(self, item: StoreObject) -> ListedHost | Unreadable:
        """Decode one entry; an unexpected error costs this entry and no other."""
        try:
            return decode_host(item.name, item.spec)
        except Exception as exc:
            self._shell.failures.record("decode/host", exc)
            return Unreadable(reason="unexpected error")

    def _get_era(self) -> int:
        """Return the latest era of the store known to this host or its relay."""
        return max(self._store.era, self._shell.state.registry.position.era)

    async def _sleep_in_era(self, era: int, delay_s: float) -> None:
        """Sleep; if the era rises, return after a random part of `ERA_JITTER_S`."""
        until = self._shell.clock() + delay_s
        while (left_s := until - self._shell.clock()) > 0.0:
            if self._get_era() > era:
                await anyio.sleep(ERA_JITTER_S * random.random())
                return
            await anyio.sleep(min(left_s, ERA_CHECK_INTERVAL_S))

    def _is_alone(self) -> bool:
        """Return True if no message of another host has arrived yet."""
        members = self._shell.state.members.values()
        return all(member.last_heard is None for member in members)

    async def _write_if_lost(self) -> bool:
        """Write the object if the store lost it; return False if it must be retried."""
        stored = await self._store.read_object(
            kind=HOSTS_KIND, name=self._settings.name
        )
        if isinstance(stored, StoredObject) and stored.spec == encode_host(
            self._settings
        ):
            return True
        if isinstance(stored, Unavailable):
            return False
        log_event("written-again", kind=HOSTS_KIND, era=self._store.era)
        return await self._write_host()

    async def _write_host(self) -> bool:
        """Create or replace the object; return False if it must be retried."""
        store, name = self._store, self._settings.name
        spec = encode_host(self._settings)
        result = await store.write_object(
            kind=HOSTS_KIND, name=name, spec=spec, expected_version=None
        )
        if isinstance(result, VersionConflict):
            stored = await store.read_object(kind=HOSTS_KIND, name=name)
            if isinstance(stored, StoredObject):
                if stored.spec == spec:
                    return True
                result = await store.write_object(
                    kind=HOSTS_KIND,
                    name=name,
                    spec=spec,
                    expected_version=stored.version,
                )
        return isinstance(result, WriteAccepted)

    async def _retry_until_done(
        self, step: Callable[[], Coroutine[Any, Any, bool]]
    ) -> None:
        """Call a step until it returns True, with growing delays between the calls."""
        delay_s = MIN_RETRY_DELAY_S
        while not await step():
            await anyio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
