"""Object kinds of the platform's object API, and typed results of operations on it."""

from dataclasses import dataclass
from typing import Any, Final, TypeAlias

ROUTING_INTENTS: Final = "routingintents"
HOSTS: Final = "hosts"
CLAIMS: Final = "claims"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """An object as stored by the platform at one version."""

    kind: str
    name: str
    version: str
    spec: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectMissing:
    """The platform stores no object of this kind and name."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteAccepted:
    """The write took effect; `version` is the new version of the object."""

    version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """The write did not take effect: the expected version is not current."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """The operation failed, changed nothing and returned no data."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteOutcomeUnknown:
    """The write may have taken effect; read the object to find out."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectList:
    """All objects of one kind; a watch can start from `version`."""

    version: str
    items: tuple[StoredObject, ...]


ReadResult: TypeAlias = StoredObject | ObjectMissing | Unavailable
ListResult: TypeAlias = ObjectList | Unavailable
WriteResult: TypeAlias = (
    WriteAccepted | VersionConflict | Unavailable | WriteOutcomeUnknown
)
WatchResult: TypeAlias = StoredObject | ObjectMissing | Unavailable
