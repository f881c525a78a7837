"""A complete deployment of processes: platform, backend servers, entry hosts."""

import json
import re
import ssl
import tempfile
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from types import TracebackType
from typing import Final, Self

import httpx

from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.settings.documents import Rejected, load_intents
from tests.standins.process import StandIn

ROOT: Final = Path(__file__).resolve().parents[1]
OPERATOR_TOKEN: Final = "operator-token-of-the-bench"
PEER_KEY: Final = "peer-key-of-the-bench-0123456789"
API_ROOT: Final = "/apis/siskinpier.example/v1/namespaces/siskinpier"
START_THREAD_COUNT: Final = 10
HTTP_TIMEOUT_S: Final = 15.0
_READY_LINE: Final = re.compile(
    r"ready port=\d+ callers=(\S+) operators=(\S+) peers=(\S+)"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryHost:
    """A running entry host and its addresses."""

    name: str
    failure_domain: str
    process: StandIn
    callers: str
    operators: str
    peers: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsFiles:
    """Key pair of the entry hosts, and the context that clients verify it with."""

    certificate: Path
    private_key: Path
    trust: ssl.SSLContext


class Fleet:
    """Context manager that starts and stops all processes of a deployment.

    The backend servers of the intents listen on ports assigned by the system;
    `intents` holds the given intents with their addresses replaced accordingly.
    """

    def __init__(
        self,
        *,
        intents: RoutingIntents,
        hosts: int,
        service_ms: float = 5.0,
        seed: int = 1,
        module: str = "siskinpier",
        limits: Mapping[str, float] | None = None,
        tls: TlsFiles | None = None,
    ) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="siskinpier-bench-")
        self.directory = Path(self._directory.name)
        self.journal = self.directory / "journal.jsonl"
        self.service_ms = service_ms
        self.seed = seed
        self.module = module
        self.limits = dict(limits or {})
        self.tls = tls
        self.platform = StandIn(module="tests.standins.platform")
        self.servers: dict[str, StandIn] = {}
        self.hosts: list[EntryHost] = []
        self.domains = _list_domains(intents)
        try:
            self.intents = self._start_servers(intents)
            self._start_hosts(hosts)
            self._register_hosts()
        except BaseException:
            self.close()
            raise

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def scheme(self) -> str:
        """URL scheme of the callers' and operators' interfaces."""
        return "http" if self.tls is None else "https"

    @property
    def trust(self) -> ssl.SSLContext | bool:
        """Value of `verify` for clients of the entry hosts."""
        return True if self.tls is None else self.tls.trust

    def close(self) -> None:
        """Kill all processes that still run and delete the directory."""
        processes = [host.process for host in self.hosts]
        processes += [*self.servers.values(), self.platform]
        with ThreadPoolExecutor(START_THREAD_COUNT) as pool:
            list(pool.map(_kill_if_running, processes))
        self._directory.cleanup()

    def apply_intents(self, host: int = 0) -> dict[str, object]:
        """Apply the intents through the operator interface of one host."""
        document = asdict(self.intents)
        return self.command(host, "/apply", {"document": document})

    def order(self, text: str, host: int = 0) -> dict[str, object]:
        """Send an operator's order to one host and return the reply."""
        return self.command(host, "/order", {"text": text})

    def ask(self, text: str, host: int = 0) -> dict[str, object]:
        """Send an operator's question to one host and return the reply."""
        return self.command(host, "/ask", {"text": text})

    def command(
        self, host: int, path: str, document: dict[str, object]
    ) -> dict[str, object]:
        """POST a document to the operator interface of a host and return the reply."""
        reply = httpx.post(
            f"{self.scheme}://{self.hosts[host].operators}{path}",
            json=document,
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=HTTP_TIMEOUT_S,
            trust_env=False,
            verify=self.trust,
        )
        result: dict[str, object] = reply.json()
        return result

    def control_platform(self, path: str) -> None:
        """POST to the control interface of the platform stand-in."""
        httpx.post(f"{self.platform.url}{path}", trust_env=False).raise_for_status()

    def read_runs(self) -> list[dict[str, object]]:
        """Return all runs that the backend servers recorded in the journal."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def start_host(self, index: int) -> EntryHost:
        """Start an entry host without adding it to the platform's host list."""
        name = f"host-{index}"
        domain = self.domains[index % len(self.domains)]
        path = self.directory / f"{name}.settings.jsonc"
        path.write_text(json.dumps(self._make_settings(name, domain, index)))
        process = StandIn(module=self.module, args=("serve", str(path)))
        ready = _READY_LINE.search(process.ready_line)
        if ready is None:
            raise RuntimeError(f"unexpected ready line {process.ready_line!r}")
        callers, operators, peers = ready.groups()
        return EntryHost(
            name=name,
            failure_domain=domain,
            process=process,
            callers=callers,
            operators=operators,
            peers=peers,
        )

    def register_host(self, host: EntryHost) -> None:
        """Add a host to the platform's host list."""
        spec = {
            "failure_domain": host.failure_domain,
            "region": "main",
            "callers": host.callers,
            "peers": host.peers,
            "leaving": False,
        }
        body = {"metadata": {"name": host.name}, "spec": spec}
        url = f"{self.platform.url}{API_ROOT}/hosts"
        httpx.post(url, json=body, trust_env=False).raise_for_status()

    def _start_servers(self, intents: RoutingIntents) -> RoutingIntents:
        with ThreadPoolExecutor(START_THREAD_COUNT) as pool:
            services = tuple(
                self._start_service(service, pool) for service in intents.services
            )
        return replace(intents, services=services)

    def _start_service(
        self, service: ServiceIntent, pool: ThreadPoolExecutor
    ) -> ServiceIntent:
        started = list(pool.map(self._start_server, service.servers))
        servers: Sequence[BackendServer] = [
            replace(server, address=f"127.0.0.1:{process.port}")
            for server, process in zip(service.servers, started, strict=True)
        ]
        return replace(service, servers=tuple(servers))

    def _start_server(self, server: BackendServer) -> StandIn:
        process = StandIn(
            module="tests.standins.backend",
            args=(
                f"--name={server.name}",
                f"--slots={server.slots}",
                f"--service-ms={self.service_ms}",
                f"--seed={self.seed + len(self.servers)}",
                f"--journal={self.journal}",
            ),
        )
        self.servers[server.name] = process
        return process

    def _start_hosts(self, count: int) -> None:
        with ThreadPoolExecutor(START_THREAD_COUNT) as pool:
            self.hosts = list(pool.map(self.start_host, range(count)))

    def _register_hosts(self) -> None:
        for host in self.hosts:
            self.register_host(host)

    def _make_security(self) -> dict[str, str]:
        security = {"operator_token": OPERATOR_TOKEN, "peer_key": PEER_KEY}
        if self.tls is not None:
            security["certificate"] = str(self.tls.certificate)
            security["private_key"] = str(self.tls.private_key)
        return security

    def _make_settings(self, name: str, domain: str, index: int) -> dict[str, object]:
        any_port = {"ip": "127.0.0.1", "port": 0}
        return {
            "name": name,
            "failure_domain": domain,
            "callers": any_port,
            "operators": any_port,
            "peers": any_port,
            "platform": {"url": self.platform.url},
            "security": self._make_security(),
            "shutdown": {"announce_s": 1.0, "bound_s": 10.0},
            "limits": self.limits,
            "address_ttl_s": 1.0,
            "seed": self.seed * 1_000 + index + 1,
        }


def load_example(name: str) -> RoutingIntents:
    """Return the routing intents of an example; raise ValueError if invalid."""
    path = ROOT / "examples" / f"{name}.intents.jsonc"
    loaded = load_intents(path.read_text())
    if isinstance(loaded, Rejected):
        raise ValueError(f"{path.name}: {loaded.errors}")
    return loaded.value


def _list_domains(intents: RoutingIntents) -> list[str]:
    domains = {
        server.failure_domain
        for service in intents.services
        for server in service.servers
    }
    return sorted(domains)


def _kill_if_running(process: StandIn) -> None:
    if process.exit_code is None:
        process.kill()
