"""Token buckets and rate meters, on the clock of the events."""

from dataclasses import dataclass
from math import exp


@dataclass(slots=True, kw_only=True)
class RateMeter:
    """Measure the rate of events, weighted exponentially by their age."""

    time_constant_s: float
    weight: float = 0.0
    updated: float = 0.0

    def count(self, now: float, events: float = 1.0) -> None:
        """Count one event, or several."""
        self.weight = self._decay(now) + events
        self.updated = now

    def get_rate(self, now: float) -> float:
        """Return the events per second."""
        return self._decay(now) / self.time_constant_s

    def _decay(self, now: float) -> float:
        return self.weight * exp((self.updated - now) / self.time_constant_s)


@dataclass(slots=True, kw_only=True)
class TokenBucket:
    """Hold up to `capacity` tokens, refilled at `rate` tokens per second.

    `added`, `taken` and `denied` count tokens since the start, for metrics.
    """

    rate: float
    capacity: float
    tokens: float = 0.0
    updated: float = 0.0
    added: float = 0.0
    taken: float = 0.0
    denied: float = 0.0

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take tokens and return True, or return False if there are too few."""
        self.refill(now)
        if self.tokens < amount:
            self.denied += amount
            return False
        self.tokens -= amount
        self.taken += amount
        return True

    def add(self, amount: float) -> None:
        """Add tokens, up to the capacity."""
        self.added += amount
        self.tokens = min(self.capacity, self.tokens + amount)

    def has(self, now: float, amount: float = 1.0) -> bool:
        """Return True if there are enough tokens."""
        self.refill(now)
        return self.tokens >= amount

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed_s = max(0.0, now - self.updated)
        self.updated = now
        self.tokens = min(self.capacity, self.tokens + elapsed_s * self.rate)
