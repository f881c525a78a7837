"""Pauses that backend servers ask of single hosts.

A server that turns a call away may say for how long it wants nothing more from the
host that sent it. The host keeps to that by what it heard itself, and tells the home
that grants the server's slots.
"""

from collections.abc import Iterable
from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..state import ServiceRuntime
from ..timers import PauseDue
from .balance import ServerRuntime, is_draining, is_ejected, is_paused
from .calls import ActiveCall

# A server is never left alone for longer than this on its word alone, seconds.
LONGEST_PAUSE_S: Final = 60.0


def note_pause(
    service: ServiceRuntime,
    server: ServerRuntime,
    pause_s: float,
    now: float,
    out: list[Effect],
    holder: str = "",
) -> None:
    """Send a server nothing of a host, by default this one, for some time."""
    until = now + min(LONGEST_PAUSE_S, pause_s)
    if until <= server.paused_until.get(holder, 0.0):
        return
    # Only pauses that still hold are kept.
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
    # Calls may wait for its end.
    timer = PauseDue(
        service=service.intent.name, server=server.intent.name, holder=holder
    )
    out.append(SetTimer(timer=timer, at=until))


def get_paused(service: ServiceRuntime, now: float) -> set[str]:
    """Return the servers that want nothing from this host now."""
    return {name for name, server in service.servers.items() if is_paused(server, now)}


def get_pause_end(
    servers: Iterable[ServerRuntime], active: ActiveCall, now: float
) -> float | None:
    """Return when the first of the servers takes the call's host again.

    None where one of those that may serve calls does so now, or none may.
    """
    usable = [s for s in servers if not is_draining(s) and not is_ejected(s, now)]
    if not usable or any(not is_paused(s, now, active.holder) for s in usable):
        return None
    return min(server.paused_until[active.holder] for server in usable)
