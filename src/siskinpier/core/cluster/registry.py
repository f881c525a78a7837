"""The registry of backend servers that register themselves with the platform.

One relay in each failure domain watches the registry and forwards changes to the hosts
of its domain; a host that receives no reports of a relay watches on its own. Changes
are ordered by revision, so the same change may arrive twice or over different paths.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from ..configuration.intents import BackendServer, ServerState, ServiceIntent
from ..effects import Effect, LogDecision
from ..events import ServersChanged, ServersListed
from ..messages import RegisteredServer, ServerNotice, ServersNotice
from ..positions import StorePosition
from ..routing.queueing import dispatch_queued_calls, redispatch_blocked_calls
from ..routing.warmup import record_registered_warmup
from ..state import HostState
from .eras import exclude_departed, record_departed, record_new_era
from .held_entries import hold_missing, merge_held, remove_expired_holds
from .placement import LiveHost
from .registered_leaving import LeavingSource, record_leaving, remove_outdated_flags
from .registry_notices import hash_names, send_changes, send_servers_request
from .views import list_serving_hosts, rebuild_service, update_service_placement

# Values of `told_by` in log lines for entries that did not come from another host.
SOURCE_LIST: Final = "list"
SOURCE_WATCH: Final = "watch"
SOURCE_HOLD_ENDED: Final = "end-of-hold"
# Connection limit of a server whose service configures none.
DEFAULT_CONNECTIONS: Final = 250


def handle_servers_listed(
    state: HostState, event: ServersListed, out: list[Effect]
) -> None:
    """Handle a complete listing of the registry by the platform."""
    registry = state.registry
    if event.position < registry.position:
        return
    record_new_era(state, event.position, event.now, out)
    servers = exclude_departed(
        state, event.servers, event.position, out, is_from_watch=False
    )
    listed = {server.name for server in servers}
    changed = [
        s
        for s in servers
        if registry.servers.get(s.name) != s or s.name in registry.held_until
    ]
    missing = [name for name in registry.servers if name not in listed]
    gone = hold_missing(state, missing, event.now, out)
    base_position = registry.position
    _apply_changes(
        state, event.position, changed, gone, event.now, out, told_by=SOURCE_LIST
    )
    send_changes(state, base_position, changed, gone, event.now, out)


def handle_servers_changed(
    state: HostState, event: ServersChanged, out: list[Effect]
) -> None:
    """Handle changes of the registry after the known position."""
    registry = state.registry
    base_position = registry.position
    if event.position <= base_position:
        return
    servers = exclude_departed(
        state, event.servers, event.position, out, is_from_watch=True
    )
    gone = hold_missing(state, event.gone, event.now, out)
    _apply_changes(
        state, event.position, servers, gone, event.now, out, told_by=SOURCE_WATCH
    )
    send_changes(state, base_position, servers, gone, event.now, out)


def handle_servers_notice(
    state: HostState,
    notice: ServersNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Handle registry changes from a relay or a peer.

    Request the whole registry if changes are missing in between, or if the names of
    the entries differ afterwards: either host may have missed entries that were added
    and then removed.
    """
    registry = state.registry
    is_newer = notice.position > registry.position
    if not is_newer and not (
        notice.is_complete and notice.position == registry.position
    ):
        return
    if not notice.is_complete and notice.base_position > registry.position:
        send_servers_request(state, sender, out)
        return
    gone: Iterable[str] = notice.gone
    if notice.is_complete:
        kept = {server.name for server in notice.servers}
        kept.update(entry.name for entry in notice.held)
        gone = [name for name in registry.servers if name not in kept]
    merge_held(state, notice.held, now, out)
    _apply_changes(
        state, notice.position, notice.servers, gone, now, out, told_by=sender
    )
    if not notice.is_complete and notice.names_hash != hash_names(registry):
        send_servers_request(state, sender, out)


def record_registered_leaving(
    state: HostState, name: str, now: float, out: list[Effect]
) -> None:
    """Stop using a server that announced in a reply that it leaves."""
    entry = state.registry.servers.get(name)
    if entry is not None and record_leaving(
        state, name, entry.started, LeavingSource(), now, out
    ):
        update_services(state, (entry.service,), now, out)


