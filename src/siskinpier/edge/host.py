"""One host as a process: its sockets, its shell and its signals."""

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
from .backends import BackendClient
from .callers import CallerApp
from .dialect import OwnDialect
from .following import follow_hosts, follow_intents
from .operators import OperatorApp
from .platform import PlatformClient
from .serving import calm_collector, make_caller_server, make_clock, watch_signals
from .shell import Shell
from .sockets import HostSockets, bind_sockets, get_address, make_ready_line
from .tls import Certificate, follow_files, make_certificate

# Time to hand the last answers to the operating system when ending at once.
LAST_ANSWERS_S: Final = 0.1


def run_host(settings: HostSettings) -> int:
    """Run one host until it is told to stop; return the exit code."""
    try:
        certificate = make_certificate(settings.security)
        sockets = bind_sockets(settings)
    except OSError as exc:
        print(f"siskinpier: cannot start: {exc}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    writer = NonBlockingHandler(fd=sys.stdout.fileno())
    configure_logging(writer, settings.log_level)
    run = partial(_run, settings, sockets, certificate, writer)
    # uvloop is faster, but its libuv sets up an io_uring that nothing turns off.
    anyio.run(run, backend="asyncio", backend_options={"use_uvloop": False})
    return ExitCode.OK


async def _run(
    settings: HostSettings,
    sockets: HostSockets,
    certificate: Certificate | None,
    writer: NonBlockingHandler,
) -> None:
    backends = BackendClient(peer_tls=certificate.peers if certificate else None)
    await backends.open()
    platform = PlatformClient(
        url=settings.platform.url,
        namespace=settings.platform.namespace,
        token=settings.platform.token,
        timeout_s=settings.platform.timeout_s,
    )
    dialect = OwnDialect(
        host=settings.name, peer_key=settings.security.peer_key.encode()
    )
    shell = Shell(
        settings=settings,
        dialect=dialect,
        state=_make_host_state(settings, sockets),
        clock=make_clock(),
        platform=platform,
        backends=backends,
        metrics=HostMetrics(),
        dropped_lines=writer.dropped_lines,
    )
    # The first line, before any line of the log.
    print(make_ready_line(sockets), flush=True)
    try:
        async with anyio.create_task_group() as tasks:
            if certificate is not None:
                tasks.start_soon(follow_files, certificate)
            await _serve(shell, platform, sockets, tasks, certificate)
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await backends.aclose()
            await platform.aclose()


async def _serve(
    shell: Shell,
    platform: PlatformClient,
    sockets: HostSockets,
    tasks: TaskGroup,
    certificate: Certificate | None,
) -> None:
    settings = shell.settings
    shell.start(tasks)
    calm_collector()
    tasks.start_soon(watch_signals, shell, _note_reload)
    tasks.start_soon(shell.mesh.serve, sockets.peers, tasks)
    caller_server = make_caller_server(shell, CallerApp(shell=shell), certificate)
    async with anyio.create_task_group() as servers:
        servers.start_soon(_serve_operators, shell, sockets.operators, certificate)
        servers.start_soon(caller_server.serve, [sockets.callers])
        tasks.start_soon(_abort, shell, servers)
        shell.handle(HostStarted(now=shell.clock()))
        tasks.start_soon(follow_intents, shell, platform)
        tasks.start_soon(follow_hosts, shell, platform)
        log_event("start", host=settings.name, callers=get_address(sockets.callers))
        await shell.stopped.wait()
        # Each server closes its idle connections, and ends once it has written
        # out its last responses.
        caller_server.should_exit = True
        servers.cancel_scope.deadline = anyio.current_time() + _get_left_s(shell)
    log_event("end", host=settings.name)


def _note_reload() -> None:
    """Say that nothing is read anew: settings hold for the life of a process."""
    log_event("reload", changed="")


async def _abort(shell: Shell, servers: TaskGroup) -> None:
    await shell.aborted.wait()
    await anyio.sleep(LAST_ANSWERS_S)
    servers.cancel_scope.cancel()


def _get_left_s(shell: Shell) -> float:
    """Return how much of the shutdown's bound is left, in seconds."""
    state = shell.state
    bound_s = state.settings.announce_s + state.settings.shutdown_bound_s
    return max(0.0, state.leaving_since + bound_s - shell.clock())


class OperatorConfig(HypercornConfig):
    """A configuration whose TLS context can be renewed while it is in use."""

    certificate: Certificate | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Return True if the socket speaks TLS."""
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
            announce_s=_get_announce_s(settings),
            shutdown_bound_s=settings.shutdown.bound_s,
            address_ttl_s=settings.address_ttl_s,
            seed_peers=settings.seed_peers,
            platform_writes_per_second=settings.platform.writes_per_second,
        ),
        parse_intents=_parse_or_none,
        seed=settings.seed or time.time_ns(),
    )


def _get_announce_s(settings: HostSettings) -> float:
    """Return the announcement's length; it outlasts every kept address answer.

    Another host may still name this one until it hears that this one leaves.
    """
    kept_s = settings.address_ttl_s + settings.heartbeat_s
    return max(settings.shutdown.announce_s, kept_s)


def _parse_or_none(spec: dict[str, object]) -> RoutingIntents | None:
    parsed = parse_intents(spec)
    return None if isinstance(parsed, Rejected) else parsed.value
