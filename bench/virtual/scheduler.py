"""Virtual time: an event heap and the single source of randomness."""

import heapq
import random
from collections.abc import Callable
from typing import Final

START_TIME_S: Final = 1_000_000.0


class Scheduler:
    """Runs actions in the order of their times; runs with equal seeds are equal.

    `now` is the current virtual time, in seconds.
    """

    def __init__(self, *, seed: int) -> None:
        self.now = START_TIME_S
        self.rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, after actions already scheduled for that time.

        A time in the past means now.
        """
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self.now), self._sequence, action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + delay_s, action)

    def run_until(self, when: float) -> None:
        """Run all actions due up to and including `when`."""
        while self._heap and self._heap[0][0] <= when:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = when

    def run_for(self, length_s: float) -> None:
        """Advance the time by `length_s` seconds and run all actions due."""
        self.run_until(self.now + length_s)
