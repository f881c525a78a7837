"""The tokens of a backend server that names a rate limit: one for each request."""

from dataclasses import dataclass, field
from math import inf
from typing import Final

from .budgets import TokenBucket

# Tokens that are kept for requests to come, as seconds of the rate.
BURST_S: Final = 0.25
# A server whose limit is lower still gets a request now and then: only its answer can
# tell that the limit has ended. Requests a second.
MIN_RATE_PER_S: Final = 0.1
# Share of the limit that the owners in all other failure domains use together: the
# hosts of the server's own domain may be alive, and own the server too.
FOREIGN_SHARE: Final = 0.4
# Share of the limit that probes may use.
PROBE_SHARE: Final = 0.1


@dataclass(slots=True, kw_only=True)
class RateLimit:
    """The rate limit that a server named, in requests a second of all hosts together.

    `started` identifies the server's incarnation. `heard_at` is when the limit was last
    heard, in seconds; it `is_first_hand` if from an answer of the server. It
    `is_in_probes` if answers to probes name it too. The owner of the server takes a
    token from the `bucket` for each request.
    """

    per_s: float
    started: int
    heard_at: float
    is_first_hand: bool = False
    is_in_probes: bool = False
    bucket: TokenBucket = field(
        default_factory=lambda: TokenBucket(rate=0.0, capacity=1.0)
    )


def update_bucket(limit: RateLimit, share: float, now: float) -> None:
    """Set rate and capacity of the bucket, for this host's share of the limit."""
    limit.bucket.refill(now)
    rate = max(MIN_RATE_PER_S, limit.per_s * share)
    limit.bucket.rate = rate
    limit.bucket.capacity = max(1.0, rate * BURST_S)
    limit.bucket.tokens = min(limit.bucket.tokens, limit.bucket.capacity)


def has_token(limit: RateLimit | None, now: float) -> bool:
    """Return True if the limit allows a request now."""
    return limit is None or limit.bucket.has(now)


def take_token(limit: RateLimit | None, now: float) -> None:
    """Count a request that is sent, or granted to another host."""
    if limit is not None:
        limit.bucket.take(now)


def return_token(limit: RateLimit | None) -> None:
    """Return the token of a request that was granted and not sent."""
    if limit is not None:
        limit.bucket.add(1.0)


def get_token_time(limit: RateLimit | None, now: float) -> float:
    """Return when the limit next allows a request; infinity without a limit."""
    if limit is None:
        return inf
    limit.bucket.refill(now)
    return now + max(0.0, 1.0 - limit.bucket.tokens) / limit.bucket.rate


def get_probe_interval_s(limit: RateLimit | None) -> float:
    """Return the least time between two probes of a server, in seconds."""
    return 0.0 if limit is None else 1.0 / (PROBE_SHARE * limit.bucket.rate)
