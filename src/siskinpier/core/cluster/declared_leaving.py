"""Leaving flags of declared backend servers, known to every host.

Only the owner of a server receives its replies. It informs all hosts, so that a host
that becomes the owner or restarts sends no calls to the server. A lost notice costs at
most one call: its reply informs the new owner directly.
"""

from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import ServerNotice
from ..routing.balance import ServerRuntime
from ..state import HostState, ServiceRuntime
from .broadcast import send_to_all
from .members import Member

# An owner that heard from the server this recently ignores notices of other hosts.
SERVER_RECENTLY_HEARD_S: Final = 1.0


def record_declared_leaving(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
    *,
    is_leaving: bool,
) -> None:
    """Record whether a backend server announces that it leaves; broadcast changes."""
    if server.is_leaving == is_leaving:
        return
    _set_leaving(service, server, now, out, is_leaving=is_leaving)
    send_to_all(state, _make_notice(service, server), out)


def handle_declared_leaving(
    state: HostState, notice: ServerNotice, now: float, out: list[Effect]
) -> None:
    """Apply a leaving notice unless this owner recently heard from the server."""
    service = state.services.get(notice.service)
    server = service.servers.get(notice.server) if service is not None else None
    if service is None or server is None or server.is_leaving == notice.leaving:
        return
    if server in service.owned and now - server.last_heard < SERVER_RECENTLY_HEARD_S:
        return
    _set_leaving(service, server, now, out, is_leaving=notice.leaving)


def send_declared_leaving(state: HostState, member: Member, out: list[Effect]) -> None:
    """Send all leaving flags to a host that has just started."""
    for service in state.services.values():
        for server in service.servers.values():
            if server.is_leaving:
                notice = _make_notice(service, server)
                out.append(
                    SendMessage(host=member.name, address=member.peers, message=notice)
                )


def _set_leaving(
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
    *,
    is_leaving: bool,
) -> None:
    server.is_leaving = is_leaving
    if not is_leaving:
        server.slow_start_at = now
    fields: dict[str, object] = {
        "service": service.intent.name,
        "server": server.intent.name,
        "leaving": is_leaving,
    }
    out.append(LogDecision(event="server-leaving", fields=fields))


def _make_notice(service: ServiceRuntime, server: ServerRuntime) -> ServerNotice:
    return ServerNotice(
        service=service.intent.name,
        server=server.intent.name,
        leaving=server.is_leaving,
    )
