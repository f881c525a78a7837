"""Notices of warm-ups to the hosts that may own the backend server next.

All hosts read the registry. What only the owner of a server heard, in the answer to a
probe, it tells all hosts: those of its failure domain, and one of each other domain,
which tells its own. The notice of a server that is cold again is sent once; a host that
misses it learns the same from its own first probe.
"""

from ..effects import Effect, SendMessage
from ..messages import WarmupNotice
from ..routing.balance import ServerRuntime
from ..routing.rate_limits import get_started
from ..routing.warmup import record_warmup
from ..state import HostState, ServerName, ServiceRuntime
from .broadcast import send_to_domain, send_to_other_domains
from .members import Member


def announce_warmup(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    now: float,
    out: list[Effect],
) -> None:
    """Tell the other hosts that an owned server is cold."""
    if server.warmup is None or server not in service.owned:
        return
    name = server.intent.name
    notice = WarmupNotice(
        service=service.intent.name,
        server=name,
        started=get_started(state, name),
        left_s=round(server.warmup.until - now, 3),
    )
    send_to_domain(state, notice, out)
    send_to_other_domains(state, notice, name, now, out)


def handle_warmup_notice(
    state: HostState,
    notice: WarmupNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Record a warm-up that another host heard of; it never shortens a known one."""
    entry = state.registry.servers.get(notice.server)
    if entry is not None and entry.started != notice.started:
        return
    member = state.members.get(sender)
    if member is not None and member.failure_domain != state.identity.failure_domain:
        send_to_domain(state, notice, out)
    key = ServerName(service=notice.service, server=notice.server)
    until = now + notice.left_s
    known = state.warmups.get(key)
    if known is not None and known.started == notice.started:
        until = max(until, known.until)
    record_warmup(state, key, until, notice.started, sender, now, out)


def send_warmups(
    state: HostState, member: Member, now: float, out: list[Effect]
) -> None:
    """Send the known warm-ups to a host that has just started and may be an owner."""
    if member.failure_domain != state.identity.failure_domain:
        return  # The hosts of its own domain tell it.
    for key, warmup in state.warmups.items():
        if not warmup.is_cold(now):
            continue
        notice = WarmupNotice(
            service=key.service,
            server=key.server,
            started=warmup.started,
            left_s=round(warmup.until - now, 3),
        )
        out.append(SendMessage(host=member.name, address=member.peers, message=notice))
