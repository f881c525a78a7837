"""Evacuated failure domains: nothing is sent to the backend servers of such a domain.

The platform's store holds the hard state: the set of domains at a position. Relays
watch it and pass the whole set on, to the hosts of their domain and to one host of each
other domain, which tells its own. Later positions win. Heartbeats and relays' reports
carry a digest of the set; hosts with different digests exchange their sets, so a lost
message is repaired with the next heartbeat.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from ..effects import Effect, LogDecision, SendMessage, SetTimer
from ..events import EvacuationsSeen
from ..messages import UNKNOWN_EVACUATIONS, EvacuationsNotice
from ..positions import StorePosition
from ..routing.balance import ServerRuntime
from ..routing.queueing import dispatch_queued_calls, requeue_calls
from ..routing.speed_checks import send_probe
from ..state import HostState, ServiceRuntime
from ..timers import QueueReviewDue
from .broadcast import send_to_domain, send_to_other_domains
from .members import Member

# How long a domain stays evacuated whose object is missing in a store that came back
# from an older copy, in seconds: time to write it again.
ERA_HOLD_S: Final = 5.0
# How long a server of a domain that is used again gets no calls, in seconds, while its
# owner probes it: it may have become cold.
RETURN_CHECK_S: Final = 0.1
TIMER_MARGIN_S: Final = 0.001
MAX_DIGEST: Final = 2**63 - 1

SOURCE_STORE: Final = "store"
SOURCE_HOLD_ENDED: Final = "end-of-hold"


def make_evacuations_digest(state: HostState) -> int:
    """Return a digest of the evacuated domains; 0 if there is none."""
    domains = state.evacuations.domains
    if not domains:
        return 0
    return xxhash.xxh3_64_intdigest("\0".join(sorted(domains)).encode()) & MAX_DIGEST


def handle_evacuations_seen(
    state: HostState, event: EvacuationsSeen, out: list[Effect]
) -> None:
    """Apply the set that this host read from the store, and pass on changes."""
    domains = frozenset(event.domains)
    is_change = domains != state.evacuations.domains
    if not _apply(state, event.position, domains, SOURCE_STORE, event.now, out):
        return
    if is_change:
        notice = _make_notice(state)
        send_to_domain(state, notice, out)
        key = f"evacuations/{event.position.revision}"
        send_to_other_domains(state, notice, key, event.now, out)


def handle_evacuations_notice(
    state: HostState,
    notice: EvacuationsNotice,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Apply a set that another host knows, or send it this host's later one."""
    known = state.evacuations
    domains = frozenset(notice.domains)
    is_change = domains != known.domains
    member = state.members.get(sender)
    if notice.position < known.position and is_change and member is not None:
        send_evacuations(state, member, out)
    if not _apply(state, notice.position, domains, sender, now, out):
        return
    is_remote = member and member.failure_domain != state.identity.failure_domain
    if is_change and is_remote:
        send_to_domain(state, _make_notice(state), out)


def compare_evacuations(
    state: HostState, host: str, digest: int, out: list[Effect]
) -> None:
    """Send the own set to a host that reports another one.

    That host answers with its own if it is later, also to one that knows nothing yet.
    """
    member = state.members.get(host)
    if member is None or digest == UNKNOWN_EVACUATIONS:
        return
    if digest != make_evacuations_digest(state):
        send_evacuations(state, member, out)


def send_evacuations(state: HostState, member: Member, out: list[Effect]) -> None:
    """Send the evacuated domains to a host."""
    out.append(
        SendMessage(host=member.name, address=member.peers, message=_make_notice(state))
    )


def expire_held_evacuations(state: HostState, now: float, out: list[Effect]) -> None:
    """End evacuations that a restored store has lost and nobody wrote again."""
    held = state.evacuations.held_until
    ended = [domain for domain, until in held.items() if until <= now]
    if not ended:
        return
    before = state.evacuations.list_all()
    for domain in ended:
        del held[domain]
    _log_changes(state, before, SOURCE_HOLD_ENDED, out)
    _update_servers(state, now, out)


def mark_evacuated_servers(state: HostState, service: ServiceRuntime) -> bool:
    """Mark the servers of a service that are evacuated; return True if one changed."""
    evacuated = state.evacuations.list_all()
    is_changed = False
    for server in service.servers.values():
        is_evacuated = server.intent.failure_domain in evacuated
        is_changed = is_changed or is_evacuated != server.is_evacuated
        server.is_evacuated = is_evacuated
    return is_changed


def _apply(
    state: HostState,
    position: StorePosition,
    domains: frozenset[str],
    source: str,
    now: float,
    out: list[Effect],
) -> bool:
    """Apply a set of a later position; return False if it is not later."""
    known = state.evacuations
    if position <= known.position:
        return False
    before = known.list_all()
    if known.position.revision > 0 and position.era > known.position.era:
        for domain in known.domains - domains:
            known.held_until[domain] = now + ERA_HOLD_S
    for domain in domains:
        known.held_until.pop(domain, None)
    known.position = position
    known.domains = domains
    _log_changes(state, before, source, out)
    _update_servers(state, now, out)
    return True


def _update_servers(state: HostState, now: float, out: list[Effect]) -> None:
    """Send nothing more to servers that are evacuated now, and use the others again."""
    changed = []
    for service in state.services.values():
        was_evacuated = {s.intent.name for s in _list_evacuated(service)}
        if mark_evacuated_servers(state, service):
            changed.append(service)
            still = {s.intent.name for s in _list_evacuated(service)}
            _check_returned(service, was_evacuated - still, now, out)
    for service in changed:
        requeue_calls(state, service, now, out)
        dispatch_queued_calls(state, service, now, out)


def _check_returned(
    service: ServiceRuntime, names: Iterable[str], now: float, out: list[Effect]
) -> None:
    """Probe the servers of a domain that is used again before they get calls."""
    until = now + RETURN_CHECK_S
    for name in sorted(names):
        server = service.servers[name]
        server.ejected_until = max(server.ejected_until, until)
        if server in service.owned:
            send_probe(service, server, now, out)
    if names:
        timer = QueueReviewDue(service=service.intent.name)
        out.append(SetTimer(timer=timer, at=until + TIMER_MARGIN_S))


def _list_evacuated(service: ServiceRuntime) -> list[ServerRuntime]:
    return [server for server in service.servers.values() if server.is_evacuated]


def _make_notice(state: HostState) -> EvacuationsNotice:
    known = state.evacuations
    return EvacuationsNotice(
        position=known.position, domains=tuple(sorted(known.domains))
    )


def _log_changes(
    state: HostState, before: frozenset[str], source: str, out: list[Effect]
) -> None:
    after = state.evacuations.list_all()
    for domain in sorted(before ^ after):
        fields: dict[str, object] = {
            "failure_domain": domain,
            "evacuated": domain in after,
            "revision": state.evacuations.position.revision,
            "told_by": source,
        }
        out.append(LogDecision(event="evacuation", fields=fields))
