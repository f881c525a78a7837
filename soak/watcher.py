"""Watches the processes of hosts: unexpected exits, readiness and memory."""

import time
from collections.abc import Callable
from typing import Final

import anyio

from .deployment import is_ready
from .history import Entry, HostGrown, HostUnready
from .host_environment import MEMORY_LIMIT_BYTES
from .host_faults import HostFaults
from .processes import HostProcess

CHECK_INTERVAL_S: Final = 0.2
READINESS_INTERVAL_S: Final = 0.5


class HostWatcher:
    """Watches hosts and starts those again that end, as the platform does."""

    def __init__(
        self,
        *,
        hosts: dict[str, HostProcess],
        faults: HostFaults,
        record: Callable[[Entry], None],
    ) -> None:
        self._hosts = hosts
        self._faults = faults
        self._record = record
        # Hosts that exceeded the memory limit, with their number of starts.
        self._grown: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            for host in self._hosts.values():
                tasks.start_soon(self._watch_process, host)
                tasks.start_soon(self._watch_readiness, host)

    async def _watch_process(self, host: HostProcess) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if host.is_stopping:
                continue
            if not host.is_running():
                self._faults.record_exit(host, expected=host.was_ended_early())
                host.start()
            self._check_memory(host)

    def _check_memory(self, host: HostProcess) -> None:
        key = (host.config.name, host.start_count)
        peak = host.read_peak_bytes()
        if peak > MEMORY_LIMIT_BYTES and key not in self._grown:
            self._grown.add(key)
            entry = HostGrown(at=time.monotonic(), host=key[0], peak_bytes=peak)
            self._record(entry)

    async def _watch_readiness(self, host: HostProcess) -> None:
        ready_at = 0.0
        while True:
            await anyio.sleep(READINESS_INTERVAL_S)
            if await is_ready(host):
                ready_at = time.monotonic()
                continue
            entry = HostUnready(
                at=time.monotonic(),
                host=host.config.name,
                since=max(ready_at, host.started_at),
                log=host.read_log_tail(),
            )
            self._record(entry)
