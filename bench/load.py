"""Arrivals of calls with short bursts; equal seeds give equal arrivals."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

BURST_S: Final = 0.03
CYCLE_S: Final = 0.12
BURST_FACTOR: Final = 4.0
URGENT_SHARE: Final = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """Arrival of a call; `at` is in seconds from the start of the run."""

    at: float
    is_urgent: bool
    caller: int


def make_arrivals(
    *, rate: float, length_s: float, callers: int, seed: int
) -> Iterator[Arrival]:
    """Yield Poisson arrivals with bursts, at `rate` calls per second on average.

    A burst lasts 30 ms of each 120 ms and has four times the rate between bursts.
    Arrivals at the peak rate are thinned outside of bursts (Lewis and Shedler,
    "Simulation of Nonhomogeneous Poisson Processes by Thinning", 1979).
    """
    rng = random.Random(seed)
    base_rate = rate * CYCLE_S / (BURST_S * BURST_FACTOR + CYCLE_S - BURST_S)
    peak_rate = base_rate * BURST_FACTOR
    at = 0.0
    while True:
        at += rng.expovariate(peak_rate)
        if at >= length_s:
            return
        is_accepted = at % CYCLE_S < BURST_S or rng.random() < 1.0 / BURST_FACTOR
        if is_accepted:
            yield Arrival(
                at=at,
                is_urgent=rng.random() < URGENT_SHARE,
                caller=rng.randrange(callers),
            )
