"""Warm-up of backend servers: a server that has just started takes few calls a second.

The owner of a server keeps its pace, as it keeps rate limits: each call, second attempt
and probe takes one token. All hosts together may send 1.5 times the rate and 8 requests
in any second. Hosts that own a server at the same time add up to 1.5 times the rate at
most, whatever hosts they see:

- an owner that sees more than half of the hosts of the server's failure domain uses the
  whole rate; there is one such group of hosts at most;
- one that sees fewer uses half of the part that it sees, all such groups 0.5 less the
  share below;
- owners in other failure domains that see no host of the server's share a quarter.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from ..cluster.members import is_live
from ..configuration.intents import ServiceIntent
from ..effects import Effect, LogDecision
from ..messages import RegisteredServer
from ..state import HostState, ServerName, ServiceRuntime
from .balance import SLOW_START_S, ServerRuntime
from .warmup_tokens import Warmup, set_rate

# Shares of the rate for owners that see at most half of the hosts of the server's
# failure domain, and for all owners that see none of them.
MINORITY_SHARE: Final = 0.25
FOREIGN_SHARE: Final = 0.25
# A change of the end of a warm-up is logged if it is larger than this, in seconds.
MIN_LOGGED_CHANGE_S: Final = 0.5

SOURCE_ENTRY: Final = "entry"
SOURCE_NEW_SERVER: Final = "new-server"


def record_warmup(
    state: HostState,
    key: ServerName,
    until: float,
    started: int,
    source: str,
    now: float,
    out: list[Effect],
) -> bool:
    """Record until when a server is cold; return True if that is notably longer.

    An end that is not later than the known one replaces it: the caller decides which
    of the two counts.
    """
    known = state.warmups.get(key)
    was_cold = known is not None and known.started == started and known.is_cold(now)
    if known is None or not was_cold:
        if until <= now:
            return False
        known = Warmup(until=until, heard_at=now, started=started)
        known.bucket.updated = now
        state.warmups[key] = known
        _log_warmup(key, until - now, source, out)
        is_longer = True
    else:
        is_longer = until - known.until > MIN_LOGGED_CHANGE_S
        if is_longer or known.until - until > MIN_LOGGED_CHANGE_S:
            _log_warmup(key, until - now, source, out)
        known.until = until
    service = state.services.get(key.service)
    server = service.servers.get(key.server) if service is not None else None
    if service is not None and server is not None:
        _assign(state, service, server, known, now)
    return is_longer


def start_declared_warmup(
    state: HostState, service: ServiceIntent, server: str, now: float
) -> None:
    """Record that a server was just declared, where servers do not register."""
    if service.warmup_s == 0.0:
        return
    key = ServerName(service=service.name, server=server)
    warmup = Warmup(until=now + service.warmup_s, heard_at=now, started=0)
    warmup.bucket.updated = now
    state.warmups[key] = warmup


def record_registered_warmup(
    state: HostState,
    entry: RegisteredServer,
    old: RegisteredServer | None,
    now: float,
    out: list[Effect],
    *,
    is_first_listing: bool,
) -> None:
    """Record what a changed registry entry tells of its server's warm-up.

    The time that the entry gives counted from its writing and may be used up; it is
    taken to begin now. A new incarnation that is first seen while this host runs is
    taken for cold, whatever its entry says. `old` is the earlier entry, if known.
    """
    service = state.services.get(entry.service)
    if service is not None and service.intent.warmup_per_s == 0.0:
        return
    key = ServerName(service=entry.service, server=entry.name)
    is_new = old is None or old.started != entry.started
    if is_new and not is_first_listing:
        warmup_s = service.intent.warmup_s if service is not None else 0.0
        left_s = entry.warmup_left_s or warmup_s
        source = SOURCE_ENTRY if entry.warmup_left_s > 0.0 else SOURCE_NEW_SERVER
        record_warmup(state, key, now + left_s, entry.started, source, now, out)
        return
    if old is not None and old.warmup_left_s == entry.warmup_left_s:
        return
    if is_new and entry.warmup_left_s == 0.0:
        return
    until = now + entry.warmup_left_s
    known = state.warmups.get(key)
    if known is not None and known.started == entry.started:
        # An entry is older than what a probe told, but may be the later word.
        until = max(until, known.until)
    record_warmup(state, key, until, entry.started, SOURCE_ENTRY, now, out)


def assign_warmups(
    state: HostState, service: str, servers: Mapping[str, ServerRuntime]
) -> None:
    """Assign the known warm-ups to the servers of a service whose servers changed.

    Those of earlier incarnations are forgotten. The rates follow with the placement.
    """
    for name, server in servers.items():
        key = ServerName(service=service, server=name)
        warmup = state.warmups.get(key)
        entry = state.registry.servers.get(name)
        started = entry.started if entry is not None else 0
        if warmup is not None and warmup.started != started:
            del state.warmups[key]
            warmup = None
        server.warmup = warmup


def forget_warmups(state: HostState, service: str, servers: Iterable[str]) -> None:
    """Forget the warm-ups of servers that are gone."""
    for name in servers:
        state.warmups.pop(ServerName(service=service, server=name), None)


def update_warmup_rates(state: HostState, service: ServiceRuntime, now: float) -> None:
    """Set the rates of a service's cold servers after its placement changed."""
    if not state.warmups:
        return
    for server in service.servers.values():
        key = ServerName(service=service.intent.name, server=server.intent.name)
        warmup = state.warmups.get(key)
        if warmup is not None:
            _assign(state, service, server, warmup, now)


