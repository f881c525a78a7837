"""What follows when a backend server reports another speed than before."""

from .balance import ServerRuntime
from .calls import LoadReport
from .dispatch import drain_queue
from .effects import Effect
from .hedging import hedge_slowed
from .load_reports import take_load
from .speeds import is_slow
from .state import HostState, ServiceRuntime


def take_speed(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    report: LoadReport,
    now: float,
    out: list[Effect],
) -> None:
    """Take in a report; use a server that is fast again, hedge where it slowed."""
    was_slow = is_slow(server, now)
    take_load(server, report, now)
    now_slow = is_slow(server, now)
    if was_slow == now_slow or server not in service.owned:
        return
    if now_slow:
        hedge_slowed(state, service, server, now, out)
    else:
        drain_queue(state, service, now, out)
