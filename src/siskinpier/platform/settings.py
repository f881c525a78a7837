"""Parsing of the platform's settings file.

The file has lines of the form `a.b=value`; items of lists are separated by commas.
Unknown fields are ignored.
"""

import re
import reprlib
from dataclasses import dataclass
from typing import Annotated, Any, Final

from msgspec import Meta

from ..settings.addresses import MAX_PORT, parse_ip, parse_ip_port
from .field_reading import Fault, FieldReader, Unusable

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
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


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
    # The deployment has bounds for workspaces, warm-up or evacuations, which hosts of
    # protocol version 8 do not know.
    has_later_rules: bool = False
    # A host that has heard nothing from store or peers for `revoke_s` refuses requests
    # with keys if `revoke_fail_closed` is set; 0 if the settings do not name it.
    revoke_fail_closed: bool
    revoke_s: float
    # Memory and descriptors of the host's machine; None sets no limit by them.
    memory_bytes: int | None = None
    descriptors: int | None = None
    # Hedges of a service at all hosts together, as a share of its calls; None leaves
    # them to the rule for retries and hedges.
    hedge_share: float | None = None
    # Longest idle time of connections to servers that requests which may run only once
    # use; None sets no limit of their own.
    once_idle_s: float | None = None
    # A call that waits in one failure domain may be queued in another one too.
    shares_queues: bool = False
    # Time within which nothing more reaches an evacuated failure domain; 0 if the
    # platform evacuates none.
    evacuate_s: float = 0.0


