"""Parsing of the platform's settings file.

The file has lines of the form `a.b=value`; items of lists are separated by commas.
Unknown fields are ignored.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Final

from msgspec import Meta, Struct, field

from .validation import InvalidValueError, convert

PATH_VARIABLE: Final = "SISKINPIER_BOOT"
# Links of at least this speed, megabits per second, do not limit a host.
FULL_STRENGTH_LINK_MBPS: Final = 100.0


class SettingsError(Exception):
    """The settings cannot be used; the message names the field."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenAddress:
    """An IP address and a TCP port to listen on."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterSettings:
    """The settings that the platform gives a host at its start; times in seconds.

    The names of fields are logged when a reload changes them.
    """

    name: str
    failure_domain: str
    region: str
    ip: str
    # Capacity of the host's machine; 1.0 is a whole core with a link that is no limit.
    strength: float
    # Address that callers connect to.
    callers: ListenAddress
    # Address at which the platform checks whether the host is ready.
    readiness: ListenAddress
    # Address at which callers look up the addresses to use.
    addresses: ListenAddress
    # Address that the other hosts connect to.
    peers: ListenAddress
    # Address at which the other hosts reach `peers`; `peers` itself unless set.
    peers_told: ListenAddress
    # Key that the hosts share to authenticate each other; empty derives one.
    peer_key: str
    operators: ListenAddress
    store: str
    # Peers that a newly started host may contact; they may no longer exist.
    seed_peers: tuple[str, ...]
    writes_per_second: float
    # Time from SIGTERM to SIGKILL.
    grace_s: float
    # Longest time for which callers cache looked-up addresses.
    address_ttl_s: float
    # Probes per second that one backend server may get from all hosts together.
    probes_per_second: float
    # Retries and hedges that all hosts together may send: a share of the calls, plus a
    # fixed number in each window.
    retry_share: float
    retry_slack: float
    retry_window_s: float


Positive = Annotated[float, Meta(gt=0.0)]
NotNegative = Annotated[float, Meta(ge=0.0)]


class _ListenAddresses(Struct, frozen=True, kw_only=True):
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
    # The share of one core that a thread gets, not of all cores.
    processor: Positive = field(name="cpuShare", default=1.0)
    # Megabits per second.
    link: Positive = field(name="linkMbps", default=1000.0)


class _ExtraSettings(Struct, frozen=True, kw_only=True):
    """Settings of this software, which the platform does not write."""

    peers_told: str = field(name="peersTold", default="")
    peer_key: str = field(name="peerKey", default="")


class _StoreSettings(Struct, frozen=True, kw_only=True):
    address: str
    writes: Positive = field(name="writesPerS", default=100.0)


class _SettingsFile(Struct, frozen=True, kw_only=True):
    name: Annotated[str, Meta(min_length=1)] = field(name="nodeName")
    ip: Annotated[str, Meta(min_length=2)] = field(name="ipAddress")
    zone: Annotated[str, Meta(min_length=1)]
    region: str = "main"
    listen: _ListenAddresses = field(name="listenAddresses")
    ports: str = field(name="internalPortRange", default="")
    seeds: str = ""
    bounds: _Bounds = field(default_factory=_Bounds)
    platform: _StoreSettings
    # Capacity of the host's machine. Limits for callers are in the configuration.
    machine: _Machine = field(name="limits", default_factory=_Machine)
    own: _ExtraSettings = field(name="siskinpier", default_factory=_ExtraSettings)


def parse_settings(text: str) -> AdapterSettings:
    """Parse the text of a settings file; raise `SettingsError` if it is invalid."""
    try:
        # All values in the file are texts, so they are converted.
        document = convert(_parse_lines(text), _SettingsFile, strict=False)
    except InvalidValueError as exc:
        raise SettingsError(str(exc)) from exc
    peers = _parse_address("listenAddresses.control", document.listen.control)
    reachable_at = document.own.peers_told
    return AdapterSettings(
        name=document.name,
        failure_domain=document.zone,
        region=document.region,
        ip=document.ip,
        strength=_compute_strength(document.machine),
        callers=_parse_address("listenAddresses.front", document.listen.front),
        readiness=_parse_address("listenAddresses.ready", document.listen.ready),
        addresses=_parse_address(
            "listenAddresses.directory", document.listen.directory
        ),
        peers=peers,
        peers_told=(
            _parse_address("siskinpier.peersTold", reachable_at)
            if reachable_at
            else peers
        ),
        peer_key=document.own.peer_key,
        operators=ListenAddress(ip=peers.ip, port=_parse_first_port(document.ports)),
        store=document.platform.address,
        seed_peers=tuple(seed for seed in document.seeds.split(",") if seed),
        writes_per_second=document.platform.writes,
        grace_s=document.bounds.grace,
        address_ttl_s=document.bounds.ttl,
        probes_per_second=document.bounds.probes,
        retry_share=document.bounds.retry_share,
        retry_slack=document.bounds.retry_slack,
        retry_window_s=document.bounds.retry_window,
    )


def _compute_strength(machine: _Machine) -> float:
    """Return a host's share of a core, reduced if its link is slow."""
    return round(
        min(1.0, machine.processor) * min(1.0, machine.link / FULL_STRENGTH_LINK_MBPS),
        3,
    )


def _parse_lines(text: str) -> Mapping[str, Any]:
    """Return the lines as nested tables; skip keys below a key that has a value."""
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
    """Return the first port of a range `FIRST,LAST`."""
    first = text.partition(",")[0]
    if not first.isdigit() or int(first) > 65_535:
        raise SettingsError(f"internalPortRange: {text!r} is not two ports")
    return int(first)
