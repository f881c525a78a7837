"""Writing log lines without ever waiting for their reader.

Lines go into a bounded buffer, which is written as far as the reader takes them. Where
room is short, lines of plain successes are left out first, and a line says how many of
each event were.
"""

import asyncio
import logging
import os
from collections import Counter, deque
from typing import Final

BUFFER_BYTES: Final = 1_048_576
# Events that tell of ordinary work; they may use up this part of the buffer only.
PLAIN_EVENTS: Final = frozenset(
    {"route", "grant", "answer", "queue", "probe", "cancelled"}
)
PLAIN_PART: Final = 0.75
WRITE_BYTES: Final = 65_536
LEFT_OUT_EVENT: Final = "lines-left-out"


class LineWriter(logging.Handler):
    """A handler that hands whole lines to a file descriptor as it takes them.

    `left_out` counts the lines that found no room, by event, since the start.
    """

    def __init__(self, *, fd: int, limit_bytes: int = BUFFER_BYTES) -> None:
        super().__init__()
        self.left_out: Counter[str] = Counter()
        self._fd = fd
        self._limit_bytes = limit_bytes
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._rest = b""
        self._untold: Counter[str] = Counter()
        self._is_waiting = False
        self._was_blocking = os.get_blocking(fd)
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Take in a line, or count it as left out."""
        event = _get_event(record)
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        part = PLAIN_PART if event in PLAIN_EVENTS else 1.0
        if self._size + len(line) > self._limit_bytes * part:
            self.left_out[event] += 1
            self._untold[event] += 1
            return
        self._lines.append(line)
        self._size += len(line)
        if not self._is_waiting:
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take_lines()
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                self._wait()
                return
            except OSError:
                # Nobody reads any more; the lines have nowhere to go.
                self._drop_all()
                return
            self._rest = self._rest[written:]
        self._tell_left_out()

    def close(self) -> None:
        """Leave the descriptor as it was: others may write to the same terminal."""
        os.set_blocking(self._fd, self._was_blocking)
        super().close()

    def _take_lines(self) -> bytes:
        taken: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            taken.append(line)
        self._size -= size
        return b"".join(taken)

    def _wait(self) -> None:
        """Go on when the descriptor can be written again."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # The next line tries again.
        if not self._is_waiting:
            self._is_waiting = True
            loop.add_writer(self._fd, self._resume, loop)

    def _resume(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_writer(self._fd)
        self._is_waiting = False
        self.flush()

    def _tell_left_out(self) -> None:
        if not self._untold:
            return
        counts = " ".join(f"{name}={n}" for name, n in sorted(self._untold.items()))
        self._untold.clear()
        line = f"level=WARNING event={LEFT_OUT_EVENT} {counts}\n".encode()
        self._lines.append(line)
        self._size += len(line)
        self.flush()

    def _drop_all(self) -> None:
        self.left_out["unread"] += len(self._lines)
        self._lines.clear()
        self._size = 0
        self._rest = b""


def _get_event(record: logging.LogRecord) -> str:
    if isinstance(record.msg, dict):
        return str(record.msg.get("event", ""))
    return record.name
