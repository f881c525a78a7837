"""Operators' orders, their application to routing intents, and their results."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum, unique

from .difference import Change, compare_intents
from .intents import (
    MAX_ORDERED_PATHS,
    BackendServer,
    CallRule,
    RoutingIntents,
    ServerState,
    ServiceIntent,
    get_service,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class SetServerState:
    """Drain a backend server, or make it active again."""

    service: str
    server: str
    state: ServerState


@dataclass(frozen=True, slots=True, kw_only=True)
class SetHostLeaving:
    """Flag an entry host as leaving, or clear that flag."""

    host: str
    leaving: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class SetRule:
    """Put a call rule before all others, replacing one that matches the same calls."""

    service: str
    rule: CallRule


@unique
class Limit(StrEnum):
    """A limit or budget of a service; the value is its name in operators' orders."""

    PROBE_BUDGET = "probe budget"
    PROBE_BYTES = "probe bytes"
    RETRY_SHARE = "retry share"
    HEDGE_SHARE = "hedge share"
    QUEUE_LIMIT = "queue limit"
    DEADLINE = "deadline"
    KEY_AGE = "key age"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetLimit:
    """Set a limit of a service; `value` has the unit of the declared field."""

    service: str
    limit: Limit
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseQuarantine:
    """Release a quarantined request; the routing intents do not change."""

    service: str
    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplaceServices:
    """Replace the declared services and leaving hosts with those of a document.

    The order is refused unless `base_revision` is the newest accepted revision;
    None skips this check.
    """

    services: tuple[ServiceIntent, ...]
    leaving_hosts: tuple[str, ...]
    base_revision: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class GuardedOrder:
    """Apply an order only if `revision` is the newest accepted one."""

    order: "Order"
    revision: int


Order = (
    SetServerState
    | SetHostLeaving
    | SetRule
    | SetLimit
    | ReleaseQuarantine
    | ReplaceServices
    | GuardedOrder
)


@unique
class OrderStatus(StrEnum):
    """The status of an order; UNKNOWN means it may have taken effect."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderResult:
    """The result of an order; `revision` is the accepted or the newest known one."""

    status: OrderStatus
    revision: int
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderError:
    """The reason why an order cannot be applied to the routing intents."""

    reason: str


def apply_order(intents: RoutingIntents, order: Order) -> RoutingIntents | OrderError:
    """Return the changed intents with the same revision, or an error."""
    changed = _change(intents, order)
    if isinstance(changed, OrderError) or isinstance(order, ReplaceServices):
        return changed
    paths = (change.path for change in compare_intents(intents, changed))
    ordered = tuple(dict.fromkeys((*intents.ordered, *paths)))
    return replace(changed, ordered=ordered[-MAX_ORDERED_PATHS:])


def list_undone_changes(old: RoutingIntents, new: RoutingIntents) -> tuple[Change, ...]:
    """Return the changes of a document that undo earlier orders."""
    ordered = frozenset(old.ordered)
    return tuple(c for c in compare_intents(old, new) if c.path in ordered)


def _change(intents: RoutingIntents, order: Order) -> RoutingIntents | OrderError:
    match order:
        case SetServerState():
            return _set_server_state(intents, order)
        case SetHostLeaving(host=host, leaving=leaving):
            others = tuple(name for name in intents.leaving_hosts if name != host)
            return replace(
                intents, leaving_hosts=(*others, host) if leaving else others
            )
        case SetRule(service=name, rule=rule):
            return _change_service(intents, name, lambda s: _add_rule(s, rule))
        case SetLimit(service=name):
            return _change_service(intents, name, lambda s: _set_limit(s, order))
        case ReleaseQuarantine(fingerprint=fingerprint):
            return OrderError(reason=f"no such quarantine: {fingerprint!r}")
        case ReplaceServices(base_revision=base):
            if base is not None and base != intents.revision:
                return make_stale_revision_error(base, intents)
            return replace(
                intents,
                services=order.services,
                leaving_hosts=order.leaving_hosts,
                ordered=(),
            )
        case GuardedOrder(revision=base):
            if base != intents.revision:
                return make_stale_revision_error(base, intents)
            return _change(intents, order.order)


def make_stale_revision_error(base: int, intents: RoutingIntents) -> OrderError:
    """Return the error for an order that is based on an outdated revision."""
    by = f" by {intents.changed_by}" if intents.changed_by else ""
    reason = f"based on revision {base}, but revision {intents.revision}{by} is newer"
    return OrderError(reason=reason)


def _set_limit(service: ServiceIntent, order: SetLimit) -> ServiceIntent:
    value = order.value
    match order.limit:
        case Limit.PROBE_BUDGET:
            return replace(service, probes=replace(service.probes, per_second=value))
        case Limit.PROBE_BYTES:
            probes = replace(service.probes, bytes_per_second=value)
            return replace(service, probes=probes)
        case Limit.RETRY_SHARE:
            return replace(service, retry_share=value)
        case Limit.HEDGE_SHARE:
            return replace(service, hedge_share=value)
        case Limit.QUEUE_LIMIT:
            return replace(service, queue_limit=int(value))
        case Limit.DEADLINE:
            return replace(service, deadline_s=value)
        case Limit.KEY_AGE:
            return replace(service, key_age_s=value)


def _set_server_state(
    intents: RoutingIntents, order: SetServerState
) -> RoutingIntents | OrderError:
    service = get_service(intents, order.service)
    if service is None:
        return OrderError(reason=f"no service {order.service!r}")
    if all(server.name != order.server for server in service.servers):
        return OrderError(reason=f"no backend server {order.server!r}")

    def change(server: BackendServer) -> BackendServer:
        if server.name != order.server:
            return server
        return replace(server, state=order.state)

    servers = tuple(change(server) for server in service.servers)
    return _change_service(
        intents, order.service, lambda s: replace(s, servers=servers)
    )


def _add_rule(service: ServiceIntent, rule: CallRule) -> ServiceIntent:
    others = tuple(
        old
        for old in service.rules
        if (old.methods, old.path_prefix) != (rule.methods, rule.path_prefix)
    )
    return replace(service, rules=(rule, *others))


def _change_service(
    intents: RoutingIntents,
    name: str,
    change: Callable[[ServiceIntent], ServiceIntent],
) -> RoutingIntents | OrderError:
    if get_service(intents, name) is None:
        return OrderError(reason=f"no service {name!r}")
    services = tuple(
        change(service) if service.name == name else service
        for service in intents.services
    )
    return replace(intents, services=services)
