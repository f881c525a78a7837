"""Faults of hosts: how they are stopped, started and disturbed."""

import os
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from copy import copy
from random import Random
from typing import Final

import anyio

from .history import HostExited, HostsIsolated
from .odd_entries import make_odd_settings
from .processes import NO_OUTPUT, SPARE_SETTINGS, HostProcess
from .schedule import ALL_HOSTS, FaultKind, ScheduledFault

CLOCK_JUMP_S: Final = 3600.0
# Repeated signals come this many times as often as once per `amount`.
SIGNAL_FACTOR: Final = 10
STORM_ROUNDS: Final = 3
DESCRIPTOR_LIMIT: Final = 64
CONNECTION_COUNT: Final = 100
# Time from the start of a host until it is isolated, for how long, and how often it is
# checked meanwhile whether another fault has started it again, in seconds.
ISOLATION_LEAD_S: Final = 3.0
ISOLATED_S: Final = 8.0
ISOLATION_CHECK_S: Final = 0.1


class HostFaults:
    """Injects faults of hosts; exits of stopped hosts go to `record`."""

    def __init__(
        self,
        *,
        seed: int,
        hosts: dict[str, HostProcess],
        record: Callable[[HostExited | HostsIsolated], None],
        has_time_limits: bool,
    ) -> None:
        self._seed = seed
        self._hosts = hosts
        self._record = record
        self._has_time_limits = has_time_limits

    async def inject(self, fault: ScheduledFault) -> None:
        """Inject a fault and return after its end."""
        if fault.target == ALL_HOSTS:
            await self._restart_all(fault)
            return
        host = self._hosts[fault.target]
        if fault.kind is FaultKind.HOST_UPGRADE:
            # A host that another fault has stopped starts with the other build too.
            host.change_build()
        match fault.kind:
            case FaultKind.HOST_PAUSE:
                host.send_signal(signal.SIGSTOP)
                await anyio.sleep(fault.for_s)
                host.send_signal(signal.SIGCONT)
            case FaultKind.HOST_RELOAD:
                host.write_settings()
                host.send_signal(signal.SIGHUP)
            case FaultKind.HOST_DESCRIPTORS:
                await self._exhaust_descriptors(host, fault)
            case _ if host.is_stopping:
                return  # Another fault has stopped the host already.
            case FaultKind.HOST_OVERLAP:
                await self._overlap(host, fault)
            case FaultKind.HOST_KILL | FaultKind.HOST_CLOCK:
                sign = 1 if fault.number % 2 else -1
                is_shifted = fault.kind is FaultKind.HOST_CLOCK
                host.kill()
                await anyio.sleep(fault.for_s)
                host.start(sign * CLOCK_JUMP_S if is_shifted else 0.0)
            case FaultKind.HOST_ISOLATE:
                await self._isolate(host)
            case FaultKind.HOST_STOP | FaultKind.HOST_UPGRADE:
                await self.stop(host)
                await anyio.sleep(fault.for_s)
                host.start()
            case FaultKind.HOST_HUPS | FaultKind.HOST_TERMS:
                await self._restart_with_signals(host, fault)
            case _:
                await self.stop(host)
                async with self._obstruct(host, fault):
                    host.start()
                    await anyio.sleep(fault.for_s)

    async def _isolate(self, first: HostProcess) -> None:
        """Start half of the hosts again, and cut them off from all servers.

        The rest of the cut is not judged once one of them has been started again.
        """
        hosts = list(self._hosts.values())
        parity = hosts.index(first) % 2
        cut = [host for host in hosts[parity::2] if not host.is_stopping]
        for host in cut:
            host.kill()
            host.start(can_be_isolated=True)
        lives = [host.start_count for host in cut]
        await anyio.sleep(ISOLATION_LEAD_S)
        names = [host.config.name for host in cut]
        for host in cut:
            host.isolation_path.touch()
        self._record(HostsIsolated(at=time.monotonic(), hosts=names, isolated=True))
        end = time.monotonic() + ISOLATED_S
        while time.monotonic() < end and lives == [host.start_count for host in cut]:
            await anyio.sleep(ISOLATION_CHECK_S)
        self._record(HostsIsolated(at=time.monotonic(), hosts=names, isolated=False))
        for host in cut:
            host.isolation_path.unlink(missing_ok=True)

    async def stop(self, host: HostProcess) -> None:
        """Stop a host as the platform does, and record its exit."""
        host.is_stopping = True
        is_stopped = await anyio.to_thread.run_sync(host.stop)
        is_late = not is_stopped and not self._has_time_limits
        self.record_exit(host, expected=is_late or host.has_exited_cleanly())

    def record_exit(self, host: HostProcess, *, expected: bool) -> None:
        """Record the exit of a host that has ended."""
        self._record(
            HostExited(
                at=time.monotonic(),
                host=host.config.name,
                code=host.get_exit_code() or 0,
                expected=expected,
                log="" if expected else host.read_log_tail(),
            )
        )

    async def _restart_with_signals(
        self, host: HostProcess, fault: ScheduledFault
    ) -> None:
        is_hup = fault.kind is FaultKind.HOST_HUPS
        number = signal.SIGHUP if is_hup else signal.SIGTERM
        interval_s = fault.amount / SIGNAL_FACTOR
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_signal_repeatedly, host, number, interval_s)
            await self.stop(host)
            if not is_hup:
                tasks.cancel_scope.cancel()
                host.start()
                return
            host.start()
            await anyio.sleep(fault.for_s)
            tasks.cancel_scope.cancel()

    async def _restart_all(self, fault: ScheduledFault) -> None:
        for _ in range(STORM_ROUNDS):
            hosts = [host for host in self._hosts.values() if not host.is_stopping]
            async with anyio.create_task_group() as tasks:
                for host in hosts:
                    if fault.choose((True, False)):
                        tasks.start_soon(self.stop, host)
                    else:
                        host.kill()
            for host in hosts:
                host.start()
            await anyio.sleep(fault.amount)

    async def _overlap(self, host: HostProcess, fault: ScheduledFault) -> None:
        """Start a host while the process before still has its ports."""
        predecessor = copy(host)
        async with anyio.create_task_group() as tasks:
            if fault.choose((True, False)):
                tasks.start_soon(self.stop, predecessor)
            else:
                predecessor.send_signal(signal.SIGSTOP)
            try:
                await anyio.sleep(0)
                host.start()
                await anyio.sleep(fault.for_s)
            finally:
                if not predecessor.is_stopping:
                    predecessor.kill()

    @asynccontextmanager
    async def _obstruct(
        self, host: HostProcess, fault: ScheduledFault
    ) -> AsyncIterator[None]:
        """Obstruct the start of a stopped host until the context ends."""
        match fault.kind:
            case FaultKind.HOST_PORT:
                ports = (host.front_port, host.ready_port, host.peers_port)
                address = host.config.ip, fault.choose((*ports, host.directory_port))
                with _take_port(address):
                    yield
            case FaultKind.HOST_OUTPUT:
                reader, writer = os.pipe()
                is_read, host.output = fault.choose(
                    ((True, NO_OUTPUT), (True, writer), (False, writer))
                )
                if not is_read:
                    os.close(reader)
                yield
                host.output = None
                os.close(writer)
                if is_read:
                    os.close(reader)
            case _:
                self._spoil_settings(host, fault)
                yield
                # In place, as some platforms write it.
                host.path.write_text(host.make_settings())
                host.send_signal(signal.SIGHUP)

    def _spoil_settings(self, host: HostProcess, fault: ScheduledFault) -> None:
        text = host.make_settings()
        rng = Random(f"{self._seed}/{fault.number}")
        if fault.kind is FaultKind.HOST_FIELD:
            text = make_odd_settings(text, list(SPARE_SETTINGS), rng)
            host.path.write_text(text)
            return
        kept = fault.choose((0, rng.randrange(len(text)), None))
        host.path.unlink(missing_ok=True)
        if kept is not None:
            host.path.write_text(text[:kept])

    async def _exhaust_descriptors(
        self, host: HostProcess, fault: ScheduledFault
    ) -> None:
        host.set_descriptor_limit(DESCRIPTOR_LIMIT)
        async with anyio.create_task_group() as tasks:
            for _ in range(CONNECTION_COUNT):
                tasks.start_soon(_hold_connection, host)
            await anyio.sleep(fault.for_s)
            tasks.cancel_scope.cancel()
        host.set_descriptor_limit()


@contextmanager
def _take_port(address: tuple[str, int]) -> Iterator[None]:
    try:
        stranger = socket.create_server(address)
    except OSError:
        yield  # A predecessor of the host has the port.
        return
    with stranger:
        yield


async def _signal_repeatedly(
    host: HostProcess, number: signal.Signals, interval_s: float
) -> None:
    while True:
        if host.handles_signals():
            host.send_signal(number)
        await anyio.sleep(interval_s)


async def _hold_connection(host: HostProcess) -> None:
    try:
        async with await anyio.connect_tcp(host.config.ip, host.front_port):
            await anyio.sleep_forever()
    except OSError:
        return  # The host may be down.
