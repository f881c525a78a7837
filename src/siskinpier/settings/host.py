"""Settings of one host: addresses, failure domain, secrets and limits."""

from dataclasses import dataclass, field
from typing import Annotated, Any, ClassVar, Literal, TypeAlias

from annotated_types import Ge, Gt, Le, Len

from ..core.configuration.intents import FORBID_EXTRA, Name

Port: TypeAlias = Annotated[int, Ge(0), Le(65_535)]
IpText: TypeAlias = Annotated[str, Len(2, 45)]
Timeout: TypeAlias = Annotated[float, Gt(0.0), Le(3_600.0)]
Wait: TypeAlias = Annotated[float, Ge(0.0), Le(3_600.0)]
Rate: TypeAlias = Annotated[float, Gt(0.0), Le(1_000_000.0)]
LogLevel: TypeAlias = Literal["debug", "info", "warning", "error"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP address and a TCP port to listen on."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # IPv4 or IPv6 address, without brackets.
    ip: IpText
    # TCP port; 0 lets the operating system choose.
    port: Port


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Access to the platform's object API, and the limit on the rate of writes."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Base URL of the object API.
    url: Annotated[str, Len(1, 2_000)]
    # Namespace of the objects of this software.
    namespace: Name = "siskinpier"
    # Bearer token; empty sends none.
    token: str = field(default="", repr=False)
    # Seconds until a call to the platform times out.
    timeout_s: Timeout = 2.0
    # Writes per second that all hosts together may make.
    writes_per_second: Rate = 300.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SecuritySettings:
    """Secrets of operators and peers, and the certificate of the host."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Bearer token that operators present; at least 8 characters.
    operator_token: Annotated[str, Len(8, 1_000)] = field(repr=False)
    # Tokens of further operators, by the name that `by` shows in the configuration.
    operator_tokens: dict[Name, Annotated[str, Len(8, 1_000)]] = field(
        default_factory=dict, repr=False
    )
    # Key that the hosts share to authenticate each other; at least 16 characters.
    peer_key: Annotated[str, Len(16, 1_000)] = field(repr=False)
    # Path of the PEM certificate chain; empty serves plain HTTP.
    certificate: str = ""
    # Path of the PEM private key; empty serves plain HTTP.
    private_key: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Limits on callers' connections and calls."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Bytes of the request line and headers together.
    header_bytes: Annotated[int, Ge(1_024), Le(1_048_576)] = 16_384
    # Bytes of a request body kept in memory, so that the call can be retried.
    buffered_body_bytes: Annotated[int, Ge(0), Le(67_108_864)] = 262_144
    # Bytes of the largest request body that is accepted.
    body_bytes: Annotated[int, Ge(0), Le(1_073_741_824)] = 16_777_216
    # Bytes of requests kept in memory for all calls together; calls for which there is
    # no room are refused.
    all_requests_bytes: Annotated[int, Ge(0), Le(1_073_741_824)] = 50_331_648
    # Open connections from callers.
    connections: Annotated[int, Ge(1), Le(1_000_000)] = 2_000
    # Bytes of requests that a caller sends before an earlier one is answered; reading
    # pauses there.
    read_ahead_bytes: Annotated[int, Ge(1_024), Le(1_048_576)] = 16_384
    # Seconds until a request body must have arrived.
    body_timeout_s: Timeout = 10.0
    # Seconds from the first byte of a request until its head must have arrived; 0 uses
    # `body_timeout_s`.
    head_timeout_s: Wait = 0.0
    # Seconds after which a connection is reset if its caller reads none of a response
    # that waits for it.
    unread_response_s: Timeout = 30.0
    # Seconds for which an idle connection is kept open.
    keep_alive_s: Timeout = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownSettings:
    """The stages of a graceful shutdown."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Seconds between announcing the shutdown and refusing calls; at least
    # `address_ttl_s` plus the interval of heartbeats.
    announce_s: Wait = 3.0
    # Seconds that requests in flight may take to finish after the announcement.
    bound_s: Wait = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """All settings of one host."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    # Unique name of the host.
    name: Name
    # Failure domain that the host runs in.
    failure_domain: Name
    # Region that the host runs in.
    region: Name = "main"
    # Address that callers connect to.
    callers: Address
    # Address that operators and metrics scrapers connect to.
    operators: Address
    # Address that the other hosts connect to.
    peers: Address
    # Access to the platform's object API.
    platform: PlatformSettings
    # Secrets and certificate.
    security: SecuritySettings
    # Limits on connections and calls.
    limits: LimitSettings = field(default_factory=LimitSettings)
    # Stages of a graceful shutdown.
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
    # Seconds for which callers may cache the addresses that they looked up.
    address_ttl_s: Timeout = 5.0
    # Peers, IP:PORT, that a starting host contacts if the host list is unavailable.
    seed_peers: tuple[Annotated[str, Len(3, 60)], ...] = ()
    # Seconds between heartbeats to a peer.
    heartbeat_s: Timeout = 0.5
    # Seed of the random number generator; 0 chooses a random seed at the start.
    seed: Annotated[int, Ge(0)] = 0
    # Least severe level that is logged.
    log_level: LogLevel = "info"
    # Directory that the binary is unpacked to; empty uses the default.
    unpack_directory: str = ""
