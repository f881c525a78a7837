"""Running a case: its folder, record and result, and the end of what it started."""

import asyncio
import os
import re
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .host import BOUNDS, ROOT, CannotRunError, Host
from .record import Record
from .store import Store
from .upstream import HEALTH_PATH, Upstream

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
# Lines of the hosts' logs that are left out of the record.
ROUTINE = re.compile(r"event=(route|grant|answer|queue|probe) ")


class Case:
    """A small deployment: a store, upstreams and hosts."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(self.record)
        self.upstreams: list[Upstream] = []
        self.hosts: list[Host] = []
        self._folder = temporary

    async def add_upstreams(self, service: str, count: int, **options: Any) -> None:
        """Start upstreams of a service, and register them."""
        for n in range(count):
            upstream = Upstream(
                self.record, name=f"i-{service}-{n}", service=service, **options
            )
            await upstream.start()
            upstream.register(self.store)
            self.upstreams.append(upstream)

    def make_host(self, name: str, **options: Any) -> Host:
        """Return a host that is not started yet."""
        seeds = ",".join(f"127.0.0.1:{host.control}" for host in self.hosts[:3])
        options.setdefault("seeds", seeds)
        host = Host(
            self.record, self._folder, store=self.store.address, name=name, **options
        )
        self.hosts.append(host)
        return host

    def add_host(self, name: str, **options: Any) -> Host:
        """Start a host."""
        host = self.make_host(name, **options)
        host.start()
        return host

    def configure(
        self,
        version: int,
        rules: list[dict[str, Any]],
        services: list[str],
        **limits: Any,
    ) -> None:
        """Write a configuration with one virtual host, `app.example`."""
        spec = {
            "version": f"{version:08x}",
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 1_000_000,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
                **limits,
            },
            "listeners": [{"host": "app.example", "rules": rules}],
            "clusters": [
                {"name": name, "healthPath": HEALTH_PATH, "maxConnections": 260}
                for name in services
            ],
        }
        self.store.put("config", "main", spec)
        self.record.write("operator", f"version {version:08x} is acknowledged")

    def stop(self) -> None:
        """End all that the case started."""
        for host in self.hosts:
            host.stop()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()


def make_rule(
    prefix: str, service: str, kind: str, *, timeout_s: float = 2.0, **more: Any
) -> dict[str, Any]:
    """Return a rule that sends a prefix to a service."""
    return {
        "name": prefix.strip("/"),
        "kind": kind,
        "priority": 1,
        "targetLatencyS": 0.5,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeoutS": timeout_s, "attempts": 2},
        **more,
    }


def run_case(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: `play` returns True if the rule was broken."""
    sys.exit(asyncio.run(_run(folder, play)))


async def _run(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        case = Case(folder, Path(temporary))
        case.record.say(f"trouble: {'on' if case.trouble else 'off'}")
        try:
            if not (ROOT / "target/deps/siskinpier").is_dir():
                raise CannotRunError("the build of the deploy file is missing")
            async with asyncio.timeout(LIMIT_S):
                await case.store.start()
                broken = await play(case)
        except (
            CannotRunError,
            TimeoutError,
            OSError,
            asyncio.CancelledError,
        ) as exc:
            case.record.say(f"the case could not run: {exc!r}")
            return COULD_NOT_RUN
        finally:
            case.stop()
            for host in case.hosts:
                for row in host.read_log().splitlines():
                    if not ROUTINE.search(row):
                        case.record.write(f"{host.name} log", row)
        case.record.say("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD


__all__ = ["BOUNDS", "Case", "CannotRunError", "make_rule", "run_case"]
