"""Limit on the idle time after which a pooled connection is reused.

A middlebox or the server itself may silently drop an idle connection: the next request
on it is lost, and it is unknown whether it ran. A pooled connection that breaks at once
when it is reused shows this; for a while only connections with a shorter idle time are
reused.
"""

from typing import Final

# The new limit as a share of the idle time after which a connection broke.
SAFE_IDLE_SHARE: Final = 0.5
# A break after a shorter idle time (seconds) is attributed to the server.
MIN_IDLE_S: Final = 0.02
# The first bytes sent on a dropped connection cause its reset. A break later than this,
# in seconds, means that the server stopped while the request ran.
MAX_RESET_DELAY_S: Final = 0.05
# How long a lowered limit holds, seconds: long compared with usual idle times.
LIMIT_TTL_S: Final = 60.0


class IdleLimit:
    """Longest idle time of connections to reuse; breaks lower it for a while."""

    def __init__(self, *, max_idle_s: float) -> None:
        self._max_idle_s = max_idle_s
        self._lowered_s = max_idle_s
        self._lowered_at = 0.0

    def get(self, now: float) -> float:
        """Return the limit in force at `now`, in seconds."""
        if now - self._lowered_at >= LIMIT_TTL_S:
            return self._max_idle_s
        return self._lowered_s

    def record_break(self, *, idle_s: float, sent_at: float, now: float) -> bool:
        """Record that a request's connection broke; return True if the limit fell."""
        if idle_s < MIN_IDLE_S or now - sent_at > MAX_RESET_DELAY_S:
            return False
        before_s = self.get(now)
        self._lowered_s = min(before_s, SAFE_IDLE_SHARE * idle_s)
        self._lowered_at = now
        return self._lowered_s < before_s
