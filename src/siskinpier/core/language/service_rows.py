"""Answer rows for services, backend servers, budgets, claims and quarantines."""

from ..configuration.intents import ServerState
from ..routing.balance import (
    ServerRuntime,
    get_slot_limit,
    has_free_slot,
    is_draining,
    is_ejected,
)
from ..routing.quarantine import list_quarantine
from ..routing.rate_limit_tokens import has_token
from ..routing.warmup_tokens import allows_request
from ..state import HostState, ServiceRuntime

Rows = list[dict[str, object]]


def format_cell(value: object) -> object:
    """Return the value to show in a cell: an empty string instead of None."""
    return "" if value is None else value


def list_services(state: HostState) -> Rows:
    """Return a row for each service."""
    return [
        {
            "service": name,
            "servers": len(service.servers),
            "owned here": len(service.owned),
            "in flight": sum(server.in_flight for server in service.owned),
            "queue": len(service.queue),
            "queue limit": service.intent.queue_limit,
            "deadline s": service.intent.deadline_s,
            "homes": ",".join(service.placement.get_all_homes()),
        }
        for name, service in state.services.items()
    ]


def list_servers(service: ServiceRuntime, now: float) -> Rows:
    """Return a row for each backend server of a service."""
    return [
        {
            "server": name,
            "service": service.intent.name,
            "state": _get_server_state(server, now),
            "avoided": get_avoidance_reason(server, now),
            "in flight": server.in_flight,
            "slots": get_slot_limit(server, now),
            "rate limit": server.rate_limit.per_s if server.rate_limit else "",
            "reported load": format_cell(server.reported_load),
            "latency ms": round(server.latency_s * 1000, 3),
            "failure share": round(server.failure_share, 3),
            "heard s ago": _get_last_heard_age(server, now),
            "failure domain": server.intent.failure_domain,
            "owner": service.placement.owners.get(name, ""),
        }
        for name, server in service.servers.items()
    ]


def list_budgets(service: ServiceRuntime) -> Rows:
    """Return a row for each budget of a service, with the tokens left on this host."""
    name = service.intent.name
    return [
        {
            "service": name,
            "budget": "probes",
            "for all hosts": service.intent.probes.per_second,
            "unit": "probes/s",
            "here": round(service.probes.rate, 3),
            "left": round(service.probes.tokens, 3),
        },
        {
            "service": name,
            "budget": "retries",
            "for all hosts": service.intent.retry_share,
            "unit": "share of calls",
            "here": service.intent.retry_share,
            "left": round(service.retries.tokens, 3),
        },
    ]


def make_claim_writes_row(state: HostState) -> dict[str, object]:
    """Return the row of this host's share of the platform's write rate for claims."""
    writes = state.claims.writes
    return {
        "service": "",
        "budget": "claim writes",
        "for all hosts": "",
        "unit": "writes/s",
        "here": round(writes.rate, 3),
        "left": round(writes.tokens, 3),
    }


def list_claims(state: HostState, now: float) -> Rows:
    """Return a row for each claim shard of this host, and a row for its own calls."""
    rows: Rows = [
        {
            "shard": shard.number,
            "claims": len(shard.entries),
            "in flight": len(shard.holders),
            "waiting": len(shard.pending) + len(shard.writing) + len(shard.deferred),
            "version": format_cell(shard.version),
            "platform down for s": round(max(0.0, shard.platform_down_until - now), 3),
        }
        for shard in sorted(state.claims.shards.values(), key=lambda s: s.number)
    ]
    held = state.claims.held.values()
    if rows or held:
        granted = sum(claim.granted for claim in held)
        rows.append({"calls here": len(held), "granted": granted})
    return rows


def list_quarantined_requests(
    state: HostState, services: list[ServiceRuntime], now: float
) -> Rows:
    """Return a row for each quarantined request of the given services."""
    names = {service.intent.name for service in services}
    return [
        {
            "fingerprint": item.fingerprint,
            "service": item.service,
            "method": item.method,
            "path": item.path,
            "servers": ",".join(item.servers),
            "for s more": round(item.until - now, 3),
        }
        for item in list_quarantine(state, now)
        if item.service in names
    ]


def _get_server_state(server: ServerRuntime, now: float) -> str:
    if server.is_evacuated:
        return "evacuated"
    if is_draining(server):
        return "draining"
    return "ejected" if is_ejected(server, now) else "active"


def get_avoidance_reason(server: ServerRuntime, now: float) -> str:
    """Return why a server gets no new calls, or an empty string."""
    if server.is_evacuated:
        return "evacuated with its failure domain"
    if server.intent.state is ServerState.DRAINING:
        return "draining by declaration"
    if is_draining(server):
        return "draining by its own word"
    if is_ejected(server, now):
        return f"ejected for {server.ejected_until - now:.1f} s more"
    if has_free_slot(server, now):
        return ""
    if not has_token(server.rate_limit, now):
        return "at its rate limit"
    if server.warmup is not None and not allows_request(server.warmup, now):
        return f"warming up for {server.warmup.until - now:.1f} s more"
    if server.is_on_trial:
        return "full on trial after its ejection"
    if get_slot_limit(server, now) < server.intent.slots:
        return "full in slow start"
    return "full"


def _get_last_heard_age(server: ServerRuntime, now: float) -> object:
    return round(now - server.last_heard, 3) if server.last_heard else "never"
