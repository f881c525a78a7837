"""A log handler that never blocks on the reader of the log.

Lines are kept in a bounded buffer and written as fast as the reader consumes them. When
the buffer fills up, lines of routine events are dropped first. Once the buffer is empty
again, a `lines-left-out` line reports how many lines of each event were dropped.
"""

import asyncio
import logging
import os
import select
import time
from collections import Counter, deque
from typing import Final

MAX_BUFFER_BYTES: Final = 1_048_576
# Routine events: their lines are dropped once `ROUTINE_BUFFER_SHARE` of the buffer is
# in use.
ROUTINE_EVENTS: Final = frozenset(
    {"route", "grant", "answer", "queue", "probe", "cancelled"}
)
ROUTINE_BUFFER_SHARE: Final = 0.75
# Lines are joined until a write has at least this size.
WRITE_BYTES: Final = 65_536
DROPPED_LINES_EVENT: Final = "lines-left-out"
UNFORMATTED_LINE_EVENT: Final = "line-unformatted"


class NonBlockingHandler(logging.Handler):
    """Writes whole lines to a file descriptor in non-blocking mode.

    `dropped_lines` counts the lines dropped since the start, by event. Inside an event
    loop the handler resumes writing as soon as the descriptor is writable; without one,
    at the next line.
    """

    def __init__(self, *, fd: int, limit_bytes: int = MAX_BUFFER_BYTES) -> None:
        super().__init__()
        self.dropped_lines: Counter[str] = Counter()
        self._fd = fd
        self._limit_bytes = limit_bytes
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._unwritten = b""
        self._unreported: Counter[str] = Counter()
        self._is_waiting_for_writable = False
        self._was_blocking = os.get_blocking(fd)
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer and write a line, or drop and count it if the buffer is full."""
        event = _get_event_name(record)
        line = self._format_line(record, event)
        share = ROUTINE_BUFFER_SHARE if event in ROUTINE_EVENTS else 1.0
        if self._buffered_bytes + len(line) > self._limit_bytes * share:
            self.dropped_lines[event] += 1
            self._unreported[event] += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if not self._is_waiting_for_writable:
            self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._pop_lines()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The reader has closed its end, so nothing can be written any more.
                self._drop_all_lines()
                return
            self._unwritten = self._unwritten[written:]
        self._report_dropped_lines()

    def drain(self, *, within_s: float) -> None:
        """Write what is left, for a limited time, once the event loop has ended."""
        self._is_waiting_for_writable = False
        deadline = time.monotonic() + within_s
        writable = select.poll()
        writable.register(self._fd, select.POLLOUT)
        self.flush()
        while self._unwritten or self._lines:
            left_s = deadline - time.monotonic()
            if left_s <= 0.0:
                return
            writable.poll(left_s * 1_000)
            self.flush()

    def close(self) -> None:
        """Restore the blocking mode of the descriptor.

        Other processes may write to the same terminal.
        """
        os.set_blocking(self._fd, self._was_blocking)
        super().close()

    def _format_line(self, record: logging.LogRecord, event: str) -> bytes:
        """Return the line of a record, or one that tells why it has none."""
        try:
            text = self.format(record)
        except Exception as exc:  # A value may fail in any way as it is formatted.
            error = type(exc).__name__
            text = f"level=WARNING event={UNFORMATTED_LINE_EVENT} of={event}"
            text = f"{text} error={error}"
        return text.encode("utf-8", "replace") + b"\n"

    def _pop_lines(self) -> bytes:
        lines: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            lines.append(line)
        self._buffered_bytes -= size
        return b"".join(lines)

    def _schedule_flush(self) -> None:
        """Call `flush` again once the descriptor is writable."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # Without an event loop, the next line tries again.
        if self._is_waiting_for_writable:
            return
        try:
            loop.add_writer(self._fd, self._handle_writable, loop)
        except (OSError, RuntimeError, ValueError):
            return  # A loop cannot wait for every kind of file: as without a loop.
        self._is_waiting_for_writable = True

    def _handle_writable(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_writer(self._fd)
        self._is_waiting_for_writable = False
        self.flush()

    def _report_dropped_lines(self) -> None:
        if not self._unreported:
            return
        counts = " ".join(f"{name}={n}" for name, n in sorted(self._unreported.items()))
        self._unreported.clear()
        line = f"level=WARNING event={DROPPED_LINES_EVENT} {counts}\n".encode()
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def _drop_all_lines(self) -> None:
        self.dropped_lines["unread"] += len(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        self._unwritten = b""


def _get_event_name(record: logging.LogRecord) -> str:
    if isinstance(record.msg, dict):
        return str(record.msg.get("event", ""))
    return record.name
