"""The listening sockets of a host, bound before their ports are announced."""

import ipaddress
import socket
from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Final

from ..settings.host import Address, HostSettings

BACKLOG_CONNECTIONS: Final = 2_048


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSockets:
    """One listening socket for each kind of client."""

    callers: socket.socket
    operators: socket.socket
    peers: socket.socket


def bind_sockets(settings: HostSettings) -> HostSockets:
    """Bind all sockets; port 0 lets the system choose one. Raises `OSError`."""
    callers, operators, peers = make_listeners(
        (settings.callers, settings.operators, settings.peers)
    )
    return HostSockets(callers=callers, operators=operators, peers=peers)


def get_address(sock: socket.socket) -> str:
    """Return the bound address as `ip:port`, with brackets around IPv6."""
    ip, port = sock.getsockname()[:2]
    return f"[{ip}]:{port}" if sock.family == socket.AF_INET6 else f"{ip}:{port}"


def make_ready_line(sockets: HostSockets) -> str:
    """Return the line that reports the host's addresses to a service manager."""
    port = sockets.callers.getsockname()[1]
    return (
        f"ready port={port} callers={get_address(sockets.callers)}"
        f" operators={get_address(sockets.operators)}"
        f" peers={get_address(sockets.peers)}"
    )


def make_listener(address: Address) -> socket.socket:
    """Return a bound, listening socket; raises `OSError`."""
    (listener,) = make_listeners((address,))
    return listener


def make_listeners(addresses: Iterable[Address]) -> list[socket.socket]:
    """Return a listening socket for each address, or raise `OSError` and keep none.

    No connection is accepted until all addresses are bound.
    """
    with ExitStack() as opened:
        listeners = [_bind(address, opened) for address in addresses]
        for listener in listeners:
            listener.listen(BACKLOG_CONNECTIONS)
        opened.pop_all()
    return listeners


def _bind(address: Address, opened: ExitStack) -> socket.socket:
    is_v6 = ipaddress.ip_address(address.ip).version == 6
    sock = opened.enter_context(
        socket.socket(socket.AF_INET6 if is_v6 else socket.AF_INET)
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit it; asyncio sets it only on sockets whose protocol
    # number is IPPROTO_TCP.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.bind((address.ip, address.port))
    except OSError as exc:
        raise OSError(
            exc.errno, f"{exc.strerror} ({address.ip} {address.port})"
        ) from exc
    sock.setblocking(False)
    return sock
