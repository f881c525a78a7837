"""Backend servers that register themselves with the platform.

One relay in each failure domain watches the registry and tells the hosts of its
domain; a host without word of a relay watches by itself. Revisions order what
is heard, so the same change may come twice or by two ways.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from ..configuration.intents import BackendServer, ServerState, ServiceIntent
from ..effects import Effect, LogDecision
from ..events import ServersChanged, ServersListed
from ..messages import RegisteredServer, ServerNotice, ServersNotice
from ..positions import StorePosition
from ..routing.dispatch import drain_queue, place_stranded
from ..state import HostState
from .eras import begin_era, drop_departed, note_departed
from .lapses import end_due_holds, hold_lapsed, take_held
from .leaving_marks import HeardFrom, clear_marks, mark_leaving
from .registry_notices import hash_names, pass_on_changes, request_servers
from .views import get_live_hosts, make_service, place

# What told of an entry, in log lines, where it was no other host.
LISTED: Final = "list"
WATCHED: Final = "watch"
HOLD_ENDED: Final = "end-of-hold"
# Declared to have this many connections until the configuration says more.
DEFAULT_CONNECTIONS: Final = 250


def take_listed(state: HostState, event: ServersListed, out: list[Effect]) -> None:
    """Take in the whole registry as the platform listed it."""
    registry = state.registry
    if event.position < registry.position:
        return
    begin_era(state, event.position, event.now, out)
    servers = drop_departed(state, event.servers, event.position, out, is_change=False)
    listed = {server.name for server in servers}
    changed = [
        s
        for s in servers
        if registry.servers.get(s.name) != s or s.name in registry.held_until
    ]
    missing = [name for name in registry.servers if name not in listed]
    gone = hold_lapsed(state, missing, event.now, out)
    base_position = registry.position
    _take(state, event.position, changed, gone, event.now, out, told_by=LISTED)
    pass_on_changes(state, base_position, changed, gone, event.now, out)


def take_changed(state: HostState, event: ServersChanged, out: list[Effect]) -> None:
    """Take in changes after the revision that is known here."""
    registry = state.registry
    base_position = registry.position
    if event.position <= base_position:
        return
    servers = drop_departed(state, event.servers, event.position, out, is_change=True)
    gone = hold_lapsed(state, event.gone, event.now, out)
    _take(state, event.position, servers, gone, event.now, out, told_by=WATCHED)
    pass_on_changes(state, base_position, servers, gone, event.now, out)


def take_servers_notice(
    state: HostState,
    notice: ServersNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Take in what a relay or a peer told; ask for all of it after a gap.

    So too where other entries are known here than there, as each may have missed
    some that came and went.
    """
    registry = state.registry
    is_news = notice.position > registry.position
    if not is_news and not (
        notice.is_complete and notice.position == registry.position
    ):
        return
    if not notice.is_complete and notice.base_position > registry.position:
        request_servers(state, sender, out)
        return
    gone: Iterable[str] = notice.gone
    if notice.is_complete:
        kept = {server.name for server in notice.servers}
        kept.update(entry.name for entry in notice.held)
        gone = [name for name in registry.servers if name not in kept]
    take_held(state, notice.held, now, out)
    _take(state, notice.position, notice.servers, gone, now, out, told_by=sender)
    if not notice.is_complete and notice.names_hash != hash_names(registry):
        request_servers(state, sender, out)


def note_leaving(state: HostState, name: str, now: float, out: list[Effect]) -> None:
    """Set a server aside that said in an answer that it leaves."""
    entry = state.registry.servers.get(name)
    if entry is not None and mark_leaving(
        state, name, entry.started, HeardFrom(), now, out
    ):
        refresh_services(state, (entry.service,), now, out)


