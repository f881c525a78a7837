"""Limits on callers that follow from the memory and descriptors of a host's machine."""

from dataclasses import replace
from typing import Final

from ..settings.host import LimitSettings

# Largest body, and time for which idle connections are kept, on every machine.
BODY_BYTES: Final = 67_108_864
KEEP_ALIVE_S: Final = 15.0

# Memory of a host without callers (48 MB measured), and what its peers and the
# platform's objects take, in bytes.
BASE_BYTES: Final = 72_000_000
# A request is held up to three times: as read, as passed on, and while it is sent.
COPIES: Final = 3
MIN_REQUESTS_BYTES: Final = 4_194_304
# A connection whose read-ahead and unsent response are full (32 KB), with the next part
# of that response and its parser, in bytes.
CONNECTION_BYTES: Final = 65_536
# Share of the memory above `BASE_BYTES` that such connections may take.
CONNECTIONS_SHARE: Final = 0.5
# Connections for status requests, as a share of those of callers.
STATUS_MEMORY_SHARE: Final = 0.25

# Descriptors that are not for connections: files, listeners, the event loop. Machines
# set 200 aside for files.
FILE_DESCRIPTORS: Final = 200
MAX_FILE_SHARE: Final = 0.25
# Shares of the remaining descriptors for callers and for status requests; the rest is
# for servers, peers and the platform.
CALLERS_SHARE: Final = 0.6
STATUS_SHARE: Final = 0.1
MIN_CONNECTIONS: Final = 16

# Callers send a head within 3 s, and have deadlines of a few seconds.
HEAD_TIMEOUT_S: Final = 5.0
UNREAD_RESPONSE_S: Final = 10.0


def make_limits(*, memory_bytes: int | None, descriptors: int | None) -> LimitSettings:
    """Return the limits on callers; None leaves those that depend on a value."""
    limits = LimitSettings(body_bytes=BODY_BYTES, keep_alive_s=KEEP_ALIVE_S)
    if memory_bytes is None and descriptors is None:
        return limits
    limits = replace(
        limits, head_timeout_s=HEAD_TIMEOUT_S, unread_response_s=UNREAD_RESPONSE_S
    )
    if memory_bytes is not None:
        free_bytes = max(0, memory_bytes - BASE_BYTES)
        limits = replace(
            limits,
            all_requests_bytes=_bound(
                free_bytes // COPIES, MIN_REQUESTS_BYTES, limits.all_requests_bytes
            ),
            connections=_bound(
                int(free_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES),
                MIN_CONNECTIONS,
                limits.connections,
            ),
        )
    if descriptors is not None:
        connections = _bound(
            int(_count_sockets(descriptors) * CALLERS_SHARE),
            MIN_CONNECTIONS,
            limits.connections,
        )
        limits = replace(limits, connections=connections)
    return limits


def make_status_limits(
    limits: LimitSettings, *, memory_bytes: int | None, descriptors: int | None
) -> LimitSettings:
    """Return the limits on the connections for readiness, addresses and metrics."""
    connections = limits.connections
    if memory_bytes is not None:
        connections = int(connections * STATUS_MEMORY_SHARE)
    if descriptors is not None:
        most = int(_count_sockets(descriptors) * STATUS_SHARE)
        connections = min(connections, most)
    return replace(
        limits, connections=_bound(connections, MIN_CONNECTIONS, limits.connections)
    )


def _count_sockets(descriptors: int) -> int:
    files = min(FILE_DESCRIPTORS, int(descriptors * MAX_FILE_SHARE))
    return descriptors - files


def _bound(value: int, least: int, most: int) -> int:
    return max(least, min(most, value))
