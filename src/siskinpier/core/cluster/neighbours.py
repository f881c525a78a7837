"""The neighbours of each host, which keep its cost independent of cluster size.

The hosts of each failure domain form a ring ordered by hash. The monitors of a host are
its two successors in the ring of every failure domain; it sends heartbeats only to
them. Within a failure domain, membership changes are forwarded to the hosts at
distances of powers of two in the ring, like the fingers of Chord (Stoica et al., 2001).
"""

from bisect import bisect_right
from dataclasses import dataclass
from typing import Final

from .placement import LiveHost
from .rendezvous import compute_weight

MONITORS_PER_DOMAIN: Final = 2
RING_KEY: Final = "ring"


@dataclass(frozen=True, slots=True, kw_only=True)
class Rings:
    """The rings of all failure domains.

    `points` holds the sorted (hash, host name) pairs of each failure domain.
    """

    hosts: tuple[LiveHost, ...]
    points: dict[str, list[tuple[int, str]]]

    def list_monitors(self, name: str, failure_domain: str) -> list[str]:
        """Return the monitors of a host in one failure domain, nearest first."""
        return self._list_after(name, failure_domain, MONITORS_PER_DOMAIN)

    def list_all_monitors(self, name: str) -> list[str]:
        """Return the monitors of a host in all failure domains."""
        return [m for domain in self.points for m in self.list_monitors(name, domain)]

    def list_fingers(self, name: str, failure_domain: str) -> list[str]:
        """Return the hosts at distances 1, 2, 4, ... after a host in a ring."""
        length = len(self.points.get(failure_domain, ()))
        others = self._list_after(name, failure_domain, length)
        steps = (2**power - 1 for power in range(len(others).bit_length()))
        return [others[step] for step in steps if step < len(others)]

    def _list_after(self, name: str, failure_domain: str, limit: int) -> list[str]:
        ring = self.points.get(failure_domain, [])
        start = bisect_right(ring, (compute_weight(RING_KEY, name), name))
        count = min(len(ring), limit + 1)
        after = [ring[(start + step) % len(ring)][1] for step in range(count)]
        return [host for host in after if host != name][:limit]


def make_rings(hosts: tuple[LiveHost, ...]) -> Rings:
    """Return the rings formed by the given hosts."""
    points: dict[str, list[tuple[int, str]]] = {}
    for host in hosts:
        point = (compute_weight(RING_KEY, host.name), host.name)
        points.setdefault(host.failure_domain, []).append(point)
    ordered = {domain: sorted(points[domain]) for domain in sorted(points)}
    return Rings(hosts=hosts, points=ordered)
