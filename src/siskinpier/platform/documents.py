"""What the store holds, decoded into the project's types.

An entry that cannot be read is passed over alone, with its reason.
"""

from dataclasses import dataclass, replace
from typing import Annotated, Any, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..core.configuration.intents import (
    ProbeBudget,
    Route,
    RoutingIntents,
    ServiceIntent,
    WeightedService,
)
from ..core.events import ListedHost
from ..core.messages import RegisteredServer
from ..settings.host import LimitSettings
from .settings import AdapterSettings

# Urgencies of the project reach from 0 to 7; a rank beyond counts as the last.
LEAST_URGENCY: Final = 7
# Room for the request line, which the bound on headers may leave out.
REQUEST_LINE_BYTES: Final = 8_192
# The shares of the shared budget for second sends that retries and hedges take.
RETRY_PART: Final = 0.4
HEDGE_PART: Final = 0.3

Seconds = Annotated[float, Field(ge=0.0, le=604_800.0)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Unreadable:
    """An entry that names nothing to use, and why."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What callers may send, and how long they may be idle; bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """The operator's configuration."""

    intents: RoutingIntents
    limits: CallerLimits


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)


class _Info(_Model):
    service: Annotated[str, Field(min_length=1, max_length=100)]
    # The failure domain.
    zone: Annotated[str, Field(max_length=100)]
    slots: Annotated[int, Field(ge=1, le=10_000)]


class _Status(_Model):
    state: Literal["ready", "draining"]
    warmup: Annotated[Seconds, Field(alias="warmupLeftS")] = 0.0


