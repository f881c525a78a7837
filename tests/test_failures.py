"""Tests of the record of unexpected errors: visible, on one line, bounded."""

import asyncio
import io
import logging
from collections import Counter
from collections.abc import Iterator

import pytest

from siskinpier.failures import (
    MAX_ERROR_CHARS,
    MAX_LINES,
    MAX_PLACES,
    PERIOD_S,
    FailureLog,
    LibraryErrors,
    describe_error,
    describe_trace,
)
from siskinpier.logs import LOGGER_NAME, configure_logging

LINE_CHARS = 2_000


def make_error(text: str, depth: int = 0) -> Exception:
    """Return an error that was raised `depth` calls below this one."""
    try:
        if depth:
            raise make_error(text, depth - 1)
        raise ValueError(text)
    except ValueError as exc:
        return exc


def recurse() -> None:
    """Recurse without end."""
    recurse()


class Recorder:
    """A failure log with a clock of its own, and its counts."""

    def __init__(self, *, secrets: tuple[str, ...] = ()) -> None:
        self.counts: Counter[str] = Counter()
        self.now = 0.0
        self.log = FailureLog(
            count=lambda where: self.counts.update([where]),
            secrets=secrets,
            clock=lambda: self.now,
        )


class Output:
    """The lines that are logged."""

    def __init__(self) -> None:
        self.stream = io.StringIO()
        self.handler = logging.StreamHandler(self.stream)
        configure_logging(self.handler)

    def read_lines(self) -> list[str]:
        """Return the lines since the last call."""
        lines = self.stream.getvalue().splitlines()
        self.stream.truncate(0)
        self.stream.seek(0)
        return lines


@pytest.fixture
def output() -> Iterator[Output]:
    """Return the output of the logger during a test."""
    made = Output()
    yield made
    logging.getLogger().removeHandler(made.handler)
    logging.getLogger(LOGGER_NAME).handlers = []


class TestFailureLog:
    """An unexpected error is counted, and is one bounded line without secrets."""

    @pytest.mark.parametrize(
        "text", ["", "two\nlines\r\n", "x" * 10_000_000, "\ud800", 'a="b" \\'], ids=len
    )
    def test_any_message_is_one_bounded_line(self, text: str, output: Output) -> None:
        recorder = Recorder()
        recorder.log.record("loop/x", make_error(text))
        lines = output.read_lines()
        assert len(lines) == 1 and len(lines[0]) < LINE_CHARS
        assert "event=failure where=loop/x" in lines[0]
        assert recorder.counts == {"loop/x": 1}

    def test_deep_trace_is_bounded(self, output: Output) -> None:
        try:
            recurse()
        except RecursionError as exc:
            Recorder().log.record("event/X", exc)
        (line,) = output.read_lines()
        assert "RecursionError" in line and ":recurse" in line
        assert len(line) < LINE_CHARS

    def test_group_names_its_errors(self) -> None:
        inner = make_error("inner")
        group = ExceptionGroup("outer", [ExceptionGroup("between", [inner])])
        assert "ValueError: inner" in describe_error(group)
        assert describe_trace(group) == describe_trace(inner) != ""

    def test_error_whose_message_fails(self) -> None:
        class OddError(Exception):
            def __str__(self) -> str:
                raise KeyError("odd")

        assert describe_error(OddError()) == "OddError: (no message: KeyError)"

    @pytest.mark.parametrize(
        "text",
        [
            "the key abc123 is wrong",
            "Authorization: Bearer abc123",
            "(b'authorization', b'Basic abc123')",
            "token=abc123",
            "{'password': 'abc123'}",
        ],
    )
    def test_secrets_are_hidden(self, text: str, output: Output) -> None:
        secrets = ("abc123",) if "key" in text else ()
        Recorder(secrets=secrets).log.record("task/x", make_error(text))
        (line,) = output.read_lines()
        assert "abc123" not in line and "(hidden)" in line

    def test_rate_of_lines_is_bounded(self, output: Output) -> None:
        recorder = Recorder()
        for _ in range(100):
            recorder.log.record("loop/x", make_error("again"))
        recorder.log.record("loop/y", make_error("other"))
        lines = output.read_lines()
        assert sum("where=loop/x" in line for line in lines) == MAX_LINES
        assert sum("where=loop/y" in line for line in lines) == 1
        assert recorder.counts["loop/x"] == 100
        recorder.now = PERIOD_S
        recorder.log.record("loop/x", make_error("again"))
        (line,) = output.read_lines()
        assert f"left_out={100 - MAX_LINES}" in line

    def test_number_of_places_is_bounded(self) -> None:
        recorder = Recorder()
        for number in range(10 * MAX_PLACES):
            recorder.log.record(f"library/{number}", make_error(""))
        assert len(recorder.counts) == MAX_PLACES + 1

    def test_message_is_cut(self) -> None:
        assert len(describe_error(make_error("x" * 1_000))) == MAX_ERROR_CHARS


class TestErrorsOfOthers:
    """What asyncio and libraries report is recorded in the same way."""

    def test_callback_and_lost_task(self, output: Output) -> None:
        recorder = Recorder()

        def fail_in_callback() -> None:
            raise make_error("in a callback", depth=3)

        async def fail_in_task() -> None:
            raise make_error("in a task")

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(recorder.log.handle_loop_error)
            loop.call_soon(fail_in_callback)
            task = loop.create_task(fail_in_task())
            await asyncio.sleep(0.01)
            del task
            loop.call_exception_handler({"message": "text only"})

        asyncio.run(run())
        lines = output.read_lines()
        assert len(lines) == 3
        for text in ("fail_in_callback", "fail_in_task", "text only"):
            assert sum(text in line for line in lines) >= 1
        assert sum(recorder.counts.values()) == 3

    def test_error_logged_by_a_library(self, output: Output) -> None:
        recorder = Recorder()
        output.handler.addFilter(LibraryErrors(recorder.log))
        for name in ("uvicorn.error", "websockets.server"):
            error = make_error("many\nlines", depth=50)
            logging.getLogger(name).error("failed\nbadly", exc_info=error)
            logging.getLogger(name).error("only a text")
        lines = output.read_lines()
        assert len(lines) == 4 and all(len(line) < LINE_CHARS for line in lines)
        assert recorder.counts == {
            "library/uvicorn.error": 2,
            "library/websockets.server": 2,
        }
