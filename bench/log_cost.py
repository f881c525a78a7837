"""What a host's log costs: in processor time, and with a reader that stands still.

Two hosts serve the same calls in turn. The log of one is read, that of the other is
not; both share machine, backend server and moment, so their latencies can be compared.
"""

import logging
import os
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import aiohttp
import anyio

from siskinpier.log_writer import NonBlockingHandler
from siskinpier.logs import configure_logging, log_event
from soak.deployment import is_ready, make_configuration
from soak.processes import (
    HostConfig,
    HostProcess,
    ServerProcess,
    make_loopback_ip,
)
from tests.standins.app_thread import AppThread
from tests.standins.metadata_store import MetadataStore
from tests.standins.process import find_free_ports

READ: Final = "read"
STALLED: Final = "stalled"
CALLERS: Final = 8
# Calls that fill the pipe and the buffer of the log that nobody reads.
WARM_CALLS: Final = 6_000
CALLS: Final = 6_000
LINES_TIMED: Final = 20_000
CLOCK_TICKS: Final = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True, kw_only=True)
class HostFigures:
    """What one host needed; times in milliseconds, memory in bytes."""

    p50_ms: float
    p99_ms: float
    processor_ms: float
    memory_bytes: int
    left_out: float


def main() -> None:
    """Print the figures of one run."""
    with tempfile.TemporaryDirectory() as folder:
        figures, lines = anyio.run(run, Path(folder))
    line_us = time_line()
    read, stalled = figures[READ], figures[STALLED]
    share = lines * line_us / 1000.0 / read.processor_ms
    print("| host | p50 ms | p99 ms | processor ms a call | memory MB | left out |")
    print("|---|---|---|---|---|---|")
    for name, host in figures.items():
        print(
            f"| {name} | {host.p50_ms:.2f} | {host.p99_ms:.2f} |"
            f" {host.processor_ms:.3f} | {host.memory_bytes / 1e6:.1f} |"
            f" {host.left_out:.0f} |"
        )
    print(
        "p99 with a stalled reader over one that reads:"
        f" {stalled.p99_ms / read.p99_ms:.3f}"
    )
    print(
        f"{lines:.2f} lines a call of {line_us:.1f} us each:"
        f" {share:.3f} of a call's processor time"
    )


async def run(folder: Path) -> tuple[dict[str, HostFigures], float]:
    """Play the calls; return each host's figures, and lines a call."""
    store = MetadataStore()
    routes = {"search": "films", "pay": "films", "move": "films"}
    store.put("config", "main", make_configuration(1, routes))
    server = ServerProcess(
        name="s", service="films", journal=folder / "s.jsonl", slots=64, work_ms=1.0
    )
    entry = {
        "address": f"127.0.0.1:{server.port}",
        "info": {"service": "films", "version": "v", "zone": "z1", "slots": 64},
        "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
        "born": 1,
    }
    store.put("servers", "s", entry)
    hosts: dict[str, HostProcess] = {}
    with AppThread(store) as served:
        port = int(served.address.rpartition(":")[2])
        try:
            for number, name in enumerate((READ, STALLED)):
                hosts[name] = make_host(name, number, port, folder)
            for host in hosts.values():
                while not await is_ready(host):
                    await anyio.sleep(0.05)
            return await measure(hosts)
        finally:
            for host in hosts.values():
                host.kill()
            server.kill()


def make_host(name: str, number: int, store_port: int, folder: Path) -> HostProcess:
    """Start a host whose log goes into a pipe that is read, or is not."""
    ip = make_loopback_ip(number)
    ports = find_free_ports(4, ip)
    config = HostConfig(
        name=name,
        # Each is its own failure domain, so that neither asks the other for slots.
        failure_domain=f"z{number + 1}",
        ip=ip,
        advertised_port=ports[2],
        store_port=store_port,
        folder=folder,
    )
    host = HostProcess(config=config, ports=ports)
    reader, host.output = os.pipe()
    if name == READ:
        threading.Thread(target=drain, args=[reader], daemon=True).start()
    host.start()
    return host


