"""Questions of operators, as data."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True, kw_only=True)
class AskServices:
    """Ask for all services."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskServers:
    """Ask for backend servers, of one service or of all."""

    service: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AskHosts:
    """Ask for the entry hosts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskConfiguration:
    """Ask which configuration is in force, and where."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskClaims:
    """Ask for the claims of calls that may not run twice."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskQuarantine:
    """Ask for quarantined requests, of one service or of all."""

    service: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AskBudgets:
    """Ask for budgets and what is left of them."""

    service: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainCall:
    """Ask for the decisions about one call."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AskUpdate:
    """Ask whether an update took effect."""

    update_id: str


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
)
