"""The rule on rate limits: what a server that names one may get from all hosts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from .history import Ended, LimitNamed, RunBegan

# Times that the platform sets, seconds: the rule holds from the first after a server
# first named its limit, in any window of the second, for hosts that were told at least
# the third before.
LIMIT_SETTLE_S: Final = 3.0
LIMIT_WINDOW_S: Final = 4.0
TOLD_LEAD_S: Final = 0.5
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5.0


@dataclass(slots=True, kw_only=True)
class _Limit:
    per_s: float
    named_at: float
    ended_at: float = inf
    # Times of runs, by the host that sent the request.
    runs: list[tuple[float, str]] = field(default_factory=list)
    # When each host first passed on an answer that named the limit.
    told_at: dict[str, float] = field(default_factory=dict)


class LimitRule:
    """Collects limits and runs, and finds windows with too many requests."""

    def __init__(self) -> None:
        self._limits: dict[str, list[_Limit]] = {}

    def record_limit(self, entry: LimitNamed) -> None:
        """Record that a server begins or stops to name a limit."""
        limits = self._limits.setdefault(entry.server, [])
        if limits:
            limits[-1].ended_at = min(limits[-1].ended_at, entry.at)
        if entry.per_s is not None:
            limits.append(_Limit(per_s=entry.per_s, named_at=entry.at))

    def record_run(self, run: RunBegan, host: str) -> None:
        """Record a run of a request that this host sent."""
        for limit in self._limits.get(run.server, []):
            if limit.named_at <= run.at <= limit.ended_at:
                limit.runs.append((run.at, host))

    def record_answer(self, ended: Ended, host: str) -> None:
        """Record that a host passed on an answer; its signature names the server."""
        for limit in self._limits.get(ended.signature.partition(".")[0], []):
            if ended.at >= limit.named_at:
                limit.told_at.setdefault(host, ended.at)

    def find_violations(
        self, is_connected: Callable[[str, float, float], bool]
    ) -> list[tuple[float, str]]:
        """Return time and text of the first violation of each limit."""
        found = []
        for server, limits in self._limits.items():
            for limit in limits:
                at = _find_violation(limit, is_connected)
                if at is not None:
                    text = f"{server} named {limit.per_s} and got too many requests"
                    found.append((at, text))
        return found


def _find_violation(
    limit: _Limit, is_connected: Callable[[str, float, float], bool]
) -> float | None:
    allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
    runs = sorted(r for r in limit.runs if r[0] >= limit.named_at + LIMIT_SETTLE_S)
    for begin, _ in runs:
        window = [
            host
            for at, host in runs
            if begin <= at < begin + LIMIT_WINDOW_S
            and limit.told_at.get(host, inf) + TOLD_LEAD_S <= at
        ]
        if len(window) <= allowed:
            continue
        connected = {
            host
            for host in set(window)
            if is_connected(host, begin, begin + LIMIT_WINDOW_S)
        }
        if sum(host in connected for host in window) > allowed:
            return begin
    return None
