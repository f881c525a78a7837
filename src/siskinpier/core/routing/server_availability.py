"""Availability that backend servers report in replies: leaving and pauses."""

from ..cluster.declared_leaving import record_declared_leaving
from ..cluster.registry import record_registered_leaving
from ..effects import Effect
from ..state import HostState, ServiceRuntime
from .balance import ServerRuntime
from .pauses import record_pause
from .queueing import redispatch_blocked_calls


def record_leaving_flag(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
    *,
    is_leaving: bool,
) -> None:
    """Record whether a server reports that it is leaving.

    Where servers register, only a set flag counts: a reply without it may be an older
    one that arrived late.
    """
    if not state.settings.servers_register:
        record_declared_leaving(state, service, server, now, out, is_leaving=is_leaving)
    elif is_leaving:
        record_registered_leaving(state, server.intent.name, now, out)


def apply_pause(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    pause_s: float,
    now: float,
    out: list[Effect],
    *,
    holder: str = "",
) -> None:
    """Apply a pause that a server requested, and dispatch again the calls it blocks.

    The pause holds for `holder`, by default this host.
    """
    record_pause(service, server, pause_s, now, out, holder)
    redispatch_blocked_calls(state, service, now, out)
