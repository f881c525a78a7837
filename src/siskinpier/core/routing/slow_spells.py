"""What slow spells of a service's servers do to its calls, as reports and runs tell.

Deployments differ: a spell may slow whatever runs meanwhile, or hold for the whole run
of each call that begins in it and leave the others alone. What was seen decides which
of the two a home reckons with.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp
from typing import Final

# Weight of the newest spell, or run, in what is learnt.
WEIGHT: Final = 0.1
# A spell that lasts for so many times the usual length is no usual one.
LONG_SPELL: Final = 2.0
# Length of a spell before one was seen, seconds.
FIRST_LENGTH_S: Final = 0.35
# Time that counts as seen without a spell before anything was, and time after which
# what was seen counts half, seconds.
UNSEEN_S: Final = 2.0
MEMORY_S: Final = 200.0


@dataclass(slots=True, kw_only=True)
class SlowSpells:
    """The slow spells of one service's servers.

    `begun_part` is the part of a slowdown that a run which begins in a spell suffers
    over its whole length; `midway_part` the part of it that a run suffers which began
    before, for as long as the spell lasts.
    """

    length_s: float = FIRST_LENGTH_S
    # How many times longer work takes in a spell.
    slowdown: float = 1.0
    begun_part: float = 1.0
    begun_runs: int = 0
    midway_part: float = 1.0
    # Spells that began, and the time in which servers were fast, seconds.
    onsets: float = 0.0
    fast_s: float = UNSEEN_S

    def note_fast(self, length_s: float, *, has_ended: bool) -> None:
        """Take in time in which a server was fast, and whether a spell ended it."""
        if self.fast_s > MEMORY_S:
            self.fast_s /= 2.0
            self.onsets /= 2.0
        self.fast_s += length_s
        self.onsets += has_ended

    def note_spell(self, length_s: float, slowdown: float) -> None:
        """Take in a spell that ended."""
        self.length_s += WEIGHT * (length_s - self.length_s)
        if self.slowdown == 1.0:
            self.slowdown = slowdown
        self.slowdown += WEIGHT * (slowdown - self.slowdown)

    def note_begun(self, run_s: float, typical_run_s: float, slowdown: float) -> None:
        """Take in a run that began while its server was slow."""
        part = _get_part(run_s - typical_run_s, typical_run_s * (slowdown - 1.0))
        self.begun_part += WEIGHT * (part - self.begun_part)
        self.begun_runs += 1

    def note_midway(self, extra_s: float, most_s: float) -> None:
        """Take in how much longer a run took that was slowed after it began."""
        part = _get_part(extra_s, most_s)
        self.midway_part += WEIGHT * (part - self.midway_part)

    def get_onset_chance(self, within_s: float) -> float:
        """Return how likely a fast server becomes slow within a time."""
        return 1.0 - exp(-self.onsets / self.fast_s * within_s)

    def get_begun_s(self, typical_run_s: float, slowdown: float) -> float:
        """Return how long a run takes that begins on a slow server, in seconds."""
        return typical_run_s * (1.0 + self.begun_part * (slowdown - 1.0))

    def get_wait_s(self, ages_s: Sequence[float]) -> float:
        """Return the time until the first of some slow servers is fast again.

        `ages_s` tells for how long each is slow. A spell that lasts much longer than
        others did is likely to last as long again.
        """
        usual = sum(age_s < LONG_SPELL * self.length_s for age_s in ages_s)
        if usual:
            return self.length_s / (usual + 1)
        return min(ages_s)


def _get_part(extra_s: float, most_s: float) -> float:
    if most_s <= 0.0:
        return 0.0
    return min(1.0, max(0.0, extra_s / most_s))