def handle_registered_leaving(
    state: HostState,
    notice: ServerNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Handle the notice of another host that a server announced that it leaves."""
    member = state.members.get(sender)
    domain = member.failure_domain if member is not None else ""
    source = LeavingSource(host=sender, failure_domain=domain)
    if record_leaving(state, notice.server, notice.started, source, now, out):
        update_services(state, (notice.service,), now, out)


def merge_registered_servers(state: HostState, intent: ServiceIntent) -> ServiceIntent:
    """Return a service intent that contains the servers registered for it."""
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


def update_services(
    state: HostState, names: Iterable[str], now: float, out: list[Effect]
) -> None:
    """Rebuild the services whose registered servers changed.

    Raises an `ExceptionGroup` after unexpected errors; other services are rebuilt.
    """
    hosts = list_serving_hosts(state, now)
    errors: list[Exception] = []
    for name in sorted(names):
        try:
            _update_service(state, name, hosts, now, out)
        except Exception as exc:
            errors.append(exc)
        else:
            state.registry.outdated_services.discard(name)
    if errors:
        raise ExceptionGroup("services were not rebuilt", errors)


def _update_service(
    state: HostState, name: str, hosts: list[LiveHost], now: float, out: list[Effect]
) -> None:
    old = state.services.get(name)
    if old is None:
        return
    service = rebuild_service(
        state, merge_registered_servers(state, old.intent), old, now
    )
    state.services[name] = service
    update_service_placement(state, service, hosts, now)
    redispatch_blocked_calls(state, service, now, out)
    dispatch_queued_calls(state, service, now, out)


def expire_held_servers(state: HostState, now: float, out: list[Effect]) -> None:
    """Remove held servers whose entries did not reappear in time."""
    gone = remove_expired_holds(state, now)
    if gone:
        position = state.registry.position
        _apply_changes(state, position, (), gone, now, out, told_by=SOURCE_HOLD_ENDED)


def _exclude_older(
    state: HostState, servers: Iterable[RegisteredServer], out: list[Effect]
) -> list[RegisteredServer]:
    """Return the entries, except those older than the known ones.

    A write whose response was lost may take effect seconds later.
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


def _apply_changes(
    state: HostState,
    position: StorePosition,
    servers: Iterable[RegisteredServer],
    gone: Iterable[str],
    now: float,
    out: list[Effect],
    *,
    told_by: str,
) -> None:
    """Apply changed and removed entries.

    `told_by` is the sending host or one of the constants above, for log lines.
    """
    registry = state.registry
    servers = _exclude_older(state, servers, out)
    changed_services: set[str] = set()
    changed = [s for s in servers if registry.servers.get(s.name) != s]
    remove_outdated_flags(state, changed, position, now)
    for name in gone:
        registry.held_until.pop(name, None)
        old = registry.servers.pop(name, None)
        if old is not None:
            changed_services.add(old.service)
            record_departed(state, old, now)
            _log_server("gone", old, position, told_by, out)
    is_first_listing = registry.position.revision == 0
    for server in servers:
        old = registry.servers.get(server.name)
        _record_warmup(state, server, now, out, is_first_listing=is_first_listing)
        registry.held_until.pop(server.name, None)
        registry.departed.pop(server.name, None)
        if old == server:
            continue
        registry.servers[server.name] = server
        changed_services.add(server.service)
        if old is not None:
            changed_services.add(old.service)
        if old is None or old.is_draining != server.is_draining:
            status = "draining" if server.is_draining else "ready"
            _log_server(status, server, position, told_by, out)
    registry.position = position
    # Services that an unexpected error kept from being rebuilt are tried again.
    registry.outdated_services |= changed_services
    update_services(state, tuple(registry.outdated_services), now, out)


def _record_warmup(
    state: HostState,
    entry: RegisteredServer,
    now: float,
    out: list[Effect],
    *,
    is_first_listing: bool,
) -> None:
    """Record the warm-up of a changed entry; one that lapsed for a moment is known."""
    old = state.registry.servers.get(entry.name)
    departed = state.registry.departed.get(entry.name)
    if old is None and departed is not None:
        old = departed.entry
    record_registered_warmup(
        state, entry, old, now, out, is_first_listing=is_first_listing
    )


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
    status: str,
    server: RegisteredServer,
    position: StorePosition,
    told_by: str,
    out: list[Effect],
) -> None:
    fields: dict[str, object] = {
        "state": status,
        "service": server.service,
        "server": server.name,
        "address": server.address,
        "era": position.era,
        "revision": position.revision,
        "told_by": told_by,
    }
    out.append(LogDecision(event="registered", fields=fields))
