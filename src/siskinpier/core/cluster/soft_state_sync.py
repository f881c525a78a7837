"""Transfer of soft state to a host that has just started and missed it."""

from ..effects import Effect
from ..routing.quarantine import send_crash_reports
from ..state import HostState
from .declared_leaving import send_declared_leaving
from .evacuations import send_evacuations
from .rate_limit_notices import send_rate_limits
from .registered_leaving import send_registered_leaving
from .warmup_notices import send_warmups


def send_soft_state(
    state: HostState, host: str, incarnation: int, now: float, out: list[Effect]
) -> None:
    """Send a host, once per incarnation, what it needs to know of servers and calls."""
    if state.soft_state_sent_to.get(host) == incarnation:
        return
    state.soft_state_sent_to[host] = incarnation
    member = state.members.get(host)
    if member is None:
        return
    send_crash_reports(state, member, out)
    send_declared_leaving(state, member, out)
    send_registered_leaving(state, member, out)
    send_rate_limits(state, member, out)
    send_warmups(state, member, now, out)
    if state.evacuations.domains:
        send_evacuations(state, member, out)
