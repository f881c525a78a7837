"""Tests of the soak: its schedule, its links, its checker, and one short run."""

import json
import shutil
import socket
import threading
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path

import anyio
import pytest

from soak.checker import Checker
from soak.history import (
    Configured,
    Drained,
    Ended,
    Ending,
    Entry,
    FaultBegan,
    FaultEnded,
    HostExited,
    RunBegan,
    RunEnded,
    Sent,
    dump_entry,
    load_entry,
)
from soak.links import Link, Trouble
from soak.run import Plan, play
from soak.schedule import FaultKind, make_schedule

HOSTS = ["h0", "h1"]
SERVERS = ["s0", "s1"]
SEED = 7


def make_sent(at: float, request: str = "c-1", route: str = "search") -> Sent:
    """Return a request of a caller to the host h0."""
    return Sent(
        at=at,
        request=request,
        route=route,
        path=f"/{route}/1",
        body_digest="d",
        host="h0",
        life=1,
    )


def make_run(at: float, sent: Sent, server: str = "s0", service: str = "a") -> RunBegan:
    """Return the begin of a run of a request."""
    return RunBegan(
        at=at,
        request=sent.request,
        server=server,
        service=service,
        path=sent.path,
        body_digest=sent.body_digest,
    )


def make_answer(at: float, sent: Sent, server: str = "s0", status: int = 200) -> Ended:
    """Return the answer of a server's run."""
    return Ended(
        at=at,
        request=sent.request,
        ending=Ending.ANSWERED,
        status=status,
        signature=f"{server}.{sent.request}" if status == 200 else "",
        told_request=sent.request if status == 200 else "",
    )


def make_configured(at: float, version: int, service: str) -> Configured:
    """Return a configuration that leads every route to one service."""
    routes = ("search", "pay", "move")
    return Configured(at=at, version=version, services=dict.fromkeys(routes, service))


def judge(*entries: Entry) -> set[str]:
    """Return the rules that a history breaks."""
    checker = Checker()
    checker.take(make_configured(0.0, 1, "a"))
    for entry in entries:
        checker.take(entry)
    return {breach.rule for breach in checker.finish()}


class TestSchedule:
    """A seed stands for its schedule."""

    def test_same_seed_same_schedule(self) -> None:
        first, second = (make_schedule(SEED, 60.0, HOSTS, SERVERS) for _ in range(2))
        assert first == second
        assert first != make_schedule(SEED + 1, 60.0, HOSTS, SERVERS)

    def test_every_kind_comes(self) -> None:
        steps = make_schedule(SEED, 1000.0, HOSTS, SERVERS)
        assert {step.kind for step in steps} == set(FaultKind)

    def test_faults_overlap_and_end_in_time(self) -> None:
        steps = make_schedule(SEED, 60.0, HOSTS, SERVERS)
        pairs = zip(steps, steps[1:], strict=False)
        assert any(a.at + a.for_s > b.at for a, b in pairs)
        assert all(1.0 <= step.at <= 55.0 for step in steps)

    def test_steps_can_be_written(self) -> None:
        steps = make_schedule(SEED, 20.0, HOSTS, SERVERS)
        assert json.loads(json.dumps([asdict(step) for step in steps]))


class TestHistory:
    """What was seen is kept so that it can be judged again."""

    def test_entries_come_back(self) -> None:
        sent = make_sent(1.0)
        for entry in (sent, make_run(1.1, sent), make_answer(1.2, sent)):
            assert load_entry(dump_entry(entry)) == entry


