"""What callers, backend servers and the operator of a run saw, as it happened.

Times are seconds of the machine's monotonic clock, which all processes share.
"""

import json
from dataclasses import asdict, dataclass
from enum import StrEnum, unique
from pathlib import Path
from typing import Any, Final


@unique
class Ending(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    # The connection ended without a whole answer.
    BROKEN = "broken"
    # The connection was never made, so nothing was sent.
    UNCONNECTED = "unconnected"
    # The caller's time was over.
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """A caller sends a request to a host in one of its lives."""

    at: float
    request: str
    route: str
    path: str
    body_digest: str
    host: str
    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """A caller's request ended; the fields of an answer are empty without one."""

    at: float
    request: str
    ending: Ending
    status: int = 0
    signature: str = ""
    # The request that the answer's body names.
    told_request: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunBegan:
    """A backend server begins to work on a request."""

    at: float
    request: str
    server: str
    service: str
    path: str
    body_digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnded:
    """A backend server finished its work."""

    at: float
    request: str
    server: str
    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Configured:
    """The platform accepted a configuration; `services` maps a route to its service."""

    at: float
    version: int
    services: dict[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Drained:
    """The platform accepted that a backend server leaves."""

    at: float
    server: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultBegan:
    """A fault begins on a host, a backend server, a link or the platform."""

    at: float
    number: int
    kind: str
    target: str
    planned: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultEnded:
    """A fault is over."""

    at: float
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HostExited:
    """The process of a host ended; `expected` if a signal of ours asked for it."""

    at: float
    host: str
    code: int
    expected: bool


Entry = (
    Sent
    | Ended
    | RunBegan
    | RunEnded
    | Configured
    | Drained
    | FaultBegan
    | FaultEnded
    | HostExited
)
TYPES: Final[dict[str, type[Any]]] = {
    kind.__name__: kind
    for kind in (
        Sent,
        Ended,
        RunBegan,
        RunEnded,
        Configured,
        Drained,
        FaultBegan,
        FaultEnded,
        HostExited,
    )
}


def dump_entry(entry: Entry) -> str:
    """Return an entry as one line of JSON."""
    return json.dumps({"type": type(entry).__name__, **asdict(entry)})


def load_entry(line: str) -> Entry:
    """Return the entry of a line; raises `ValueError` or `KeyError`."""
    document = json.loads(line)
    entry: Entry = TYPES[document.pop("type")](**document)
    return entry


def load_history(path: Path) -> list[Entry]:
    """Return all entries of a history file."""
    return [load_entry(line) for line in path.read_text().splitlines()]
