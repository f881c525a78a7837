"""Sockets of outgoing connections that detect unreachable peers within seconds."""

import socket
from typing import Any, Final

# Time that sent bytes may stay unacknowledged, milliseconds.
USER_TIMEOUT_MS: Final = 1_500
# Idle time before the first keepalive probe and time between probes, seconds.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_COUNT: Final = 2


def make_outgoing_socket(info: tuple[Any, ...]) -> socket.socket:
    """Return a socket for an entry of `getaddrinfo`; aiohttp's `socket_factory`."""
    family, kind, proto = info[0], info[1], info[2]
    sock = socket.socket(family=family, type=kind, proto=proto)
    set_keepalive_options(sock)
    return sock


def set_keepalive_options(sock: socket.socket) -> None:
    """Make the operating system close the connection if the peer is unreachable."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)
