"""Runs a deployment and its callers, injects faults and checks the history."""

import json
import shutil
import time
from collections import deque
from dataclasses import asdict, dataclass
from itertools import product
from pathlib import Path
from random import Random
from typing import IO, Final

import anyio

from .callers import SoakCaller
from .checker import Checker, Violation
from .deployment import SERVICES, Deployment, is_ready
from .earlier_build import extract_build
from .history import (
    Drained,
    Ended,
    Entry,
    FaultBegan,
    FaultEnded,
    LimitNamed,
    dump_entry,
)
from .host_faults import HostFaults
from .links import LinkFault
from .odd_entries import put_odd_entry
from .schedule import (
    LEFT_OUT_KINDS,
    PLANNED_KINDS,
    FaultKind,
    ScheduledFault,
    make_schedule,
)
from .watcher import CHECK_INTERVAL_S, HostWatcher

CALM_S: Final = 1.0
# Once all faults are over, callers must be served again within this time.
RECOVERY_S: Final = 15.0
# The same without time limits; it only ends a run that hangs.
UNTIMED_RECOVERY_S: Final = 300.0
# Callers are served again once this share of the last RESULT_COUNT requests succeeded.
RESULT_COUNT: Final = 60
MIN_SUCCESS_SHARE: Final = 0.9
# A draining server serves for this long after its entry says so, then exits.
DRAINING_S: Final = 4.0
# Rate limits that servers name, requests per second, and for how long.
LIMITS_PER_S: Final = (1.0, 0.0, 2.5, 6.0)
LIMITED_S: Final = 9.0
# Callers of each host that send to it only.
PINNED_CALLERS: Final = 2
# Number of entries that another writer puts at once.
ODD_ENTRY_COUNT: Final = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class RunConfig:
    """The parameters of a run; seed, length and sizes determine the schedule."""

    seed: int
    folder: Path
    length_s: float = 20.0
    hosts: int = 6
    servers: int = 9
    callers: int = 12
    planted: str = ""
    left_out: frozenset[FaultKind] = LEFT_OUT_KINDS
    # Commit of the build that all hosts run until they are upgraded; empty for none.
    earlier: str = ""
    # Check the rules with a time limit.
    has_time_limits: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The result of a run; `served_count` requests succeeded."""

    violations: list[Violation]
    request_count: int
    served_count: int


class SoakRun:
    """Runs one schedule; every entry goes to the history file and to the checker."""

    def __init__(self, *, config: RunConfig) -> None:
        self._config = config
        config.folder.mkdir(parents=True, exist_ok=True)
        self._deployment = Deployment(
            folder=config.folder,
            hosts=config.hosts,
            servers=config.servers,
            planted=config.planted,
            earlier_source=(
                extract_build(config.earlier, config.folder / "earlier")
                if config.earlier
                else None
            ),
        )
        self._checker = Checker(has_time_limits=config.has_time_limits)
        self._history: IO[str] = (config.folder / "history.jsonl").open("w")
        self._request_count = 0
        self._results: deque[bool] = deque(maxlen=RESULT_COUNT)
        self._configuration_count = 0
        self._active_store_faults = 0
        self._host_faults = HostFaults(
            seed=config.seed,
            hosts=self._deployment.hosts,
            record=self._record_entry,
            has_time_limits=config.has_time_limits,
        )

    async def run(self) -> Outcome:
        """Run the schedule to its end and return the result."""
        config, deployment = self._config, self._deployment
        hosts = [f"h{n}" for n in range(config.hosts)]
        servers = [f"s{n}" for n in range(config.servers)]
        schedule = make_schedule(
            config.seed,
            config.length_s,
            hosts,
            servers,
            config.left_out,
            is_upgraded=bool(config.earlier),
        )
        text = json.dumps([asdict(fault) for fault in schedule], indent=1)
        (config.folder / "schedule.json").write_text(text)
        try:
            async with anyio.create_task_group() as tasks:
                self._record_entry(deployment.configure(0))
                await deployment.start(tasks)
                watcher = HostWatcher(
                    hosts=deployment.hosts,
                    faults=self._host_faults,
                    record=self._record_entry,
                )
                tasks.start_soon(watcher.run)
                await self._wait_for_hosts(time.monotonic() + UNTIMED_RECOVERY_S)
                self._start_callers(tasks)
                tasks.start_soon(self._read_server_entries)
                await self._run_schedule(schedule)
                await self._wait_for_recovery()
                tasks.cancel_scope.cancel()
            await self._stop_hosts()
        finally:
            deployment.stop()
            self._record_server_entries()
            self._history.close()
        return Outcome(
            violations=self._checker.finish(),
            request_count=self._request_count,
            served_count=self._checker.served_count,
        )

    def _start_callers(self, tasks: anyio.abc.TaskGroup) -> None:
        for number in range(self._config.callers):
            caller = SoakCaller(
                name=f"c{number}",
                seed=self._config.seed,
                failure_domain=self._deployment.get_failure_domain(number),
                hosts=self._deployment.hosts,
                record=self._record_entry,
            )
            tasks.start_soon(caller.run)
        # Others may stay away from a host just when it is judged.
        for name, number in product(self._deployment.hosts, range(PINNED_CALLERS)):
            caller = SoakCaller(
                name=f"p{number}-{name}",
                seed=self._config.seed,
                failure_domain="",
                hosts=self._deployment.hosts,
                record=self._record_entry,
                pinned_host=name,
            )
            tasks.start_soon(caller.run)

    def _record_entry(self, entry: Entry) -> None:
        self._history.write(dump_entry(entry) + "\n")
        self._checker.check_entry(entry)
        if isinstance(entry, Ended):
            self._request_count += 1
            self._results.append(0 < entry.status < 300)

    def _record_server_entries(self) -> None:
        for entry in self._deployment.read_journals():
            self._record_entry(entry)

    async def _read_server_entries(self) -> None:
        """Record what servers write to their journals until cancelled."""
        while True:
            self._record_server_entries()
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _run_schedule(self, schedule: list[ScheduledFault]) -> None:
        started_at = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for fault in schedule:
                await anyio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
                tasks.start_soon(self._inject_fault, fault)
        left_s = started_at + self._config.length_s - time.monotonic()
        await anyio.sleep(max(0.0, left_s))

    async def _inject_fault(self, fault: ScheduledFault) -> None:
        now = time.monotonic()
        self._record_entry(
            FaultBegan(
                at=now,
                number=fault.number,
                kind=fault.kind.value,
                target=_get_judged_target(fault),
                planned=fault.kind in PLANNED_KINDS,
            )
        )
        match fault.kind:
            case kind if kind.group == "host":
                await self._host_faults.inject(fault)
            case FaultKind.SERVER_KILL:
                await self._restart_server(fault)
            case FaultKind.SERVER_PAUSE:
                await self._pause_server(fault)
            case FaultKind.SERVER_DRAIN | FaultKind.SERVER_REUSE:
                await self._drain_server(fault)
            case FaultKind.SERVER_LIMIT:
                await self._limit_server(fault)
            case FaultKind.CONFIGURE:
                self._configuration_count += 1
                self._record_entry(
                    self._deployment.configure(self._configuration_count)
                )
            case kind if kind.group == "link":
                await self._inject_link_fault(fault)
            case _:
                await self._inject_store_fault(fault)
        self._record_entry(FaultEnded(at=time.monotonic(), number=fault.number))

    async def _restart_server(self, fault: ScheduledFault) -> None:
        deployment, endpoint = self._deployment, fault.target
        server = deployment.servers[endpoint]
        server.kill()
        await anyio.sleep(fault.for_s)
        if (
            deployment.servers[endpoint] is server
            and endpoint not in deployment.replacing
        ):
            await self._replace_server(endpoint, server.service)

    async def _replace_server(self, endpoint: str, service: str) -> None:
        """Kill a server and start another one at its endpoint."""
        deployment = self._deployment
        deployment.replacing.add(endpoint)
        deployment.remove_server(endpoint)
        await deployment.start_server(endpoint, service)
        deployment.replacing.discard(endpoint)

    async def _pause_server(self, fault: ScheduledFault) -> None:
        server = self._deployment.servers[fault.target]
        server.freeze()
        await anyio.sleep(fault.for_s)
        server.resume()

    async def _drain_server(self, fault: ScheduledFault) -> None:
        """Drain a server, and replace it by one of the same or another service."""
        deployment = self._deployment
        server = deployment.servers[fault.target]
        if ("servers", server.name) not in deployment.store.objects:
            return  # The server is being replaced already.
        deployment.register(fault.target, state="draining")
        self._record_entry(Drained(at=time.monotonic(), server=server.name))
        await anyio.sleep(DRAINING_S)
        if deployment.servers[fault.target] is not server:
            return
        if fault.target in deployment.replacing:
            return
        service = server.service
        if fault.kind is FaultKind.SERVER_REUSE:
            service = SERVICES[(SERVICES.index(service) + 1) % len(SERVICES)]
        await self._replace_server(fault.target, service)

    async def _limit_server(self, fault: ScheduledFault) -> None:
        """Let a server name a rate limit, long enough for the rule to apply."""
        server = self._deployment.servers[fault.target]
        per_s = fault.choose(LIMITS_PER_S)
        if not await server.set_limit(per_s):
            return
        self._record_entry(
            LimitNamed(at=time.monotonic(), server=server.name, per_s=per_s)
        )
        await anyio.sleep(LIMITED_S)
        # The rule holds until the server stops to name it.
        self._record_entry(
            LimitNamed(at=time.monotonic(), server=server.name, per_s=None)
        )
        await server.set_limit(None)

    async def _inject_link_fault(self, fault: ScheduledFault) -> None:
        link = self._deployment.links[fault.target]
        link_fault = LinkFault(fault.kind.effect)
        delay_s = fault.amount if link_fault is LinkFault.DELAY else 0.0
        link.set_fault(link_fault, delay_s)
        await anyio.sleep(fault.for_s)
        link.set_fault(LinkFault.NONE)

    async def _inject_store_fault(self, fault: ScheduledFault) -> None:
        store = self._deployment.store
        if fault.kind is FaultKind.STORE_FORGET:
            store.drop_history()
            return
        if fault.kind is FaultKind.STORE_ODD:
            rng = Random(f"{self._config.seed}/{fault.number}")
            names = [f"odd-{fault.number}-{n}" for n in range(ODD_ENTRY_COUNT)]
            put = [(put_odd_entry(store, rng, name), name) for name in names]
            await anyio.sleep(fault.for_s)
            for kind, name in put:
                store.delete(kind, name)
            return
        if fault.kind is FaultKind.STORE_SLOW:
            store.delay_s = fault.amount
        else:
            store.mode = fault.kind.effect
        self._active_store_faults += 1
        await anyio.sleep(fault.for_s)
        self._active_store_faults -= 1
        if self._active_store_faults == 0:
            store.mode, store.delay_s = "", 0.0

    async def _wait_for_recovery(self) -> None:
        """Wait until hosts are ready and callers served after all faults have ended."""
        self._results.clear()
        limit_s = RECOVERY_S if self._config.has_time_limits else UNTIMED_RECOVERY_S
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            await anyio.sleep(CHECK_INTERVAL_S)
            is_full = len(self._results) == RESULT_COUNT
            if is_full and sum(self._results) >= MIN_SUCCESS_SHARE * RESULT_COUNT:
                break
        else:
            served = f"{sum(self._results)} of the last {len(self._results)}"
            self._add_violation("recover", f"{served} requests served")
        await self._wait_for_hosts(deadline)

    async def _wait_for_hosts(self, deadline: float) -> None:
        for name, host in self._deployment.hosts.items():
            while not await is_ready(host):
                if time.monotonic() >= deadline:
                    log = host.read_log_tail()
                    self._add_violation("unready", f"{name} is not ready: {log}")
                    break
                await anyio.sleep(CHECK_INTERVAL_S)

    def _add_violation(self, rule: str, text: str) -> None:
        violation = Violation(rule=rule, at=time.monotonic(), text=text)
        self._checker.violations.append(violation)

    async def _stop_hosts(self) -> None:
        async with anyio.create_task_group() as tasks:
            for host in self._deployment.hosts.values():
                tasks.start_soon(self._host_faults.stop, host)


def _get_judged_target(fault: ScheduledFault) -> str:
    """Return what the fault excuses; rules hold for a host that is isolated."""
    is_isolation = fault.kind is FaultKind.HOST_ISOLATE
    return f"isolated/{fault.target}" if is_isolation else fault.target


async def run_schedule(config: RunConfig) -> Outcome:
    """Run a schedule; its folder is kept only if a guarantee was violated."""
    outcome = await SoakRun(config=config).run()
    if outcome.violations:
        lines = [f"{v.rule} {v.at:.3f} {v.text}" for v in outcome.violations]
        (config.folder / "breaches.txt").write_text("\n".join(lines) + "\n")
    else:
        shutil.rmtree(config.folder)
    return outcome
