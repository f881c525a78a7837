"""The view that this host has of live hosts, and the services placed on them."""

from typing import Final

from ..configuration.intents import ServiceIntent
from ..effects import Effect, LogDecision
from ..routing.balance import ServerRuntime
from ..routing.budgets import TokenBucket
from ..routing.rate_limits import assign_rate_limits, forget_rate_limits
from ..routing.retry_budget import assign_slack_share
from ..routing.warmup import (
    assign_warmups,
    forget_warmups,
    start_declared_warmup,
    update_warmup_rates,
)
from ..state import (
    MAX_RETRY_TOKENS,
    HostState,
    IsolationStatus,
    Lifecycle,
    ServiceRuntime,
)
from .dissemination import update_monitors
from .earlier_hosts import is_earlier, list_possible_homes
from .members import is_believed_alive, is_live
from .neighbours import make_rings
from .placement import LiveHost, ServicePlacement, place_service

NO_PLACEMENT: Final = ServicePlacement(homes={}, owners={})


def is_leaving(state: HostState) -> bool:
    """Return True once this host must not receive new callers."""
    if state.identity.name in state.intents.leaving_hosts:
        return True
    return state.lifecycle in (
        Lifecycle.LEAVING,
        Lifecycle.CLOSING,
        Lifecycle.STOPPED,
    )


def list_live_hosts(state: HostState, now: float) -> list[LiveHost]:
    """Return the hosts that calls can be sent to, sorted by name.

    This host is included unless it is leaving.
    """
    own = state.identity
    hosts = [
        LiveHost(
            name=member.name,
            failure_domain=member.failure_domain,
            strength=member.strength,
            is_earlier=is_earlier(member),
        )
        for member in state.members.values()
        if is_live(member, now, state.settings.heartbeat_s)
        and member.name not in state.intents.leaving_hosts
        and member.name != own.name
    ]
    if not is_leaving(state):
        hosts.append(_make_own_host(state))
    return sorted(hosts, key=lambda host: host.name)


def list_serving_hosts(state: HostState, now: float) -> list[LiveHost]:
    """Return the live hosts that reach backend servers, sorted by name.

    If no host reaches them, the servers are to blame, and all live hosts are returned.
    """
    hosts = list_live_hosts(state, now)
    isolated = {m.name for m in state.members.values() if m.is_isolated}
    if state.isolation.status is IsolationStatus.ISOLATED:
        isolated.add(state.identity.name)
    if not isolated:
        return hosts
    return [host for host in hosts if host.name not in isolated] or hosts


def update_placement(state: HostState, now: float, out: list[Effect]) -> None:
    """Recompute rings and placements if the view of live hosts changed."""
    members = tuple(_list_ring_hosts(state, now))
    if members != state.rings.hosts:
        state.rings = make_rings(members)
        update_monitors(state, now)
    hosts = list_live_hosts(state, now)
    names = tuple(host.name for host in hosts)
    serving_hosts = list_serving_hosts(state, now)
    serving = tuple(host.name for host in serving_hosts)
    earlier = tuple(host.name for host in serving_hosts if host.is_earlier)
    is_changed = (names, serving) != (state.live, state.serving)
    if not is_changed and earlier == state.earlier:
        return
    if earlier != state.earlier:
        fields: dict[str, object] = {"hosts": len(earlier)}
        out.append(LogDecision(event="earlier-hosts", fields=fields))
    if names != state.live:
        out.append(LogDecision(event="view", fields={"live": ",".join(names)}))
    elif is_changed:
        isolated = ",".join(sorted(set(names) - set(serving)))
        fields = {"hosts": len(serving), "isolated": isolated}
        out.append(LogDecision(event="serving", fields=fields))
    state.live = names
    state.serving = serving
    state.earlier = earlier
    for service in state.services.values():
        update_service_placement(state, service, serving_hosts, now)


def update_service_placement(
    state: HostState, service: ServiceRuntime, hosts: list[LiveHost], now: float
) -> None:
    """Place a service on the given hosts.

    Without live hosts, all others are gone and this one is leaving: it remains the home
    of the calls that still arrive.
    """
    possible = list_possible_homes(service.intent, state.intents, hosts)
    service.placement = place_service(
        service.intent,
        possible or [_make_own_host(state)],
        is_split=state.settings.grants_slots,
    )
    owned = service.placement.list_owned(state.identity.name)
    service.owned = [service.servers[name] for name in owned]
    update_warmup_rates(state, service, now)
    if state.settings.grants_slots:
        assign_slack_share(service, state.settings.retry_slack)


def rebuild_service(
    state: HostState, intent: ServiceIntent, old: ServiceRuntime | None, now: float
) -> ServiceRuntime:
    """Return a new runtime of a service, or update and return the old one.

    The state of known servers is kept.
    """
    known = old.servers if old is not None else {}
    servers = {
        server.name: known.get(server.name) or ServerRuntime(intent=server)
        for server in intent.servers
    }
    for server in intent.servers:
        runtime = servers[server.name]
        if runtime.intent.state != server.state or old is None:
            runtime.is_leaving = False
        # Servers that register report their own speed and remaining warm-up time, so
        # new ones get no slow start.
        is_fresh = server.name not in known and old is not None
        if is_fresh and not state.settings.servers_register:
            runtime.slow_start_at = now
            start_declared_warmup(state, intent, server.name, now)
        if runtime.intent.state != server.state:
            runtime.slow_start_at = now
        runtime.intent = server
    evacuated = state.evacuations.list_all()
    for runtime in servers.values():
        runtime.is_evacuated = runtime.intent.failure_domain in evacuated
    assign_rate_limits(state, intent.name, servers, now)
    forget_rate_limits(state, intent.name, known.keys() - servers.keys())
    assign_warmups(state, intent.name, servers)
    forget_warmups(state, intent.name, known.keys() - servers.keys())
    if old is None:
        return ServiceRuntime(
            intent=intent,
            placement=NO_PLACEMENT,
            servers=servers,
            owned=[],
            retries=_make_bucket(state),
            hedges=_make_bucket(state),
            limits_hedges=state.settings.limits_hedges,
            shares_queues=state.settings.shares_queues,
        )
    old.intent = intent
    old.servers = servers
    old.owned = []
    return old


def _make_bucket(state: HostState) -> TokenBucket:
    """Return the token bucket of a new service, empty where homes share the slack."""
    capacity = 0.0 if state.settings.grants_slots else MAX_RETRY_TOKENS
    return TokenBucket(rate=0.0, capacity=capacity, tokens=capacity)


def _list_ring_hosts(state: HostState, now: float) -> list[LiveHost]:
    """Return the hosts of the rings sorted by name, leaving hosts included."""
    own = state.identity
    hosts = [LiveHost(name=own.name, failure_domain=own.failure_domain)]
    hosts.extend(
        LiveHost(name=member.name, failure_domain=member.failure_domain)
        for member in state.members.values()
        if is_believed_alive(member, now)
    )
    return sorted(hosts, key=lambda host: host.name)


def _make_own_host(state: HostState) -> LiveHost:
    own = state.identity
    return LiveHost(
        name=own.name, failure_domain=own.failure_domain, strength=own.strength
    )
