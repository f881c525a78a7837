"""Supervision of the long-running loops of a host.

A loop that fails, or returns although it should run until cancelled, is recorded and
started again after a growing delay. It costs its own work for that time and not the
host.
`MemoryError` and `RecursionError` are treated like any other error: what asked for too
much has ended with it, and other calls should not pay for it. Cancellation,
`SystemExit` and `KeyboardInterrupt` pass through.
"""

import random
import time
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio

from ..failures import FailureLog
from .cancellation import unasked_cancellation_as_error

MIN_RESTART_DELAY_S: Final = 0.2
MAX_RESTART_DELAY_S: Final = 5.0

Loop = Callable[[], Coroutine[Any, Any, object]]


class UnexpectedReturnError(Exception):
    """A loop returned although it should run until cancelled."""


class RestartDelay:
    """The delay before a restart, which doubles with every failure in a row."""

    def __init__(self) -> None:
        self._delay_s = MIN_RESTART_DELAY_S
        self._started_at = time.monotonic()

    def start(self) -> None:
        """Record that the next run starts now."""
        self._started_at = time.monotonic()

    def has_lasted(self) -> bool:
        """Return True if the run was long enough not to count as a failed start."""
        return time.monotonic() - self._started_at > MAX_RESTART_DELAY_S

    def get_next_s(self) -> float:
        """Return how long to wait now; a run that lasted resets the growth."""
        if self.has_lasted():
            self._delay_s = MIN_RESTART_DELAY_S
        delay_s = self._delay_s * random.uniform(0.5, 1.0)
        self._delay_s = min(MAX_RESTART_DELAY_S, self._delay_s * 2)
        return delay_s


async def supervise(
    name: str,
    loop: Loop,
    failures: FailureLog,
    is_done: Callable[[], bool] = lambda: False,
) -> None:
    """Run a loop until cancelled, and start it again whenever it ends.

    Return once the loop has ended and `is_done` returns True.
    """
    delay = RestartDelay()
    while True:
        delay.start()
        error = await _run_until_it_ends(name, loop)
        if is_done():
            return
        failures.record(f"loop/{name}", error)
        await anyio.sleep(delay.get_next_s())


async def _run_until_it_ends(name: str, loop: Loop) -> Exception:
    """Return the error that ended a loop."""
    try:
        with unasked_cancellation_as_error():
            await loop()
    except Exception as exc:
        return exc
    return UnexpectedReturnError(f"{name} returned")
