"""The live hosts as this one sees them, and the services placed on them."""

from typing import Final

from ..configuration.intents import ServiceIntent
from ..effects import Effect, LogDecision
from ..routing.balance import ServerRuntime
from ..routing.budgets import TokenBucket
from ..routing.repeat_budget import share_slack
from ..state import MAX_RETRY_TOKENS, HostState, Lifecycle, ServiceRuntime
from .dissemination import refresh_monitors
from .members import is_believed_alive, is_live
from .neighbours import make_rings
from .placement import LiveHost, ServicePlacement, place_service

NO_PLACEMENT: Final = ServicePlacement(homes={}, owners={})


def is_leaving(state: HostState) -> bool:
    """Return True once this host must receive no new callers."""
    if state.identity.name in state.intents.leaving_hosts:
        return True
    return state.lifecycle in (
        Lifecycle.LEAVING,
        Lifecycle.CLOSING,
        Lifecycle.STOPPED,
    )


def get_live_hosts(state: HostState, now: float) -> list[LiveHost]:
    """Return the hosts that may be sent calls, this one included, by name."""
    own = state.identity
    hosts = [
        LiveHost(
            name=member.name,
            failure_domain=member.failure_domain,
            strength=member.strength,
        )
        for member in state.members.values()
        if is_live(member, now, state.settings.heartbeat_s)
        and member.name not in state.intents.leaving_hosts
        and member.name != own.name
    ]
    if not is_leaving(state):
        hosts.append(_make_own_host(state))
    return sorted(hosts, key=lambda host: host.name)


def refresh_placement(state: HostState, now: float, out: list[Effect]) -> None:
    """Recompute who owns what when the view of live hosts changed."""
    members = tuple(_list_ring_hosts(state, now))
    if members != state.rings.hosts:
        state.rings = make_rings(members)
        refresh_monitors(state, now)
    hosts = get_live_hosts(state, now)
    names = tuple(host.name for host in hosts)
    if names == state.live:
        return
    state.live = names
    out.append(LogDecision(event="view", fields={"live": ",".join(names)}))
    for service in state.services.values():
        place(state, service, hosts)


def place(state: HostState, service: ServiceRuntime, hosts: list[LiveHost]) -> None:
    """Give a service its placement in a view of live hosts.

    Without any, all others are gone and this one leaves: it stays the home of what
    still comes to it.
    """
    service.placement = place_service(
        service.intent,
        hosts or [_make_own_host(state)],
        is_split=state.settings.grants_slots,
    )
    owned = service.placement.get_owned(state.identity.name)
    service.owned = [service.servers[name] for name in owned]
    if state.settings.grants_slots:
        share_slack(service, state.settings.retry_slack)


def make_service(
    state: HostState, intent: ServiceIntent, old: ServiceRuntime | None, now: float
) -> ServiceRuntime:
    """Return the runtime of a service, keeping what was learnt of its servers."""
    known = old.servers if old is not None else {}
    servers = {
        server.name: known.get(server.name) or ServerRuntime(intent=server)
        for server in intent.servers
    }
    for server in intent.servers:
        runtime = servers[server.name]
        if runtime.intent.state != server.state or old is None:
            runtime.is_leaving = False
        # Servers that register report their speed, and say how long they are cold.
        is_fresh = server.name not in known and old is not None
        if is_fresh and not state.settings.servers_register:
            runtime.warm_from = now
        if runtime.intent.state != server.state:
            runtime.warm_from = now
        runtime.intent = server
    if old is None:
        return ServiceRuntime(
            intent=intent,
            placement=NO_PLACEMENT,
            servers=servers,
            owned=[],
            retries=_make_bucket(state),
            hedges=_make_bucket(state),
        )
    old.intent = intent
    old.servers = servers
    old.owned = []
    return old


def _make_bucket(state: HostState) -> TokenBucket:
    """Return the tokens of a fresh host: none where homes share the slack."""
    kept = 0.0 if state.settings.grants_slots else MAX_RETRY_TOKENS
    return TokenBucket(rate=0.0, capacity=kept, tokens=kept)


def _list_ring_hosts(state: HostState, now: float) -> list[LiveHost]:
    """Return the hosts that take part in the rings, leaving ones included."""
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
