"""Running one host on the platform as a process."""

import hashlib
import os
import socket
import sys
import time
from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup

from .. import __version__
from ..core.events import HostStarted
from ..core.state import CoreSettings, HostIdentity, HostState, make_state
from ..edge.backends import BackendClient
from ..edge.server_loop import ServerLoop, serve_callers
from ..edge.serving import (
    close_all,
    handle_signals,
    install_failure_log,
    log_end,
    make_caller_server,
    make_clock,
    tune_garbage_collector,
)
from ..edge.shell import Shell
from ..edge.sockets import make_listener
from ..edge.supervision import Loop, supervise
from ..exit_codes import ExitCode
from ..failures import describe_error, describe_trace
from ..log_writer import NonBlockingHandler
from ..logs import configure_logging, log_event, log_warning
from ..metrics import HostMetrics
from ..settings.host import (
    Address,
    HostSettings,
    PlatformSettings,
    SecuritySettings,
    ShutdownSettings,
)
from ..standard_streams import (
    open_standard_descriptors,
    unblock_standard_error,
    write_error_line,
)
from .callers import PlatformCallerApp, StatusApp
from .headers import REQUEST_ID_HEADER, PlatformHeaderAdapter
from .machine_limits import make_limits, make_status_limits
from .registration import HostRegistration
from .reload import SettingsWatcher
from .settings import PATH_VARIABLE, AdapterSettings, ListenAddress
from .starting import CancelledStartError, StartError, listen, read_settings
from .store import StoreClient
from .store_watcher import StoreWatcher

HEARTBEAT_INTERVAL_S: Final = 0.5
# Port that metrics are scraped from; deploy/system.toml names it.
METRICS_PORT: Final = 9464
# Callers that looked up addresses just before the host announced its shutdown still
# connect for this long, seconds.
ANNOUNCE_S: Final = 2.5
# Time between the last reply and the platform's SIGKILL, seconds.
SIGKILL_MARGIN_S: Final = 0.8
# Callers that connect to a starting host wait up to this long for it to become ready,
# seconds; requests are refused after that. The wait is short because callers abandon a
# request that is not read within a third of its time.
READY_WAIT_S: Final = 0.4
# Time to flush the last replies, seconds.
FLUSH_WAIT_S: Final = 0.5
# Longest time that the end of a process waits for the reader of its log, seconds.
LAST_LINES_WAIT_S: Final = 0.1
# Idle connections to backend servers are closed after this, seconds: sooner than the
# servers close them.
MAX_BACKEND_IDLE_S: Final = 4.0


def main() -> None:
    """Run a host with the settings file that the platform names, and exit."""
    raise SystemExit(int(run(os.environ.get(PATH_VARIABLE, ""))))


def run(path: str) -> int:
    """Run a host until it is stopped, and return the exit code."""
    writer = NonBlockingHandler(fd=open_standard_descriptors())
    configure_logging(writer)
    log_event(
        "boot",
        pid=os.getpid(),
        version=__version__,
        python=sys.version.partition(" ")[0],
        machine=os.uname().machine,
    )
    code = ExitCode.INTERNAL
    try:
        code = _start_and_run(path, writer)
    except Exception as exc:
        log_warning("crash", error=describe_error(exc), trace=describe_trace(exc))
        unblock_standard_error()
        raise
    finally:
        log_event("exit", code=int(code))
        writer.drain(within_s=LAST_LINES_WAIT_S)
    return code


def _start_and_run(path: str, writer: NonBlockingHandler) -> ExitCode:
    try:
        settings = read_settings(path)
        sockets = listen(settings)
    except StartError as exc:
        log_warning("cannot-start", stage=exc.stage, reason=exc.reason)
        write_error_line(f"siskinpier: cannot start: {path}: {exc.reason}")
        return ExitCode.BAD_INPUT
    except CancelledStartError as exc:
        log_event("start-cancelled", stage=exc.stage)
        return ExitCode.OK
    metrics = _listen_for_metrics(settings.ip)
    return anyio.run(
        partial(_run, path, settings, sockets, metrics, writer),
        backend="asyncio",
        backend_options={"use_uvloop": False},
    )


async def _run(
    path: str,
    settings: AdapterSettings,
    sockets: list[socket.socket],
    metrics: list[socket.socket],
    writer: NonBlockingHandler,
) -> ExitCode:
    backends = BackendClient(
        id_field=REQUEST_ID_HEADER,
        echoes_id=True,
        keep_alive_s=MAX_BACKEND_IDLE_S,
        once_idle_s=settings.once_idle_s,
    )
    await backends.open()
    store = StoreClient(address=settings.store)
    await store.open()
    host_settings = _make_host_settings(settings)
    shell = Shell(
        settings=host_settings,
        state=_make_host_state(settings),
        clock=make_clock(),
        platform=store,
        header_adapter=PlatformHeaderAdapter(
            host=host_settings.name,
            peer_key=host_settings.security.peer_key.encode(),
        ),
        backends=backends,
        metrics=HostMetrics(),
        dropped_lines=writer.dropped_lines,
    )
    install_failure_log(shell.failures, writer)
    settings_watcher = SettingsWatcher(path=path, settings=settings)
    store_watcher = StoreWatcher(shell=shell, store=store, settings=settings)
    registration = HostRegistration(shell=shell, store=store, settings=settings)
    try:
        async with anyio.create_task_group() as tasks:
            await _serve(
                shell,
                store_watcher,
                registration,
                settings_watcher,
                sockets,
                metrics,
                tasks,
            )
            tasks.cancel_scope.cancel()
    except Exception as exc:
        shell.failures.record("host", exc)
        shell.failed_part = "host"
    finally:
        shell.close()
        await close_all(shell.failures, backends.aclose, store.aclose)
    return log_end(shell)


