"""What the store holds, decoded into the project's types.

An entry that cannot be read is passed over alone, with its reason.
"""

from dataclasses import dataclass, replace
from typing import Annotated, Any, Final, Literal

import msgspec
from msgspec import Meta, Struct, field

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
from .validation import describe

# Urgencies of the project reach from 0 to 7; a rank beyond counts as the last.
LEAST_URGENCY: Final = 7
# Room for the request line, which the bound on headers may leave out.
REQUEST_LINE_BYTES: Final = 8_192
# The shares of the shared budget for second sends that retries and hedges take.
RETRY_PART: Final = 0.4
HEDGE_PART: Final = 0.3

Seconds = Annotated[float, Meta(ge=0.0, le=604_800.0)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]


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


class _Info(Struct, frozen=True, kw_only=True):
    service: Name
    # The failure domain.
    zone: Annotated[str, Meta(max_length=100)]
    slots: Annotated[int, Meta(ge=1, le=10_000)]


class _Status(Struct, frozen=True, kw_only=True):
    state: Literal["ready", "draining"]
    warmup: Seconds = field(name="warmupLeftS", default=0.0)


class _Entry(Struct, frozen=True, kw_only=True):
    address: Annotated[str, Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
    info: _Info
    status: _Status
    # Milliseconds since the epoch at which this life of the server began.
    born: Annotated[int, Meta(ge=0)] = 0


class _Match(Struct, frozen=True, kw_only=True):
    prefix: Annotated[str, Meta(pattern=r"^/")] = field(name="pathPrefix")


class _Part(Struct, frozen=True, kw_only=True):
    service: Annotated[str, Meta(min_length=1)]
    weight: Annotated[float, Meta(ge=0.0)]


class _Action(Struct, frozen=True, kw_only=True):
    service: str | None = None
    parts: list[_Part] | None = field(name="weightedServices", default=None)
    timeout: Seconds = field(name="timeoutS", default=0.0)
    attempts: Annotated[int, Meta(ge=1, le=100)] = 1


class _Rule(Struct, frozen=True, kw_only=True):
    name: Annotated[str, Meta(min_length=1)]
    # Whether a request may run more than once.
    kind: Literal["safe", "unsafe"]
    aim: Seconds = field(name="targetLatencyS", default=0.0)
    # The rank; 0 is the highest.
    priority: Annotated[int, Meta(ge=0)] = 0
    match: _Match
    action: _Action


class _Listener(Struct, frozen=True, kw_only=True):
    # The name in callers' Host field, not an entry host.
    host: Annotated[str, Meta(min_length=1)]
    rules: list[_Rule]


class _Cluster(Struct, frozen=True, kw_only=True):
    # A service.
    name: Name
    health: str = field(name="healthPath", default="/health")
    connections: Annotated[int, Meta(ge=1)] = field(name="maxConnections", default=250)


class _Limits(Struct, frozen=True, kw_only=True):
    header_bytes: Annotated[int, Meta(ge=256)] = field(
        name="headerBytes", default=16_384
    )
    body_bytes: Annotated[int, Meta(ge=0)] = field(name="bodyBytes", default=67_108_864)
    header_timeout: Annotated[float, Meta(gt=0.0)] = field(
        name="headerTimeoutS", default=3.0
    )
    idle_timeout: Annotated[float, Meta(gt=0.0)] = field(
        name="idleTimeoutS", default=15.0
    )


class _Config(Struct, frozen=True, kw_only=True):
    version: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{8}$")]
    limits: _Limits = field(default_factory=_Limits)
    listeners: list[_Listener]
    clusters: list[_Cluster]


class _Host(Struct, frozen=True, kw_only=True):
    failure_domain: str
    region: str
    callers: str
    peers: str
    strength: float = 1.0


def decode_server(name: str, spec: Any, status: Any) -> RegisteredServer | Unreadable:
    """Return the backend server of an entry."""
    document = spec if isinstance(spec, dict) else {}
    if isinstance(status, dict) and status:
        document = {**document, "status": status}
    try:
        entry = msgspec.convert(document, _Entry)
    except msgspec.ValidationError as exc:
        return Unreadable(reason=describe(exc))
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
        config = msgspec.convert(spec, _Config)
    except msgspec.ValidationError as exc:
        return Unreadable(reason=describe(exc))
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
        host = msgspec.convert(spec, _Host)
    except msgspec.ValidationError as exc:
        return Unreadable(reason=describe(exc))
    return ListedHost(
        name=name,
        failure_domain=host.failure_domain,
        region=host.region,
        callers=host.callers,
        peers=host.peers,
        leaving=False,
        strength=host.strength,
    )


def encode_host(settings: AdapterSettings) -> dict[str, object]:
    """Return this host's own object, from which others learn its addresses."""
    return {
        "failure_domain": settings.failure_domain,
        "region": settings.region,
        "callers": str(settings.callers),
        "peers": str(settings.peers_told),
        "strength": settings.strength,
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
