"""The own object of a host in the store, by which the others find it, and theirs."""

import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio

from ..core.events import HostsListed
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
from .store import RETRY_LONGEST_S, RETRY_S, Store

# Kind of our own: the entry hosts.
HOSTS_KIND: Final = "siskinpier-hosts"
HOSTS_POLL_S: Final = 20.0
# The same for a host that has heard no other yet, as lists may lag.
HOSTS_POLL_ALONE_S: Final = 1.0
# How often a host looks whether the era of the store rose, and the time over which
# the hosts spread their calls after it, seconds.
ERA_CHECK_S: Final = 1.0
ERA_SPREAD_S: Final = 0.8


class Registration:
    """Writes the own object, and lists those of all hosts now and then."""

    def __init__(
        self, *, shell: Shell, store: Store, settings: AdapterSettings
    ) -> None:
        self._shell = shell
        self._store = store
        self._settings = settings

    async def run(self) -> None:
        """Write this host's own object, and read those of the others.

        What was written in an earlier era of the store may be gone from it.
        """
        own = encode_host(self._settings)
        is_written = False
        era: int | None = None
        while True:
            if era is not None and self._get_era() > era:
                era = self._get_era()
                await self._repeat_until_done(self._write_again)
            listed = await self._store.list_all(HOSTS_KIND, may_be_stale=True)
            if isinstance(listed, Unavailable):
                await anyio.sleep(RETRY_LONGEST_S * random.uniform(0.5, 1.0))
                continue
            hosts = [decode_host(item.name, item.spec) for item in listed.items]
            known = tuple(h for h in hosts if not isinstance(h, Unreadable))
            shell = self._shell
            shell.handle(HostsListed(now=shell.clock(), hosts=known))
            specs = {item.name: item.spec for item in listed.items}
            if not is_written and specs.get(self._settings.name) != own:
                await self._repeat_until_done(self._write_own)
            is_written = True
            era = self._get_era() if era is None else era
            delay_s = HOSTS_POLL_ALONE_S if self._is_alone() else HOSTS_POLL_S
            await self._sleep_in_era(era, delay_s * random.uniform(0.8, 1.2))

    def _get_era(self) -> int:
        """Return the latest era of the store that this host or its relay heard of."""
        return max(self._store.era, self._shell.state.registry.position.era)

    async def _sleep_in_era(self, era: int, delay_s: float) -> None:
        """Sleep; wake soon where the era rises, not all hosts at once."""
        until = self._shell.clock() + delay_s
        while (left_s := until - self._shell.clock()) > 0.0:
            if self._get_era() > era:
                await anyio.sleep(ERA_SPREAD_S * random.random())
                return
            await anyio.sleep(min(left_s, ERA_CHECK_S))

    def _is_alone(self) -> bool:
        members = self._shell.state.members.values()
        return all(member.last_heard is None for member in members)

    async def _write_again(self) -> bool:
        """Write the own object where the store lost it; return False to try again."""
        held = await self._store.read_object(kind=HOSTS_KIND, name=self._settings.name)
        if isinstance(held, StoredObject) and held.spec == encode_host(self._settings):
            return True
        if isinstance(held, Unavailable):
            return False
        log_event("written-again", kind=HOSTS_KIND, era=self._store.era)
        return await self._write_own()

    async def _write_own(self) -> bool:
        store, name = self._store, self._settings.name
        spec = encode_host(self._settings)
        result = await store.write_object(
            kind=HOSTS_KIND, name=name, spec=spec, expected_version=None
        )
        if isinstance(result, VersionConflict):
            held = await store.read_object(kind=HOSTS_KIND, name=name)
            if isinstance(held, StoredObject):
                if held.spec == spec:
                    return True
                result = await store.write_object(
                    kind=HOSTS_KIND, name=name, spec=spec, expected_version=held.version
                )
        return isinstance(result, WriteAccepted)

    async def _repeat_until_done(
        self, step: Callable[[], Coroutine[Any, Any, bool]]
    ) -> None:
        delay_s = RETRY_S
        while not await step():
            await anyio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(RETRY_LONGEST_S, delay_s * 2)
