"""Timers of the core, run by the event loop."""

import asyncio
from collections.abc import Callable

from ..core.timers import Timer


class LoopTimers:
    """Fires each timer once at its time; setting a timer again moves it."""

    def __init__(
        self, *, clock: Callable[[], float], fire: Callable[[Timer], None]
    ) -> None:
        self._clock = clock
        self._fire = fire
        self._handles: dict[Timer, asyncio.TimerHandle] = {}
        self._is_closed = False

    def set(self, timer: Timer, at: float) -> None:
        """Set a timer to fire at `at`, in seconds of the host's clock.

        Do nothing once the timers are closed.
        """
        self.clear(timer)
        if self._is_closed:
            return
        delay_s = max(0.0, at - self._clock())
        loop = asyncio.get_running_loop()
        self._handles[timer] = loop.call_later(delay_s, self._expire, timer)

    def clear(self, timer: Timer) -> None:
        """Cancel a timer; do nothing if it is not set."""
        handle = self._handles.pop(timer, None)
        if handle is not None:
            handle.cancel()

    def is_set(self, timer: Timer) -> bool:
        """Return True if a timer will fire."""
        return timer in self._handles

    def close(self) -> None:
        """Cancel all timers; no timer can be set any more."""
        self._is_closed = True
        for timer in list(self._handles):
            self.clear(timer)

    def _expire(self, timer: Timer) -> None:
        self._handles.pop(timer, None)
        self._fire(timer)
