"""Effect of slow periods of a service's servers on its calls, learned from runs.

Deployments differ: a slow period may slow whatever runs during it, or it may slow the
calls that begin in it for their whole run and leave the others unaffected. A home
assumes what it observed.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp
from typing import Final

# Weight of the newest period, or run, in the moving means.
NEWEST_WEIGHT: Final = 0.1
# A slow period that lasts this many times the usual length is not a usual one.
LONG_PERIOD_FACTOR: Final = 2.0
# Assumed length of a slow period before one was observed, in seconds.
INITIAL_LENGTH_S: Final = 0.35
# Fast time that is assumed before any was observed, and fast time after which all that
# was observed counts half, in seconds.
INITIAL_FAST_S: Final = 2.0
HALVING_FAST_S: Final = 200.0


@dataclass(slots=True, kw_only=True)
class SlowPeriods:
    """Statistics of the slow periods of one service's servers.

    `begun_slow_share` is the share of the slowdown that affects a run which begins in a
    slow period, over its whole length. `midway_slow_share` is the share that affects a
    run which began earlier, for as long as the period lasts.
    """

    length_s: float = INITIAL_LENGTH_S
    # How many times longer work takes in a slow period.
    slowdown: float = 1.0
    begun_slow_share: float = 1.0
    begun_slow_runs: int = 0
    midway_slow_share: float = 1.0
    # Slow periods that began, and time in which servers were fast, in seconds.
    onsets: float = 0.0
    fast_s: float = INITIAL_FAST_S

    def record_fast_time(self, length_s: float, *, has_ended: bool) -> None:
        """Record time in which a server was fast, and whether it then became slow."""
        if self.fast_s > HALVING_FAST_S:
            self.fast_s /= 2.0
            self.onsets /= 2.0
        self.fast_s += length_s
        self.onsets += has_ended

    def record_slow_period(self, length_s: float, slowdown: float) -> None:
        """Record a slow period that ended."""
        self.length_s += NEWEST_WEIGHT * (length_s - self.length_s)
        if self.slowdown == 1.0:
            self.slowdown = slowdown
        self.slowdown += NEWEST_WEIGHT * (slowdown - self.slowdown)

    def record_begun_slow(
        self, run_s: float, typical_run_s: float, slowdown: float
    ) -> None:
        """Record a run that began while its server was slow."""
        share = _compute_share(run_s - typical_run_s, typical_run_s * (slowdown - 1.0))
        self.begun_slow_share += NEWEST_WEIGHT * (share - self.begun_slow_share)
        self.begun_slow_runs += 1

    def record_slowed_midway(self, extra_s: float, max_extra_s: float) -> None:
        """Record how much longer a run took that was slowed after it began."""
        share = _compute_share(extra_s, max_extra_s)
        self.midway_slow_share += NEWEST_WEIGHT * (share - self.midway_slow_share)

    def estimate_onset_probability(self, within_s: float) -> float:
        """Return the probability that a fast server becomes slow within a time."""
        return 1.0 - exp(-self.onsets / self.fast_s * within_s)

    def estimate_begun_slow_s(self, typical_run_s: float, slowdown: float) -> float:
        """Return the expected time in seconds of a run that begins on a slow server."""
        return typical_run_s * (1.0 + self.begun_slow_share * (slowdown - 1.0))

    def estimate_recovery_s(self, ages_s: Sequence[float]) -> float:
        """Return the expected time until one of some slow servers is fast, in seconds.

        `ages_s` holds how long each has been slow. A period that lasts much longer
        than others did is expected to last as long again.
        """
        usual = sum(age_s < LONG_PERIOD_FACTOR * self.length_s for age_s in ages_s)
        if usual:
            return self.length_s / (usual + 1)
        return min(ages_s)


def _compute_share(extra_s: float, max_extra_s: float) -> float:
    if max_extra_s <= 0.0:
        return 0.0
    return min(1.0, max(0.0, extra_s / max_extra_s))
