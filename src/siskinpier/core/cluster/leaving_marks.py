"""Registered backend servers that said in an answer that they leave.

Such a word outruns the registry, and may be all that ever tells. It holds for the
server's life: it ends with the next one, or once the entry is written anew as ready,
later than the word.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import RegisteredServer, ServerNotice
from ..positions import StorePosition
from ..state import HostState, LeavingRecord
from .broadcast import tell_domain
from .members import Member, is_live
from .rendezvous import rank_nodes

# An entry that is heard of this soon after the word may have been written before it,
# seconds.
SETTLED_S: Final = 1.0
# Marks of servers that are not registered any more are kept this long, seconds.
KEPT_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeardFrom:
    """Who told of a leaving server; an empty host for the server's own answer."""

    host: str = ""
    failure_domain: str = ""


def mark_leaving(
    state: HostState,
    name: str,
    started: int,
    heard_from: HeardFrom,
    now: float,
    out: list[Effect],
) -> bool:
    """Mark a life of a server as leaving and pass that on; return False if known."""
    registry = state.registry
    entry = registry.servers.get(name)
    if entry is None or entry.started != started or name in registry.leaving:
        return False
    _forget_old(state, now)
    registry.leaving[name] = LeavingRecord(
        started=started, position=registry.position, at=now
    )
    fields: dict[str, object] = {
        "service": entry.service,
        "server": name,
        "leaving": True,
        "told_by": heard_from.host or "server",
    }
    out.append(LogDecision(event="server-leaving", fields=fields))
    if not entry.is_draining:
        _pass_on(state, entry, heard_from, now, out)
    return True


def clear_marks(
    state: HostState,
    servers: Iterable[RegisteredServer],
    position: StorePosition,
    now: float,
) -> None:
    """Drop the marks that changed entries of the registry outlive."""
    marks = state.registry.leaving
    for server in servers:
        mark = marks.get(server.name)
        if mark is None:
            continue
        is_later = position > mark.position and now - mark.at >= SETTLED_S
        is_ready_again = is_later and not server.is_draining
        if server.started != mark.started or is_ready_again:
            del marks[server.name]


def tell_marks(state: HostState, member: Member, out: list[Effect]) -> None:
    """Tell a host that just started of all servers that said that they leave."""
    for name in state.registry.leaving:
        entry = state.registry.servers.get(name)
        if entry is not None:
            _send(member, entry, out)


def _pass_on(
    state: HostState,
    entry: RegisteredServer,
    heard_from: HeardFrom,
    now: float,
    out: list[Effect],
) -> None:
    """Tell this failure domain, and one host of each other to tell its own.

    A host that was told from its own failure domain tells nobody.
    """
    own = state.identity.failure_domain
    if heard_from.host and heard_from.failure_domain == own:
        return
    tell_domain(state, _make_notice(entry), out)
    if heard_from.host:
        return
    others: dict[str, list[str]] = {}
    for member in state.members.values():
        is_far = member.failure_domain != own
        if is_far and is_live(member, now, state.settings.heartbeat_s):
            others.setdefault(member.failure_domain, []).append(member.name)
    for names in others.values():
        delegate = rank_nodes(entry.name, names)[0]
        _send(state.members[delegate], entry, out)


def _send(member: Member, entry: RegisteredServer, out: list[Effect]) -> None:
    message = _make_notice(entry)
    out.append(SendMessage(host=member.name, address=member.peers, message=message))


def _make_notice(entry: RegisteredServer) -> ServerNotice:
    return ServerNotice(
        service=entry.service, server=entry.name, leaving=True, started=entry.started
    )


def _forget_old(state: HostState, now: float) -> None:
    registry = state.registry
    for name, mark in list(registry.leaving.items()):
        if name not in registry.servers and now - mark.at > KEPT_S:
            del registry.leaving[name]
