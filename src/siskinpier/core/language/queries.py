"""Operators' questions as data."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True, kw_only=True)
class AskServices:
    """Ask for the list of services."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskServers:
    """Ask for the backend servers of one service, or of all if it is None."""

    service: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AskHosts:
    """Ask for the list of entry hosts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskConfiguration:
    """Ask which configuration is in force and on which hosts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskClaims:
    """Ask for the claims of calls that must not run twice."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskQuarantine:
    """Ask for the quarantined requests of one service, or of all if it is None."""

    service: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AskBudgets:
    """Ask for the budgets and their remaining tokens, of one service or of all."""

    service: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainCall:
    """Ask for the decisions about one call."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AskUpdate:
    """Ask whether an update of the configuration took effect."""

    update_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AskRoute:
    """Ask what would happen to a request now; `workspace` is None without a key."""

    methods: tuple[str, ...]
    path: str
    virtual_host: str
    workspace: str | None


Question: TypeAlias = (
    AskServices
    | AskServers
    | AskHosts
    | AskConfiguration
    | AskClaims
    | AskQuarantine
    | AskBudgets
    | ExplainCall
    | AskUpdate
    | AskRoute
)
