"""The platform's settings file: lines of `a.b=value`, lists joined by commas.

Fields that are not read here are passed over.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta, Struct, field

from .validation import describe

PATH_VARIABLE: Final = "SISKINPIER_BOOT"
# Links from this speed on bound nothing that a host does.
LINK_ENOUGH_MBPS: Final = 100.0


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
    # Its processor and link, against a whole core with a link that bounds nothing.
    strength: float
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


Positive = Annotated[float, Meta(gt=0.0)]
NotNegative = Annotated[float, Meta(ge=0.0)]


class _Listen(Struct, frozen=True, kw_only=True):
    front: str
    ready: str
    directory: str
    control: str


class _Bounds(Struct, frozen=True, kw_only=True):
    grace: Positive = field(name="gracePeriodS", default=6.0)
    ttl: Positive = field(name="ttl_max_s", default=5.0)
    probes: NotNegative = field(name="probesPerS", default=10.0)
    retry_share: NotNegative = field(name="retryBudgetRatio", default=0.1)
    retry_slack: NotNegative = field(name="retryBudgetSlack", default=0.0)
    retry_window: Positive = field(name="retryWindowS", default=10.0)


class _Machine(Struct, frozen=True, kw_only=True):
    # The part of one core's time that a thread gets, not of all cores.
    processor: Positive = field(name="cpuShare", default=1.0)
    # Megabits a second.
    link: Positive = field(name="linkMbps", default=1000.0)


class _Own(Struct, frozen=True, kw_only=True):
    """Settings of our own, which the platform does not write."""

    peers_told: str = field(name="peersTold", default="")
    peer_key: str = field(name="peerKey", default="")


class _Store(Struct, frozen=True, kw_only=True):
    address: str
    writes: Positive = field(name="writesPerS", default=100.0)


class _Boot(Struct, frozen=True, kw_only=True):
    name: Annotated[str, Meta(min_length=1)] = field(name="nodeName")
    ip: Annotated[str, Meta(min_length=2)] = field(name="ipAddress")
    zone: Annotated[str, Meta(min_length=1)]
    region: str = "main"
    listen: _Listen = field(name="listenAddresses")
    ports: str = field(name="internalPortRange", default="")
    seeds: str = ""
    bounds: _Bounds = field(default_factory=_Bounds)
    platform: _Store
    # What the host's machine has; callers' limits come with the configuration.
    machine: _Machine = field(name="limits", default_factory=_Machine)
    own: _Own = field(name="siskinpier", default_factory=_Own)


def parse_settings(text: str) -> AdapterSettings:
    """Return the settings of a file's text; raises `SettingsError`."""
    try:
        # Every value of the file is a text.
        boot = msgspec.convert(_parse_lines(text), _Boot, strict=False)
    except msgspec.ValidationError as exc:
        raise SettingsError(describe(exc)) from exc
    peers = _parse_address("listenAddresses.control", boot.listen.control)
    told = boot.own.peers_told
    return AdapterSettings(
        name=boot.name,
        failure_domain=boot.zone,
        region=boot.region,
        ip=boot.ip,
        strength=_get_strength(boot.machine),
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


def _get_strength(machine: _Machine) -> float:
    """Return a host's share of a core, less where its link bounds it too."""
    return round(
        min(1.0, machine.processor) * min(1.0, machine.link / LINK_ENOUGH_MBPS), 3
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


def _parse_address(name: str, text: str) -> ListenAddress:
    ip, colon, port = text.rpartition(":")
    if not colon or not ip or not port.isdigit() or int(port) > 65_535:
        raise SettingsError(f"{name}: {text!r} is not IP:PORT")
    return ListenAddress(ip=ip, port=int(port))


def _parse_first_port(text: str) -> int:
    first = text.partition(",")[0]
    if not first.isdigit() or int(first) > 65_535:
        raise SettingsError(f"internalPortRange: {text!r} is not two ports")
    return int(first)
