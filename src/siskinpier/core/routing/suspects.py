"""What one host suspects of crashing backend servers."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Suspect:
    """A call that may crash servers; `crashes` maps a report to its time."""

    service: str
    method: str
    path: str
    crashes: dict[tuple[str, float], float] = field(default_factory=dict)
    until: float | None = None


@dataclass(slots=True, kw_only=True)
class QuarantineState:
    """What one host suspects.

    `breaks` holds, by server, the latest breaks that this host saw itself: the
    fingerprint of the call and the time.
    """

    suspects: dict[str, Suspect] = field(default_factory=dict)
    breaks: dict[str, dict[str, float]] = field(default_factory=dict)
