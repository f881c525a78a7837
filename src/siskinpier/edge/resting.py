"""How long a kept connection may have rested to be used for one more request.

Something between, or the server itself, may forget a connection that rests, and tell
nobody: the next request on it is lost, and whether it ran cannot be told. A break on a
rested connection shows that; for a while only fresher ones are used.
"""

from typing import Final

# Share of the rest after which a connection broke that others may reach.
SAFE_SHARE: Final = 0.5
# A break after a shorter rest tells of the server, not of the rest, seconds.
LEAST_REST_S: Final = 0.02
# A forgotten connection is reset by the first bytes sent. A break that comes later than
# this, in seconds, tells of a server that ended while the request ran.
AT_ONCE_S: Final = 0.05
# How long a break counts, seconds: long against the rests of connections in use.
LEARNT_FOR_S: Final = 60.0


class RestLimit:
    """The longest rest of connections to be used again, learnt from breaks."""

    def __init__(self, *, longest_s: float) -> None:
        self._longest_s = longest_s
        self._learnt_s = longest_s
        self._learnt_at = 0.0

    def get(self, now: float) -> float:
        """Return the longest rest that is trusted now, in seconds."""
        if now - self._learnt_at >= LEARNT_FOR_S:
            return self._longest_s
        return self._learnt_s

    def note_break(self, *, rested_s: float, sent_at: float, now: float) -> bool:
        """Take in the break of a request; return True if the limit became shorter."""
        if rested_s < LEAST_REST_S or now - sent_at > AT_ONCE_S:
            return False
        before_s = self.get(now)
        self._learnt_s = min(before_s, SAFE_SHARE * rested_s)
        self._learnt_at = now
        return self._learnt_s < before_s
