"""The standard descriptors of a host process, which may be closed at its start."""

import contextlib
import os
from typing import Final

STDIN_FD: Final = 0
STDOUT_FD: Final = 1
STDERR_FD: Final = 2


def open_standard_descriptors() -> int:
    """Open those that are closed to the null device; return the one for the log.

    Otherwise a socket would get such a number, and lines of output would go to it. The
    log is standard output, or standard error if only that was open.
    """
    descriptors = (STDIN_FD, STDOUT_FD, STDERR_FD)
    closed = [fd for fd in descriptors if not _is_open(fd)]
    for _ in closed:
        # Opening takes the lowest free number.
        os.open(os.devnull, os.O_RDWR)
    is_stderr_alone = STDOUT_FD in closed and STDERR_FD not in closed
    return STDERR_FD if is_stderr_alone else STDOUT_FD


def unblock_standard_error() -> None:
    """Let no write to standard error wait for its reader; raises `OSError`."""
    os.set_blocking(STDERR_FD, False)


def write_error_line(text: str) -> None:
    """Write a line to standard error, if it takes one now."""
    # The same text is in the log.
    with contextlib.suppress(OSError):
        unblock_standard_error()
        os.write(STDERR_FD, f"{text}\n".encode("utf-8", "replace"))


def _is_open(fd: int) -> bool:
    try:
        os.fstat(fd)
    except OSError:
        return False
    return True
