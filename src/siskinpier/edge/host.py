"""One host as a process: start, servers, signals and shutdown."""

import socket
import ssl
import sys
import time
from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve as serve_hypercorn
from hypercorn.config import Config as HypercornConfig

from ..core.configuration.intents import RoutingIntents
from ..core.events import HostStarted
from ..core.state import CoreSettings, HostIdentity, HostState, make_state
from ..exit_codes import ExitCode
from ..log_writer import NonBlockingHandler
from ..logs import configure_logging, log_event
from ..metrics import HostMetrics
from ..settings.documents import Rejected, parse_intents
from ..settings.host import HostSettings
from ..standard_streams import open_standard_descriptors
from .backends import BackendClient
from .callers import CallerApp
from .header_adapter import DefaultHeaderAdapter
from .operators import OperatorApp
from .platform import PlatformClient
from .platform_watch import poll_hosts, watch_intents
from .serving import (
    handle_signals,
    install_failure_log,
    log_end,
    make_caller_server,
    make_clock,
    tune_garbage_collector,
)
from .shell import Shell
from .sockets import HostSockets, bind_sockets, get_address, make_ready_line
from .tls import Certificate, make_certificate, watch_certificate_files

# Time to write the last responses to their sockets when the host stops at once.
FLUSH_WAIT_S: Final = 0.1


def run_host(settings: HostSettings) -> int:
    """Run one host until it stops; return the exit code of the process."""
    log_fd = open_standard_descriptors()
    try:
        certificate = make_certificate(settings.security)
        sockets = bind_sockets(settings)
    except OSError as exc:
        print(f"siskinpier: cannot start: {exc}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    writer = NonBlockingHandler(fd=log_fd)
    configure_logging(writer, settings.log_level)
    run = partial(_run, settings, sockets, certificate, writer)
    # uvloop is faster, but libuv sets up an io_uring that cannot be turned off.
    return anyio.run(run, backend="asyncio", backend_options={"use_uvloop": False})


async def _run(
    settings: HostSettings,
    sockets: HostSockets,
    certificate: Certificate | None,
    writer: NonBlockingHandler,
) -> ExitCode:
    backends = BackendClient(peer_tls=certificate.peers if certificate else None)
    await backends.open()
    platform = PlatformClient(
        url=settings.platform.url,
        namespace=settings.platform.namespace,
        token=settings.platform.token,
        timeout_s=settings.platform.timeout_s,
    )
    header_adapter = DefaultHeaderAdapter(
        host=settings.name, peer_key=settings.security.peer_key.encode()
    )
    shell = Shell(
        settings=settings,
        header_adapter=header_adapter,
        state=_make_host_state(settings, sockets),
        clock=make_clock(),
        platform=platform,
        backends=backends,
        metrics=HostMetrics(),
        dropped_lines=writer.dropped_lines,
    )
    install_failure_log(shell.failures, writer)
    # The ready line is the first line of output, before any log line.
    print(make_ready_line(sockets), flush=True)
    try:
        async with anyio.create_task_group() as tasks:
            if certificate is not None:
                tasks.start_soon(watch_certificate_files, certificate)
            await _serve(shell, platform, sockets, tasks, certificate)
            tasks.cancel_scope.cancel()
    except Exception as exc:
        shell.failures.record("host", exc)
        shell.failed_part = "host"
    finally:
        with anyio.CancelScope(shield=True):
            await backends.aclose()
            await platform.aclose()
    return log_end(shell)


async def _serve(
    shell: Shell,
    platform: PlatformClient,
    sockets: HostSockets,
    tasks: TaskGroup,
    certificate: Certificate | None,
) -> None:
    settings = shell.settings
    shell.start(tasks)
    tune_garbage_collector()
    tasks.start_soon(handle_signals, shell, _log_reload)
    tasks.start_soon(shell.mesh.serve, sockets.peers, tasks)
    caller_server = make_caller_server(
        shell, CallerApp(shell=shell), certificate, memory=shell.request_memory
    )
    async with anyio.create_task_group() as servers:
        servers.start_soon(_serve_operators, shell, sockets.operators, certificate)
        servers.start_soon(caller_server.serve, [sockets.callers])
        tasks.start_soon(_stop_at_once, shell, servers)
        shell.handle(HostStarted(now=shell.clock()))
        tasks.start_soon(watch_intents, shell, platform)
        tasks.start_soon(poll_hosts, shell, platform)
        log_event("start", host=settings.name, callers=get_address(sockets.callers))
        await shell.stopped.wait()
        # Each server closes its idle connections and stops once its last responses
        # are written.
        caller_server.should_exit = True
        servers.cancel_scope.deadline = anyio.current_time() + _get_remaining_s(shell)


def _log_reload() -> None:
    """Log that nothing was reloaded: settings are read once, at the start."""
    log_event("reload", changed="")


async def _stop_at_once(shell: Shell, servers: TaskGroup) -> None:
    await shell.aborted.wait()
    await anyio.sleep(FLUSH_WAIT_S)
    servers.cancel_scope.cancel()


def _get_remaining_s(shell: Shell) -> float:
    """Return how much time is left of the limit on the shutdown, in seconds."""
    state = shell.state
    bound_s = state.settings.announce_s + state.settings.shutdown_bound_s
    return max(0.0, state.leaving_since + bound_s - shell.clock())


class OperatorConfig(HypercornConfig):
    """Hypercorn configuration whose TLS context can be renewed while in use."""

    certificate: Certificate | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Return True if the socket uses TLS."""
        return self.certificate is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the shared context."""
        return None if self.certificate is None else self.certificate.server


async def _serve_operators(
    shell: Shell, sock: socket.socket, certificate: Certificate | None
) -> None:
    cfg = OperatorConfig()
    cfg.certificate = certificate
    cfg.bind = [f"fd://{sock.fileno()}"]
    cfg.accesslog = None
    cfg.errorlog = None
    app = OperatorApp(shell=shell)
    await serve_hypercorn(app, cfg, shutdown_trigger=shell.stopped.wait)  # type: ignore[arg-type]


def _make_host_state(settings: HostSettings, sockets: HostSockets) -> HostState:
    return make_state(
        identity=HostIdentity(
            name=settings.name,
            incarnation=time.time_ns() // 1_000,
            failure_domain=settings.failure_domain,
            region=settings.region,
            callers=get_address(sockets.callers),
            peers=get_address(sockets.peers),
        ),
        settings=CoreSettings(
            heartbeat_s=settings.heartbeat_s,
            announce_s=_compute_announce_s(settings),
            shutdown_bound_s=settings.shutdown.bound_s,
            address_ttl_s=settings.address_ttl_s,
            seed_peers=settings.seed_peers,
            platform_writes_per_second=settings.platform.writes_per_second,
        ),
        parse_intents=_parse_valid_intents,
        seed=settings.seed or time.time_ns(),
    )


def _compute_announce_s(settings: HostSettings) -> float:
    """Return how long this host announces that it is leaving, in seconds.

    This outlasts every address list that callers hold: until the other hosts learn that
    this host is leaving, they may still list its address.
    """
    listed_s = settings.address_ttl_s + settings.heartbeat_s
    return max(settings.shutdown.announce_s, listed_s)


def _parse_valid_intents(spec: dict[str, object]) -> RoutingIntents | None:
    parsed = parse_intents(spec)
    return None if isinstance(parsed, Rejected) else parsed.value
