"""Load reports of backend servers.

A report states how many times longer than usual work currently takes on the machine of
the server that sends it. That changes within a fraction of a second, so the arrival
time is kept and old reports are ignored.
"""

from typing import Final

from .balance import ServerRuntime
from .calls import LoadReport

MIN_SLOWDOWN: Final = 0.2
MAX_SLOWDOWN: Final = 50.0


def record_load_report(server: ServerRuntime, report: LoadReport, now: float) -> None:
    """Record a load report that just arrived; bound its slowdown."""
    server.report = report
    server.reported_at = now
    server.last_heard = now
    server.is_silent = False
    server.unanswered_since = 0.0
    server.slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, report.slowdown))
