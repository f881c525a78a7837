"""TCP proxies on loopback that delay, reset, cut one way or silence connections."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

CHUNK_BYTES: Final = 65536
LOOPBACK: Final = "127.0.0.1"
# SO_LINGER value that makes the kernel send a reset on close.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


@unique
class LinkFault(StrEnum):
    """What a link does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Holds the bytes from the client to the target.
    CUT_FORWARD = "cut-there"
    # Holds the bytes from the target to the client.
    CUT_BACKWARD = "cut-back"
    # Holds the bytes in both directions.
    SILENT = "silent"


HOLD_FORWARD: Final = frozenset({LinkFault.CUT_FORWARD, LinkFault.SILENT})
HOLD_BACKWARD: Final = frozenset({LinkFault.CUT_BACKWARD, LinkFault.SILENT})


@dataclass(eq=False, slots=True, kw_only=True)
class _Connection:
    """One connection through a link: streams to the client and to the target."""

    client: SocketStream
    server: SocketStream
    scope: anyio.CancelScope

    def reset(self) -> None:
        """Close both streams with a TCP reset."""
        _reset_on_close(self.client)
        _reset_on_close(self.server)
        self.scope.cancel()


class Link:
    """A TCP proxy that listens on a loopback port and injects network faults.

    Bytes held by a cut are delivered when it ends, like lost packets that TCP
    retransmits.
    """

    def __init__(
        self, *, name: str, target_ip: str = LOOPBACK, target: int = 0
    ) -> None:
        self.name = name
        # Address and port that connections are forwarded to; port 0 resets them.
        self.target_ip = target_ip
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        self.fault = LinkFault.NONE
        self._fault_changed = anyio.Event()
        self._connections: set[_Connection] = set()

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        return f"{LOOPBACK}:{self.port}"

    async def serve(self, tasks: TaskGroup) -> None:
        """Listen on an unused port, and serve connections in the task group."""
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._handle_connection)

    def set_fault(self, fault: LinkFault, delay_s: float = 0.0) -> None:
        """Set the fault and the delay in seconds; a reset closes open connections."""
        self.fault = fault
        self.delay_s = delay_s
        event, self._fault_changed = self._fault_changed, anyio.Event()
        event.set()
        if fault is LinkFault.RESET:
            for conn in list(self._connections):
                conn.reset()

    async def _handle_connection(self, client: SocketStream) -> None:
        if self.fault is LinkFault.RESET or not self.target:
            await _close_with_reset(client)
            return
        try:
            server = await anyio.connect_tcp(self.target_ip, self.target)
        except OSError:
            await _close_with_reset(client)
            return
        async with anyio.create_task_group() as tasks:
            conn = _Connection(client=client, server=server, scope=tasks.cancel_scope)
            self._connections.add(conn)
            try:
                async with anyio.create_task_group() as pumps:
                    is_forward_held = _make_predicate(self, HOLD_FORWARD)
                    is_backward_held = _make_predicate(self, HOLD_BACKWARD)
                    pumps.start_soon(self._pump, conn, client, server, is_forward_held)
                    pumps.start_soon(self._pump, conn, server, client, is_backward_held)
            finally:
                self._connections.discard(conn)
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(client)
                    await anyio.aclose_forcefully(server)

    async def _pump(
        self,
        conn: "_Connection",
        source: SocketStream,
        sink: SocketStream,
        is_held: Callable[[], bool],
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await anyio.sleep(self.delay_s)
                await self._wait_while(is_held)
                await sink.send(data)
        except anyio.EndOfStream:
            await self._wait_while(is_held)
            await _send_eof(sink)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await self._wait_while(is_held)
            conn.reset()

    async def _wait_while(self, is_held: Callable[[], bool]) -> None:
        while is_held():
            await self._fault_changed.wait()


def _make_predicate(link: Link, faults: frozenset[LinkFault]) -> Callable[[], bool]:
    return lambda: link.fault in faults


async def _send_eof(sink: SocketStream) -> None:
    try:
        await sink.send_eof()
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        return  # The other side closed at the same time.


def _reset_on_close(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        return  # The socket is closed already.


async def _close_with_reset(stream: SocketStream) -> None:
    _reset_on_close(stream)
    await anyio.aclose_forcefully(stream)
