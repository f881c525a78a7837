"""Whether a cross-domain call is worth the bytes that it transfers.

Bytes between failure domains are the most expensive ones of a deployment. So a call
leaves its failure domain only if that makes it clearly more likely to meet its latency
objective; the larger its request and reply are, the more it must gain.
"""

from typing import Final

from .calls import ActiveCall

# Gain in the probability of meeting the latency objective that each kilobyte between
# failure domains must bring.
REQUIRED_GAIN_PER_KILOBYTE: Final = 0.06
KILOBYTE: Final = 1_000.0
# Time that messages and replies take between failure domains, there and back, in
# seconds.
CROSS_DOMAIN_DELAY_S: Final = 0.008
# Estimates of the time to an answer are off by up to this share of the time left.
ESTIMATE_ERROR_SHARE: Final = 0.25


def can_cross_domains(active: ActiveCall) -> bool:
    """Return True if any possible gain would be worth the bytes of this call."""
    return _compute_required_gain(active) < 1.0


def is_cross_domain_worthwhile(
    active: ActiveCall, expected_s: float, typical_run_s: float, now: float
) -> bool:
    """Return True if a free server in another failure domain is worth using.

    `expected_s` is the time until an answer here, `typical_run_s` that of a run, both
    in seconds.
    """
    due = active.arrived + active.aim_s if active.aim_s else active.call.deadline
    left_s = due - now
    probability_here = compute_on_time_probability(expected_s, left_s)
    probability_there = compute_on_time_probability(
        typical_run_s + CROSS_DOMAIN_DELAY_S, left_s
    )
    return probability_there - probability_here > _compute_required_gain(active)


def compute_on_time_probability(expected_s: float, left_s: float) -> float:
    """Return the probability that an answer arrives in time.

    It is expected in `expected_s` seconds, and due in `left_s` seconds.
    """
    if left_s <= 0.0:
        return 0.0
    overrun = expected_s / left_s - (1.0 - ESTIMATE_ERROR_SHARE)
    return 1.0 - min(1.0, max(0.0, overrun / (2.0 * ESTIMATE_ERROR_SHARE)))


def _compute_required_gain(active: ActiveCall) -> float:
    return active.size / KILOBYTE * REQUIRED_GAIN_PER_KILOBYTE
