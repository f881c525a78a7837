"""Routing intents: the configuration that operators declare for their services.

The data classes carry `annotated_types` constraints, so `settings.documents` can
validate a parsed document directly into them and the core needs no validation
library.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any, ClassVar, Final

from annotated_types import Ge, Gt, Le, Len

FORBID_EXTRA: Final[dict[str, Any]] = {"extra": "forbid"}

Name = Annotated[str, Len(1, 100)]
Seconds = Annotated[float, Gt(0.0), Le(604_800.0)]
Share = Annotated[float, Ge(0.0), Le(1.0)]
ByteCount = Annotated[int, Ge(0), Le(2**54)]
# Digest of a caller's key, as hexadecimal digits.
KeyDigest = Annotated[str, Len(32, 32)]
# RFC 9218: 0 is the most urgent, 7 the least.
Urgency = Annotated[int, Ge(0), Le(7)]
DEFAULT_URGENCY: Final = 3
# Limits of the lists `recent_updates` and `ordered` of the routing intents.
MAX_RECENT_UPDATES: Final = 64
MAX_ORDERED_PATHS: Final = 1_000
URGENT_LIMIT: Final = 1
# Routes of this virtual host apply to callers whose virtual host has no routes.
ANY_VIRTUAL_HOST: Final = "*"


class ServerState(StrEnum):
    """Whether a backend server may get new calls."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A declared backend server of a service."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Name, unique within the service.
    name: Name
    # IP address and TCP port, as ip:port or [ipv6]:port; unique within the service.
    address: Annotated[str, Len(3, 260)]
    # Failure domain that the backend server runs in.
    failure_domain: Name
    # Number of calls that the backend server runs at a time.
    slots: Annotated[int, Ge(1), Le(10_000)] = 4
    # Maximum number of connections to the backend server.
    connections: Annotated[int, Ge(1), Le(100_000)] = 250
    # `draining` gives the backend server no new calls.
    state: ServerState = ServerState.ACTIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRule:
    """The urgency and idempotency of matching calls.

    The first rule whose methods and path prefix match a call applies. A call
    that matches no rule is non-idempotent and has the default urgency.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # HTTP methods in upper case; an empty list matches every method.
    methods: tuple[Name, ...] = ()
    # Prefix of the paths that match.
    path_prefix: str = "/"
    # Whether a call may run more than once.
    idempotent: bool = False
    # Urgency of a call that specifies none; 0 is the most urgent (RFC 9218).
    urgency: Urgency = DEFAULT_URGENCY
    # Highest urgency that a caller may request.
    most_urgent: Urgency = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeBudget:
    """The budget for probes of one service, summed over all hosts."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Path of the backend servers' health endpoint.
    path: str = "/health"
    # Probes per second, summed over all hosts.
    per_second: Annotated[float, Ge(0.0), Le(100_000.0)] = 10.0
    # Bytes of probes per second, summed over all hosts.
    bytes_per_second: Annotated[float, Ge(0.0)] = 20_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceIntent:
    """A declared service: its backend servers, rules, limits and budgets."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Unique name, which callers use in the path of a call.
    name: Name
    # Backend servers that serve the calls.
    servers: tuple[BackendServer, ...] = ()
    # Rules for calls; the first that matches applies. A call that matches none
    # is non-idempotent and has urgency 3.
    rules: tuple[CallRule, ...] = ()
    # Time limit of a call that specifies no deadline.
    deadline_s: Seconds = 2.0
    # Maximum number of calls queued at one host.
    queue_limit: Annotated[int, Ge(0), Le(1_000_000)] = 400
    # Retries as a share of new calls.
    retry_share: Share = 0.1
    # Hedged attempts as a share of new calls; idempotent calls only.
    hedge_share: Share = 0.0
    # Statuses with which the backend servers report that a call did not run.
    not_run_statuses: tuple[Annotated[int, Ge(400), Le(599)], ...] = ()
    # Time for which an Idempotency-Key is kept.
    key_age_s: Seconds = 86_400.0
    # Maximum number of connections to each backend server that registers itself;
    # 0 uses the default.
    server_connections: Annotated[int, Ge(0), Le(100_000)] = 0
    # Budget for probes.
    probes: ProbeBudget = field(default_factory=ProbeBudget)
    # Seconds for which a backend server that has just started is warming up; 0 if the
    # service needs no warm-up.
    warmup_s: Annotated[float, Ge(0.0), Le(604_800.0)] = 0.0
    # Calls a second that a backend server takes from all hosts while it warms up; 0
    # sets no limit.
    warmup_per_s: Annotated[float, Ge(0.0), Le(1_000_000.0)] = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service that gets a weighted part of a route's calls."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Name of the service.
    service: Name
    # Weight of the service, relative to the other weights of the route.
    weight: Annotated[float, Ge(0.0), Le(1_000_000.0)] = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route from a virtual host and a path prefix to services.

    Of the matching routes of a virtual host, the one with the longest prefix applies.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Unique name of the route.
    name: Name
    # Virtual host from the Host field of calls, in lower case; `*` applies to
    # virtual hosts without a route.
    virtual_host: Name
    # Prefix of the paths that match.
    path_prefix: str = "/"
    # Services that share the calls by weight.
    services: tuple[WeightedService, ...] = ()
    # Whether a call may run more than once.
    idempotent: bool = False
    # Time limit for the final answer; 0 applies only the caller's deadline.
    timeout_s: Annotated[float, Ge(0.0), Le(604_800.0)] = 0.0
    # Latency objective: time within which an answer is worth most to callers; 0 sets
    # none.
    aim_s: Annotated[float, Ge(0.0), Le(604_800.0)] = 0.0
    # Maximum number of backend servers that one call is sent to.
    attempts: Annotated[int, Ge(1), Le(100)] = 3
    # Urgency of the calls; 0 is the most urgent (RFC 9218).
    urgency: Annotated[int, Ge(0), Le(1_000)] = DEFAULT_URGENCY
    # Whether calls are refused as not run, with a Retry-After for the callers.
    is_suspended: bool = False
    # Whether calls need no key where the configuration has workspaces.
    is_public: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace: the keys that its callers present, its urgency and its quota."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Unique name, which backend servers are told.
    name: Name
    # Digests of the keys, 32 hexadecimal digits each; the keys themselves are not kept.
    key_digests: tuple[KeyDigest, ...] = ()
    # Urgency of the calls, in place of that of their routes; None keeps the routes'.
    urgency: Annotated[int, Ge(0), Le(1_000)] | None = None
    # Calls a second of all hosts together; 0 sets no quota.
    requests_per_s: Annotated[float, Ge(0.0), Le(1_000_000.0)] = 0.0
    # Calls that the quota allows at once, beside those of its rate.
    burst: Annotated[float, Ge(0.0), Le(1_000_000.0)] = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the requests of callers and on their connections, at every host.

    They take the place of those in the settings of a host.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Bytes of the request line and headers together.
    header_bytes: ByteCount
    # Bytes of the largest request body that is accepted.
    body_bytes: ByteCount
    # Seconds from the first byte of a request until its head must have arrived.
    header_timeout_s: Seconds
    # Seconds for which an idle connection is kept open.
    idle_timeout_s: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingIntents:
    """The complete accepted configuration of the system.

    `revision` increases by one with each accepted change; 0 means that nothing
    has been accepted yet. `recent_updates` holds the ids of the latest accepted
    updates, newest last, so a writer whose reply was lost can find out whether
    its update took effect. `ordered` holds the paths of the items that single
    orders changed since the last complete document, so a document that would
    undo these orders is detected.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Number of the accepted configuration. A document that specifies it is applied
    # to that revision only.
    revision: Annotated[int, Ge(0)] = 0
    # Operator who made the change; set by the system.
    changed_by: str = ""
    # Time of the change in seconds since the epoch; set by the system.
    changed_at: float = 0.0
    # Entry host through which the change was accepted; set by the system.
    changed_through: str = ""
    # Ids of the latest accepted updates, newest last; set by the system.
    recent_updates: tuple[Name, ...] = ()
    # Declared services.
    services: tuple[ServiceIntent, ...] = ()
    # Routes by virtual host and path, for calls that name no service.
    routes: tuple[Route, ...] = ()
    # Workspaces whose callers present keys.
    workspaces: tuple[Workspace, ...] = ()
    # Whether calls on routes that are not public need the key of a workspace.
    requires_keys: bool = False
    # Entry hosts that get no new callers.
    leaving_hosts: tuple[Name, ...] = ()
    # Items that single orders changed since the last document; set by the system.
    ordered: tuple[str, ...] = ()
    # Limits on callers; without them, those in the settings of each host apply.
    caller_limits: CallerLimits | None = None


DEFAULT_RULE: Final = CallRule()


def get_service(intents: RoutingIntents, name: str) -> ServiceIntent | None:
    """Return the intent of the named service, or None if it is not declared."""
    for service in intents.services:
        if service.name == name:
            return service
    return None


def get_rule(service: ServiceIntent, method: str, path: str) -> CallRule:
    """Return the first rule that matches a call, or the non-idempotent default."""
    for rule in service.rules:
        if rule.methods and method not in rule.methods:
            continue
        if path.startswith(rule.path_prefix):
            return rule
    return DEFAULT_RULE