def take_leaving_notice(
    state: HostState,
    notice: ServerNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Take in that a server told another host that it leaves."""
    member = state.members.get(sender)
    domain = member.failure_domain if member is not None else ""
    heard_from = HeardFrom(host=sender, failure_domain=domain)
    if mark_leaving(state, notice.server, notice.started, heard_from, now, out):
        refresh_services(state, (notice.service,), now, out)


def fill_service(state: HostState, intent: ServiceIntent) -> ServiceIntent:
    """Return a service's intent with the servers that registered for it."""
    if not state.settings.servers_register:
        return intent
    servers = tuple(
        _make_server(
            server,
            intent,
            is_leaving=server.is_draining or server.name in state.registry.leaving,
        )
        for server in state.registry.servers.values()
        if server.service == intent.name
    )
    return replace(intent, servers=servers)


def refresh_services(
    state: HostState, names: Iterable[str], now: float, out: list[Effect]
) -> None:
    """Rebuild services whose registered servers changed."""
    hosts = get_live_hosts(state, now)
    for name in sorted(names):
        old = state.services.get(name)
        if old is None:
            continue
        service = make_service(state, fill_service(state, old.intent), old, now)
        state.services[name] = service
        place(state, service, hosts)
        place_stranded(state, service, now, out)
        drain_queue(state, service, now, out)


def drop_lapsed(state: HostState, now: float, out: list[Effect]) -> None:
    """Drop the servers that lapsed around an outage and did not come back."""
    gone = end_due_holds(state, now)
    if gone:
        position = state.registry.position
        _take(state, position, (), gone, now, out, told_by=HOLD_ENDED)


def _drop_older(
    state: HostState, servers: Iterable[RegisteredServer], out: list[Effect]
) -> list[RegisteredServer]:
    """Return entries but for those that their servers wrote before what is known.

    A write whose answer was lost may be done seconds later.
    """
    newer = []
    for server in servers:
        known = state.registry.servers.get(server.name)
        if known is None or not server.is_older(known):
            newer.append(server)
            continue
        fields: dict[str, object] = {
            "service": server.service,
            "server": server.name,
            "sequence": server.sequence,
            "known": known.sequence,
        }
        out.append(LogDecision(event="entry-older", fields=fields))
    return newer


def _take(
    state: HostState,
    position: StorePosition,
    servers: Iterable[RegisteredServer],
    gone: Iterable[str],
    now: float,
    out: list[Effect],
    *,
    told_by: str,
) -> None:
    """Take in entries; `told_by` names the host or the way they came by."""
    registry = state.registry
    servers = _drop_older(state, servers, out)
    touched: set[str] = set()
    changed = [s for s in servers if registry.servers.get(s.name) != s]
    clear_marks(state, changed, position, now)
    for name in gone:
        registry.held_until.pop(name, None)
        old = registry.servers.pop(name, None)
        if old is not None:
            touched.add(old.service)
            note_departed(state, old, now)
            _log_server("gone", old, position, told_by, out)
    for server in servers:
        old = registry.servers.get(server.name)
        registry.held_until.pop(server.name, None)
        registry.departed.pop(server.name, None)
        if old == server:
            continue
        registry.servers[server.name] = server
        touched.add(server.service)
        if old is not None:
            touched.add(old.service)
        if old is None or old.is_draining != server.is_draining:
            standing = "draining" if server.is_draining else "ready"
            _log_server(standing, server, position, told_by, out)
    registry.position = position
    refresh_services(state, touched, now, out)


def _make_server(
    server: RegisteredServer, intent: ServiceIntent, *, is_leaving: bool
) -> BackendServer:
    return BackendServer(
        name=server.name,
        address=server.address,
        failure_domain=server.failure_domain,
        slots=server.slots,
        connections=intent.server_connections or DEFAULT_CONNECTIONS,
        state=ServerState.DRAINING if is_leaving else ServerState.ACTIVE,
    )


def _log_server(
    standing: str,
    server: RegisteredServer,
    position: StorePosition,
    told_by: str,
    out: list[Effect],
) -> None:
    fields: dict[str, object] = {
        "state": standing,
        "service": server.service,
        "server": server.name,
        "address": server.address,
        "era": position.era,
        "revision": position.revision,
        "told_by": told_by,
    }
    out.append(LogDecision(event="registered", fields=fields))
