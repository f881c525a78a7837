"""What follows when a backend server says in an answer whether it takes calls."""

from ..cluster.registry import note_leaving
from ..cluster.server_marks import note_server_leaving
from ..effects import Effect
from ..state import HostState, ServiceRuntime
from .balance import ServerRuntime
from .dispatch import redispatch_stranded_calls
from .pauses import note_pause


def note_leaving_word(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
    *,
    is_leaving: bool,
) -> None:
    """Take in a server's word; where servers register, it can only say that it leaves.

    There an answer without it may be an older one that came later.
    """
    if not state.settings.servers_register:
        note_server_leaving(state, service, server, now, out, is_leaving=is_leaving)
    elif is_leaving:
        note_leaving(state, server.intent.name, now, out)


def take_pause(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    pause_s: float,
    now: float,
    out: list[Effect],
    *,
    holder: str = "",
) -> None:
    """Keep to a pause that a server asked of a host; place what waits in vain."""
    note_pause(service, server, pause_s, now, out, holder)
    redispatch_stranded_calls(state, service, now, out)
