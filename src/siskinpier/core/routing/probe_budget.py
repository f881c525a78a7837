"""One host's part of a service's probe budget, so that the sum stays within.

Every host reckons for itself, from the hosts that it knows of, live or not:
a few of them, ranked by rendezvous hashing within each failure domain, may
probe. Homes are chosen by the same ranks among live hosts, so those few are
the homes and the next in line. A host's bucket holds one probe and starts
below empty, so in any second a host sends at most 1 + `rate` probes, however
its view differs, and a restarted one sends none before others know of it.
Host lists that disagree on a few hosts are covered by the headroom.
"""

from itertools import zip_longest
from typing import Final

from ..cluster.rendezvous import rank_nodes
from ..cluster.views import is_leaving
from ..state import HostState, ServiceRuntime
from .budgets import TokenBucket

# Shares of the budget: what all hosts that may probe can use up in a second,
# and how many hosts that is for each probe of the budget.
USED_SHARE: Final = 0.7
HOSTS_SHARE: Final = 0.35
HOLD_S: Final = 5.0
PROBE_BYTES: Final = 600.0
PROBE_BYTES_DECAY: Final = 0.98


def refresh_bucket(
    state: HostState, service: ServiceRuntime, now: float
) -> TokenBucket:
    """Set the rate of this host's bucket to its part of the budget."""
    bucket = service.probes
    if bucket.updated == 0.0:
        bucket.updated = now
    rate = _get_rate(state, service)
    if bucket.rate == 0.0 and rate > 0.0:
        bucket.tokens = -HOLD_S * rate
        bucket.updated = now
    bucket.rate = rate
    bucket.capacity = 1.0
    return bucket


def note_probe_bytes(service: ServiceRuntime, bytes_used: int) -> None:
    """Keep the size of the largest probes of late."""
    kept = service.probe_bytes * PROBE_BYTES_DECAY
    service.probe_bytes = max(float(bytes_used), kept)


def _get_rate(state: HostState, service: ServiceRuntime) -> float:
    """Return the probes a second that this host may send."""
    budget = service.intent.probes
    cost = service.probe_bytes or PROBE_BYTES
    per_second = min(budget.per_second, budget.bytes_per_second / cost)
    if per_second <= 0.0 or is_leaving(state):
        return 0.0
    count = max(1, int(per_second * HOSTS_SHARE))
    ranked = _rank_hosts(state, service)
    if state.identity.name not in ranked[:count]:
        return 0.0
    usable = USED_SHARE * per_second
    if usable < 2 * count:
        return usable / (2 * count)
    # Each host may send one at once beside its rate.
    return (usable - count) / count


def _rank_hosts(state: HostState, service: ServiceRuntime) -> list[str]:
    """Return all known hosts, the first of each failure domain before the second."""
    own = state.identity
    domains: dict[str, list[str]] = {own.failure_domain: [own.name]}
    for member in state.members.values():
        if member.name != own.name:
            domains.setdefault(member.failure_domain, []).append(member.name)
    names = tuple(sorted(name for names in domains.values() for name in names))
    if service.ranking_input != names:
        columns = [rank_nodes(service.intent.name, domains[d]) for d in sorted(domains)]
        rows = zip_longest(*columns)
        service.ranking_input = names
        service.ranked_hosts = [n for row in rows for n in row if n is not None]
    return service.ranked_hosts
