"""The allocators of workspace quotas: one host of each failure domain.

The allocator of a failure domain is its strongest live host. It issues the domain's
share of each quota, less the part of the domain's hosts that it does not see as live:
hosts that are cut off from each other issue no more together than one quota.
"""

from typing import Final

from ..effects import Effect, LogDecision
from ..routing.quota_credits import IDLE_S, QuotaState
from ..state import HostState
from .members import is_live
from .rendezvous import rank_strongest
from .views import is_leaving

# How long a host must be the first of its domain before it issues credits, in seconds:
# until then an earlier allocator may not have learned of it. A restart of the whole
# fleet costs the callers this time. A host that has heard no other may know only part
# of the fleet, and would take too large a share.
STABLE_S: Final = 0.5
STABLE_ALONE_S: Final = 2.0
# A host whose heartbeat is this many intervals late was suspended, and others may have
# taken its place.
MAX_HEARTBEAT_GAP: Final = 3.0


def sync_quotas(state: HostState) -> QuotaState:
    """Return the quotas, after putting those of the routing intents in force."""
    quotas = state.quotas
    if quotas.workspaces is not state.intents.workspaces:
        quotas.set_workspaces(state.intents.workspaces)
    return quotas


def update_allocator(state: HostState, now: float, out: list[Effect]) -> None:
    """Determine whether this host is the allocator of its domain, and its share."""
    quotas = sync_quotas(state)
    if not quotas.limits:
        _set_first(state, False, now, out)
        return
    _rank_hosts(state)
    own = state.identity
    was_suspended = _is_suspended(state, now)
    quotas.checked_at = now
    quotas.share = _compute_share(state, now)
    quotas.homes = _count_domain_homes(state)
    if was_suspended:
        _set_first(state, False, now, out)
    is_first = find_allocator(state, own.failure_domain, now) == own.name
    _set_first(state, is_first, now, out)
    for name, bucket in list(quotas.buckets.items()):
        bucket.update(quotas.limits[name], quotas.share, quotas.homes, now)
        is_full = bucket.bucket.tokens >= bucket.bucket.capacity
        if is_full and now - bucket.used_at > IDLE_S:
            del quotas.buckets[name]  # A new bucket is as full.


def is_allocating(state: HostState, now: float) -> bool:
    """Return True if this host issues the credits of its failure domain."""
    return state.quotas.allocating_since is not None and not _is_suspended(state, now)


def find_allocator(state: HostState, failure_domain: str, now: float) -> str | None:
    """Return the first live host of a failure domain by rank, or None."""
    own = state.identity.name
    for name in state.quotas.ranked.get(failure_domain, ()):
        member = state.members.get(name)
        if name == own:
            if not is_leaving(state):
                return name
        elif member is not None and is_live(member, now, state.settings.heartbeat_s):
            return name
    return None


def order_domains(state: HostState) -> list[str]:
    """Return the failure domains, this host's first, the others rotated by its name."""
    own = state.identity.failure_domain
    others = sorted(state.quotas.ranked.keys() - {own})
    first = sum(state.identity.name.encode()) % len(others) if others else 0
    return [own, *others[first:], *others[:first]]


def _is_suspended(state: HostState, now: float) -> bool:
    """Return True if this host's heartbeat is so late that it was suspended."""
    limit_s = MAX_HEARTBEAT_GAP * state.settings.heartbeat_s
    return now - state.quotas.checked_at > limit_s


def _set_first(state: HostState, is_first: bool, now: float, out: list[Effect]) -> None:
    """Record whether this host is the first of its domain; start or stop issuing."""
    quotas = state.quotas
    if not is_first:
        quotas.first_since = None
        if quotas.allocating_since is not None:
            quotas.allocating_since = None
            quotas.buckets.clear()
            _log_allocator(state, False, out)
        return
    if quotas.first_since is None:
        quotas.first_since = now
    is_stable = now - quotas.first_since >= _get_stable_s(state)
    if quotas.allocating_since is None and is_stable:
        quotas.allocating_since = now
        _log_allocator(state, True, out)


def _get_stable_s(state: HostState) -> float:
    has_heard = any(m.last_heard is not None for m in state.members.values())
    return STABLE_S if has_heard else STABLE_ALONE_S


def _log_allocator(state: HostState, is_issuing: bool, out: list[Effect]) -> None:
    fields: dict[str, object] = {
        "failure_domain": state.identity.failure_domain,
        "issues": is_issuing,
        "share": round(state.quotas.share, 4),
    }
    out.append(LogDecision(event="quota-allocator", fields=fields))


def _rank_hosts(state: HostState) -> None:
    own = state.identity
    strengths: dict[str, dict[str, float]] = {
        own.failure_domain: {own.name: own.strength}
    }
    for member in state.members.values():
        known = strengths.setdefault(member.failure_domain, {})
        known[member.name] = member.strength
    state.quotas.ranked = {
        domain: rank_strongest(f"quota/{domain}", known)
        for domain, known in strengths.items()
    }


def _compute_share(state: HostState, now: float) -> float:
    """Return the share of each quota that the live hosts of this domain may use."""
    own = state.identity.failure_domain
    heartbeat_s = state.settings.heartbeat_s
    members = [m for m in state.members.values() if m.failure_domain == own]
    live = sum(is_live(m, now, heartbeat_s) for m in members)
    known = sum(not m.leaving and not m.listed_leaving for m in members)
    return (live + 1) / (known + 1) / len(state.quotas.ranked)


def _count_domain_homes(state: HostState) -> int:
    """Return how many hosts of this domain grant slots."""
    own = state.identity.failure_domain
    homes: set[str] = set()
    for service in state.services.values():
        homes.update(service.placement.homes.get(own, ()))
    return max(1, len(homes))
