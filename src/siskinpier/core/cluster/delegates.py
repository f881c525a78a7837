"""Delegates: the hosts that represent their failure domain to the other domains.

Traffic between failure domains is expensive, so only delegates exchange frequent
heartbeats across them. A delegate sends membership changes of its own domain to the
delegates of the other domains immediately. A domain is considered cut off when no
message from any of its hosts arrives.
"""

from collections.abc import Iterable
from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import MembersNotice
from ..state import HostState
from .members import Member, is_live, make_record, presume_silent
from .rendezvous import rank_strongest

DELEGATE_COUNT: Final = 2
# A failure domain from which a delegate receives nothing for longer counts as cut off.
DOMAIN_SILENCE_S: Final = 5.0


def list_delegates(state: HostState, failure_domain: str, now: float) -> list[str]:
    """Return the delegates of a failure domain: its strongest live hosts."""
    own = state.identity
    heartbeat_s = state.settings.heartbeat_s
    strengths = {
        member.name: member.strength
        for member in state.members.values()
        if member.failure_domain == failure_domain and is_live(member, now, heartbeat_s)
    }
    if own.failure_domain == failure_domain:
        strengths[own.name] = own.strength
    return rank_strongest(f"delegate/{failure_domain}", strengths)[:DELEGATE_COUNT]


def is_delegate(state: HostState, now: float) -> bool:
    """Return True if this host is a delegate of its failure domain."""
    own = state.identity
    return own.name in list_delegates(state, own.failure_domain, now)


def list_remote_delegates(state: HostState, now: float) -> list[str]:
    """Return the delegates of all other failure domains."""
    return [
        name
        for domain in _list_remote_domains(state)
        for name in list_delegates(state, domain, now)
    ]


def _list_remote_domains(state: HostState) -> list[str]:
    domains = {member.failure_domain for member in state.members.values()}
    return sorted(domains - {state.identity.failure_domain})


def list_counterparts(state: HostState, now: float) -> list[str]:
    """Return the remote delegates that receive this delegate's heartbeats.

    Delegates are paired by rank: the first of this domain sends to the first of each
    other domain, and so on. Return an empty list if this host is no delegate.
    """
    own = state.identity
    local_delegates = list_delegates(state, own.failure_domain, now)
    if own.name not in local_delegates:
        return []
    rank = local_delegates.index(own.name)
    return [
        names[min(rank, len(names) - 1)]
        for domain in _list_remote_domains(state)
        if (names := list_delegates(state, domain, now))
    ]


def send_to_remote_delegates(
    state: HostState, members: Iterable[Member], now: float, out: list[Effect]
) -> None:
    """Send changed members of this domain to the remote delegates.

    Do nothing unless this host is a delegate and homes grant slots.
    """
    own = state.identity
    changed = [m for m in members if m.failure_domain == own.failure_domain]
    if not changed or not state.settings.grants_slots or not is_delegate(state, now):
        return
    message = MembersNotice(
        failure_domain=own.failure_domain,
        records=tuple(make_record(member) for member in changed),
    )
    for name in list_remote_delegates(state, now):
        peer = state.members[name]
        out.append(SendMessage(host=name, address=peer.peers, message=message))


def record_domain_heard(state: HostState, member: Member, now: float) -> None:
    """Record when a message from another failure domain was last received."""
    if member.failure_domain != state.identity.failure_domain:
        state.domain_heard_at[member.failure_domain] = now


def detect_silent_domains(
    state: HostState, now: float, out: list[Effect]
) -> list[Member]:
    """Mark the hosts of failure domains from which nothing is received as silent.

    Return the members whose state changed.
    """
    if not is_delegate(state, now):
        # Only delegates receive frequent heartbeats from other domains, so the times
        # recorded here are meaningless until this host is a delegate again.
        state.domain_heard_at.clear()
        return []
    lost: list[Member] = []
    for domain, heard_at in list(state.domain_heard_at.items()):
        if now - heard_at <= DOMAIN_SILENCE_S:
            continue
        del state.domain_heard_at[domain]
        members = [
            member
            for member in state.members.values()
            if member.failure_domain == domain
            and member.silent_since is None
            and member.last_heard is not None
        ]
        for member in members:
            presume_silent(member, now)
        lost += members
        fields: dict[str, object] = {"failure_domain": domain, "hosts": len(members)}
        out.append(LogDecision(event="domain-silent", fields=fields))
    return lost
