"""Notices of rate limits to the hosts that may own the backend server next.

The owner of a server tells all hosts of a limit, of changes and of its end: those of
its failure domain, and one of each other domain, which tells its own. A lost notice
costs little: the first answer of the server tells its new owner.
"""

from typing import Final

from ..effects import Effect, SendMessage
from ..messages import RateLimitNotice
from ..routing.balance import ServerRuntime
from ..routing.rate_limits import end_rate_limit, get_started, set_rate_limit
from ..state import HostState, RateLimitKey, ServiceRuntime
from .broadcast import send_to_domain, send_to_other_domains
from .members import Member

# Changes of a limit are announced at most this often, in seconds, and only if they are
# larger than this share of it.
ANNOUNCE_INTERVAL_S: Final = 1.0
MIN_ANNOUNCED_CHANGE: Final = 0.1
# A host that heard of the limit in an answer this recently ignores notices.
RECENTLY_HEARD_S: Final = 1.0


def announce_rate_limit(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
) -> None:
    """Tell the other hosts of the limit of an owned server, if it changed."""
    per_s = server.rate_limit.per_s if server.rate_limit is not None else None
    if server not in service.owned or not _is_news(server, per_s):
        return
    if now - server.limit_announced_at < ANNOUNCE_INTERVAL_S:
        return
    server.announced_limit_per_s = per_s
    server.limit_announced_at = now
    name = server.intent.name
    notice = RateLimitNotice(
        service=service.intent.name,
        server=name,
        started=get_started(state, name),
        per_s=per_s,
    )
    send_to_domain(state, notice, out)
    send_to_other_domains(state, notice, name, now, out)


def handle_rate_limit_notice(
    state: HostState,
    notice: RateLimitNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Record a limit that another host heard of, unless this one knows it better."""
    entry = state.registry.servers.get(notice.server)
    if entry is not None and entry.started != notice.started:
        return
    key = RateLimitKey(service=notice.service, server=notice.server)
    known = state.rate_limits.get(key)
    is_first_hand = known is not None and known.is_first_hand
    if known and is_first_hand and now - known.heard_at < RECENTLY_HEARD_S:
        return
    member = state.members.get(sender)
    if member is not None and member.failure_domain != state.identity.failure_domain:
        send_to_domain(state, notice, out)
    if notice.per_s is None:
        end_rate_limit(state, key, sender, out)
        return
    limit = set_rate_limit(state, key, notice.per_s, sender, now, out)
    limit.started = notice.started


def send_rate_limits(state: HostState, member: Member, out: list[Effect]) -> None:
    """Send the known limits to a host that has just started and may own the servers."""
    if member.failure_domain != state.identity.failure_domain:
        return  # The hosts of its own domain tell it.
    for key, limit in state.rate_limits.items():
        notice = RateLimitNotice(
            service=key.service,
            server=key.server,
            started=limit.started,
            per_s=limit.per_s,
        )
        out.append(SendMessage(host=member.name, address=member.peers, message=notice))


def _is_news(server: ServerRuntime, per_s: float | None) -> bool:
    known = server.announced_limit_per_s
    if known is None or per_s is None:
        return known != per_s
    return abs(per_s - known) > MIN_ANNOUNCED_CHANGE * known
