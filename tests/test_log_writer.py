"""Tests of the log handler when its reader is slow, stopped or gone."""

import asyncio
import logging
import os

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
