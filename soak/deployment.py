"""The deployment of a run: store, links, backend servers, hosts and configuration."""

import time
from pathlib import Path
from typing import Any, Final

import anyio
import httpx
from anyio.abc import TaskGroup

from tests.standins.app_thread import AppThread
from tests.standins.metadata_store import POLL_INTERVAL_S, MetadataStore
from tests.standins.process import find_free_ports

from .callers import VIRTUAL_HOST
from .history import Configured, Entry, load_entry
from .links import Link
from .processes import (
    HostConfig,
    HostProcess,
    ServerProcess,
    make_loopback_ip,
)

SERVICES: Final = ("films", "sounds", "rights")
FAILURE_DOMAINS: Final = ("z1", "z2")
SLOTS: Final = 2
WORK_MS: Final = 60.0


class Deployment:
    """Starts and stops the processes of a run, and changes them during the run.

    An endpoint is a link with a fixed address, such as `s0`, at which one backend
    server replaces another; each server process gets a new name. Times are of the
    monotonic clock.
    """

    def __init__(
        self,
        *,
        folder: Path,
        hosts: int,
        servers: int,
        planted: str = "",
        earlier_source: Path | None = None,
    ) -> None:
        self.store = MetadataStore()
        self.hosts: dict[str, HostProcess] = {}
        self.servers: dict[str, ServerProcess] = {}
        # Endpoints whose server is being replaced.
        self.replacing: set[str] = set()
        self.links: dict[str, Link] = {}
        self.version = 7
        self._folder = folder
        self._planted = planted
        self._earlier_source = earlier_source
        self._host_names = [f"h{n}" for n in range(hosts)]
        self._endpoint_names = [f"s{n}" for n in range(servers)]
        self._store_server = AppThread(self.store)
        self._server_count = 0
        self._journal_offsets: dict[Path, int] = {}

    async def start(self, tasks: TaskGroup) -> None:
        """Start all processes; hosts are not ready yet."""
        self._store_server.__enter__()
        store_port = int(self._store_server.address.rpartition(":")[2])
        for endpoint in self._endpoint_names:
            await self._add_link(Link(name=f"server/{endpoint}"), tasks)
        async with anyio.create_task_group() as starts:
            for index, endpoint in enumerate(self._endpoint_names):
                service = SERVICES[index % len(SERVICES)]
                starts.start_soon(self.start_server, endpoint, service)
        for index, host in enumerate(self._host_names):
            await self._add_host(host, index, store_port, tasks)

    def stop(self) -> None:
        """Kill all processes and stop the store."""
        for host in self.hosts.values():
            host.kill()
        for server in self.servers.values():
            server.kill()
        self.store.mode = "ending"
        time.sleep(2 * POLL_INTERVAL_S)
        self._store_server.__exit__(None, None, None)

    async def start_server(self, endpoint: str, service: str) -> None:
        """Start a backend server with a new name at an endpoint, and register it."""
        self._server_count += 1
        name = f"{endpoint}-{self._server_count}"
        journal = self._folder / f"servers.{name}.jsonl"
        server = await anyio.to_thread.run_sync(
            lambda: ServerProcess(
                name=name,
                service=service,
                journal=journal,
                slots=SLOTS,
                work_ms=WORK_MS,
            )
        )
        self.servers[endpoint] = server
        self.links[f"server/{endpoint}"].target = server.port
        self.register(endpoint)

    def register(self, endpoint: str, state: str = "ready") -> None:
        """Write the entry of a backend server, as the server itself would do."""
        server = self.servers[endpoint]
        number = self._endpoint_names.index(endpoint) // len(SERVICES)
        entry = {
            "address": self.links[f"server/{endpoint}"].address,
            "info": {
                "service": server.service,
                "version": "v1",
                "zone": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                "slots": SLOTS,
            },
            "status": {"state": state, "sequence": 1, "warmupLeftS": 0},
            "born": 1,
        }
        self.store.put("servers", server.name, entry)

    def remove_server(self, endpoint: str) -> None:
        """Remove the entry of a backend server and kill its process."""
        server = self.servers[endpoint]
        if ("servers", server.name) in self.store.objects:
            self.store.delete("servers", server.name)
        server.kill()

    def configure(self, step: int) -> Configured:
        """Write a configuration; the service of route `move` changes at each step."""
        services = {
            "search": "films",
            "pay": "rights",
            "move": SERVICES[step % len(SERVICES)],
        }
        at = time.monotonic()
        self.store.put("config", "main", make_configuration(self.version, services))
        configured = Configured(at=at, version=self.version, services=services)
        self.version += 1 + step % 3
        return configured

    def get_failure_domain(self, index: int) -> str:
        """Return the failure domain of the host or caller with this number."""
        return FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]

    def read_journals(self) -> list[Entry]:
        """Return the entries that servers wrote since the last call, sorted by time."""
        entries: list[Entry] = []
        for path in sorted(self._folder.glob("servers.*.jsonl")):
            with path.open("rb") as file:
                file.seek(self._journal_offsets.get(path, 0))
                data = file.read()
            complete_lines = data[: data.rfind(b"\n") + 1]
            self._journal_offsets[path] = self._journal_offsets.get(path, 0) + len(
                complete_lines
            )
            entries += [
                load_entry(line.decode()) for line in complete_lines.splitlines()
            ]
        return sorted(entries, key=lambda entry: entry.at)

    async def _add_link(self, link: Link, tasks: TaskGroup) -> Link:
        await link.serve(tasks)
        self.links[link.name] = link
        return link

    async def _add_host(
        self, name: str, index: int, store_port: int, tasks: TaskGroup
    ) -> None:
        ip = make_loopback_ip(index)
        ports = find_free_ports(4, ip)
        peers = Link(name=f"peers/{name}", target_ip=ip, target=ports[2])
        peers_link = await self._add_link(peers, tasks)
        store = Link(name=f"store/{name}", target=store_port)
        await self._add_link(store, tasks)
        config = HostConfig(
            name=name,
            failure_domain=self.get_failure_domain(index),
            ip=ip,
            advertised_port=peers_link.port,
            store_port=store.port,
            folder=self._folder,
            planted=self._planted,
            earlier_source=self._earlier_source,
        )
        self.hosts[name] = HostProcess(config=config, ports=ports)
        self.hosts[name].start()


async def is_ready(host: HostProcess) -> bool:
    """Return True if a host reports that it is ready."""
    url = f"http://{host.config.ip}:{host.ready_port}/api/readiness"
    try:
        async with httpx.AsyncClient(
            trust_env=False, timeout=1.0, verify=False
        ) as client:
            return (await client.get(url)).status_code == 200
    except httpx.HTTPError:
        return False


def make_configuration(version: int, services: dict[str, str]) -> dict[str, Any]:
    """Return a configuration document that maps each route to its service."""
    rules = [
        {
            "name": route,
            "kind": "unsafe" if route == "pay" else "safe",
            "targetLatencyS": 0.3,
            "priority": 1,
            "match": {"pathPrefix": f"/{route}/"},
            "action": {"service": service, "timeoutS": 1.5, "attempts": 2},
        }
        for route, service in services.items()
    ]
    return {
        "version": f"{version:08x}",
        "limits": {"headerBytes": 16384, "bodyBytes": 1000000, "idleTimeoutS": 15},
        "listeners": [{"host": VIRTUAL_HOST, "rules": rules}],
        "clusters": [
            {"name": service, "healthPath": "/health", "maxConnections": 100}
            for service in SERVICES
        ],
    }
