"""The platform's settings file: lines of `a.b=value`, lists joined by commas.

Fields that are not read here are passed over.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

PATH_VARIABLE: Final = "SISKINPIER_BOOT"


class SettingsError(Exception):
    """The settings cannot be used; the text names the field."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenAddress:
    """An IP number and a port to listen on."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterSettings:
    """What the platform tells a host at its start; times in seconds."""

    name: str
    failure_domain: str
    region: str
    ip: str
    # Where callers connect.
    callers: ListenAddress
    # Where the platform asks whether the host is ready.
    readiness: ListenAddress
    # Where callers ask which addresses to use.
    addresses: ListenAddress
    # Where the other hosts connect, and metrics are served.
    peers: ListenAddress
    # The same as others must write it, where that differs.
    peers_told: ListenAddress
    # What hosts prove to each other that they know; empty to derive it.
    peer_key: str
    operators: ListenAddress
    store: str
    # Peers that a fresh host may turn to; they may be gone.
    seed_peers: tuple[str, ...]
    writes_per_second: float
    # Time from SIGTERM to SIGKILL.
    grace_s: float
    # Longest time that callers keep an answer about addresses.
    address_ttl_s: float
    # Probes that one backend server may get from all hosts in a second.
    probes_per_second: float
    # Second sends that all hosts may make: a share of the calls, and beside it a
    # number in each window.
    retry_share: float
    retry_slack: float
    retry_window_s: float


class _Listen(BaseModel):
    model_config = ConfigDict(extra="ignore")

    front: str
    ready: str
    directory: str
    control: str


class _Bounds(BaseModel):
    model_config = ConfigDict(extra="ignore")

    grace: Annotated[float, Field(alias="gracePeriodS", gt=0.0)] = 6.0
    ttl: Annotated[float, Field(alias="ttl_max_s", gt=0.0)] = 5.0
    probes: Annotated[float, Field(alias="probesPerS", ge=0.0)] = 10.0
    retry_share: Annotated[float, Field(alias="retryBudgetRatio", ge=0.0)] = 0.1
    retry_slack: Annotated[float, Field(alias="retryBudgetSlack", ge=0.0)] = 0.0
    retry_window: Annotated[float, Field(alias="retryWindowS", gt=0.0)] = 10.0


class _Own(BaseModel):
    """Settings of our own, which the platform does not write."""

    model_config = ConfigDict(extra="ignore")

    peers_told: Annotated[str, Field(alias="peersTold")] = ""
    peer_key: Annotated[str, Field(alias="peerKey")] = ""


class _Store(BaseModel):
    model_config = ConfigDict(extra="ignore")

    address: str
    writes: Annotated[float, Field(alias="writesPerS", gt=0.0)] = 100.0


class _Boot(BaseModel):
    model_config = ConfigDict(extra="ignore")

    name: Annotated[str, Field(alias="nodeName", min_length=1)]
    ip: Annotated[str, Field(alias="ipAddress", min_length=2)]
    zone: Annotated[str, Field(min_length=1)]
    region: str = "main"
    listen: Annotated[_Listen, Field(alias="listenAddresses")]
    ports: Annotated[str, Field(alias="internalPortRange")] = ""
    seeds: str = ""
    bounds: _Bounds = _Bounds()
    platform: _Store
    own: Annotated[_Own, Field(alias="siskinpier")] = _Own()


def parse_settings(text: str) -> AdapterSettings:
    """Return the settings of a file's text; raises `SettingsError`."""
    try:
        boot = _Boot.model_validate(_parse_lines(text))
    except ValidationError as exc:
        error = exc.errors()[0]
        field = ".".join(str(part) for part in error["loc"])
        raise SettingsError(f"{field}: {error['msg']}") from exc
    peers = _parse_address("listenAddresses.control", boot.listen.control)
    told = boot.own.peers_told
    return AdapterSettings(
        name=boot.name,
        failure_domain=boot.zone,
        region=boot.region,
        ip=boot.ip,
        callers=_parse_address("listenAddresses.front", boot.listen.front),
        readiness=_parse_address("listenAddresses.ready", boot.listen.ready),
        addresses=_parse_address("listenAddresses.directory", boot.listen.directory),
        peers=peers,
        peers_told=_parse_address("siskinpier.peersTold", told) if told else peers,
        peer_key=boot.own.peer_key,
        operators=ListenAddress(ip=peers.ip, port=_parse_first_port(boot.ports)),
        store=boot.platform.address,
        seed_peers=tuple(seed for seed in boot.seeds.split(",") if seed),
        writes_per_second=boot.platform.writes,
        grace_s=boot.bounds.grace,
        address_ttl_s=boot.bounds.ttl,
        probes_per_second=boot.bounds.probes,
        retry_share=boot.bounds.retry_share,
        retry_slack=boot.bounds.retry_slack,
        retry_window_s=boot.bounds.retry_window,
    )


def _parse_lines(text: str) -> Mapping[str, Any]:
    """Return the lines as nested tables; a key that is also a table is passed over."""
    root: dict[str, Any] = {}
    for line in text.splitlines():
        key, equals, value = line.strip().partition("=")
        if not equals or key.startswith("#"):
            continue
        *tables, last = key.split(".")
        table = root
        for name in tables:
            inner = table.setdefault(name, {})
            if not isinstance(inner, dict):
                break
            table = inner
        else:
            table[last] = value
    return root


def _parse_address(field: str, text: str) -> ListenAddress:
    ip, colon, port = text.rpartition(":")
    if not colon or not ip or not port.isdigit() or int(port) > 65_535:
        raise SettingsError(f"{field}: {text!r} is not IP:PORT")
    return ListenAddress(ip=ip, port=int(port))


def _parse_first_port(text: str) -> int:
    first = text.partition(",")[0]
    if not first.isdigit() or int(first) > 65_535:
        raise SettingsError(f"internalPortRange: {text!r} is not two ports")
    return int(first)
