"""Tests that an event, effect or task that fails is settled, and costs nothing else."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio
import pytest

from siskinpier.core import reducer
from siskinpier.core.configuration.orders import OrderStatus, SetHostLeaving
from siskinpier.core.effects import (
    ClearTimer,
    LogDecision,
    ReadObject,
    RefuseCall,
    SendMessage,
    SendProbe,
    SetTimer,
    WriteObject,
)
from siskinpier.core.events import (
    CallArrived,
    CallCancelled,
    HostStarted,
    ShutdownRequested,
    TimerFired,
)
from siskinpier.core.messages import QuarantineRelease
from siskinpier.core.routing.calls import Call
from siskinpier.core.state import CoreSettings, HostIdentity, make_state
from siskinpier.core.timers import HeartbeatDue, ProbesDue, RelayDue
from siskinpier.core.verdict import Verdict
from siskinpier.edge.exchange import Exchange
from siskinpier.edge.serving import make_clock
from siskinpier.edge.shell import Shell
from siskinpier.edge.supervision import supervise
from siskinpier.failures import FailureLog
from siskinpier.metrics import HostMetrics
from siskinpier.settings.host import (
    Address,
    HostSettings,
    PlatformSettings,
    SecuritySettings,
)

HANG_S: Final = 60.0
NO_ADDRESS: Final = Address(ip="127.0.0.1", port=1)


class UnexpectedError(Exception):
    """An error that no code expects."""


class BrokenClient:
    """A client of backend servers and the platform whose every method fails."""

    calls: Final[dict[str, int]] = {}

    def __getattr__(self, name: str) -> Any:
        async def fail(**values: object) -> None:
            raise UnexpectedError(name)

        return fail


def make_shell() -> Shell:
    """Return the shell of a host that registers on the platform."""
    client: Any = BrokenClient()
    identity = HostIdentity(
        name="h1",
        incarnation=1,
        failure_domain="d1",
        region="r",
        callers="127.0.0.1:1",
        peers="127.0.0.1:1",
    )
    core = CoreSettings(servers_register=True, announce_s=0.0, shutdown_bound_s=0.05)
    return Shell(
        settings=HostSettings(
            name="h1",
            failure_domain="d1",
            region="r",
            callers=NO_ADDRESS,
            operators=NO_ADDRESS,
            peers=NO_ADDRESS,
            platform=PlatformSettings(url="http://127.0.0.1:1"),
            security=SecuritySettings(operator_token="t" * 8, peer_key="k" * 16),
        ),
        state=make_state(
            identity=identity, settings=core, parse_intents=lambda _: None, seed=1
        ),
        clock=make_clock(),
        platform=client,
        header_adapter=client,
        backends=client,
        metrics=HostMetrics(),
    )


def make_call(shell: Shell) -> Call:
    """Return a call, with its exchange in the shell."""
    call = Call(
        call_id="c1",
        service="films",
        method="GET",
        path="/",
        caller="c",
        deadline=shell.clock() + 5.0,
    )
    shell.exchanges["c1"] = Exchange(
        call_id="c1", method="GET", target="/", headers=[], body=b""
    )
    return call


def fail(*args: object, **values: object) -> None:
    """Fail as a planted bug does."""
    raise UnexpectedError("planted")


def count_failures(shell: Shell, where: str) -> float:
    """Return how many failures were counted at a place."""
    return shell.metrics.failures.labels(where)._value.get()


def run(function: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test inside an event loop."""
    asyncio.run(asyncio.wait_for(function(), HANG_S))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the caller's timeout ends a test that hangs."""
    while not condition():
        await asyncio.sleep(0.01)


