"""Tests of the log handler when its reader is slow, stopped or gone."""

import asyncio
import errno
import logging
import os

import pytest

from siskinpier.log_writer import NonBlockingHandler

SMALL_BYTES = 4_000


def make_record(event: str, size: int = 50) -> logging.LogRecord:
    """Return the log record of an event, with a text of `size` characters."""
    msg = {"event": event, "text": "x" * size}
    return logging.LogRecord("x", logging.INFO, "", 0, msg, None, None)


def make_handler(fd: int, limit_bytes: int = SMALL_BYTES) -> NonBlockingHandler:
    """Return a handler with a small buffer for a file descriptor."""
    handler = NonBlockingHandler(fd=fd, limit_bytes=limit_bytes)
    handler.setFormatter(logging.Formatter("%(message)s"))
    return handler


def fill_pipe(fd: int) -> int:
    """Fill a pipe; return the number of bytes written."""
    os.set_blocking(fd, False)
    size = 0
    try:
        while True:
            size += os.write(fd, b"." * 4096)
    except BlockingIOError:
        return size


class TestNonBlockingHandler:
    """A reader that stops reading must not block the host or grow its buffer.

    Lines that do not fit are dropped, and a later line reports how many.
    """

    def test_line_is_written_at_once(self) -> None:
        reader, fd = os.pipe()
        make_handler(fd).emit(make_record("start"))
        assert os.read(reader, 1000).count(b"\n") == 1

    def test_routine_events_are_dropped_first(self) -> None:
        _, fd = os.pipe()
        fill_pipe(fd)
        handler = make_handler(fd)
        for _ in range(100):
            handler.emit(make_record("answer"))
        for _ in range(4):
            handler.emit(make_record("refuse"))
        assert handler.dropped_lines["answer"] > 0
        assert handler.dropped_lines["refuse"] == 0

    def test_buffer_is_bounded(self) -> None:
        _, fd = os.pipe()
        fill_pipe(fd)
        handler = make_handler(fd)
        for _ in range(10_000):
            handler.emit(make_record("refuse"))
        assert handler._buffered_bytes <= SMALL_BYTES

    def test_dropped_lines_are_reported(self) -> None:
        async def overflow_and_read() -> bytes:
            reader, fd = os.pipe()
            filled = fill_pipe(fd)
            handler = make_handler(fd)
            for _ in range(100):
                handler.emit(make_record("answer"))
            os.set_blocking(reader, False)
            read = b""
            for _ in range(100):
                await asyncio.sleep(0.001)
                try:
                    read += os.read(reader, 65536)
                except BlockingIOError:
                    continue
            return read[filled:]

        text = asyncio.run(overflow_and_read())
        lines = text.decode().splitlines()
        reports = [line for line in lines if "event=lines-left-out" in line]
        assert len(reports) == 1
        kept = sum("'answer'" in line for line in lines)
        assert f"answer={100 - kept}" in reports[0]

    def test_close_restores_blocking_mode(self) -> None:
        _, fd = os.pipe()
        handler = make_handler(fd)
        assert not os.get_blocking(fd)
        handler.close()
        assert os.get_blocking(fd)

    def test_closed_reader(self) -> None:
        reader, fd = os.pipe()
        os.close(reader)
        handler = make_handler(fd)
        handler.emit(make_record("start"))
        assert handler._buffered_bytes == 0

    def test_value_that_cannot_be_formatted(self) -> None:
        class Broken:
            def __repr__(self) -> str:
                raise RuntimeError

        reader, fd = os.pipe()
        record = make_record("start")
        record.msg = {"event": "start", "value": Broken()}
        make_handler(fd).emit(record)
        line = os.read(reader, 1000).decode()
        assert "event=line-unformatted of=start error=RuntimeError" in line

    def test_loop_that_cannot_wait_for_the_descriptor(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def log() -> bytes:
            reader, fd = os.pipe()
            filled = fill_pipe(fd)
            handler = make_handler(fd)
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(loop, "add_writer", refuse)
            handler.emit(make_record("first"))
            assert len(os.read(reader, filled)) == filled
            handler.emit(make_record("second"))
            return os.read(reader, 1000)

        def refuse(*_: object) -> None:
            raise PermissionError(errno.EPERM, "not a kind of file to wait for")

        lines = asyncio.run(log())
        assert b"first" in lines and b"second" in lines

    def test_lines_left_when_the_loop_ends_are_written(self) -> None:
        async def log() -> None:
            handler.emit(make_record("first"))

        reader, fd = os.pipe()
        filled = fill_pipe(fd)
        handler = make_handler(fd)
        asyncio.run(log())
        assert len(os.read(reader, filled)) == filled
        handler.emit(make_record("last"))
        handler.drain(within_s=0.0)
        lines = os.read(reader, 1000)
        assert b"first" in lines and b"last" in lines

    def test_drain_of_a_full_pipe_ends(self) -> None:
        _, fd = os.pipe()
        fill_pipe(fd)
        handler = make_handler(fd)
        handler.emit(make_record("last"))
        handler.drain(within_s=0.01)
