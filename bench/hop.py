"""The cost of a hop: calls direct and through one host, side by side in one run.

`python -m bench.hop [SECONDS [REPEATS]]` runs the ways in turn, several times,
and prints medians over the repeats. Processor time is that of the entry host
alone. At full speed each connection sends its next call at once, so that many
connections measure the waiting for a host that is full; the paced rows show the
added time while the host has room.
"""

import asyncio
import os
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final, cast

import uvloop

from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServiceIntent,
)
from tests.standins.process import StandIn

from .fleet import Fleet

# Connections, and calls a second of all together; 0 is full speed.
LOADS: Final = ((1, 0), (4, 0), (16, 0), (4, 200), (16, 200))
RUN_S: Final = 0.7
REPEATS: Final = 7
# Paced runs are this many times longer, to have enough calls for a p99.
PACED_RUNS: Final = 2
TARGET_MS: Final = 0.78
READY_BOUND_S: Final = 10.0
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True, kw_only=True)
class Way:
    """One way for a call to take."""

    name: str
    address: str
    path: str
    pid: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """One short run: latencies in ms, processor time a call in microseconds."""

    p50_ms: float
    p99_ms: float
    calls_per_s: float
    cpu_us: float


class Client(asyncio.Protocol):
    """One kept connection that has one call in flight at a time."""

    def __init__(self, *, request: bytes, interval_s: float) -> None:
        self.latencies_s: list[float] = []
        self.closed = asyncio.get_running_loop().create_future()
        self.is_running = True
        self._request = request
        self._interval_s = interval_s
        self._started = 0.0
        self._reply = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first call."""
        self._transport = cast(asyncio.Transport, transport)
        self._send()

    def data_received(self, data: bytes) -> None:
        """Take in a reply; each ends with the two bytes of its body."""
        self._reply += data
        if not self._reply.endswith(b"\r\n\r\nok"):
            return
        assert self._reply.startswith(b"HTTP/1.1 200"), self._reply
        self.latencies_s.append(time.perf_counter() - self._started)
        if not self.is_running:
            self._transport.close()
        elif self._interval_s == 0:
            self._send()
        else:
            wait_s = self._started + self._interval_s - time.perf_counter()
            asyncio.get_running_loop().call_later(max(0.0, wait_s), self._send)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the connection is closed."""
        self.closed.set_result(None)

    def _send(self) -> None:
        self._reply = b""
        self._started = time.perf_counter()
        self._transport.write(self._request)


def main() -> int:
    """Print the table; return 1 if a host adds more than the target at p99."""
    run_s = float(sys.argv[1]) if len(sys.argv) > 1 else RUN_S
    repeats = int(sys.argv[2]) if len(sys.argv) > 2 else REPEATS
    with StandIn(module="bench.hop_backend") as backend:
        address = f"127.0.0.1:{backend.port}"
        with (
            _start(address, "bench.house") as house,
            _start(address, "siskinpier") as product,
        ):
            ways = (
                Way(name="direct", address=address, path="/x", pid=None),
                _make_way("hypercorn+httpx", house),
                _make_way("siskinpier", product),
            )
            return _report(ways, run_s, repeats)