class TestEvents:
    """A failed event costs its own call, order or time, and is never raised."""

    def test_call_gets_its_final_answer(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(reducer, "handle_call_arrived", fail)

        async def check() -> None:
            shell = make_shell()
            call = make_call(shell)
            assert not shell.handle(CallArrived(now=shell.clock(), call=call))
            refusal = shell.exchanges["c1"].instruction
            assert isinstance(refusal, RefuseCall)
            assert refusal.problem.status == 503
            assert refusal.problem.verdict is Verdict.NOT_RUN
            assert refusal.problem.retry_after_s is not None
            assert count_failures(shell, "event/CallArrived") == 1

        run(check)

    def test_timers_go_on(self, monkeypatch: pytest.MonkeyPatch) -> None:
        for name in ("run_heartbeat", "run_relay", "run_probing"):
            monkeypatch.setattr(reducer, name, fail)

        async def check() -> None:
            shell = make_shell()
            for timer in (HeartbeatDue(), RelayDue(), ProbesDue()):
                assert not shell.handle(TimerFired(now=shell.clock(), timer=timer))
                assert shell._timers.is_set(timer)
            fired = "event/TimerFired/HeartbeatDue"
            await wait_until(lambda: count_failures(shell, fired) >= 3)
            shell.close()

        run(check)

    def test_timers_start_although_the_start_failed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(reducer, "run_heartbeat", fail)

        async def check() -> None:
            shell = make_shell()
            shell.handle(HostStarted(now=shell.clock()))
            for timer in (HeartbeatDue(), RelayDue(), ProbesDue()):
                assert shell._timers.is_set(timer)
            shell.close()

        run(check)

    def test_applied_part_is_carried_out(self, monkeypatch: pytest.MonkeyPatch) -> None:
        def set_and_fail(state: object, now: float, out: list[Any]) -> None:
            out.append(SetTimer(timer=RelayDue(), at=now + 50.0))
            raise UnexpectedError

        monkeypatch.setattr(reducer, "run_probing", set_and_fail)

        async def check() -> None:
            shell = make_shell()
            shell.handle(TimerFired(now=shell.clock(), timer=ProbesDue()))
            assert shell._timers.is_set(RelayDue())
            shell.close()

        run(check)

    @pytest.mark.parametrize("name", ["handle_soft_order", "start_order"])
    def test_order_gets_an_unknown_result(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(reducer, name, fail)

        async def check() -> None:
            shell = make_shell()
            order = SetHostLeaving(host="h1", leaving=True)
            result = await shell.give_order(order, "anna")
            assert result.status is OrderStatus.UNKNOWN

        run(check)

    @pytest.mark.parametrize("name", ["start_shutdown", "run_shutdown_check"])
    def test_shutdown_ends_in_time(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(reducer, name, fail)

        async def check() -> None:
            shell = make_shell()
            shell.handle(ShutdownRequested(now=shell.clock()))
            await shell.stopped.wait()
            shell.close()

        run(check)

    @pytest.mark.parametrize("error", [SystemExit, KeyboardInterrupt])
    def test_exits_pass_through(
        self, error: type[BaseException], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def leave(*args: object) -> None:
            raise error

        monkeypatch.setattr(reducer, "run_probing", leave)
        with pytest.raises(error):
            make_shell().handle(TimerFired(now=0.0, timer=ProbesDue()))


class TestEffects:
    """A failed effect stops no other, and is reported to the core as its result."""

    def test_later_effects_are_carried_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        message = QuarantineRelease(fingerprint="f")
        effects = [
            SendMessage(host="h2", address="127.0.0.1:1", message=message),
            LogDecision(event="x"),
            ClearTimer(timer=RelayDue()),
            SetTimer(timer=ProbesDue(), at=0.0),
        ]
        monkeypatch.setattr(
            reducer, "run_relay", lambda *args: args[-1].extend(effects)
        )

        async def check() -> None:
            shell = make_shell()
            monkeypatch.setattr(shell.mesh, "send", fail)
            monkeypatch.setattr(shell.metrics, "count_decision", fail)
            shell.handle(TimerFired(now=shell.clock(), timer=RelayDue()))
            assert shell._timers.is_set(ProbesDue())
            assert count_failures(shell, "effect/SendMessage") == 1
            assert count_failures(shell, "effect/LogDecision") == 1
            shell.close()

        run(check)

    def test_tasks_report_their_failure(self, monkeypatch: pytest.MonkeyPatch) -> None:
        effects = [
            SendProbe(service="s", server="i", address="x", path="/", timeout_s=1.0),
            ReadObject(request_id="r", kind="k", name="n"),
            WriteObject(
                request_id="w", kind="k", name="n", spec={}, expected_version=None
            ),
        ]
        events: list[str] = []

        def record(state: object, event: Any, out: list[Any]) -> None:
            events.append(type(event).__name__)
            if isinstance(event, TimerFired):
                out.extend(effects)

        monkeypatch.setattr("siskinpier.edge.shell.apply_event", record)

        async def check() -> None:
            shell = make_shell()
            async with anyio.create_task_group() as tasks:
                shell.start(tasks)
                shell.handle(TimerFired(now=shell.clock(), timer=RelayDue()))
            assert sorted(events[1:]) == [
                "ObjectRead",
                "ObjectWritten",
                "ProbeAnswered",
            ]
            shell.close()

        run(check)


class TestEnd:
    """Whatever comes after the end of a host is dropped, and raises nothing."""

    def test_late_events(self) -> None:
        async def check() -> None:
            shell = make_shell()
            async with anyio.create_task_group() as tasks:
                shell.start(tasks)
                shell.mesh._start_links(tasks)
                shell.handle(HostStarted(now=shell.clock()))
                shell.close()
                tasks.cancel_scope.cancel()
            assert not shell._timers._handles
            call = make_call(shell)
            for event in (
                TimerFired(now=shell.clock(), timer=HeartbeatDue()),
                CallArrived(now=shell.clock(), call=call),
                CallCancelled(now=shell.clock(), call_id="c1"),
                ShutdownRequested(now=shell.clock()),
            ):
                assert not shell.handle(event)
            assert isinstance(shell.exchanges["c1"].instruction, RefuseCall)
            message = QuarantineRelease(fingerprint="f")
            shell.mesh.send("h2", "127.0.0.1:1", message)
            order = SetHostLeaving(host="h1", leaving=True)
            result = await shell.give_order(order, "anna")
            assert result.status is OrderStatus.UNKNOWN

        run(check)


class TestSupervision:
    """A loop is started again after a growing delay, until it is cancelled."""

    @pytest.mark.parametrize(
        "error", [UnexpectedError, MemoryError, RecursionError, TimeoutError, None]
    )
    def test_loop_goes_on(self, error: type[Exception] | None) -> None:
        counts: list[str] = []

        async def loop() -> None:
            if error is not None:
                raise error

        async def check() -> None:
            failures = FailureLog(count=counts.append)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(supervise, "x", loop, failures)
                await wait_until(lambda: len(counts) == 3)
                tasks.cancel_scope.cancel()

        run(check)
        assert counts == ["loop/x"] * 3

    @pytest.mark.parametrize("error", [SystemExit, KeyboardInterrupt])
    def test_exits_pass_through(self, error: type[BaseException]) -> None:
        async def loop() -> None:
            raise error

        counts: list[str] = []
        coro = supervise("x", loop, FailureLog(count=counts.append))
        with pytest.raises(error):
            coro.send(None)
        assert counts == []
