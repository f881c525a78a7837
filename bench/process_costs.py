"""Measure memory and CPU time of a host process, idle and by connections.

`python -m bench.process_costs` prints the table.
"""

import os
import socket
import time
from dataclasses import replace
from pathlib import Path
from typing import Final

from siskinpier.core.configuration.intents import RoutingIntents

from .fleet import Fleet, load_example
from .slopes import Slope, fit_slope, render_table

COMMAND: Final = "python -m bench.process_costs"
CONNECTION_COUNTS: Final = (0, 250, 500, 1_000)
HOST_COUNTS: Final = (6, 18, 54)
IDLE_PERIOD_S: Final = 5.0
SETTLE_S: Final = 2.0
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
TICK_S: Final = 1.0 / os.sysconf("SC_CLK_TCK")
REQUEST: Final = b"GET /addresses?service=search HTTP/1.1\r\nHost: x\r\n\r\n"


def read_memory_bytes(pid: int) -> float:
    """Return the resident memory of a process, in bytes."""
    pages = Path(f"/proc/{pid}/statm").read_text().split()[1]
    return float(int(pages) * PAGE_BYTES)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def measure_connections() -> Slope:
    """Return the slope of resident memory by idle connections of callers."""
    points = []
    with Fleet(intents=_make_intents(), hosts=1) as fleet:
        fleet.apply_intents()
        host = fleet.hosts[0]
        ip, _, port = host.callers.partition(":")
        sockets: list[socket.socket] = []
        for count in CONNECTION_COUNTS:
            while len(sockets) < count:
                sockets.append(_connect(ip, int(port)))
            time.sleep(SETTLE_S)
            points.append((float(count), read_memory_bytes(host.process.pid)))
        for sock in sockets:
            sock.close()
    return fit_slope(
        name="memory of a host process",
        size_name="callers' connections",
        unit="bytes",
        points=points,
        command=COMMAND,
    )


def measure_idle() -> list[Slope]:
    """Return the slopes of CPU share and memory of an idle host by fleet size."""
    memory = []
    cpu_percents = []
    for count in HOST_COUNTS:
        with Fleet(intents=_make_intents(), hosts=count) as fleet:
            fleet.apply_intents()
            time.sleep(SETTLE_S)
            pid = fleet.hosts[0].process.pid
            before = read_cpu_s(pid)
            time.sleep(IDLE_PERIOD_S)
            cpu_percents.append(
                (float(count), (read_cpu_s(pid) - before) / IDLE_PERIOD_S * 100)
            )
            memory.append((float(count), read_memory_bytes(pid)))
    return [
        fit_slope(
            name="CPU share when idle",
            size_name="hosts",
            unit="% of a core",
            points=cpu_percents,
            command=COMMAND,
        ),
        fit_slope(
            name="memory of a host process",
            size_name="hosts",
            unit="bytes",
            points=memory,
            command=COMMAND,
        ),
    ]


def measure_all() -> list[Slope]:
    """Run all measurements of a host process and return their slopes."""
    return [measure_connections(), *measure_idle()]


def _make_intents() -> RoutingIntents:
    search = load_example("arhivski-kadar").services[0]
    service = replace(search, servers=search.servers[:3])
    return RoutingIntents(services=(service,))


def _connect(ip: str, port: int) -> socket.socket:
    sock = socket.create_connection((ip, port))
    sock.sendall(REQUEST)
    sock.recv(65_536)
    return sock


if __name__ == "__main__":
    print(render_table(measure_all()))
