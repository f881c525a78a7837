"""Virtual time: an event heap, and the generator that all chance comes from."""

import heapq
import random
from collections.abc import Callable
from typing import Final

START_S: Final = 1_000_000.0


class Scheduler:
    """Actions in the order of their times; the same seed gives the same run."""

    def __init__(self, *, seed: int) -> None:
        self.now = START_S
        self.rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time, after those already set for it."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self.now), self._sequence, action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now + delay_s, action)

    def run_until(self, when: float) -> None:
        """Run every action due up to a time."""
        while self._heap and self._heap[0][0] <= when:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = when

    def run_for(self, length_s: float) -> None:
        """Run for a time."""
        self.run_until(self.now + length_s)