async def _serve(
    shell: Shell,
    store_watcher: StoreWatcher,
    registration: HostRegistration,
    settings_watcher: SettingsWatcher,
    sockets: list[socket.socket],
    metrics: list[socket.socket],
    tasks: TaskGroup,
) -> None:
    callers, readiness, addresses, peers = sockets
    shell.start(tasks)

    def reload_settings() -> None:
        # Its errors must not cost the loop that handles signals.
        with shell.failures.guard("reload"):
            settings_watcher.reload_settings()

    loops: dict[str, Loop] = {
        "signals": partial(handle_signals, shell, reload_settings),
        "settings": settings_watcher.run,
        "mesh": partial(shell.mesh.serve, peers, tasks),
        "store-watcher": store_watcher.run,
        "registration": registration.run,
    }
    caller_loop = ServerLoop(
        name="callers",
        make_server=partial(
            make_caller_server,
            shell,
            PlatformCallerApp(shell=shell),
            memory=shell.request_memory,
        ),
        sockets=[callers],
        failures=shell.failures,
    )
    status_loop = ServerLoop(
        name="status",
        make_server=partial(
            make_caller_server,
            shell,
            StatusApp(shell=shell),
            adjust_limits=partial(
                make_status_limits,
                memory_bytes=settings_watcher.settings.memory_bytes,
                descriptors=settings_watcher.settings.descriptors,
            ),
        ),
        sockets=[readiness, addresses, *metrics],
        failures=shell.failures,
    )
    async with anyio.create_task_group() as servers:
        tasks.start_soon(status_loop.run)
        shell.handle(HostStarted(now=shell.clock()))
        for name, loop in loops.items():
            tasks.start_soon(supervise, name, loop, shell.failures)
        tune_garbage_collector()
        log_event("start", host=shell.settings.name)
        with anyio.move_on_after(READY_WAIT_S):
            await shell.started.wait()
        servers.start_soon(serve_callers, shell, caller_loop)
        await shell.stopped.wait()
        caller_loop.stop()
        servers.cancel_scope.deadline = anyio.current_time() + FLUSH_WAIT_S


def _listen_for_metrics(ip: str) -> list[socket.socket]:
    """Return the socket for metrics, or no socket if its port is taken.

    A host runs without it: metrics are also served at the address for readiness checks.
    """
    try:
        return [make_listener(Address(ip=ip, port=METRICS_PORT))]
    except OSError as exc:
        log_warning("metrics-port-taken", port=METRICS_PORT, reason=str(exc))
        return []


def _make_host_settings(settings: AdapterSettings) -> HostSettings:
    key_source = settings.peer_key or settings.store
    key = hashlib.sha256(f"siskinpier/{key_source}".encode()).hexdigest()
    return HostSettings(
        name=settings.name,
        failure_domain=settings.failure_domain,
        region=settings.region,
        callers=_make_address(settings.callers),
        operators=_make_address(settings.operators),
        peers=_make_address(settings.peers),
        platform=PlatformSettings(url=f"http://{settings.store}"),
        security=SecuritySettings(operator_token=key, peer_key=key),
        limits=make_limits(
            memory_bytes=settings.memory_bytes, descriptors=settings.descriptors
        ),
        shutdown=ShutdownSettings(announce_s=ANNOUNCE_S),
        address_ttl_s=settings.address_ttl_s,
        seed_peers=settings.seed_peers,
        heartbeat_s=HEARTBEAT_INTERVAL_S,
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
            heartbeat_s=HEARTBEAT_INTERVAL_S,
            announce_s=ANNOUNCE_S,
            shutdown_bound_s=settings.grace_s - ANNOUNCE_S - SIGKILL_MARGIN_S,
            address_ttl_s=settings.address_ttl_s,
            seed_peers=settings.seed_peers,
            platform_writes_per_second=settings.writes_per_second,
            servers_register=True,
            grants_slots=True,
            retry_slack=settings.retry_slack,
            has_later_rules=settings.has_later_rules,
            revoke_fail_closed=settings.revoke_fail_closed,
            revoke_s=settings.revoke_s,
            shares_queues=settings.shares_queues,
            limits_hedges=settings.hedge_share is not None,
        ),
        parse_intents=lambda spec: None,
        seed=time.time_ns(),
    )
