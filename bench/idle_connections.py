"""What requests lose on connections that a backend server has forgotten.

`python -m bench.idle_connections` prints a Markdown table: for each longest rest of a
kept connection and each rate of requests, the share of requests lost and the new
connections a request. The server forgets connections that rested 0.3 s without closing
them, and resets them when the next request comes; such a request was not run.
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

FORGOTTEN_AFTER_S: Final = 0.3
LENGTH_S: Final = 20.0
SEED: Final = 1
RATES: Final = (1.0, 4.0, 16.0)
# The longest rests to compare, seconds; the least one opens a connection a request.
LONGEST_RESTS_S: Final = (4.0, 0.25, 0.001)
REPLY: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# Closing with this option sends a reset.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """What one client saw: requests, those lost, and connections opened."""

    requests: int
    lost: int
    connections: int


class ForgetfulServer:
    """Answers at once, but resets connections that rested too long."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, out: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        rested_from = time.monotonic()
        while await reader.read(65_536):
            if time.monotonic() - rested_from > FORGOTTEN_AFTER_S:
                sock = out.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                break
            out.write(REPLY)
            await out.drain()
            rested_from = time.monotonic()
        out.close()


async def measure(longest_rest_s: float, rate: float) -> Loss:
    """Send requests at random times, `rate` a second, to a server of its own."""
    server = ForgetfulServer()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    address = "{}:{}".format(*listener.sockets[0].getsockname())
    client = BackendClient(keep_alive_s=longest_rest_s)
    await client.open()
    rng = random.Random(SEED)
    requests = lost = 0
    end = time.monotonic() + LENGTH_S
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
    return Loss(requests=requests, lost=lost, connections=server.connections)


async def measure_all() -> dict[tuple[float, float], Loss]:
    """Measure every longest rest at every rate, side by side."""
    found: dict[tuple[float, float], Loss] = {}

    async def run(rest_s: float, rate: float) -> None:
        found[rest_s, rate] = await measure(rest_s, rate)

    async with anyio.create_task_group() as tasks:
        for rest_s, rate in product(LONGEST_RESTS_S, RATES):
            tasks.start_soon(run, rest_s, rate)
    return found


def main() -> None:
    """Print the table."""
    found = anyio.run(measure_all)
    print(
        "| longest rest, s | requests/s | requests | lost | new connections a request |"
    )
    print("|---|---|---|---|---|")
    for rest_s, rate in product(LONGEST_RESTS_S, RATES):
        loss = found[rest_s, rate]
        share = loss.lost / loss.requests
        opened = loss.connections / loss.requests
        print(
            f"| {rest_s:g} | {rate:g} | {loss.requests} | {share:.1%} | {opened:.2f} |"
        )


if __name__ == "__main__":
    main()
