"""Routing intents: what operators declare for their services.

The data classes carry `annotated_types` constraints, so that the border can
validate a parsed document straight into them (`settings.documents`), and the
core needs no validation library.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any, ClassVar, Final

from annotated_types import Ge, Gt, Le, Len

FORBID_EXTRA: Final[dict[str, Any]] = {"extra": "forbid"}

Name = Annotated[str, Len(1, 100)]
Seconds = Annotated[float, Gt(0.0), Le(604_800.0)]
Share = Annotated[float, Ge(0.0), Le(1.0)]
# RFC 9218: 0 is the most urgent, 7 the least.
Urgency = Annotated[int, Ge(0), Le(7)]
DEFAULT_URGENCY: Final = 3
RECENT_UPDATES_KEPT: Final = 64
ORDERED_KEPT: Final = 1_000
URGENT_LIMIT: Final = 1
# A route of this virtual host applies where the one that a caller names has no routes.
ANY_VIRTUAL_HOST: Final = "*"


class ServerState(StrEnum):
    """Say whether a backend server may be given new calls."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A backend server of a service, as declared."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Name, unique within the service.
    name: Name
    # IP number and TCP port, as ip:port or [ipv6]:port; unique within the service.
    address: Annotated[str, Len(3, 260)]
    # Failure domain that the backend server runs in.
    failure_domain: Name
    # Calls that the backend server runs at a time.
    slots: Annotated[int, Ge(1), Le(10_000)] = 4
    # Connections that the backend server takes.
    connections: Annotated[int, Ge(1), Le(100_000)] = 250
    # `draining` gives the backend server no new calls.
    state: ServerState = ServerState.ACTIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRule:
    """Declare urgency and repeatability of the calls that match.

    The first rule whose methods and path prefix match a call applies. A call
    that matches none is non-idempotent and of default urgency.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # HTTP methods in capitals; empty matches every method.
    methods: tuple[Name, ...] = ()
    # Beginning of the paths that match.
    path_prefix: str = "/"
    # Whether a call may run more than once.
    idempotent: bool = False
    # Urgency of a call that names none; 0 is the most urgent (RFC 9218).
    urgency: Urgency = DEFAULT_URGENCY
    # The most urgent that a caller may ask for.
    most_urgent: Urgency = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeBudget:
    """Bound the work of measuring one service, summed over all hosts."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Path of the backend servers' health endpoint.
    path: str = "/health"
    # Probes a second, summed over all hosts.
    per_second: Annotated[float, Ge(0.0), Le(100_000.0)] = 10.0
    # Bytes of probes a second, summed over all hosts.
    bytes_per_second: Annotated[float, Ge(0.0)] = 20_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceIntent:
    """Declare one service: its backend servers, calls, limits and budgets."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Unique name; callers use it in the path of a call.
    name: Name
    # Backend servers that serve the calls.
    servers: tuple[BackendServer, ...] = ()
    # Rules for calls; the first that matches applies. A call that matches none
    # is non-idempotent and of urgency 3.
    rules: tuple[CallRule, ...] = ()
    # Time for a call that names no deadline.
    deadline_s: Seconds = 2.0
    # Calls that wait at one host.
    queue_limit: Annotated[int, Ge(0), Le(1_000_000)] = 400
    # Retries as a share of fresh calls.
    retry_share: Share = 0.1
    # Second attempts sent early as a share of fresh calls; idempotent calls only.
    hedge_share: Share = 0.0
    # Statuses by which the backend servers say that a call did not run.
    not_run_statuses: tuple[Annotated[int, Ge(400), Le(599)], ...] = ()
    # Time that an Idempotency-Key is kept.
    key_age_s: Seconds = 86_400.0
    # Connections that each backend server takes, where servers register themselves;
    # 0 leaves it at what is usual.
    server_connections: Annotated[int, Ge(0), Le(100_000)] = 0
    # Budget for probes.
    probes: ProbeBudget = field(default_factory=ProbeBudget)


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service that takes a part of a route's calls."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Name of the service.
    service: Name
    # Part of the calls, in proportion to the other weights of the route.
    weight: Annotated[float, Ge(0.0), Le(1_000_000.0)] = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Lead the calls of a virtual host and path prefix to services.

    Of the routes of a virtual host, the one with the longest prefix applies.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Unique name of the route.
    name: Name
    # Virtual host that callers name in the Host field, in lower case; `*` applies to
    # those that have no route.
    virtual_host: Name
    # Beginning of the paths that match.
    path_prefix: str = "/"
    # Services that share the calls by weight.
    services: tuple[WeightedService, ...] = ()
    # Whether a call may run more than once.
    idempotent: bool = False
    # Longest time until the final answer; 0 leaves it to the caller's deadline.
    timeout_s: Annotated[float, Ge(0.0), Le(604_800.0)] = 0.0
    # Time within which an answer is worth most to callers; 0 sets none.
    aim_s: Annotated[float, Ge(0.0), Le(604_800.0)] = 0.0
    # Backend servers that one call may be sent to.
    attempts: Annotated[int, Ge(1), Le(100)] = 3
    # Urgency of the calls; 0 is the most urgent (RFC 9218).
    urgency: Annotated[int, Ge(0), Le(1_000)] = DEFAULT_URGENCY
    # Refuse the calls as not run, and tell callers to come back.
    is_suspended: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingIntents:
    """The whole accepted configuration of the system.

    `revision` rises by one with each accepted change; 0 means that nothing
    has been accepted yet. `recent_updates` holds the ids of the latest
    accepted updates, newest last, so that a writer whose reply was lost can
    tell whether its update took effect. `ordered` names what single orders
    changed since the last whole document, so that a document which undoes
    them can be told apart.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Number of the accepted configuration. A document that carries it is applied
    # only to that revision.
    revision: Annotated[int, Ge(0)] = 0
    # Operator who made the change; set by the system.
    changed_by: str = ""
    # Time of the change since the epoch; set by the system.
    changed_at: float = 0.0
    # The entry host that the change was accepted through.
    changed_through: str = ""
    # Ids of the latest accepted updates; set by the system.
    recent_updates: tuple[Name, ...] = ()
    # The declared services.
    services: tuple[ServiceIntent, ...] = ()
    # Routes by virtual host and path, for callers that name no service.
    routes: tuple[Route, ...] = ()
    # Entry hosts that get no new callers.
    leaving_hosts: tuple[Name, ...] = ()
    # What single orders changed since the last document; set by the system.
    ordered: tuple[str, ...] = ()


DEFAULT_RULE: Final = CallRule()


def get_service(intents: RoutingIntents, name: str) -> ServiceIntent | None:
    """Return the intent of the named service, or None when undeclared."""
    for service in intents.services:
        if service.name == name:
            return service
    return None


def get_rule(service: ServiceIntent, method: str, path: str) -> CallRule:
    """Return the first rule that matches a call, else the strictest default."""
    for rule in service.rules:
        if rule.methods and method not in rule.methods:
            continue
        if path.startswith(rule.path_prefix):
            return rule
    return DEFAULT_RULE
