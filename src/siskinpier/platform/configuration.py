"""Decoding of the operator's configuration, field by field.

Additions by a later version of the platform must not stop a host, so a malformed part
does not invalidate the document. A rule that cannot be decoded suspends the requests
that it may match, so that none of them is routed by another rule; all other parts take
effect.
"""

from dataclasses import dataclass
from typing import Annotated, Any, Final

from msgspec import Meta

from ..core.configuration.intents import (
    ANY_VIRTUAL_HOST,
    CallerLimits,
    ProbeBudget,
    Route,
    RoutingIntents,
    ServiceIntent,
    WeightedService,
)
from .documents import Name, Seconds, Unreadable
from .field_reading import UNUSABLE, Fault, FieldReader, Unusable
from .settings import AdapterSettings
from .workspaces import read_workspaces, suspend_keyed_routes

# Urgencies range from 0 to 7, the least urgent; a greater priority counts as 7.
LEAST_URGENCY: Final = 7
# The priority of a rule that sets none.
DEFAULT_PRIORITY: Final = 3
# Added to the operator's limit on headers, which may not include the request line.
REQUEST_LINE_BYTES: Final = 8_192
# Limits of a configuration that sets none.
DEFAULT_HEADER_BYTES: Final = 16_384
DEFAULT_LIMITS: Final = CallerLimits(
    header_bytes=DEFAULT_HEADER_BYTES + REQUEST_LINE_BYTES,
    body_bytes=67_108_864,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
# The platform sets one budget for retries and hedges together. These are the parts of
# it that retries and hedges get.
RETRY_SHARE_FACTOR: Final = 0.4
HEDGE_SHARE_FACTOR: Final = 0.3
# Kinds of requests that may run more than once. All other kinds may not.
IDEMPOTENT_KINDS: Final = frozenset({"safe", "download"})
KNOWN_KINDS: Final = IDEMPOTENT_KINDS | {"unsafe"}

ALL_PATHS: Final = "/"
DEFAULT_HEALTH_PATH: Final = "/health"
DEFAULT_SERVER_CONNECTIONS: Final = 250
# Upper bound on the configured number of connections to one server.
MAX_SERVER_CONNECTIONS: Final = 100_000
# Route names are cut to this many characters.
MAX_ROUTE_NAME_CHARS: Final = 100
DEFAULT_ATTEMPTS: Final = 1
# In place of values of a warm-up that cannot be read.
CAREFUL_WARMUP_S: Final = 3.0
CAREFUL_WARMUP_PER_S: Final = 1.0

# Effects of faults, as they are logged.
NOT_REPEATABLE: Final = "not repeatable"
SUSPENDED: Final = "its requests are suspended"
VIRTUAL_HOST_SUSPENDED: Final = "all requests of its virtual host are suspended"
UNKNOWN_HOSTS_SUSPENDED: Final = "requests of virtual hosts without routes suspended"
ALL_SUSPENDED: Final = "all requests are suspended"
SKIPPED: Final = "passed over"

VersionText = Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{8}$")]
Text = Annotated[str, Meta(min_length=1)]
Path = Annotated[str, Meta(pattern=r"^/")]
Weight = Annotated[float, Meta(ge=0.0, le=1_000_000.0)]
Priority = Annotated[int, Meta(ge=0)]
AttemptCount = Annotated[int, Meta(ge=1, le=100)]
ConnectionCount = Annotated[int, Meta(ge=1)]
HeaderBytes = Annotated[int, Meta(ge=256, le=2**53)]
BodyBytes = Annotated[int, Meta(ge=0, le=2**53)]
WarmupRate = Annotated[float, Meta(ge=0.0, le=1_000_000.0)]
LimitSeconds = Annotated[float, Meta(gt=0.0, le=604_800.0)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """The decoded configuration, and the faults found in its document."""

    intents: RoutingIntents
    faults: tuple[Fault, ...] = ()


def decode_configuration(
    spec: Any, settings: AdapterSettings
) -> Configuration | Unreadable:
    """Return the configuration decoded from its document.

    Only a document without a valid version is rejected as a whole, because nothing
    shows which of two such documents is newer.
    """
    if not isinstance(spec, dict):
        return Unreadable(reason="not a table")
    reader = FieldReader(table=spec, path="")
    version = reader.require("version", VersionText, effect=SKIPPED)
    if isinstance(version, Unusable):
        return Unreadable(reason=f"version: {reader.faults[-1].reason}")
    decoded = read_workspaces(reader)
    routes = _read_routes(reader)
    intents = RoutingIntents(
        revision=int(version, 16),
        services=_read_services(reader, settings),
        routes=routes if decoded.is_readable else suspend_keyed_routes(routes),
        workspaces=decoded.workspaces,
        requires_keys=decoded.requires_keys,
        caller_limits=_read_limits(reader),
    )
    return Configuration(intents=intents, faults=tuple(reader.faults))


def _read_limits(reader: FieldReader) -> CallerLimits:
    defaults = DEFAULT_LIMITS
    if "limits" not in reader.table:
        return defaults
    limits = reader.read_table("limits", effect="usual limits")
    if isinstance(limits, Unusable):
        return defaults
    header_bytes = limits.read("headerBytes", HeaderBytes, DEFAULT_HEADER_BYTES)
    return CallerLimits(
        header_bytes=header_bytes + REQUEST_LINE_BYTES,
        body_bytes=limits.read("bodyBytes", BodyBytes, defaults.body_bytes),
        header_timeout_s=limits.read(
            "headerTimeoutS", LimitSeconds, defaults.header_timeout_s
        ),
        idle_timeout_s=limits.read(
            "idleTimeoutS", LimitSeconds, defaults.idle_timeout_s
        ),
    )


def _read_services(
    reader: FieldReader, settings: AdapterSettings
) -> tuple[ServiceIntent, ...]:
    services: dict[str, ServiceIntent] = {}
    for row in reader.read_rows("clusters", effect=SKIPPED):
        if isinstance(row, Unusable):
            continue
        name = row.require("name", Name, effect=SKIPPED)
        if isinstance(name, Unusable):
            continue
        if name in services:
            row.record_fault("name", f"{name!r} stands twice", SKIPPED)
            continue
        services[name] = _read_service(name, row, settings)
    return tuple(services.values())


def _read_service(
    name: str, row: FieldReader, settings: AdapterSettings
) -> ServiceIntent:
    path = row.read("healthPath", Path, DEFAULT_HEALTH_PATH)
    return ServiceIntent(
        name=name,
        server_connections=min(
            MAX_SERVER_CONNECTIONS,
            row.read("maxConnections", ConnectionCount, DEFAULT_SERVER_CONNECTIONS),
        ),
        retry_share=settings.retry_share * RETRY_SHARE_FACTOR,
        hedge_share=_compute_hedge_share(settings),
        probes=ProbeBudget(path=path, per_second=settings.probes_per_second),
        warmup_s=_read_warmup(row, "warmupS", Seconds, CAREFUL_WARMUP_S),
        warmup_per_s=_read_warmup(row, "warmupPerS", WarmupRate, CAREFUL_WARMUP_PER_S),
    )


def _read_warmup(row: FieldReader, name: str, kind: Any, careful: float) -> float:
    """Return a value of a warm-up, 0 if there is none, `careful` if unreadable."""
    value: float = row.read(name, kind, careful) if name in row.table else 0.0
    return value


def _compute_hedge_share(settings: AdapterSettings) -> float:
    """Return the share of hedges, which retries and hedges together may not exceed."""
    if settings.hedge_share is None:
        return settings.retry_share * HEDGE_SHARE_FACTOR
    return min(settings.hedge_share, settings.retry_share * (1.0 - RETRY_SHARE_FACTOR))


def _read_routes(reader: FieldReader) -> tuple[Route, ...]:
    if not isinstance(reader.table.get("listeners"), list):
        reader.read_rows("listeners", effect=ALL_SUSPENDED)
        return (_make_suspended(ANY_VIRTUAL_HOST),)
    read = [
        route
        for row in reader.read_rows("listeners", effect=UNKNOWN_HOSTS_SUSPENDED)
        for route in _read_virtual_host(row)
    ]
    suspended = {r.virtual_host for r in read if _suspends_all(r)}
    routes: dict[tuple[str, str], Route] = {}
    for route in read:
        if route.virtual_host not in suspended or _suspends_all(route):
            routes.setdefault((route.virtual_host, route.path_prefix), route)
    return tuple(routes.values())


def _suspends_all(route: Route) -> bool:
    """Return True if a route replaces rules whose paths cannot be decoded."""
    return route.is_suspended and route.path_prefix == ALL_PATHS


def _read_virtual_host(row: FieldReader | Unusable) -> list[Route]:
    """Return the routes of one virtual host, which callers name in the Host field."""
    if isinstance(row, Unusable):
        return [_make_suspended(ANY_VIRTUAL_HOST)]
    host = row.require("host", Name, effect=UNKNOWN_HOSTS_SUSPENDED)
    if isinstance(host, Unusable):
        return [_make_suspended(ANY_VIRTUAL_HOST)]
    virtual_host = host.lower()
    if not isinstance(row.table.get("rules"), list):
        row.read_rows("rules", effect=VIRTUAL_HOST_SUSPENDED)
        return [_make_suspended(virtual_host)]
    routes: list[Route] = []
    for rule in row.read_rows("rules", effect=VIRTUAL_HOST_SUSPENDED):
        route = (
            UNUSABLE if isinstance(rule, Unusable) else _read_rule(virtual_host, rule)
        )
        if isinstance(route, Unusable):
            # The rule may be the longest match for any path.
            return [_make_suspended(virtual_host)]
        routes.append(route)
    return routes


def _read_rule(virtual_host: str, rule: FieldReader) -> Route | Unusable:
    """Return a rule's route, which is suspended if only its path can be decoded."""
    match = rule.read_table("match", effect=VIRTUAL_HOST_SUSPENDED)
    if isinstance(match, Unusable):
        return UNUSABLE
    prefix = match.require("pathPrefix", Path, effect=VIRTUAL_HOST_SUSPENDED)
    if isinstance(prefix, Unusable):
        return UNUSABLE
    action = rule.read_table("action", effect=SUSPENDED)
    services = UNUSABLE if isinstance(action, Unusable) else _read_destination(action)
    if isinstance(action, Unusable) or isinstance(services, Unusable):
        return _make_suspended(virtual_host, prefix)
    name = rule.read("name", Text, prefix)
    return Route(
        name=f"{virtual_host}/{name}"[:MAX_ROUTE_NAME_CHARS],
        virtual_host=virtual_host,
        path_prefix=prefix,
        services=services,
        idempotent=_is_idempotent(rule),
        timeout_s=action.read("timeoutS", Seconds, 0.0),
        aim_s=rule.read("targetLatencyS", Seconds, 0.0),
        attempts=action.read("attempts", AttemptCount, DEFAULT_ATTEMPTS),
        urgency=min(LEAST_URGENCY, rule.read("priority", Priority, DEFAULT_PRIORITY)),
        is_public=rule.read("public", bool, False),
    )


def _is_idempotent(rule: FieldReader) -> bool:
    """Return True if a rule's requests are known to be safe to run more than once."""
    kind = rule.require("kind", str, effect=NOT_REPEATABLE)
    if isinstance(kind, Unusable):
        return False
    if kind not in KNOWN_KINDS:
        rule.record_fault("kind", f"unknown kind {kind!r}", NOT_REPEATABLE)
    return kind in IDEMPOTENT_KINDS


def _read_destination(action: FieldReader) -> tuple[WeightedService, ...] | Unusable:
    """Return all services of a rule with their weights, or `UNUSABLE`.

    If one service cannot be decoded, its share of requests must not go to the others.
    """
    if action.table.get("weightedServices") is None:
        service = action.require("service", Name, effect=SUSPENDED)
        if isinstance(service, Unusable):
            return UNUSABLE
        return (WeightedService(service=service, weight=1.0),)
    parts: list[WeightedService] = []
    for row in action.read_rows("weightedServices", effect=SUSPENDED):
        if isinstance(row, Unusable):
            return UNUSABLE
        service = row.require("service", Name, effect=SUSPENDED)
        weight = row.require("weight", Weight, effect=SUSPENDED)
        if isinstance(service, Unusable) or isinstance(weight, Unusable):
            return UNUSABLE
        parts.append(WeightedService(service=service, weight=weight))
    if not parts and isinstance(action.table["weightedServices"], list):
        action.record_fault("weightedServices", "no service", SUSPENDED)
    return tuple(parts) or UNUSABLE


def _make_suspended(virtual_host: str, prefix: str = ALL_PATHS) -> Route:
    return Route(
        name=f"(unreadable) {virtual_host}{prefix}"[:MAX_ROUTE_NAME_CHARS],
        virtual_host=virtual_host,
        path_prefix=prefix,
        is_suspended=True,
    )