# Names of objects in the store, which the other hosts read.
HostName = Annotated[str, Meta(pattern=r"^[!-~]{1,200}$")]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Text = Annotated[str, Meta(max_length=1_000)]
# Longer than any time that a host is told, at most a week.
PositiveSeconds = Annotated[float, Meta(gt=0.0, le=604_800.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e6)]
NotNegative = Annotated[float, Meta(ge=0.0, le=1e6)]
ProbesPerSecond = Annotated[float, Meta(ge=0.0, le=100_000.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
DescriptorCount = Annotated[int, Meta(ge=1, le=100_000_000)]

DEFAULT_REGION: Final = "main"
REQUIRED: Final = "the host cannot start"
PASSED_OVER: Final = "passed over"
# Bounds on rules that hosts of protocol version 8 do not know.
LATER_BOUNDS: Final = frozenset(
    {
        "bounds.evacuateS",
        "bounds.quotaWindowS",
        "bounds.revokeS",
        "bounds.warmupExcess",
    }
)
LAST_IS_USED: Final = "the last line is used"
MAX_SEED_PEERS: Final = 64
DEFAULT_EVACUATE_S: Final = 5.0
_HOST_AND_PORT: Final = re.compile(r"[A-Za-z0-9.-]{1,253}:(?P<port>[0-9]{1,5})")


@dataclass(frozen=True, slots=True, kw_only=True)
class DecodedSettings:
    """The settings of a host, and the faults found in their file."""

    settings: AdapterSettings
    faults: tuple[Fault, ...]


def parse_settings(text: str) -> AdapterSettings:
    """Parse the text of a settings file as `decode_settings` does."""
    return decode_settings(text).settings


def decode_settings(text: str) -> DecodedSettings:
    """Read the text of a settings file field by field.

    A field that cannot be used takes its default. Raises `SettingsError` for those that
    have none: a host's name, failure domain and addresses, and the store's address.
    """
    reader = FieldReader(table={}, path="", strict=False)
    reader.table.update(_read_lines(text, reader))
    callers = _require_address(reader, "listenAddresses.front")
    peers = _require_address(reader, "listenAddresses.control")
    settings = AdapterSettings(
        name=_require(reader, "nodeName", HostName),
        failure_domain=_require(reader, "zone", Name),
        region=reader.read("region", Name, DEFAULT_REGION),
        ip=_read_ip(reader, "ipAddress", default=callers.ip),
        strength=_read_strength(reader),
        callers=callers,
        readiness=_require_address(reader, "listenAddresses.ready"),
        addresses=_require_address(reader, "listenAddresses.directory"),
        peers=peers,
        peers_told=_read_address(reader, "siskinpier.peersTold", default=peers),
        peer_key=reader.read("siskinpier.peerKey", Text, ""),
        operators=ListenAddress(ip=peers.ip, port=_read_first_port(reader)),
        store=_require_store(reader),
        seed_peers=_read_seeds(reader),
        writes_per_second=reader.read("platform.writesPerS", Positive, 100.0),
        grace_s=reader.read("bounds.gracePeriodS", PositiveSeconds, 6.0),
        address_ttl_s=reader.read("bounds.ttl_max_s", PositiveSeconds, 5.0),
        probes_per_second=reader.read("bounds.probesPerS", ProbesPerSecond, 10.0),
        retry_share=reader.read("bounds.retryBudgetRatio", Share, 0.1),
        retry_slack=reader.read("bounds.retryBudgetSlack", NotNegative, 0.0),
        retry_window_s=reader.read("bounds.retryWindowS", PositiveSeconds, 10.0),
        hedge_share=_read_hedge_share(reader),
        has_later_rules=not LATER_BOUNDS.isdisjoint(reader.table),
        revoke_fail_closed=reader.read("bounds.revokeFailClosed", bool, False),
        revoke_s=reader.read("bounds.revokeS", PositiveSeconds, 0.0),
        memory_bytes=_read_memory_bytes(reader),
        descriptors=reader.read("limits.fdLimit", DescriptorCount, None),
        once_idle_s=reader.read("siskinpier.onceIdleS", PositiveSeconds, None),
        shares_queues=reader.read("siskinpier.shareQueues", bool, False),
        evacuate_s=_read_evacuate(reader),
    )
    return DecodedSettings(settings=settings, faults=tuple(reader.faults))


def _read_hedge_share(reader: FieldReader) -> float | None:
    """Return the operator's limit on hedges; an unreadable one allows none."""
    name = "siskinpier.hedgeShare"
    if name not in reader.table:
        return None
    share: float = reader.read(name, Share, 0.0)
    return share


def _read_lines(text: str, reader: FieldReader) -> dict[str, str]:
    """Return the values by name; record names that stand twice with other values."""
    values: dict[str, str] = {}
    for line in text.removeprefix("\ufeff").splitlines():
        name, equals, value = line.partition("=")
        name, value = name.strip(), value.strip()
        if not equals or name.startswith("#"):
            continue
        if values.get(name, value) != value:
            reader.record_fault(reprlib.repr(name), "stands twice", LAST_IS_USED)
        values[name] = value
    return values


def _require(reader: FieldReader, name: str, kind: Any) -> Any:
    value = reader.require(name, kind, effect=REQUIRED)
    if isinstance(value, Unusable):
        raise SettingsError(f"{name}: {reader.faults[-1].reason}")
    return value


def _require_address(reader: FieldReader, name: str) -> ListenAddress:
    text = _require(reader, name, str)
    address = parse_ip_port(text)
    if address is None:
        raise SettingsError(f"{name}: {text!r} is not IP:PORT")
    return ListenAddress(ip=address[0], port=address[1])


def _read_address(
    reader: FieldReader, name: str, *, default: ListenAddress
) -> ListenAddress:
    text = reader.read(name, str, "")
    if not text:
        return default
    address = parse_ip_port(text)
    if address is None:
        reader.record_fault(name, f"{text!r} is not IP:PORT", f"taken as {default}")
        return default
    return ListenAddress(ip=address[0], port=address[1])


def _read_ip(reader: FieldReader, name: str, *, default: str) -> str:
    text: str = reader.read(name, str, default)
    if parse_ip(text) is None:
        reader.record_fault(name, f"{text!r} is not an IP", f"taken as {default}")
        return default
    return text


def _require_store(reader: FieldReader) -> str:
    """Return the address of the store, which may have a name in place of an IP."""
    name = "platform.address"
    text: str = _require(reader, name, str)
    named = _HOST_AND_PORT.fullmatch(text)
    is_named = named is not None and 1 <= int(named["port"]) <= MAX_PORT
    if parse_ip_port(text) is None and not is_named:
        raise SettingsError(f"{name}: {text!r} is not HOST:PORT")
    return text


def _read_seeds(reader: FieldReader) -> tuple[str, ...]:
    name = "seeds"
    texts = [text.strip() for text in reader.read(name, str, "").split(",")]
    seeds = tuple(text for text in texts if parse_ip_port(text) is not None)
    wrong = [text for text in texts if text and text not in seeds]
    if wrong:
        reason = f"{reprlib.repr(wrong)} are not IP:PORT"
        reader.record_fault(name, reason, PASSED_OVER)
    return seeds[:MAX_SEED_PEERS]


def _read_strength(reader: FieldReader) -> float:
    """Return a host's share of a core, reduced if its link is slow.

    The share is what a thread gets of one core, not of all cores.
    """
    processor: float = reader.read("limits.cpuShare", Positive, 1.0)
    link_mbps: float = reader.read("limits.linkMbps", Positive, 1_000.0)
    link = min(1.0, link_mbps / FULL_STRENGTH_LINK_MBPS)
    return round(min(1.0, processor) * link, 3)


def _read_memory_bytes(reader: FieldReader) -> int | None:
    """Return the memory of a host's machine, or None if it is not given."""
    megabytes: float | None = reader.read("limits.memoryMb", Positive, None)
    return None if megabytes is None else int(megabytes * 1_000_000)


def _read_evacuate(reader: FieldReader) -> float:
    """Return the time for an evacuation; an unreadable one still enables them."""
    name = "bounds.evacuateS"
    if name not in reader.table:
        return 0.0
    value: float = reader.read(name, PositiveSeconds, DEFAULT_EVACUATE_S)
    return value


def _read_first_port(reader: FieldReader) -> int:
    """Return the first port of a range `FIRST,LAST`; 0 if there is none."""
    name = "internalPortRange"
    if name not in reader.table:
        return 0
    first = reader.read(name, str, "").partition(",")[0]
    if parse_ip_port(f"0.0.0.0:{first}") is None:
        reader.record_fault(name, f"{first!r} is not a port", "no port is taken")
        return 0
    return int(first)
