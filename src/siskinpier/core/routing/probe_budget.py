"""One host's share of a service's probe budget, so that the sum stays within it.

Every host computes its share from the hosts that it knows of, live or not. Only a few
of them may probe: the first ones when ranked by rendezvous hashing within each failure
domain. Homes are chosen by the same ranking among live hosts, so these few are the
homes and their successors. A host's bucket holds one probe and starts below zero. In
any second a host therefore sends at most 1 + `rate` probes, whatever its view of the
cluster, and a restarted host sends none before the others know of it. The headroom
covers host lists that differ in a few hosts.
"""

from itertools import zip_longest
from typing import Final

from ..cluster.rendezvous import rank_nodes
from ..cluster.views import is_leaving
from ..state import HostState, ServiceRuntime
from .budgets import TokenBucket

# Shares of the budget: the probes that all probing hosts together may send per second,
# and the number of probing hosts per probe of the budget.
USED_SHARE: Final = 0.7
PROBING_HOSTS_SHARE: Final = 0.35
# Time in which the bucket of a host that starts probing fills up to zero, in seconds.
INITIAL_DELAY_S: Final = 5.0
# Size of a probe that is assumed before one was measured.
DEFAULT_PROBE_BYTES: Final = 600.0
PROBE_BYTES_DECAY: Final = 0.98


def update_probe_bucket(
    state: HostState, service: ServiceRuntime, now: float
) -> TokenBucket:
    """Return this host's bucket, with its rate set to its share of the budget."""
    bucket = service.probes
    if bucket.updated == 0.0:
        bucket.updated = now
    rate = _compute_rate(state, service)
    if bucket.rate == 0.0 and rate > 0.0:
        bucket.tokens = -INITIAL_DELAY_S * rate
        bucket.updated = now
    bucket.rate = rate
    bucket.capacity = 1.0
    return bucket


def record_probe_bytes(service: ServiceRuntime, bytes_used: int) -> None:
    """Record the size of a probe in a decaying maximum of the sizes."""
    kept = service.probe_bytes * PROBE_BYTES_DECAY
    service.probe_bytes = max(float(bytes_used), kept)


def _compute_rate(state: HostState, service: ServiceRuntime) -> float:
    """Return the probes per second that this host may send."""
    budget = service.intent.probes
    cost = service.probe_bytes or DEFAULT_PROBE_BYTES
    per_second = min(budget.per_second, budget.bytes_per_second / cost)
    if per_second <= 0.0 or is_leaving(state):
        return 0.0
    count = max(1, int(per_second * PROBING_HOSTS_SHARE))
    ranked = _rank_hosts(state, service)
    if state.identity.name not in ranked[:count]:
        return 0.0
    usable = USED_SHARE * per_second
    if usable < 2 * count:
        return usable / (2 * count)
    # Each host may send one probe immediately in addition to its rate.
    return (usable - count) / count


def _rank_hosts(state: HostState, service: ServiceRuntime) -> list[str]:
    """Return all known hosts by rank, the first of each failure domain first."""
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
