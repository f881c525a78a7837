"""Measure the cost of logging: CPU time, and latency with a stalled log reader.

Two hosts serve the same calls alternately. The log of one is read, that of the other
is not. Both use the same machine and backend server at the same time, so that their
latencies can be compared.
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
CALLER_COUNT: Final = 8
# Enough calls to fill the pipe and the buffer of the log that is not read.
WARM_UP_CALLS: Final = 6_000
MEASURED_CALLS: Final = 6_000
TIMED_LINE_COUNT: Final = 20_000
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True, kw_only=True)
class HostFigures:
    """Measurements of one host; `cpu_ms` is the CPU time per call."""

    p50_ms: float
    p99_ms: float
    cpu_ms: float
    memory_bytes: int
    dropped_lines: float


def main() -> None:
    """Run the measurement and print its results."""
    with tempfile.TemporaryDirectory() as folder:
        figures, lines = anyio.run(run, Path(folder))
    line_us = measure_line_us()
    read, stalled = figures[READ], figures[STALLED]
    share = lines * line_us / 1000.0 / read.cpu_ms
    print("| host | p50 ms | p99 ms | CPU ms/call | memory MB | dropped lines |")
    print("|---|---|---|---|---|---|")
    for name, host in figures.items():
        print(
            f"| {name} | {host.p50_ms:.2f} | {host.p99_ms:.2f} |"
            f" {host.cpu_ms:.3f} | {host.memory_bytes / 1e6:.1f} |"
            f" {host.dropped_lines:.0f} |"
        )
    print(
        "p99 with a stalled reader / p99 with an active reader:"
        f" {stalled.p99_ms / read.p99_ms:.3f}"
    )
    print(
        f"{lines:.2f} lines per call of {line_us:.1f} us each:"
        f" {share:.3f} of the CPU time of a call"
    )


async def run(folder: Path) -> tuple[dict[str, HostFigures], float]:
    """Send all calls; return measurements by host, and log lines per call."""
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
                hosts[name] = start_host(name, number, port, folder)
            for host in hosts.values():
                while not await is_ready(host):
                    await anyio.sleep(0.05)
            return await measure(hosts)
        finally:
            for host in hosts.values():
                host.kill()
            server.kill()


def start_host(name: str, number: int, store_port: int, folder: Path) -> HostProcess:
    """Start a host that logs to a pipe, which is read for the host `READ` only."""
    ip = make_loopback_ip(number)
    ports = find_free_ports(4, ip)
    config = HostConfig(
        name=name,
        # Separate failure domains, so that no host requests slots from the other.
        failure_domain=f"z{number + 1}",
        ip=ip,
        advertised_port=ports[2],
        store_port=store_port,
        folder=folder,
    )
    host = HostProcess(config=config, ports=ports)
    reader, host.output = os.pipe()
    if name == READ:
        threading.Thread(target=read_log, args=[reader], daemon=True).start()
    host.start()
    return host


def read_log(reader: int) -> None:
    """Read a log until its end and count its lines."""
    while data := os.read(reader, 65_536):
        READ_LINE_COUNTS.append(data.count(b"\n"))


READ_LINE_COUNTS: Final[list[int]] = []


async def measure(
    hosts: dict[str, HostProcess],
) -> tuple[dict[str, HostFigures], float]:
    """Fill the buffers of the logs, then measure calls sent to the hosts in turn."""
    await send_calls(hosts, WARM_UP_CALLS)
    before = {name: read_cpu_s(host) for name, host in hosts.items()}
    lines = sum(READ_LINE_COUNTS)
    latencies = await send_calls(hosts, MEASURED_CALLS)
    calls_per_host = MEASURED_CALLS // len(hosts)
    figures = {}
    for name, host in hosts.items():
        sorted_s = sorted(latencies[name])
        cpu_s = read_cpu_s(host) - before[name]
        figures[name] = HostFigures(
            p50_ms=1000.0 * sorted_s[len(sorted_s) // 2],
            p99_ms=1000.0 * sorted_s[int(0.99 * len(sorted_s))],
            cpu_ms=1000.0 * cpu_s / calls_per_host,
            memory_bytes=read_memory_bytes(host),
            dropped_lines=await read_dropped_lines(host),
        )
    return figures, (sum(READ_LINE_COUNTS) - lines) / calls_per_host


async def send_calls(
    hosts: dict[str, HostProcess], calls: int
) -> dict[str, list[float]]:
    """Send calls from several callers; return latencies in seconds by host."""
    latencies: dict[str, list[float]] = {name: [] for name in hosts}
    async with aiohttp.ClientSession() as session, anyio.create_task_group() as tasks:
        for caller in range(CALLER_COUNT):
            tasks.start_soon(
                run_caller, session, hosts, caller, calls // CALLER_COUNT, latencies
            )
    return latencies


async def run_caller(
    session: aiohttp.ClientSession,
    hosts: dict[str, HostProcess],
    caller: int,
    calls: int,
    latencies: dict[str, list[float]],
) -> None:
    """Send the calls of one caller one after the other, to each host in turn."""
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
        started = time.perf_counter()
        async with session.get(url, headers=headers) as reply:
            await reply.read()
        latencies[name].append(time.perf_counter() - started)


def read_cpu_s(host: HostProcess) -> float:
    """Return the CPU time that a host process has used, in seconds."""
    fields = Path(f"/proc/{host.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_bytes(host: HostProcess) -> int:
    """Return the resident memory of a host process, in bytes."""
    for line in Path(f"/proc/{host.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


async def read_dropped_lines(host: HostProcess) -> float:
    """Return how many log lines the host dropped because its buffer was full."""
    url = f"http://{host.config.ip}:{host.ready_port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as reply:
        page = await reply.text()
    prefix = "siskinpier_log_lines_left_out_total{"
    rows = [row for row in page.splitlines() if row.startswith(prefix)]
    return sum(float(row.rpartition(" ")[2]) for row in rows)


def measure_line_us() -> float:
    """Return the CPU time for logging one routed call, in microseconds."""
    fd = os.open(os.devnull, os.O_WRONLY)
    configure_logging(NonBlockingHandler(fd=fd))
    started = time.process_time()
    for number in range(TIMED_LINE_COUNT):
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
    cpu_s = time.process_time() - started
    logging.getLogger("siskinpier").handlers = []
    return cpu_s / TIMED_LINE_COUNT * 1e6


if __name__ == "__main__":
    main()
