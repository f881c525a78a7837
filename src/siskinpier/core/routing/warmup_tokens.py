"""The warm-up of a backend server, and the tokens of its calls: one for each request.

Two owners may act at the same time for about a second. So an owner keeps few tokens for
later, and a new one begins half a second of the rate short of its first token.
"""

from dataclasses import dataclass, field
from math import inf
from typing import Final

from .budgets import TokenBucket

# Tokens that are kept for requests to come, as seconds of the rate, and their limits.
# One owner must leave most of the 8 requests of slack to owners elsewhere.
BURST_S: Final = 0.05
MIN_BURST: Final = 1.0
MAX_BURST: Final = 4.0
# How long a new owner may overlap with the previous one at half its rate, in seconds.
OWNER_OVERLAP_S: Final = 0.5
# How many times longer a cold server runs a call.
COLD_RUN_FACTOR: Final = 2.0
# Share of the rate that probes may use.
PROBE_SHARE: Final = 0.1


@dataclass(slots=True, kw_only=True)
class Warmup:
    """The warm-up of a backend server, on the clock of the events.

    `started` identifies the server's incarnation. The server is cold before `until`,
    which was last heard at `heard_at`. The `bucket` has a rate of 0 unless this host
    owns the server.
    """

    until: float
    heard_at: float
    started: int
    bucket: TokenBucket = field(
        default_factory=lambda: TokenBucket(rate=0.0, capacity=MIN_BURST)
    )

    def is_cold(self, now: float) -> bool:
        """Return True while the server is cold."""
        return now < self.until


def set_rate(warmup: Warmup, per_s: float, now: float) -> None:
    """Set the rate of this host's requests; 0 if it does not own the server."""
    bucket = warmup.bucket
    bucket.refill(now)
    if bucket.rate == 0.0:
        bucket.tokens = min(0.0, MIN_BURST - per_s * OWNER_OVERLAP_S)
    bucket.rate = per_s
    bucket.capacity = min(MAX_BURST, max(MIN_BURST, per_s * BURST_S))
    bucket.tokens = min(bucket.tokens, bucket.capacity if per_s > 0.0 else 0.0)


def allows_request(warmup: Warmup | None, now: float) -> bool:
    """Return True if the server is warm, or its pace allows a request now."""
    return warmup is None or not warmup.is_cold(now) or warmup.bucket.has(now)


def count_request(warmup: Warmup | None, now: float) -> None:
    """Count a request that is sent, or granted to another host."""
    if warmup is not None and warmup.is_cold(now):
        warmup.bucket.take(now)


def return_request(warmup: Warmup | None) -> None:
    """Return the token of a request that was granted and not sent."""
    if warmup is not None and warmup.bucket.rate > 0.0:
        warmup.bucket.add(1.0)


def get_next_request_time(warmup: Warmup | None, now: float) -> float:
    """Return when the server next takes a request; infinity if it does now."""
    if warmup is None or allows_request(warmup, now):
        return inf
    bucket = warmup.bucket
    if bucket.rate == 0.0:
        return warmup.until
    return min(warmup.until, now + (1.0 - bucket.tokens) / bucket.rate)


def get_sustained_rate(warmup: Warmup | None, now: float) -> float:
    """Return the requests a second that the server takes; infinity if it is warm."""
    if warmup is None or not warmup.is_cold(now):
        return inf
    return warmup.bucket.rate


def get_probe_due(warmup: Warmup | None, now: float) -> float:
    """Return the time before which a cold server gets no probe."""
    if warmup is None or not warmup.is_cold(now):
        return 0.0
    rate = warmup.bucket.rate
    due = warmup.heard_at + 1.0 / (PROBE_SHARE * rate) if rate > 0.0 else inf
    return min(warmup.until, due)
