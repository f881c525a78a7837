"""Calls that one host suspects of crashing backend servers."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class SuspectedCall:
    """A call that may crash servers; `crashes` maps a report to its arrival time.

    `until` is the end of the quarantine, or None while the call is only suspected.
    """

    service: str
    method: str
    path: str
    crashes: dict[tuple[str, float], float] = field(default_factory=dict)
    until: float | None = None


@dataclass(slots=True, kw_only=True)
class QuarantineState:
    """The suspected calls of one host.

    `connection_breaks` holds, by server, the latest broken attempts that this host
    observed itself: the fingerprint of the call and the time.
    """

    suspects: dict[str, SuspectedCall] = field(default_factory=dict)
    connection_breaks: dict[str, dict[str, float]] = field(default_factory=dict)
