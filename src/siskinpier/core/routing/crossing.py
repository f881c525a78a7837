"""Whether a call is worth the bytes that it moves between failure domains.

Bytes between failure domains are the dearest that a deployment pays for, so a call
crosses only where that makes it clearly more likely to keep its aim, and the larger
request and reply are, the more it must gain.
"""

from typing import Final

from .calls import ActiveCall

# Chance of keeping the aim that a kilobyte between failure domains must gain.
CHANCE_PER_KILOBYTE: Final = 0.06
KILOBYTE: Final = 1_000.0
# Messages and answers there and back, seconds.
CROSSING_S: Final = 0.008
# The estimate of an answer's time is off by up to this share of the aim.
ESTIMATE_SPREAD: Final = 0.25


def may_cross(active: ActiveCall) -> bool:
    """Return True if any gain could be worth the bytes of this call."""
    return _get_price(active) < 1.0


def is_crossing_worth(
    active: ActiveCall, expected_s: float, typical_run_s: float, now: float
) -> bool:
    """Return True if a free server elsewhere is worth it.

    `expected_s` is the time until an answer here, `typical_run_s` that of a run.
    """
    aim = active.arrived + active.aim_s if active.aim_s else active.call.deadline
    left_s = aim - now
    here = get_chance(expected_s, left_s)
    there = get_chance(typical_run_s + CROSSING_S, left_s)
    return there - here > _get_price(active)


def get_chance(expected_s: float, left_s: float) -> float:
    """Return how likely an answer expected in a time comes within another."""
    if left_s <= 0.0:
        return 0.0
    late = expected_s / left_s - (1.0 - ESTIMATE_SPREAD)
    return 1.0 - min(1.0, max(0.0, late / (2.0 * ESTIMATE_SPREAD)))


def _get_price(active: ActiveCall) -> float:
    return active.size / KILOBYTE * CHANCE_PER_KILOBYTE