def measure_host(
    connections: Sequence[int], run_s: float = RUN_S, repeats: int = REPEATS
) -> list[tuple[int, Sample, float]]:
    """Return for each count of connections a host's median and what p99 it adds.

    The last value is in milliseconds, against a direct call in the same run.
    """
    rows = []
    with StandIn(module="bench.hop_backend") as backend:
        address = f"127.0.0.1:{backend.port}"
        with _start(address, "siskinpier") as fleet:
            direct = Way(name="direct", address=address, path="/x", pid=None)
            way = _make_way("siskinpier", fleet)
            for count in connections:
                base, own = [], []
                for _ in range(repeats):
                    base.append(_measure(direct, (count, 0), run_s))
                    own.append(_measure(way, (count, 0), run_s))
                middle = sorted(own, key=lambda sample: sample.cpu_us)[repeats // 2]
                added_ms = _get_added(own, base, lambda sample: sample.p99_ms)
                rows.append((count, middle, added_ms))
    return rows


def _start(address: str, module: str) -> Fleet:
    server = BackendServer(name="s-1", address=address, failure_domain="a", slots=64)
    intents = RoutingIntents(services=(ServiceIntent(name="s", servers=(server,)),))
    fleet = Fleet(intents=intents, hosts=1, module=module)
    fleet.intents = intents
    fleet.apply_intents()
    deadline = time.monotonic() + READY_BOUND_S
    while time.monotonic() < deadline:
        rows = fleet.ask("configuration")["data"]
        if isinstance(rows, list) and rows and rows[0]["revision"] == 1:
            return fleet
        time.sleep(0.05)
    raise TimeoutError("the routing intents are not in force")


def _make_way(name: str, fleet: Fleet) -> Way:
    host = fleet.hosts[0]
    return Way(name=name, address=host.callers, path="/call/s/x", pid=host.process.pid)


def _report(ways: tuple[Way, ...], run_s: float, repeats: int) -> int:
    print(f"{'way':<16}{'conns':>6}{'paced':>7}{'p50 ms':>9}{'p99 ms':>9}", end="")
    print(f"{'added p50':>11}{'added p99':>11}{'calls/s':>9}{'cpu us/call':>13}")
    worst_ms = 0.0
    for load in LOADS:
        samples: dict[str, list[Sample]] = {way.name: [] for way in ways}
        for _ in range(repeats):
            for way in ways:
                samples[way.name].append(_measure(way, load, run_s))
        direct = samples["direct"]
        for way in ways:
            own = samples[way.name]
            added_ms = _get_added(own, direct, lambda s: s.p99_ms)
            _print_row(way, load, own, direct)
            if way.name == "siskinpier":
                worst_ms = max(worst_ms, added_ms)
    print(f"most added at p99: {worst_ms:.2f} ms, target {TARGET_MS} ms")
    return 0 if worst_ms <= TARGET_MS else 1


def _print_row(
    way: Way, load: tuple[int, int], own: list[Sample], direct: list[Sample]
) -> None:
    def median(get: Callable[[Sample], float]) -> float:
        return statistics.median(get(sample) for sample in own)

    print(
        f"{way.name:<16}{load[0]:>6}{load[1] or '-':>7}"
        f"{median(lambda s: s.p50_ms):>9.3f}{median(lambda s: s.p99_ms):>9.3f}"
        f"{_get_added(own, direct, lambda s: s.p50_ms):>11.3f}"
        f"{_get_added(own, direct, lambda s: s.p99_ms):>11.3f}"
        f"{median(lambda s: s.calls_per_s):>9.0f}{median(lambda s: s.cpu_us):>13.0f}",
        flush=True,
    )


def _get_added(
    own: list[Sample], direct: list[Sample], get: Callable[[Sample], float]
) -> float:
    """Return the median difference of runs that followed each other."""
    return statistics.median(
        get(sample) - get(base) for sample, base in zip(own, direct, strict=True)
    )


def _measure(way: Way, load: tuple[int, int], run_s: float) -> Sample:
    if load[1]:
        run_s *= PACED_RUNS
    before_s = _read_cpu_s(way.pid)
    latencies_s = uvloop.run(_call(way, load, run_s))
    used_s = _read_cpu_s(way.pid) - before_s
    ordered = sorted(latencies_s)
    return Sample(
        p50_ms=ordered[len(ordered) // 2] * 1e3,
        p99_ms=ordered[int(len(ordered) * 0.99)] * 1e3,
        calls_per_s=len(ordered) / run_s,
        cpu_us=used_s / len(ordered) * 1e6,
    )


async def _call(way: Way, load: tuple[int, int], run_s: float) -> list[float]:
    connections, pace = load
    interval_s = connections / pace if pace else 0.0
    loop = asyncio.get_running_loop()
    request = f"GET {way.path} HTTP/1.1\r\nHost: {way.address}\r\n\r\n".encode()
    ip, port = way.address.rsplit(":", 1)
    clients = []
    for _ in range(connections):
        _, client = await loop.create_connection(
            lambda: Client(request=request, interval_s=interval_s), ip, int(port)
        )
        # Spread the connections' calls evenly.
        await asyncio.sleep(interval_s / connections)
        clients.append(client)
    await asyncio.sleep(run_s)
    for client in clients:
        client.is_running = False
    await asyncio.gather(*(client.closed for client in clients))
    return [latency for client in clients for latency in client.latencies_s]


def _read_cpu_s(pid: int | None) -> float:
    """Return user and system time of a process, in seconds."""
    if pid is None:
        return 0.0
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


if __name__ == "__main__":
    sys.exit(main())
