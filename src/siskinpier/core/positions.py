"""Positions in the history of the platform's store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class StorePosition:
    """A revision within an era of the store, ordered by era and then revision.

    A new era starts when the store is restored from an older copy: its revision
    counter is reset to that copy, so revision numbers are reused.
    """

    era: int = 0
    revision: int = 0
