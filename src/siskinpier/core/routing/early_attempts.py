"""Second attempts sent early within a limit that the operator sets.

The limit is a share of a service's calls at all hosts together. Each fresh call earns
that share of a token at its home and nothing else adds to it, so the sends that these
tokens pay for never exceed the share. A share of 0 sends none.

The load that this handles: servers that are slow in periods, which their reports show;
single runs that take many times as long while their server reports its normal speed;
and lost answers. The second kind shows in the elapsed time alone, so the delay is a
quantile of run times relative to the usual run time of the route, over servers that are
not slow.
"""

from typing import Final

from ..state import ServiceRuntime
from .budgets import TokenBucket

# Bounds of the delay, in usual run times. Below the lower one most runs would end by
# themselves. A run beyond the upper one is hardly an ordinary run any more.
MIN_DELAY_FACTOR: Final = 1.5
MAX_DELAY_FACTOR: Final = 2.5
# Step of the quantile estimate, in usual run times.
DELAY_STEP_FACTOR: Final = 0.1
# Elapsed usual run times from which an answer is taken for lost. It costs a call the
# rest of its timeout, so the last token is kept for these calls.
LOST_FACTOR: Final = 4.0
# Time until a call that found no token or slot is considered again, as a share of its
# usual run time, and at least this many seconds.
RECHECK_SHARE: Final = 0.25
MIN_RECHECK_S: Final = 0.01
# Free slots on fast servers that a second attempt leaves for calls that arrive.
SLOTS_LEFT_FREE: Final = 1


def get_delay_s(service: ServiceRuntime, typical_run_s: float) -> float:
    """Return how long after its start a run counts as late, in seconds."""
    factor = max(MIN_DELAY_FACTOR, min(MAX_DELAY_FACTOR, service.hedge_after_factor))
    return factor * typical_run_s


def get_recheck_s(typical_run_s: float) -> float:
    """Return the time until a call without a token or slot is considered again."""
    return max(MIN_RECHECK_S, RECHECK_SHARE * typical_run_s)


def record_run_factor(
    service: ServiceRuntime,
    run_s: float,
    typical_run_s: float,
    *,
    is_complete: bool = True,
) -> None:
    """Record a run on a server that was not slow, or a cancelled one if it was late.

    All but `hedge_share` of the runs stay below the delay, which is estimated by
    stochastic approximation (Robbins and Monro, 1951) within its bounds.
    """
    share = service.intent.hedge_share
    if typical_run_s <= 0.0 or share == 0.0:
        return
    factor = service.hedge_after_factor or MAX_DELAY_FACTOR
    if run_s > factor * typical_run_s:
        factor += DELAY_STEP_FACTOR * (1.0 - share)
    elif not is_complete:
        return
    else:
        factor -= DELAY_STEP_FACTOR * share
    service.hedge_after_factor = max(MIN_DELAY_FACTOR, min(MAX_DELAY_FACTOR, factor))


def has_hedge_token(
    bucket: TokenBucket, elapsed_s: float, typical_run_s: float, now: float
) -> bool:
    """Return True if a call that runs for so long may spend a token."""
    is_lost = elapsed_s >= LOST_FACTOR * typical_run_s
    kept = 0.0 if is_lost else min(1.0, bucket.capacity - 1.0)
    return bucket.has(now, 1.0 + kept)
