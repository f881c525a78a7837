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
CROSS_DOMAIN_DELAY_S: Final = 0.008
# The estimate of an answer's time is off by up to this share of the aim.
ESTIMATE_ERROR_SHARE: Final = 0.25


def can_cross_domains(active: ActiveCall) -> bool:
    """Return True if any gain could be worth the bytes of this call."""
    return _get_price(active) < 1.0


def is_cross_domain_worthwhile(
    active: ActiveCall, expected_s: float, usual_s: float, now: float
) -> bool:
    """Return True if a free server elsewhere is worth it.

    `expected_s` is the time until an answer here, `usual_s` that of a run.
    """
    aim = active.arrived + active.aim_s if active.aim_s else active.call.deadline
    left_s = aim - now
    here = compute_chance(expected_s, left_s)
    there = compute_chance(usual_s + CROSS_DOMAIN_DELAY_S, left_s)
    return there - here > _get_price(active)


def compute_chance(expected_s: float, left_s: float) -> float:
    """Return how likely an answer expected in a time comes within another."""
    if left_s <= 0.0:
        return 0.0
    late = expected_s / left_s - (1.0 - ESTIMATE_ERROR_SHARE)
    return 1.0 - min(1.0, max(0.0, late / (2.0 * ESTIMATE_ERROR_SHARE)))


def _get_price(active: ActiveCall) -> float:
    return active.size / KILOBYTE * CHANCE_PER_KILOBYTE
