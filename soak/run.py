"""One run: a deployment, its callers, the faults of a schedule, and the checker."""

import json
import shutil
import signal
import time
from collections import deque
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import IO, Final

import anyio

from .callers import SoakCaller
from .checker import Breach, Checker
from .deployment import SERVICES, Deployment
from .history import (
    Drained,
    Ended,
    Entry,
    FaultBegan,
    FaultEnded,
    HostExited,
    dump_entry,
)
from .links import Trouble
from .schedule import PLANNED, FaultKind, Step, make_schedule

CALM_S: Final = 1.0
JUDGE_EVERY_S: Final = 0.2
# Once all faults are over, callers must be served again within this time.
RECOVERY_S: Final = 15.0
# The same where no time is judged; it only ends a run that hangs.
UNTIMED_RECOVERY_S: Final = 300.0
RECOVERED_ENDS: Final = 60
RECOVERED_SHARE: Final = 0.9
# A server that leaves serves for this long after its entry says so, then ends.
LEAVING_S: Final = 4.0
CLOCK_JUMP_S: Final = 3600.0
LINK_TROUBLES: Final = {
    FaultKind.LINK_DELAY: Trouble.NONE,
    FaultKind.LINK_RESET: Trouble.RESET,
    FaultKind.LINK_CUT_THERE: Trouble.CUT_THERE,
    FaultKind.LINK_CUT_BACK: Trouble.CUT_BACK,
    FaultKind.LINK_SILENT: Trouble.SILENT,
}
STORE_MODES: Final = {
    FaultKind.STORE_BUSY: "busy",
    FaultKind.STORE_SILENT: "silent",
    FaultKind.STORE_LOST: "lost",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What is run; the schedule follows from the seed and the sizes."""

    seed: int
    folder: Path
    length_s: float = 20.0
    hosts: int = 6
    servers: int = 9
    callers: int = 12
    planted: str = ""
    # Judge the rules that bound a time.
    is_timed: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How a run ended."""

    breaches: list[Breach]
    asked: int
    served: int


class SoakRun:
    """Plays one schedule; what is seen goes to the history and the checker."""

    def __init__(self, *, plan: Plan) -> None:
        self._plan = plan
        plan.folder.mkdir(parents=True, exist_ok=True)
        self._deployment = Deployment(
            folder=plan.folder,
            hosts=plan.hosts,
            servers=plan.servers,
            planted=plan.planted,
        )
        self._checker = Checker(is_timed=plan.is_timed)
        self._history: IO[str] = (plan.folder / "history.jsonl").open("w")
        self._rng = Random(plan.seed)
        self._asked = 0
        self._recent: deque[bool] = deque(maxlen=RECOVERED_ENDS)
        self._changes = 0
        self._exited: set[tuple[str, int]] = set()
        self._store_faults = 0

    async def run(self) -> Outcome:
        """Play the run to its end and judge it."""
        plan, deployment = self._plan, self._deployment
        hosts = [f"h{n}" for n in range(plan.hosts)]
        servers = [f"s{n}" for n in range(plan.servers)]
        steps = make_schedule(plan.seed, plan.length_s, hosts, servers)
        text = json.dumps([asdict(step) for step in steps], indent=1)
        (plan.folder / "schedule.json").write_text(text)
        try:
            async with anyio.create_task_group() as tasks:
                self._note(deployment.configure(0))
                await deployment.start(tasks)
                self._start_callers(tasks)
                tasks.start_soon(self._judge_always)
                await self._play(steps)
                await self._wait_recovered()
                tasks.cancel_scope.cancel()
            await self._stop_hosts()
        finally:
            deployment.stop()
            self._take_journals()
            self._history.close()
        return Outcome(
            breaches=self._checker.finish(),
            asked=self._asked,
            served=self._checker.served,
        )

    def _start_callers(self, tasks: anyio.abc.TaskGroup) -> None:
        for number in range(self._plan.callers):
            caller = SoakCaller(
                name=f"c{number}",
                seed=self._plan.seed,
                failure_domain=self._deployment.get_failure_domain(number),
                list_hosts=self._deployment.list_hosts,
                note=self._note,
            )
            tasks.start_soon(caller.run)

    def _note(self, entry: Entry) -> None:
        self._history.write(dump_entry(entry) + "\n")
        self._checker.take(entry)
        if isinstance(entry, Ended):
            self._asked += 1
            self._recent.append(0 < entry.status < 300)

    def _take_journals(self) -> None:
        for entry in self._deployment.read_journals():
            self._note(entry)

    async def _judge_always(self) -> None:
        """Take in journals and notice hosts that end by themselves."""
        while True:
            self._take_journals()
            for name, host in self._deployment.hosts.items():
                key = (name, host.life)
                if host.is_running() or host.is_ending or key in self._exited:
                    continue
                self._exited.add(key)
                self._note_exit(name, expected=False)
            await anyio.sleep(JUDGE_EVERY_S)

    def _note_exit(self, name: str, *, expected: bool) -> None:
        code = self._deployment.hosts[name].get_exit_code()
        self._note(
            HostExited(
                at=time.monotonic(),
                host=name,
                code=code if code is not None else 0,
                expected=expected,
            )
        )

    async def _play(self, steps: list[Step]) -> None:
        began = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for step in steps:
                await anyio.sleep(max(0.0, began + step.at - time.monotonic()))
                tasks.start_soon(self._play_step, step)
        left_s = began + self._plan.length_s - time.monotonic()
        await anyio.sleep(max(0.0, left_s))

    async def _play_step(self, step: Step) -> None:
        now = time.monotonic()
        self._note(
            FaultBegan(
                at=now,
                number=step.number,
                kind=step.kind.value,
                target=step.target,
                planned=step.kind in PLANNED,
            )
        )
        match step.kind:
            case FaultKind.HOST_STOP | FaultKind.HOST_KILL | FaultKind.HOST_CLOCK:
                await self._restart_host(step)
            case FaultKind.HOST_PAUSE:
                await self._pause_host(step)
            case FaultKind.HOST_RELOAD:
                host = self._deployment.hosts[step.target]
                host.write_settings()
                host.send(signal.SIGHUP)
            case FaultKind.SERVER_KILL:
                await self._restart_server(step)
            case FaultKind.SERVER_PAUSE:
                await self._pause_server(step)
            case FaultKind.SERVER_DRAIN | FaultKind.SERVER_REUSE:
                await self._replace_server(step)
            case FaultKind.CONFIGURE:
                self._changes += 1
                self._note(self._deployment.configure(self._changes))
            case _ if step.kind in LINK_TROUBLES:
                await self._trouble_link(step)
            case _:
                await self._trouble_store(step)
        self._note(FaultEnded(at=time.monotonic(), number=step.number))

    async def _restart_host(self, step: Step) -> None:
        host = self._deployment.hosts[step.target]
        if host.is_ending:
            return  # Another fault has it down already.
        offset_s = 0.0
        if step.kind is FaultKind.HOST_STOP:
            host.is_ending = True
            is_ended = await anyio.to_thread.run_sync(host.stop)
            is_clean = is_ended and host.has_ended_cleanly()
            self._note_exit(step.target, expected=is_clean or not self._plan.is_timed)
        else:
            host.kill()
        if step.kind is FaultKind.HOST_CLOCK:
            offset_s = CLOCK_JUMP_S * (1 if step.number % 2 else -1)
        await anyio.sleep(step.for_s)
        host.start(offset_s)

    async def _pause_host(self, step: Step) -> None:
        host = self._deployment.hosts[step.target]
        host.send(signal.SIGSTOP)
        await anyio.sleep(step.for_s)
        host.send(signal.SIGCONT)

    async def _restart_server(self, step: Step) -> None:
        deployment, place = self._deployment, step.target
        server = deployment.servers[place]
        server.kill()
        await anyio.sleep(step.for_s)
        if deployment.servers[place] is server and place not in deployment.busy:
            await self._replace(place, server.service)

    async def _replace(self, place: str, service: str) -> None:
        """End a server and start another at its place."""
        deployment = self._deployment
        deployment.busy.add(place)
        deployment.remove_server(place)
        await deployment.start_server(place, service)
        deployment.busy.discard(place)

    async def _pause_server(self, step: Step) -> None:
        server = self._deployment.servers[step.target]
        server.pause()
        await anyio.sleep(step.for_s)
        server.resume()

    async def _replace_server(self, step: Step) -> None:
        """Let a server leave; its place goes to another, perhaps of another service."""
        deployment = self._deployment
        server = deployment.servers[step.target]
        if ("servers", server.name) not in deployment.store.objects:
            return  # It is being replaced already.
        deployment.register(step.target, state="draining")
        self._note(Drained(at=time.monotonic(), server=server.name))
        await anyio.sleep(LEAVING_S)
        if deployment.servers[step.target] is not server:
            return
        if step.target in deployment.busy:
            return
        service = server.service
        if step.kind is FaultKind.SERVER_REUSE:
            service = SERVICES[(SERVICES.index(service) + 1) % len(SERVICES)]
        await self._replace(step.target, service)

    async def _trouble_link(self, step: Step) -> None:
        link = self._deployment.links[step.target]
        delay_s = step.amount if step.kind is FaultKind.LINK_DELAY else 0.0
        link.set_trouble(LINK_TROUBLES[step.kind], delay_s)
        await anyio.sleep(step.for_s)
        link.set_trouble(Trouble.NONE)

    async def _trouble_store(self, step: Step) -> None:
        store = self._deployment.store
        if step.kind is FaultKind.STORE_FORGET:
            store.drop_history()
            return
        if step.kind is FaultKind.STORE_SLOW:
            store.delay_s = step.amount
        else:
            store.mode = STORE_MODES[step.kind]
        self._store_faults += 1
        await anyio.sleep(step.for_s)
        self._store_faults -= 1
        if self._store_faults == 0:
            store.mode, store.delay_s = "", 0.0

    async def _wait_recovered(self) -> None:
        """Wait until callers are served again, with all faults over."""
        self._recent.clear()
        bound_s = RECOVERY_S if self._plan.is_timed else UNTIMED_RECOVERY_S
        deadline = time.monotonic() + bound_s
        while time.monotonic() < deadline:
            await anyio.sleep(JUDGE_EVERY_S)
            is_enough = len(self._recent) == RECOVERED_ENDS
            if is_enough and sum(self._recent) >= RECOVERED_SHARE * RECOVERED_ENDS:
                return
        text = f"{sum(self._recent)} of the last {len(self._recent)} requests served"
        now = time.monotonic()
        self._checker.breaches.append(Breach(rule="recover", at=now, text=text))

    async def _stop_hosts(self) -> None:
        for name, host in self._deployment.hosts.items():
            host.is_ending = True
            is_ended = await anyio.to_thread.run_sync(host.stop)
            is_clean = is_ended and host.has_ended_cleanly()
            self._note_exit(name, expected=is_clean or not self._plan.is_timed)


async def play(plan: Plan) -> Outcome:
    """Play a run; its folder stays only where a promise was broken."""
    outcome = await SoakRun(plan=plan).run()
    if outcome.breaches:
        lines = [f"{b.rule} {b.at:.3f} {b.text}" for b in outcome.breaches]
        (plan.folder / "breaches.txt").write_text("\n".join(lines) + "\n")
    else:
        shutil.rmtree(plan.folder)
    return outcome
