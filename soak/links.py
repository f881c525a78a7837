"""Loopback connections that are delayed, reset, cut one way, or silenced."""

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
# Makes the kernel send a reset on close.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


@unique
class Trouble(StrEnum):
    """What a link does to its connections."""

    NONE = "none"
    RESET = "reset"
    CUT_THERE = "cut-there"
    CUT_BACK = "cut-back"
    SILENT = "silent"


HOLDS_THERE: Final = frozenset({Trouble.CUT_THERE, Trouble.SILENT})
HOLDS_BACK: Final = frozenset({Trouble.CUT_BACK, Trouble.SILENT})


@dataclass(eq=False, slots=True, kw_only=True)
class _Connection:
    """One connection through a link, from the near side to the far one."""

    near: SocketStream
    far: SocketStream
    scope: anyio.CancelScope

    def reset(self) -> None:
        """End both sides with a reset."""
        _reset_on_close(self.near)
        _reset_on_close(self.far)
        self.scope.cancel()


class Link:
    """A port whose connections lead to another.

    Bytes that a cut holds arrive once it ends, as those that a network lost and sends
    again.
    """

    def __init__(
        self, *, name: str, target_ip: str = LOOPBACK, target: int = 0
    ) -> None:
        self.name = name
        # Where connections lead; port 0 refuses them.
        self.target_ip = target_ip
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        self.trouble = Trouble.NONE
        self._changed = anyio.Event()
        self._open: set[_Connection] = set()

    @property
    def address(self) -> str:
        """Return where others connect."""
        return f"{LOOPBACK}:{self.port}"

    async def serve(self, tasks: TaskGroup) -> None:
        """Listen on a port of the system's choice, and go on in the task group."""
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._serve_one)

    def set_trouble(self, trouble: Trouble, delay_s: float = 0.0) -> None:
        """Change what the link does; a reset ends what is open."""
        self.trouble = trouble
        self.delay_s = delay_s
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
        if trouble is Trouble.RESET:
            for conn in list(self._open):
                conn.reset()

    async def _serve_one(self, near: SocketStream) -> None:
        if self.trouble is Trouble.RESET or not self.target:
            await _abort(near)
            return
        try:
            far = await anyio.connect_tcp(self.target_ip, self.target)
        except OSError:
            await _abort(near)
            return
        async with anyio.create_task_group() as tasks:
            conn = _Connection(near=near, far=far, scope=tasks.cancel_scope)
            self._open.add(conn)
            try:
                async with anyio.create_task_group() as pumps:
                    there = _make_test(self, HOLDS_THERE)
                    back = _make_test(self, HOLDS_BACK)
                    pumps.start_soon(self._pump, conn, near, far, there)
                    pumps.start_soon(self._pump, conn, far, near, back)
            finally:
                self._open.discard(conn)
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(near)
                    await anyio.aclose_forcefully(far)

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
            await _send_end(sink)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await self._wait_while(is_held)
            conn.reset()

    async def _wait_while(self, is_held: Callable[[], bool]) -> None:
        while is_held():
            await self._changed.wait()


def _make_test(link: Link, kinds: frozenset[Trouble]) -> Callable[[], bool]:
    return lambda: link.trouble in kinds


async def _send_end(sink: SocketStream) -> None:
    try:
        await sink.send_eof()
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        return  # Both sides ended at once.


def _reset_on_close(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        return  # It is closed already.


async def _abort(stream: SocketStream) -> None:
    _reset_on_close(stream)
    await anyio.aclose_forcefully(stream)
