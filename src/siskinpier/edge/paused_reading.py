"""Detection of callers that disconnect while nothing is read from their connection."""

import asyncio
import socket
from typing import Any, Final

# Requests of a caller must end within 0.5 s of its disconnection.
CHECK_INTERVAL_S: Final = 0.2
# First byte of `tcp_info`; the value while neither side has closed the connection.
ESTABLISHED: Final = 1


def is_established(transport: Any) -> bool:
    """Return False if the caller has closed or reset its connection."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return True
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        # It is no TCP connection, or is closed already.
        return True
    return bool(state[0] == ESTABLISHED)


class DisconnectionCheck:
    """Aborts a connection that its caller has closed, while reading is paused."""

    __slots__ = ("_timer", "_transport")

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check periodically until `stop`."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if is_established(self._transport):
            self.start()
        else:
            self._transport.abort()