def refresh_warmups(state: HostState, now: float) -> None:
    """Set the rates anew from the hosts seen now, and forget what has long ended."""
    if not state.warmups:
        return
    ended = [
        key
        for key, warmup in state.warmups.items()
        if now - warmup.until > SLOW_START_S
    ]
    for key in ended:
        del state.warmups[key]
    for service in state.services.values():
        for server in service.servers.values():
            if server.warmup is not None and now - server.warmup.until > SLOW_START_S:
                server.warmup = None
        update_warmup_rates(state, service, now)


def count_cold_servers(servers: Iterable[ServerRuntime], now: float) -> int:
    """Return how many of the servers are cold."""
    return sum(s.warmup is not None and s.warmup.is_cold(now) for s in servers)


def _assign(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    warmup: Warmup,
    now: float,
) -> None:
    per_s = service.intent.warmup_per_s
    if per_s == 0.0:
        server.warmup = None
        return
    server.warmup = warmup
    owner = service.placement.owners.get(server.intent.name)
    if owner != state.identity.name:
        set_rate(warmup, 0.0, now)
        return
    share = compute_owner_share(state, server.intent.failure_domain, now)
    set_rate(warmup, per_s * share, now)


def compute_owner_share(state: HostState, failure_domain: str, now: float) -> float:
    """Return the share of the pace that this host uses as the owner of a server."""
    own = state.identity
    seen: dict[str, int] = {own.failure_domain: 1}
    known: dict[str, int] = {own.failure_domain: 1}
    for member in state.members.values():
        if member.name == own.name or member.leaving or member.listed_leaving:
            continue
        domain = member.failure_domain
        known[domain] = known.get(domain, 0) + 1
        is_heard = member.last_heard is not None
        if is_heard and is_live(member, now, state.settings.heartbeat_s):
            seen[domain] = seen.get(domain, 0) + 1
    hosts, live = known.get(failure_domain, 0), seen.get(failure_domain, 0)
    if hosts == 0:
        # No host was ever there, so the hosts of all other domains own the server.
        hosts, live = sum(known.values()), sum(seen.values())
    if live == 0:
        return FOREIGN_SHARE / max(1, len(known) - 1)
    if 2 * live > hosts:
        return 1.0
    return 2.0 * MINORITY_SHARE * live / hosts


def _log_warmup(key: ServerName, left_s: float, source: str, out: list[Effect]) -> None:
    fields: dict[str, object] = {
        "service": key.service,
        "server": key.server,
        "left_s": round(left_s, 3),
        "told_by": source,
    }
    out.append(LogDecision(event="warm-up", fields=fields))
