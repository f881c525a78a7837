"""Tests of log lines under load: whole, bounded, never waited for."""

import asyncio
import logging
import os

from siskinpier.log_writer import NonBlockingHandler

SMALL_BYTES = 4_000


def make_record(event: str, size: int = 50) -> logging.LogRecord:
    """Return a record of an event."""
    msg = {"event": event, "text": "x" * size}
    return logging.LogRecord("x", logging.INFO, "", 0, msg, None, None)


def make_writer(fd: int, limit_bytes: int = SMALL_BYTES) -> NonBlockingHandler:
    """Return a writer of a small buffer."""
    writer = NonBlockingHandler(fd=fd, limit_bytes=limit_bytes)
    writer.setFormatter(logging.Formatter("%(message)s"))
    return writer


def fill_pipe(fd: int) -> int:
    """Write until the pipe is full; return the number of bytes."""
    os.set_blocking(fd, False)
    size = 0
    try:
        while True:
            size += os.write(fd, b"." * 4096)
    except BlockingIOError:
        return size


class TestLineWriter:
    """A reader that stands still costs lines, not time or memory."""

    def test_line_is_written_at_once(self) -> None:
        reader, fd = os.pipe()
        make_writer(fd).emit(make_record("start"))
        assert os.read(reader, 1000).count(b"\n") == 1

    def test_failures_outlast_plain_lines(self) -> None:
        _, fd = os.pipe()
        fill_pipe(fd)
        writer = make_writer(fd)
        for _ in range(100):
            writer.emit(make_record("answer"))
        for _ in range(4):
            writer.emit(make_record("refuse"))
        assert writer.dropped_lines["answer"] > 0
        assert writer.dropped_lines["refuse"] == 0

    def test_buffer_is_bounded(self) -> None:
        _, fd = os.pipe()
        fill_pipe(fd)
        writer = make_writer(fd)
        for _ in range(10_000):
            writer.emit(make_record("refuse"))
        assert writer._buffered_bytes <= SMALL_BYTES

    def test_what_was_left_out_is_told(self) -> None:
        async def play() -> bytes:
            reader, fd = os.pipe()
            filled = fill_pipe(fd)
            writer = make_writer(fd)
            for _ in range(100):
                writer.emit(make_record("answer"))
            os.set_blocking(reader, False)
            read = b""
            for _ in range(100):
                await asyncio.sleep(0.001)
                try:
                    read += os.read(reader, 65536)
                except BlockingIOError:
                    continue
            return read[filled:]

        text = asyncio.run(play())
        lines = text.decode().splitlines()
        told = [line for line in lines if "event=lines-left-out" in line]
        assert len(told) == 1
        kept = sum("'answer'" in line for line in lines)
        assert f"answer={100 - kept}" in told[0]

    def test_descriptor_is_left_as_it_was(self) -> None:
        _, fd = os.pipe()
        writer = make_writer(fd)
        assert not os.get_blocking(fd)
        writer.close()
        assert os.get_blocking(fd)

    def test_closed_reader(self) -> None:
        reader, fd = os.pipe()
        os.close(reader)
        writer = make_writer(fd)
        writer.emit(make_record("start"))
        assert writer._buffered_bytes == 0
