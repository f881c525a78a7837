"""One host on the platform as a process."""

import hashlib
import os
import socket
import sys
import time
from functools import partial
from pathlib import Path
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..core.events import HostStarted
from ..core.state import CoreSettings, HostIdentity, HostState, make_state
from ..edge.backends import BackendClient
from ..edge.serving import (
    handle_signals,
    make_caller_server,
    make_clock,
    tune_garbage_collector,
)
from ..edge.shell import Shell
from ..edge.sockets import make_listener
from ..exits import ExitCode
from ..log_writer import LineWriter
from ..logs import log_event, log_warning, set_up_logs
from ..metrics import HostMetrics
from ..settings.host import (
    Address,
    HostSettings,
    LimitSettings,
    PlatformSettings,
    SecuritySettings,
    ShutdownSettings,
)
from .callers import FrontApp, SideApp
from .fields import REQUEST_ID, PlatformDialect
from .registration import Registration
from .relay import Relay
from .reload import SettingsWatcher
from .settings import (
    PATH_VARIABLE,
    AdapterSettings,
    ListenAddress,
    SettingsError,
    parse_settings,
)
from .store import Store

HEARTBEAT_S: Final = 0.5
# Where metrics are collected; deploy/system.toml names it.
METRICS_PORT: Final = 9464
# Callers that ask right before the host leaves still come for this long, seconds.
ANNOUNCE_S: Final = 2.5
# Time kept between the last answer and the platform's SIGKILL, seconds.
END_MARGIN_S: Final = 0.8
# Callers that connect to a fresh host wait this long for it to be ready, seconds; later
# ones are refused. They give up requests that are not read for a third of their time.
START_HOLD_S: Final = 0.4
# Time for the last answers to be written out, seconds.
WRITE_OUT_S: Final = 0.5
# Less than the time after which backend servers close an idle connection.
KEEP_ALIVE_S: Final = 4.0


def main() -> None:
    """Run a host with the settings that the platform names, and exit."""
    raise SystemExit(int(run(os.environ.get(PATH_VARIABLE, ""))))


def run(path: str) -> int:
    """Run a host until it is told to stop; return the exit code."""
    writer = LineWriter(fd=sys.stdout.fileno())
    set_up_logs(writer)
    try:
        settings = parse_settings(Path(path).read_text(encoding="utf-8"))
        sockets = [
            make_listener(Address(ip=address.ip, port=address.port))
            for address in (
                settings.callers,
                settings.readiness,
                settings.addresses,
                settings.peers,
            )
        ]
        metrics = _listen_for_metrics(settings.ip)
    except (OSError, SettingsError, UnicodeDecodeError) as exc:
        print(f"siskinpier: cannot start: {path}: {exc}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    anyio.run(
        partial(_run, path, settings, sockets, metrics, writer),
        backend="asyncio",
        backend_options={"use_uvloop": False},
    )
    return ExitCode.OK


async def _run(
    path: str,
    settings: AdapterSettings,
    sockets: list[socket.socket],
    metrics: list[socket.socket],
    writer: LineWriter,
) -> None:
    backends = BackendClient(id_field=REQUEST_ID, keep_alive_s=KEEP_ALIVE_S)
    await backends.open()
    store = Store(address=settings.store)
    await store.open()
    shell = Shell(
        settings=_make_host_settings(settings),
        state=_make_host_state(settings),
        clock=make_clock(),
        platform=store,
        header_adapter=PlatformDialect(),
        backends=backends,
        metrics=HostMetrics(),
        lines_left_out=writer.left_out,
    )
    watcher = SettingsWatcher(path=path, settings=settings)
    relay = Relay(shell=shell, store=store, settings=settings)
    registration = Registration(shell=shell, store=store, settings=settings)
    try:
        async with anyio.create_task_group() as tasks:
            await _serve(shell, relay, registration, watcher, sockets, metrics, tasks)
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await backends.aclose()
            await store.aclose()


async def _serve(
    shell: Shell,
    relay: Relay,
    registration: Registration,
    watcher: SettingsWatcher,
    sockets: list[socket.socket],
    metrics: list[socket.socket],
    tasks: TaskGroup,
) -> None:
    callers, readiness, addresses, peers = sockets
    shell.start(tasks)
    tasks.start_soon(handle_signals, shell, watcher.check)
    tasks.start_soon(watcher.run)
    tasks.start_soon(shell.mesh.serve, peers, tasks)
    front = make_caller_server(shell, FrontApp(shell=shell))
    side = make_caller_server(shell, SideApp(shell=shell))
    async with anyio.create_task_group() as servers:
        tasks.start_soon(side.serve, [readiness, addresses, *metrics])
        shell.handle(HostStarted(now=shell.clock()))
        tasks.start_soon(relay.run)
        tasks.start_soon(registration.run)
        tune_garbage_collector()
        log_event("start", host=shell.settings.name)
        with anyio.move_on_after(START_HOLD_S):
            await shell.started.wait()
        servers.start_soon(front.serve, [callers])
        await shell.stopped.wait()
        front.should_exit = True
        servers.cancel_scope.deadline = anyio.current_time() + WRITE_OUT_S
    log_event("end", host=shell.settings.name)


def _listen_for_metrics(ip: str) -> list[socket.socket]:
    """Return the socket for metrics, or none where its port is taken.

    Metrics are served on the address for readiness too, and are no reason not to serve.
    """
    try:
        return [make_listener(Address(ip=ip, port=METRICS_PORT))]
    except OSError as exc:
        log_warning("metrics-port-taken", port=METRICS_PORT, reason=str(exc))
        return []


def _make_host_settings(settings: AdapterSettings) -> HostSettings:
    shared = settings.peer_key or settings.store
    key = hashlib.sha256(f"siskinpier/{shared}".encode()).hexdigest()
    return HostSettings(
        name=settings.name,
        failure_domain=settings.failure_domain,
        region=settings.region,
        callers=_make_address(settings.callers),
        operators=_make_address(settings.operators),
        peers=_make_address(settings.peers),
        platform=PlatformSettings(url=f"http://{settings.store}"),
        security=SecuritySettings(operator_token=key, peer_key=key),
        limits=LimitSettings(body_bytes=67_108_864, keep_alive_s=15.0),
        shutdown=ShutdownSettings(announce_s=ANNOUNCE_S),
        address_ttl_s=settings.address_ttl_s,
        seed_peers=settings.seed_peers,
        heartbeat_s=HEARTBEAT_S,
    )


def _make_address(address: ListenAddress) -> Address:
    return Address(ip=address.ip, port=address.port)


def _make_host_state(settings: AdapterSettings) -> HostState:
    return make_state(
        identity=HostIdentity(
            name=settings.name,
            incarnation=time.time_ns() // 1_000,
            failure_domain=settings.failure_domain,
            region=settings.region,
            callers=str(settings.callers),
            peers=str(settings.peers_told),
            strength=settings.strength,
        ),
        settings=CoreSettings(
            heartbeat_s=HEARTBEAT_S,
            announce_s=ANNOUNCE_S,
            shutdown_bound_s=settings.grace_s - ANNOUNCE_S - END_MARGIN_S,
            address_ttl_s=settings.address_ttl_s,
            seed_peers=settings.seed_peers,
            platform_writes_per_second=settings.writes_per_second,
            servers_register=True,
            grants_slots=True,
            retry_slack=settings.retry_slack,
        ),
        parse_intents=lambda spec: None,
        seed=time.time_ns(),
    )
