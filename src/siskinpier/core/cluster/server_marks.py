"""Which backend servers say that they leave, known to every host.

Only a server's owner hears its replies. It tells all hosts, so that a host that
becomes the owner, or starts anew, sends the server nothing. A lost notice costs
one call at most: the reply to that call tells the new owner itself.
"""

from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import ServerNotice
from ..routing.balance import ServerRuntime
from ..state import HostState, ServiceRuntime
from .broadcast import tell_all
from .members import Member

HEARD_LATELY_S: Final = 1.0


def note_server_leaving(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
    *,
    is_leaving: bool,
) -> None:
    """Take in what a backend server says of itself; tell all hosts of a change."""
    if server.is_leaving == is_leaving:
        return
    _mark(service, server, now, out, is_leaving=is_leaving)
    tell_all(state, _make_notice(service, server), out)


def take_server_notice(
    state: HostState, notice: ServerNotice, now: float, out: list[Effect]
) -> None:
    """Take in what another host heard, unless this one heard the server itself."""
    service = state.services.get(notice.service)
    server = service.servers.get(notice.server) if service is not None else None
    if service is None or server is None or server.is_leaving == notice.leaving:
        return
    if server in service.owned and now - server.last_heard < HEARD_LATELY_S:
        return
    _mark(service, server, now, out, is_leaving=notice.leaving)


def tell_leaving_servers(state: HostState, member: Member, out: list[Effect]) -> None:
    """Tell a host that just started which backend servers leave."""
    for service in state.services.values():
        for server in service.servers.values():
            if server.is_leaving:
                notice = _make_notice(service, server)
                out.append(
                    SendMessage(host=member.name, address=member.peers, message=notice)
                )


def _mark(
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
