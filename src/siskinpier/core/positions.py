"""Where something stands in the history of the platform's store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class StorePosition:
    """A revision, within an era of the store.

    An era ends when the store comes back from an older copy of itself: revisions go
    back then, and are given out again.
    """

    era: int = 0
    revision: int = 0
