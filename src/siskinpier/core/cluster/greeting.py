"""What a host tells another that just started: soft state that it missed."""

from ..effects import Effect
from ..routing.quarantine import tell_crashes
from ..state import HostState
from .leaving_marks import tell_marks
from .server_marks import tell_leaving_servers


def greet(state: HostState, host: str, incarnation: int, out: list[Effect]) -> None:
    """Tell a host once in its life of crashes and of leaving backend servers."""
    if state.soft_state_sent_to.get(host) == incarnation:
        return
    state.soft_state_sent_to[host] = incarnation
    member = state.members.get(host)
    if member is None:
        return
    tell_crashes(state, member, out)
    tell_leaving_servers(state, member, out)
    tell_marks(state, member, out)
