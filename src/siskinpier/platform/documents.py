"""Decoding of the store's entries for backend servers and entry hosts.

A malformed entry is skipped and its reason is returned; other entries are unaffected.
"""

import re
from dataclasses import dataclass
from typing import Annotated, Any, Final, Literal

from msgspec import Meta, Struct, field

from ..core.events import ListedHost
from ..core.messages import RegisteredServer
from ..settings.addresses import parse_ip_port
from .settings import AdapterSettings
from .validation import UNREADABLE, InvalidValueError, convert, is_readable

Seconds = Annotated[float, Meta(ge=0.0, le=604_800.0)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]
# Exact in every JSON decoder.
Count = Annotated[int, Meta(ge=0, le=2**53)]
# As in a list of callers' addresses; `parse_ip_port` checks the rest.
AddressText = Annotated[str, Meta(max_length=64)]
# Names that can stand in a header field.
_OBJECT_NAME: Final = re.compile(r"[!-~]{1,200}")
BAD_OBJECT_NAME: Final = "name: not of 1 to 200 visible ASCII characters"


@dataclass(frozen=True, slots=True, kw_only=True)
class Unreadable:
    """A document that cannot be decoded, and the reason."""

    reason: str


class _Info(Struct, frozen=True, kw_only=True):
    service: Name
    # The failure domain.
    zone: Annotated[str, Meta(max_length=100)]
    slots: Annotated[int, Meta(ge=1, le=10_000)]


class _Status(Struct, frozen=True, kw_only=True):
    state: Literal["ready", "draining"]
    warmup: Seconds = field(name="warmupLeftS", default=0.0)
    sequence: Count = 0


class _Entry(Struct, frozen=True, kw_only=True):
    address: AddressText
    info: _Info
    status: _Status
    # Start of this incarnation of the server, milliseconds since the Unix epoch.
    born: Count = 0


class _Host(Struct, frozen=True, kw_only=True):
    failure_domain: Name
    region: Name
    callers: AddressText
    peers: AddressText
    strength: Annotated[float, Meta(ge=0.0, le=1.0)] = 1.0


def decode_server(name: str, spec: Any, status: Any) -> RegisteredServer | Unreadable:
    """Return the backend server that an entry describes."""
    document = spec if isinstance(spec, dict) else {}
    if isinstance(status, dict) and status:
        document = {**document, "status": status}
    if not is_readable(document):
        return Unreadable(reason=UNREADABLE)
    if _OBJECT_NAME.fullmatch(name) is None:
        return Unreadable(reason=BAD_OBJECT_NAME)
    try:
        entry = convert(document, _Entry)
    except InvalidValueError as exc:
        return Unreadable(reason=str(exc))
    if parse_ip_port(entry.address) is None:
        return Unreadable(reason=f"{entry.address!r} is not an IP address and port")
    return RegisteredServer(
        name=name,
        service=entry.info.service,
        address=entry.address,
        failure_domain=entry.info.zone,
        slots=entry.info.slots,
        is_draining=entry.status.state == "draining",
        warmup_left_s=entry.status.warmup,
        started=entry.born,
        sequence=entry.status.sequence,
    )


def decode_host(name: str, spec: Any) -> ListedHost | Unreadable:
    """Return the entry host that an object describes, as `encode_host` wrote it."""
    if not is_readable(spec):
        return Unreadable(reason=UNREADABLE)
    if _OBJECT_NAME.fullmatch(name) is None:
        return Unreadable(reason=BAD_OBJECT_NAME)
    try:
        host = convert(spec, _Host)
    except InvalidValueError as exc:
        return Unreadable(reason=str(exc))
    for address in (host.callers, host.peers):
        if parse_ip_port(address) is None:
            return Unreadable(reason=f"{address!r} is not an IP address and port")
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
    """Return the spec of this host's object, which tells other hosts its addresses."""
    return {
        "failure_domain": settings.failure_domain,
        "region": settings.region,
        "callers": str(settings.callers),
        "peers": str(settings.peers_told),
        "strength": settings.strength,
    }
