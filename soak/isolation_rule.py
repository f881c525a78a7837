"""The rule on hosts that are cut off from all backend servers."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Final

from .history import Ended, Ending, HostsIsolated, Sent

# The rule holds from this long after a cut began, in seconds: the cut hosts serve at
# least this share of what the others do, or few requests fail there.
ISOLATION_SETTLE_S: Final = 3.0
MIN_RELATIVE_SHARE: Final = 2 / 3
FAILURE_SLACK: Final = 10
FAILURE_SHARE: Final = 1 / 50


@dataclass(slots=True, kw_only=True)
class _Cut:
    hosts: list[str]
    began_at: float
    ended_at: float = inf


class IsolationRule:
    """Collects cuts and requests, and compares what cut hosts and others serve."""

    def __init__(self) -> None:
        self._cuts: list[_Cut] = []
        # Host, time and success of each request.
        self._requests: list[tuple[str, float, bool]] = []

    def record_isolation(self, entry: HostsIsolated) -> None:
        """Record that a cut begins or ends."""
        if entry.isolated:
            self._cuts.append(_Cut(hosts=entry.hosts, began_at=entry.at))
            return
        for cut in self._cuts:
            if cut.hosts == entry.hosts:
                cut.ended_at = min(cut.ended_at, entry.at)

    def record_end(self, sent: Sent, ended: Ended) -> None:
        """Record how a request ended."""
        is_served = ended.ending is Ending.ANSWERED and ended.status < 300
        self._requests.append((sent.host, sent.at, is_served))

    def find_violations(
        self, is_connected: Callable[[str, float, float], bool]
    ) -> list[tuple[float, str]]:
        """Return time and text of each cut during which the rule was broken."""
        found = []
        for cut in self._cuts:
            text = self._judge(cut, is_connected)
            if text:
                found.append((cut.began_at, text))
        return found

    def _judge(
        self, cut: _Cut, is_connected: Callable[[str, float, float], bool]
    ) -> str:
        since = cut.began_at + ISOLATION_SETTLE_S
        judged = [
            (host, is_served)
            for host, at, is_served in self._requests
            if since <= at <= cut.ended_at and is_connected(host, at, at)
        ]
        here = [is_served for host, is_served in judged if host in cut.hosts]
        others = [is_served for host, is_served in judged if host not in cut.hosts]
        failed = len(here) - sum(here)
        if not others or failed <= FAILURE_SLACK + len(judged) * FAILURE_SHARE:
            return ""
        share, other_share = sum(here) / len(here), sum(others) / len(others)
        if share >= MIN_RELATIVE_SHARE * other_share:
            return ""
        return (
            f"{cut.hosts} without servers served {sum(here)} of {len(here)},"
            f" the others {sum(others)} of {len(others)}"
        )
