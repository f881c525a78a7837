"""Requests of a shard's owner to the platform, one at a time per shard."""

from typing import Final

from ..effects import Effect, ReadObject, SetTimer
from ..platform_results import (
    CLAIMS,
)
from ..state import HostState
from ..timers import ClaimsDue
from .state import Shard

# While a request has run for longer, the platform counts as down for new claims.
PLATFORM_SLOW_S: Final = 0.5


def read_shard(state: HostState, shard: Shard, now: float, out: list[Effect]) -> None:
    """Read the shard's object unless a request is in flight."""
    if shard.request_id is not None:
        return
    request_id = start_platform_request(state, shard, now, out)
    out.append(
        ReadObject(request_id=request_id, kind=CLAIMS, name=get_object_name(shard))
    )


def start_platform_request(
    state: HostState, shard: Shard, now: float, out: list[Effect]
) -> str:
    """Start a request to the platform for a shard, and return its id."""
    state.claims.sequence += 1
    shard.request_id = f"claims/{shard.number}/{state.claims.sequence}"
    shard.request_started_at = now
    schedule_shard_timer(shard, now + PLATFORM_SLOW_S, now, out)
    return shard.request_id


def schedule_shard_timer(
    shard: Shard, at: float, now: float, out: list[Effect]
) -> None:
    """Set the shard's timer unless it is already set for an earlier time."""
    if shard.timer_at is not None and now <= shard.timer_at <= at:
        return
    shard.timer_at = at
    out.append(SetTimer(timer=ClaimsDue(shard=shard.number), at=at))


def get_object_name(shard: Shard) -> str:
    """Return the name of a shard's object."""
    return f"shard-{shard.number}"