class TestChecker:
    """Each promise, broken once, is found; kept, it is not."""

    def test_kept_promises(self) -> None:
        sent = make_sent(1.0)
        ended = RunEnded(at=1.2, request="c-1", server="s0", status=200)
        assert not judge(sent, make_run(1.1, sent), ended, make_answer(1.3, sent))

    def test_journal_before_the_caller(self) -> None:
        sent = make_sent(1.0)
        assert not judge(make_run(1.1, sent), sent)

    def test_unsafe_request_that_runs_twice(self) -> None:
        sent = make_sent(1.0, route="pay")
        runs = make_run(1.1, sent), make_run(1.5, sent, "s1")
        assert judge(sent, *runs) == {"twice"}

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_false_refusal(self, status: int) -> None:
        sent = make_sent(1.0, route="pay")
        refused = make_answer(1.2, sent, status=status)
        assert judge(sent, make_run(1.1, sent), refused) == {"refused"}
        assert judge(sent, refused, make_run(1.4, sent)) == {"refused"}

    def test_swapped_answer(self) -> None:
        sent, other = make_sent(1.0), make_sent(1.0, request="c-2")
        run = make_run(1.1, sent)
        ended = RunEnded(at=1.2, request="c-1", server="s0", status=200)
        wrong = Ended(
            at=1.3,
            request="c-1",
            ending=Ending.ANSWERED,
            status=200,
            signature=f"s0.{other.request}",
            told_request=other.request,
        )
        assert judge(sent, other, run, ended, wrong) == {"mixed"}

    def test_success_without_a_run(self) -> None:
        sent = make_sent(1.0)
        assert judge(sent, make_answer(1.1, sent)) == {"mixed"}

    def test_request_that_nobody_sent(self) -> None:
        assert judge(make_run(1.0, make_sent(0.5))) == {"unasked"}

    def test_too_many_servers(self) -> None:
        sent = make_sent(1.0)
        runs = [make_run(1.1 + n, sent, f"s{n}") for n in range(3)]
        assert judge(sent, *runs) == {"attempts"}

    def test_service_of_no_configuration(self) -> None:
        sent = make_sent(1.0)
        assert judge(sent, make_run(1.1, sent, service="b")) == {"route"}

    def test_old_configuration_after_its_time(self) -> None:
        sent = make_sent(12.1)
        fresh = make_configured(10.0, 2, "b")
        assert judge(fresh, sent, make_run(12.2, sent)) == {"config"}

    def test_old_configuration_at_a_host_out_of_touch(self) -> None:
        sent = make_sent(12.1)
        fresh = make_configured(10.0, 2, "b")
        fault = FaultBegan(
            at=9.0, number=1, kind="link-silent", target="store/h0", planned=False
        )
        over = FaultEnded(at=11.0, number=1)
        assert not judge(fault, fresh, over, sent, make_run(12.2, sent))

    def test_configuration_taken_back(self) -> None:
        first, second = make_sent(10.1), make_sent(10.9, request="c-2")
        history = (
            make_configured(10.0, 2, "b"),
            first,
            make_run(10.2, first, service="b"),
            second,
            make_run(11.0, second),
        )
        assert judge(*history) == {"regress"}

    def test_ignored_drain(self) -> None:
        sent = make_sent(12.0)
        drained = Drained(at=10.0, server="s0")
        assert judge(drained, sent, make_run(12.1, sent)) == {"drain"}
        early = make_sent(11.5)
        assert not judge(drained, early, make_run(11.6, early))

    def test_request_lost_in_planned_work(self) -> None:
        sent = make_sent(10.0)
        broken = Ended(at=10.5, request="c-1", ending=Ending.BROKEN)
        stop = FaultBegan(at=9.9, number=1, kind="host-stop", target="h0", planned=True)
        assert judge(stop, sent, make_run(10.1, sent), broken) == {"lost"}
        crash = FaultBegan(
            at=9.9, number=2, kind="server-kill", target="s0", planned=False
        )
        assert not judge(stop, crash, sent, make_run(10.1, sent), broken)

    def test_host_that_ends_by_itself(self) -> None:
        exited = HostExited(at=1.0, host="h0", code=1, expected=False)
        assert judge(exited) == {"ended"}


class Echo:
    """A server that sends back what it gets, in a thread."""

    def __init__(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._socket.getsockname()[1])
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return  # The test is over.
            threading.Thread(target=self._echo, args=[conn], daemon=True).start()

    def _echo(self, conn: socket.socket) -> None:
        with conn:
            try:
                while data := conn.recv(1024):
                    conn.sendall(data)
            except OSError:
                return  # A reset is one of the cases.

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()


@pytest.fixture
def echo() -> Iterator[Echo]:
    """Return an echo server."""
    server = Echo()
    yield server
    server.close()


class TestLink:
    """What a link does to the connections through it."""

    @pytest.mark.parametrize("trouble", [Trouble.CUT_THERE, Trouble.CUT_BACK])
    def test_cut_holds_bytes_until_it_ends(self, echo: Echo, trouble: Trouble) -> None:
        async def check() -> None:
            async with anyio.create_task_group() as tasks:
                link = Link(name="l", target=echo.port)
                await link.serve(tasks)
                stream = await anyio.connect_tcp("127.0.0.1", link.port)
                await stream.send(b"one")
                assert await stream.receive() == b"one"
                link.set_trouble(trouble)
                await stream.send(b"two")
                with anyio.move_on_after(0.1) as scope:
                    await stream.receive()
                assert scope.cancelled_caught
                link.set_trouble(Trouble.NONE)
                assert await stream.receive() == b"two"
                tasks.cancel_scope.cancel()

        anyio.run(check)

    def test_reset_ends_open_connections_and_new_ones(self, echo: Echo) -> None:
        async def check() -> None:
            async with anyio.create_task_group() as tasks:
                link = Link(name="l", target=echo.port)
                await link.serve(tasks)
                stream = await anyio.connect_tcp("127.0.0.1", link.port)
                await stream.send(b"one")
                await stream.receive()
                link.set_trouble(Trouble.RESET)
                with pytest.raises(anyio.BrokenResourceError):
                    await stream.receive()
                fresh = await anyio.connect_tcp("127.0.0.1", link.port)
                with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
                    await fresh.receive()
                tasks.cancel_scope.cancel()

        anyio.run(check)


class TestRun:
    """A short run over real processes keeps the rules that bound no time."""

    def test_short_run(self, tmp_path: Path) -> None:
        plan = Plan(
            seed=SEED,
            folder=tmp_path / "run",
            length_s=10.0,
            hosts=4,
            servers=6,
            callers=8,
            is_timed=False,
        )
        outcome = anyio.run(play, plan)
        assert outcome.breaches == []
        assert outcome.served > 0
        shutil.rmtree(tmp_path)