class _Entry(_Model):
    address: Annotated[str, Field(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
    info: _Info
    status: _Status
    # Milliseconds since the epoch at which this life of the server began.
    born: Annotated[int, Field(ge=0)] = 0


class _Match(_Model):
    prefix: Annotated[str, Field(alias="pathPrefix", pattern=r"^/")]


class _Part(_Model):
    service: Annotated[str, Field(min_length=1)]
    weight: Annotated[float, Field(ge=0.0)]


class _Action(_Model):
    service: str | None = None
    parts: Annotated[list[_Part] | None, Field(alias="weightedServices")] = None
    timeout: Annotated[Seconds, Field(alias="timeoutS")] = 0.0
    attempts: Annotated[int, Field(ge=1, le=100)] = 1


class _Rule(_Model):
    name: Annotated[str, Field(min_length=1)]
    # Whether a request may run more than once.
    kind: Literal["safe", "unsafe"]
    aim: Annotated[Seconds, Field(alias="targetLatencyS")] = 0.0
    # The rank; 0 is the highest.
    priority: Annotated[int, Field(ge=0)] = 0
    match: _Match
    action: _Action


class _Listener(_Model):
    # The name in callers' Host field, not an entry host.
    host: Annotated[str, Field(min_length=1)]
    rules: list[_Rule]


class _Cluster(_Model):
    # A service.
    name: Annotated[str, Field(min_length=1, max_length=100)]
    health: Annotated[str, Field(alias="healthPath")] = "/health"
    connections: Annotated[int, Field(alias="maxConnections", ge=1)] = 250


class _Limits(_Model):
    header_bytes: Annotated[int, Field(alias="headerBytes", ge=256)] = 16_384
    body_bytes: Annotated[int, Field(alias="bodyBytes", ge=0)] = 67_108_864
    header_timeout: Annotated[float, Field(alias="headerTimeoutS", gt=0)] = 3.0
    idle_timeout: Annotated[float, Field(alias="idleTimeoutS", gt=0)] = 15.0


class _Config(_Model):
    version: Annotated[str, Field(pattern=r"^[0-9a-fA-F]{8}$")]
    limits: _Limits = _Limits()
    listeners: list[_Listener]
    clusters: list[_Cluster]


class _Host(_Model):
    failure_domain: str
    region: str
    callers: str
    peers: str


def decode_server(name: str, spec: Any, status: Any) -> RegisteredServer | Unreadable:
    """Return the backend server of an entry."""
    document = spec if isinstance(spec, dict) else {}
    if isinstance(status, dict) and status:
        document = {**document, "status": status}
    try:
        entry = _Entry.model_validate(document)
    except ValidationError as exc:
        return Unreadable(reason=_describe(exc))
    return RegisteredServer(
        name=name,
        service=entry.info.service,
        address=entry.address,
        failure_domain=entry.info.zone,
        slots=entry.info.slots,
        is_draining=entry.status.state == "draining",
        warmup_left_s=entry.status.warmup,
        started=entry.born,
    )


def decode_configuration(
    spec: Any, settings: AdapterSettings
) -> Configuration | Unreadable:
    """Return the operator's configuration of its document."""
    try:
        config = _Config.model_validate(spec)
    except ValidationError as exc:
        return Unreadable(reason=_describe(exc))
    intents = RoutingIntents(
        revision=int(config.version, 16),
        services=tuple(_make_service(c, settings) for c in config.clusters),
        routes=tuple(
            _make_route(listener.host, rule)
            for listener in config.listeners
            for rule in listener.rules
        ),
    )
    limits = CallerLimits(
        header_bytes=config.limits.header_bytes,
        body_bytes=config.limits.body_bytes,
        header_timeout_s=config.limits.header_timeout,
        idle_timeout_s=config.limits.idle_timeout,
    )
    return Configuration(intents=intents, limits=limits)


def apply_limits(limits: LimitSettings, told: CallerLimits) -> LimitSettings:
    """Return the limits under which callers keep within what they were told."""
    return replace(
        limits,
        header_bytes=told.header_bytes + REQUEST_LINE_BYTES,
        body_bytes=told.body_bytes,
        keep_alive_s=told.idle_timeout_s,
    )


def decode_host(name: str, spec: Any) -> ListedHost | Unreadable:
    """Return an entry host of its object, which hosts write themselves."""
    try:
        host = _Host.model_validate(spec)
    except ValidationError as exc:
        return Unreadable(reason=_describe(exc))
    return ListedHost(
        name=name,
        failure_domain=host.failure_domain,
        region=host.region,
        callers=host.callers,
        peers=host.peers,
        leaving=False,
    )


def encode_host(settings: AdapterSettings) -> dict[str, object]:
    """Return this host's own object, from which others learn its addresses."""
    return {
        "failure_domain": settings.failure_domain,
        "region": settings.region,
        "callers": str(settings.callers),
        "peers": str(settings.peers_told),
    }


def _make_service(cluster: _Cluster, settings: AdapterSettings) -> ServiceIntent:
    return ServiceIntent(
        name=cluster.name,
        server_connections=cluster.connections,
        retry_share=settings.retry_share * RETRY_PART,
        hedge_share=settings.retry_share * HEDGE_PART,
        probes=ProbeBudget(path=cluster.health, per_second=settings.probes_per_second),
    )


def _make_route(virtual_host: str, rule: _Rule) -> Route:
    action = rule.action
    if action.parts is not None:
        parts = [(part.service, part.weight) for part in action.parts]
    else:
        parts = [(action.service, 1.0)] if action.service else []
    return Route(
        name=f"{virtual_host}/{rule.name}",
        virtual_host=virtual_host.lower(),
        path_prefix=rule.match.prefix,
        services=tuple(
            WeightedService(service=service, weight=weight) for service, weight in parts
        ),
        idempotent=rule.kind == "safe",
        timeout_s=action.timeout,
        aim_s=rule.aim,
        attempts=action.attempts,
        urgency=min(LEAST_URGENCY, rule.priority),
    )


def _describe(exc: ValidationError) -> str:
    error = exc.errors()[0]
    field = ".".join(str(part) for part in error["loc"])
    return f"{field}: {error['msg']}"
