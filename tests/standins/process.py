"""Stand-ins as child processes: starting one, and serving an app inside one."""

import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, MutableMapping, Sequence
from itertools import cycle
from pathlib import Path
from types import TracebackType
from typing import IO, Any, Final, Self, TypeAlias

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

ROOT: Final = Path(__file__).resolve().parents[2]
READY_LINE: Final = re.compile(rb"^ready port=(\d+)\b.*\n", re.MULTILINE)
# Ends a start that fails or a test that hangs. Working starts and tests are far faster,
# even on a busy machine.
HANG_TIMEOUT_S: Final = 300.0
STOP_TIMEOUT_S: Final = 5.0
POLL_INTERVAL_S: Final = 0.005
READY_LIMIT_BYTES: Final = 65536
TAIL_LIMIT_BYTES: Final = 8192
GRACEFUL_SHUTDOWN_S: Final = 1
KEEPALIVE_S: Final = 75
LOOPBACK: Final = "127.0.0.1"
FIRST_PORT: Final = 10_240
PORTS_PER_PROCESS: Final = 100
PORT_RANGE_COUNT: Final = 220

Message: TypeAlias = MutableMapping[str, Any]
Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
App: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]


_first_own: Final = FIRST_PORT + PORTS_PER_PROCESS * (os.getpid() % PORT_RANGE_COUNT)
_own_ports: Final = cycle(range(_first_own, _first_own + PORTS_PER_PROCESS))


class StandInError(Exception):
    """The child process did not become ready."""


class StandIn:
    """A child process that prints `ready port=NNNN` once it listens.

    Raises `StandInError` if the child exits or hangs without a ready line.
    """

    def __init__(self, *, module: str, args: Sequence[str] = ()) -> None:
        self._stdout: IO[bytes] = tempfile.TemporaryFile()  # noqa: SIM115
        self._stderr: IO[bytes] = tempfile.TemporaryFile()  # noqa: SIM115
        self._child = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL,
            stdout=self._stdout,
            stderr=self._stderr,
            env=_child_environ(),
        )
        self.pid: Final = self._child.pid
        self.ready_line = ""
        try:
            self.port: Final = self._wait_ready()
        except BaseException:
            self.kill()
            raise

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()
        self._stdout.close()
        self._stderr.close()

    @property
    def url(self) -> str:
        """Return the base URL of the server in the child."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of the child, or None while it runs."""
        return self._child.poll()

    def wait_exit(self, *, within_s: float = HANG_TIMEOUT_S) -> int:
        """Wait for the child's exit code; raises `subprocess.TimeoutExpired`."""
        return self._child.wait(within_s)

    def kill(self) -> None:
        """Kill the child with SIGKILL and reap it."""
        self._child.kill()
        self._child.wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Stop the child with SIGTERM, or with SIGKILL after `STOP_TIMEOUT_S`."""
        self._child.terminate()
        self.resume()
        try:
            self._child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def freeze(self) -> None:
        """Suspend the child with SIGSTOP."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended child with SIGCONT."""
        self._child.send_signal(signal.SIGCONT)

    def read_stderr_tail(self) -> str:
        """Return the end of the child's standard error."""
        return _read_tail(self._stderr)

    def read_log(self) -> str:
        """Return the end of the child's standard output, which holds its log."""
        return _read_tail(self._stdout)

    def _wait_ready(self) -> int:
        deadline_s = time.monotonic() + HANG_TIMEOUT_S
        while time.monotonic() < deadline_s and self._child.poll() is None:
            output = os.pread(self._stdout.fileno(), READY_LIMIT_BYTES, 0)
            if ready := READY_LINE.search(output):
                self.ready_line = ready[0].decode(errors="replace").strip()
                return int(ready[1])
            time.sleep(POLL_INTERVAL_S)
        raise StandInError(
            f"no ready line, exit code {self._child.poll()}: "
            f"{self.read_stderr_tail()}"
        )


def _read_tail(file: IO[bytes]) -> str:
    fd = file.fileno()
    start = max(0, os.fstat(fd).st_size - TAIL_LIMIT_BYTES)
    return os.pread(fd, TAIL_LIMIT_BYTES, start).decode(errors="replace")


class AbortableProtocol(HttpToolsProtocol):
    """HTTP protocol that exposes its transport to the app as `state["transport"]`."""

    def on_message_begin(self) -> None:
        """Prepare the scope of the next request."""
        super().on_message_begin()
        self.scope["state"]["transport"] = self.transport


class ReadyServer(uvicorn.Server):
    """A uvicorn server that prints the ready line once it listens."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start listening, then print the port."""
        await super().startup(sockets)
        port = self.servers[0].sockets[0].getsockname()[1]
        print(f"ready port={port}", flush=True)


def serve_app(app: App, *, port: int) -> None:
    """Serve an ASGI app on the loopback address until a signal stops the process."""
    config = uvicorn.Config(
        app,
        host=LOOPBACK,
        port=port,
        http=AbortableProtocol,
        ws="none",
        lifespan="off",
        log_level="warning",
        access_log=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEPALIVE_S,
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
    )
    ReadyServer(config).run()


async def read_body(receive: Receive) -> bytes:
    """Return the complete body of a request."""
    body = b""
    while True:
        message = await receive()
        body += bytes(message.get("body", b""))
        if not message.get("more_body", False):
            return body


def find_free_ports(count: int, ip: str = LOOPBACK) -> list[int]:
    """Return free ports of a loopback address, for a child to listen on.

    The ports lie below the system's ephemeral range, in a part chosen by the id of this
    process, so that no other process takes them before the child does.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_own_ports)
        if _is_free(ip, port):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    try:
        socket.create_server((ip, port)).close()
    except OSError:
        return False
    return True


def _child_environ() -> dict[str, str]:
    paths = [str(ROOT / "src"), str(ROOT)]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