def drain(reader: int) -> None:
    """Read a log to its end, counting its lines."""
    while data := os.read(reader, 65_536):
        LINES.append(data.count(b"\n"))


LINES: Final[list[int]] = []


async def measure(
    hosts: dict[str, HostProcess],
) -> tuple[dict[str, HostFigures], float]:
    """Send calls to the hosts in turn, first to fill what the log may fill."""
    await send_calls(hosts, WARM_CALLS)
    before = {name: read_processor_s(host) for name, host in hosts.items()}
    lines = sum(LINES)
    latencies = await send_calls(hosts, CALLS)
    each = CALLS // len(hosts)
    figures = {}
    for name, host in hosts.items():
        ordered = sorted(latencies[name])
        used_s = read_processor_s(host) - before[name]
        figures[name] = HostFigures(
            p50_ms=1000.0 * ordered[len(ordered) // 2],
            p99_ms=1000.0 * ordered[int(0.99 * len(ordered))],
            processor_ms=1000.0 * used_s / each,
            memory_bytes=read_memory_bytes(host),
            left_out=await read_left_out(host),
        )
    return figures, (sum(LINES) - lines) / each


async def send_calls(
    hosts: dict[str, HostProcess], calls: int
) -> dict[str, list[float]]:
    """Send calls from several callers, to each host in turn; return latencies."""
    latencies: dict[str, list[float]] = {name: [] for name in hosts}
    async with aiohttp.ClientSession() as session, anyio.create_task_group() as tasks:
        for caller in range(CALLERS):
            tasks.start_soon(
                send_some, session, hosts, caller, calls // CALLERS, latencies
            )
    return latencies


async def send_some(
    session: aiohttp.ClientSession,
    hosts: dict[str, HostProcess],
    caller: int,
    calls: int,
    latencies: dict[str, list[float]],
) -> None:
    """Send the calls of one caller, one after the other."""
    names = list(hosts)
    for number in range(calls):
        name = names[number % len(names)]
        host = hosts[name]
        headers = {
            "Host": "films.example",
            "X-Request-Id": f"{caller}-{number}-{time.monotonic_ns()}",
            "X-Deadline-Ms": "2000",
        }
        url = f"http://{host.config.ip}:{host.front_port}/search/1"
        began = time.perf_counter()
        async with session.get(url, headers=headers) as reply:
            await reply.read()
        latencies[name].append(time.perf_counter() - began)


def read_processor_s(host: HostProcess) -> float:
    """Return the processor time that a host used so far."""
    fields = Path(f"/proc/{host.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_memory_bytes(host: HostProcess) -> int:
    """Return a host's resident memory."""
    for line in Path(f"/proc/{host.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


async def read_left_out(host: HostProcess) -> float:
    """Return how many log lines found no room."""
    url = f"http://{host.config.ip}:{host.ready_port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as reply:
        page = await reply.text()
    prefix = "siskinpier_log_lines_left_out_total{"
    rows = [row for row in page.splitlines() if row.startswith(prefix)]
    return sum(float(row.rpartition(" ")[2]) for row in rows)


def time_line() -> float:
    """Return what one line of a routed call costs, microseconds."""
    fd = os.open(os.devnull, os.O_WRONLY)
    configure_logging(NonBlockingHandler(fd=fd))
    began = time.process_time()
    for number in range(LINES_TIMED):
        log_event(
            "route",
            call=f"9c41d07be2a35f68-{number}",
            service="jepu30a",
            target="i-7f3a91c2",
            reason="granted",
            urgency=2,
            attempt=1,
            in_flight=1,
            left_s=0.917,
            slowdown=1.0,
            slowdown_age_s=0.029,
        )
    used_s = time.process_time() - began
    logging.getLogger("siskinpier").handlers = []
    return used_s / LINES_TIMED * 1e6


if __name__ == "__main__":
    main()
