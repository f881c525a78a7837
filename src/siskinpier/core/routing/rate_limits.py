"""Rate limits that backend servers name for the requests of all hosts together.

The owner of a server keeps its limit: no other host decides when a call goes there, so
the limit needs no division between hosts. Other hosts remember what they heard, for the
time when they become the owner, and send nothing to a limited server on their own.
"""

from ..effects import Effect, LogDecision
from ..state import HostState, RateLimitKey
from .balance import ServerRuntime
from .rate_limit_tokens import FOREIGN_SHARE, RateLimit, update_bucket


def get_started(state: HostState, server: str) -> int:
    """Return the start of a registered server's incarnation; 0 if it is not known."""
    entry = state.registry.servers.get(server)
    return entry.started if entry is not None else 0


def set_rate_limit(
    state: HostState,
    key: RateLimitKey,
    per_s: float,
    source: str,
    now: float,
    out: list[Effect],
) -> RateLimit:
    """Record that a server's limit was heard now, from `source`, and return it."""
    limit = state.rate_limits.get(key)
    if limit is None or limit.per_s != per_s:
        _log_limit(key, str(per_s), source, out)
    if limit is None:
        limit = RateLimit(
            per_s=per_s, started=get_started(state, key.server), heard_at=now
        )
        limit.bucket.updated = now
        state.rate_limits[key] = limit
    limit.per_s = per_s
    limit.heard_at = now
    server = _find_server(state, key)
    update_bucket(limit, _get_share(state, server), now)
    if server is not None:
        server.rate_limit = limit
    return limit


def end_rate_limit(
    state: HostState, key: RateLimitKey, source: str, out: list[Effect]
) -> None:
    """Forget the limit of a server, which no longer names it."""
    if state.rate_limits.pop(key, None) is None:
        return
    server = _find_server(state, key)
    if server is not None:
        server.rate_limit = None
    _log_limit(key, "none", source, out)


def assign_rate_limits(
    state: HostState, service: str, servers: dict[str, ServerRuntime], now: float
) -> None:
    """Assign the known limits to the servers of a service whose servers changed.

    Limits of earlier incarnations are forgotten.
    """
    for name, server in servers.items():
        key = RateLimitKey(service=service, server=name)
        limit = state.rate_limits.get(key)
        if limit is not None and limit.started != get_started(state, name):
            del state.rate_limits[key]
            limit = None
        server.rate_limit = limit
        if limit is not None:
            update_bucket(limit, _get_share(state, server), now)


def forget_rate_limits(state: HostState, service: str, servers: set[str]) -> None:
    """Forget the limits of servers that are gone."""
    for name in servers:
        state.rate_limits.pop(RateLimitKey(service=service, server=name), None)


def _find_server(state: HostState, key: RateLimitKey) -> ServerRuntime | None:
    service = state.services.get(key.service)
    return service.servers.get(key.server) if service is not None else None


def _get_share(state: HostState, server: ServerRuntime | None) -> float:
    """Return the share of a server's limit that this host uses as its owner."""
    own = state.identity.failure_domain
    if server is None or server.intent.failure_domain == own:
        return 1.0
    domains = {member.failure_domain for member in state.members.values()} | {own}
    return FOREIGN_SHARE / max(1, len(domains) - 1)


def _log_limit(key: RateLimitKey, per_s: str, source: str, out: list[Effect]) -> None:
    fields: dict[str, object] = {
        "service": key.service,
        "server": key.server,
        "per_s": per_s,
        "told_by": source,
    }
    out.append(LogDecision(event="rate-limit", fields=fields))
