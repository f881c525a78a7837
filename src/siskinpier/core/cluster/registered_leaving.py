"""Leaving flags of registered backend servers.

A server can announce in a reply that it leaves. The announcement arrives before the
registry is updated, and may be the only sign. The flag holds for one incarnation of
the server: it ends when the server restarts or writes its entry as ready again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import RegisteredServer, ServerNotice
from ..positions import StorePosition
from ..state import HostState, LeavingRecord
from .broadcast import send_to_domain, send_to_other_domains
from .members import Member

# An entry received this soon after the announcement may have been written before it.
ENTRY_RACE_S: Final = 1.0
# Flags of servers that are no longer registered are kept this long.
UNREGISTERED_TTL_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingSource:
    """Where a leaving flag came from; `host` is empty for the server's own reply."""

    host: str = ""
    failure_domain: str = ""


def record_leaving(
    state: HostState,
    name: str,
    started: int,
    source: LeavingSource,
    now: float,
    out: list[Effect],
) -> bool:
    """Flag an incarnation of a server as leaving and inform other hosts.

    Return False if the flag was already set or another incarnation is registered.
    """
    registry = state.registry
    entry = registry.servers.get(name)
    if entry is None or entry.started != started or name in registry.leaving:
        return False
    _remove_expired(state, now)
    registry.leaving[name] = LeavingRecord(
        started=started, position=registry.position, at=now
    )
    fields: dict[str, object] = {
        "service": entry.service,
        "server": name,
        "leaving": True,
        "told_by": source.host or "server",
    }
    out.append(LogDecision(event="server-leaving", fields=fields))
    if not entry.is_draining:
        _forward(state, entry, source, now, out)
    return True


def remove_outdated_flags(
    state: HostState,
    servers: Iterable[RegisteredServer],
    position: StorePosition,
    now: float,
) -> None:
    """Remove the flags that changed entries of the registry make obsolete."""
    flags = state.registry.leaving
    for server in servers:
        flag = flags.get(server.name)
        if flag is None:
            continue
        is_later = position > flag.position and now - flag.at >= ENTRY_RACE_S
        is_ready_again = is_later and not server.is_draining
        if server.started != flag.started or is_ready_again:
            del flags[server.name]


def send_registered_leaving(
    state: HostState, member: Member, out: list[Effect]
) -> None:
    """Send all leaving flags to a host that has just started."""
    for name in state.registry.leaving:
        entry = state.registry.servers.get(name)
        if entry is not None:
            _send(member, entry, out)


def _forward(
    state: HostState,
    entry: RegisteredServer,
    source: LeavingSource,
    now: float,
    out: list[Effect],
) -> None:
    """Inform this failure domain, and one host of each other domain.

    That host informs its own domain. A host informed from within its own domain does
    not forward the notice.
    """
    own = state.identity.failure_domain
    if source.host and source.failure_domain == own:
        return
    send_to_domain(state, _make_notice(entry), out)
    if not source.host:
        send_to_other_domains(state, _make_notice(entry), entry.name, now, out)


def _send(member: Member, entry: RegisteredServer, out: list[Effect]) -> None:
    message = _make_notice(entry)
    out.append(SendMessage(host=member.name, address=member.peers, message=message))


def _make_notice(entry: RegisteredServer) -> ServerNotice:
    return ServerNotice(
        service=entry.service, server=entry.name, leaving=True, started=entry.started
    )


def _remove_expired(state: HostState, now: float) -> None:
    registry = state.registry
    for name, flag in list(registry.leaving.items()):
        if name not in registry.servers and now - flag.at > UNREGISTERED_TTL_S:
            del registry.leaving[name]
