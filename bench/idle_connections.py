"""Measure requests lost on connections that the backend server has timed out.

`python -m bench.idle_connections` prints a Markdown table: for each idle timeout of
the client and each request rate, the share of requests lost and the new connections
per request. After 0.3 s of idleness the server drops a connection without closing it,
and resets it when the next request arrives. That request is not run.
"""

import asyncio
import random
import socket
import struct
import time
from dataclasses import dataclass
from itertools import product
from typing import Final

import anyio

from siskinpier.edge.backends import AttemptError, BackendClient

SERVER_IDLE_TIMEOUT_S: Final = 0.3
RUN_S: Final = 20.0
SEED: Final = 1
REQUEST_RATES_PER_S: Final = (1.0, 4.0, 16.0)
# Compared idle timeouts, seconds; the lowest one opens a connection per request.
IDLE_TIMEOUTS_S: Final = (4.0, 0.25, 0.001)
REPLY: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# SO_LINGER with a timeout of 0: close() sends a TCP reset.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestStats:
    """Counts of one client: requests, lost requests and opened connections."""

    requests: int
    lost: int
    connections: int


class IdleTimeoutServer:
    """Answers at once, but resets connections that were idle for too long."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it is closed or reset."""
        self.connections += 1
        idle_since = time.monotonic()
        while await reader.read(65_536):
            if time.monotonic() - idle_since > SERVER_IDLE_TIMEOUT_S:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                break
            writer.write(REPLY)
            await writer.drain()
            idle_since = time.monotonic()
        writer.close()


async def measure(idle_timeout_s: float, rate: float) -> RequestStats:
    """Send `rate` requests per second at random times to a new server."""
    server = IdleTimeoutServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    address = "{}:{}".format(*listener.sockets[0].getsockname())
    client = BackendClient(keep_alive_s=idle_timeout_s)
    await client.open()
    rng = random.Random(SEED)
    requests = lost = 0
    end = time.monotonic() + RUN_S
    while time.monotonic() < end:
        await anyio.sleep(rng.expovariate(rate))
        requests += 1
        try:
            reply = await client.send(
                address=address, method="GET", target="/", headers=[], body=b""
            )
            async for _ in reply.iterate():
                pass
            reply.close()
        except AttemptError:
            lost += 1
    await client.aclose()
    listener.close()
    return RequestStats(requests=requests, lost=lost, connections=server.connections)


async def measure_all() -> dict[tuple[float, float], RequestStats]:
    """Measure all combinations of idle timeout and rate concurrently."""
    results: dict[tuple[float, float], RequestStats] = {}

    async def run(timeout_s: float, rate: float) -> None:
        results[timeout_s, rate] = await measure(timeout_s, rate)

    async with anyio.create_task_group() as tasks:
        for timeout_s, rate in product(IDLE_TIMEOUTS_S, REQUEST_RATES_PER_S):
            tasks.start_soon(run, timeout_s, rate)
    return results


def main() -> None:
    """Print the table."""
    results = anyio.run(measure_all)
    print("| idle timeout, s | requests/s | requests | lost | connections/request |")
    print("|---|---|---|---|---|")
    for timeout_s, rate in product(IDLE_TIMEOUTS_S, REQUEST_RATES_PER_S):
        stats = results[timeout_s, rate]
        share = stats.lost / stats.requests
        opened = stats.connections / stats.requests
        print(
            f"| {timeout_s:g} | {rate:g} | {stats.requests} | {share:.1%}"
            f" | {opened:.2f} |"
        )


if __name__ == "__main__":
    main()
