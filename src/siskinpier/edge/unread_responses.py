"""Time limit on responses that a caller does not read."""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable
from typing import Any, Final, Protocol

_INT: Final = struct.Struct("i")


class CountingTransport(Protocol):
    """A transport that counts the bytes written to it."""

    written_bytes: int

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the operating system has not taken yet."""

    def get_extra_info(self, name: str) -> Any:
        """Return information on the connection, such as its socket."""


def count_unread_bytes(transport: CountingTransport) -> int:
    """Return the bytes that the caller's system has not acknowledged yet."""
    unread = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except (AttributeError, OSError, ValueError):
        # It is no TCP connection, or is closed already.
        return unread
    return unread + int(_INT.unpack(answer)[0])


class UnreadResponseLimit:
    """Ends a connection whose caller reads nothing for some time.

    What the operating system still holds counts as unread: it takes megabytes, and
    takes more only once a third of them is free, which a slow caller may not reach in
    time.
    """

    __slots__ = ("_expire", "_read_bytes", "_timeout_s", "_timer", "_transport")

    def __init__(
        self,
        transport: CountingTransport,
        *,
        timeout_s: float,
        expire: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._timeout_s = timeout_s
        self._expire = expire
        self._timer: asyncio.TimerHandle | None = None
        self._read_bytes = 0

    def start(self) -> None:
        """Expect that the caller reads something within the time limit."""
        if self._timer is None:
            self._read_bytes = self._count_read()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._timeout_s, self._check)

    def stop(self) -> None:
        """End the limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if not self._transport.get_write_buffer_size():
            return
        if self._count_read() <= self._read_bytes:
            self._expire()
        else:
            self.start()

    def _count_read(self) -> int:
        return self._transport.written_bytes - count_unread_bytes(self._transport)
