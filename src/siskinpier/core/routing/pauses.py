"""Pauses that backend servers request from individual hosts.

A server that rejects a call may state how long it wants no more calls from the host
that sent it. The host complies with the pauses that it receives itself, and reports
them to the home that grants the server's slots.
"""

from collections.abc import Iterable
from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..state import ServiceRuntime
from ..timers import PauseDue
from .balance import ServerRuntime, is_draining, is_ejected, is_paused
from .calls import ActiveCall

# Upper bound on the pause that a server can request, in seconds.
MAX_PAUSE_S: Final = 60.0


def record_pause(
    service: ServiceRuntime,
    server: ServerRuntime,
    pause_s: float,
    now: float,
    out: list[Effect],
    holder: str = "",
) -> None:
    """Stop sending a host's calls, by default this host's, to a server for a while."""
    until = now + min(MAX_PAUSE_S, pause_s)
    if until <= server.paused_until.get(holder, 0.0):
        return
    # Remove expired pauses.
    server.paused_until = {
        name: at for name, at in server.paused_until.items() if at > now
    }
    server.paused_until[holder] = until
    fields: dict[str, object] = {
        "service": service.intent.name,
        "server": server.intent.name,
        "for_s": round(until - now, 3),
        "holder": holder or "this",
    }
    out.append(LogDecision(event="pause", fields=fields))
    # Calls may be waiting for the end of the pause.
    timer = PauseDue(
        service=service.intent.name, server=server.intent.name, holder=holder
    )
    out.append(SetTimer(timer=timer, at=until))


def list_paused_servers(service: ServiceRuntime, now: float) -> set[str]:
    """Return the names of the servers that requested a pause from this host."""
    return {name for name, server in service.servers.items() if is_paused(server, now)}


def find_pause_end(
    servers: Iterable[ServerRuntime], active: ActiveCall, now: float
) -> float | None:
    """Return when the first of the servers accepts the call's host again.

    Return None if a usable server accepts it now, or if no server is usable.
    """
    usable = [s for s in servers if not is_draining(s) and not is_ejected(s, now)]
    if not usable or any(not is_paused(s, now, active.holder) for s in usable):
        return None
    return min(server.paused_until[active.holder] for server in usable)
