"""Record of unexpected errors: each is counted, and logged as one bounded line."""

import asyncio
import logging
import re
import time
import traceback
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from .logs import LOGGER_NAME, REDACTED, SECRET_NAMES, log_warning

MAX_ERROR_CHARS: Final = 200
MAX_TRACE_FRAMES: Final = 8
# Errors within a group that are described; a group may hold one for each task.
MAX_GROUP_ERRORS: Final = 3
# Lines logged for one place within a period, in seconds; the rest are counted.
MAX_LINES: Final = 5
PERIOD_S: Final = 60.0
# Places that are told apart; all further ones share one. Names may come from outside.
MAX_PLACES: Final = 200
OTHER_PLACES: Final = "(others)"

# A secret after its name, as in `token=abc` or `b'authorization', b'Bearer abc'`.
_SECRET_NAME: Final = "|".join(sorted(SECRET_NAMES))
_NAMED_SECRET: Final = re.compile(
    rf"(?i)\b({_SECRET_NAME})\b(\W{{1,6}})((?:bearer|basic)\s+)?[^\s'\",)]+"
)
_CREDENTIALS: Final = re.compile(r"(?i)\b(bearer|basic)\s+[^\s'\",)]+")


def describe_error(exc: BaseException, secrets: Iterable[str] = ()) -> str:
    """Return type and message of an error, bounded and without secrets."""
    try:
        text = str(exc)
    except Exception as failed:
        text = f"(no message: {type(failed).__name__})"
    if isinstance(exc, BaseExceptionGroup):
        parts = [describe_error(part) for part in exc.exceptions[:MAX_GROUP_ERRORS]]
        text = "; ".join(parts)
    for secret in secrets:
        if secret:
            text = text.replace(secret, REDACTED)
    # Cut before the search, which must not take long on a huge message.
    text = text[: 2 * MAX_ERROR_CHARS]
    text = _NAMED_SECRET.sub(rf"\1\2{REDACTED}", text)
    text = _CREDENTIALS.sub(rf"\1 {REDACTED}", text)
    return f"{type(exc).__name__}: {text}"[:MAX_ERROR_CHARS]


def describe_trace(exc: BaseException) -> str:
    """Return where an error was raised, innermost first: `file:line:function<...`."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_TRACE_FRAMES:]
    return "<".join(
        f"{Path(frame.filename).name}:{frame.lineno}:{frame.name}"
        for frame in reversed(frames)
    )


@dataclass(slots=True, kw_only=True)
class _Place:
    """The lines of one place in the current period."""

    since: float
    lines: int = 0
    left_out: int = 0


class FailureLog:
    """Counts and logs unexpected errors by the place where they occurred.

    A place is the name of a loop, event, effect or task, such as `loop/registration`.
    `count` is called with it once for each error.
    """

    def __init__(
        self,
        *,
        count: Callable[[str], None],
        secrets: Iterable[str] = (),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._count = count
        self._secrets = tuple(secrets)
        self._clock = clock
        self._places: dict[str, _Place] = {}

    def record(self, where: str, exc: BaseException) -> None:
        """Count an error and log it, unless its place has logged too many lately."""
        if where not in self._places and len(self._places) >= MAX_PLACES:
            where = OTHER_PLACES
        self._count(where)
        now = self._clock()
        place = self._places.setdefault(where, _Place(since=now))
        if now - place.since >= PERIOD_S:
            place.since, place.lines = now, 0
        if place.lines >= MAX_LINES:
            place.left_out += 1
            return
        place.lines += 1
        left_out, place.left_out = place.left_out, 0
        log_warning(
            "failure",
            where=where,
            error=describe_error(exc, self._secrets),
            trace=describe_trace(exc),
            left_out=left_out,
        )

    @contextmanager
    def guard(self, where: str) -> Iterator[None]:
        """Record an error of a step whose failure needs no other consequence."""
        try:
            yield
        except Exception as exc:
            self.record(where, exc)

    def handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Record an error that asyncio reports, as its exception handler."""
        message = str(context.get("message", ""))
        exc = context.get("exception")
        if not isinstance(exc, BaseException):
            exc = RuntimeError(message)
        source = context.get("handle") or context.get("task") or context.get("future")
        self.record(f"asyncio/{_get_callback_name(source)}", exc)


def _get_callback_name(source: object) -> str:
    """Return the name of the function that a handle or task of asyncio runs."""
    if isinstance(source, asyncio.Task):
        return getattr(source.get_coro(), "__qualname__", "task")
    callback = getattr(source, "_callback", None)
    return getattr(callback, "__qualname__", "loop")


class LibraryErrors(logging.Filter):
    """Records the errors that libraries log, in place of their lines of many lines."""

    def __init__(self, failures: FailureLog) -> None:
        super().__init__()
        self._failures = failures

    def filter(self, record: logging.LogRecord) -> bool:
        """Return False for an error of a library, which is recorded here."""
        if record.name == LOGGER_NAME or record.levelno < logging.ERROR:
            return True
        exc = record.exc_info[1] if record.exc_info else None
        if exc is None:
            exc = RuntimeError(record.getMessage())
        self._failures.record(f"library/{record.name}", exc)
        return False
