"""Loads that backend servers report of themselves, with an age.

A report tells how many times longer than usual work takes on the server's
machine at this moment; that changes within a fraction of a second, so a report
counts for less as it ages.
"""

from typing import Final

from .balance import ServerRuntime
from .calls import LoadReport

LEAST_SLOWDOWN: Final = 0.2
MOST_SLOWDOWN: Final = 50.0


def take_load(server: ServerRuntime, report: LoadReport, now: float) -> None:
    """Take in a report that just arrived."""
    server.report = report
    server.reported_at = now
    server.last_heard = now
    server.is_silent = False
    server.slowdown = min(MOST_SLOWDOWN, max(LEAST_SLOWDOWN, report.slowdown))
