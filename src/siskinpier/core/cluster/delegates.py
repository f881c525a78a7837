"""The few hosts of a failure domain that speak for it to the other ones.

Where bytes between failure domains are dear, only these hear each other often. News
of their own domain's hosts goes from them to the delegates of the others at once, and
a domain all of whose hosts stay silent is taken for cut off.
"""

from collections.abc import Iterable
from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import MembersNotice
from ..state import HostState
from .members import Member, is_live, lose_sight, make_record
from .rendezvous import rank_strongest

DELEGATES: Final = 2
# A failure domain that no delegate of this one heard for so long is cut off, seconds.
DOMAIN_SILENCE_S: Final = 5.0


def list_delegates(state: HostState, failure_domain: str, now: float) -> list[str]:
    """Return the strongest live hosts of a failure domain, which speak for it."""
    own = state.identity
    heartbeat_s = state.settings.heartbeat_s
    strengths = {
        member.name: member.strength
        for member in state.members.values()
        if member.failure_domain == failure_domain and is_live(member, now, heartbeat_s)
    }
    if own.failure_domain == failure_domain:
        strengths[own.name] = own.strength
    return rank_strongest(f"delegate/{failure_domain}", strengths)[:DELEGATES]


def is_delegate(state: HostState, now: float) -> bool:
    """Return True if this host speaks for its failure domain."""
    own = state.identity
    return own.name in list_delegates(state, own.failure_domain, now)


def list_far_delegates(state: HostState, now: float) -> list[str]:
    """Return those who speak for the other failure domains."""
    return [
        name
        for domain in _list_far_domains(state)
        for name in list_delegates(state, domain, now)
    ]


def _list_far_domains(state: HostState) -> list[str]:
    domains = {member.failure_domain for member in state.members.values()}
    return sorted(domains - {state.identity.failure_domain})


def list_counterparts(state: HostState, now: float) -> list[str]:
    """Return the delegates of other domains that hear this one's heartbeats.

    The first of each domain hears the first, and so on.
    """
    own = state.identity
    near = list_delegates(state, own.failure_domain, now)
    if own.name not in near:
        return []
    place = near.index(own.name)
    return [
        names[min(place, len(names) - 1)]
        for domain in _list_far_domains(state)
        if (names := list_delegates(state, domain, now))
    ]


def tell_far(
    state: HostState, members: Iterable[Member], now: float, out: list[Effect]
) -> None:
    """Tell the other domains' delegates of news, if this host speaks for its own."""
    own = state.identity
    news = [m for m in members if m.failure_domain == own.failure_domain]
    if not news or not state.settings.grants_slots or not is_delegate(state, now):
        return
    message = MembersNotice(
        failure_domain=own.failure_domain,
        records=tuple(make_record(member) for member in news),
    )
    for name in list_far_delegates(state, now):
        peer = state.members[name]
        out.append(SendMessage(host=name, address=peer.peers, message=message))


def note_heard(state: HostState, member: Member, now: float) -> None:
    """Note that a host of another failure domain was heard by this one."""
    if member.failure_domain != state.identity.failure_domain:
        state.domain_heard_at[member.failure_domain] = now


def lose_silent_domains(
    state: HostState, now: float, out: list[Effect]
) -> list[Member]:
    """Take the hosts of domains that fell silent for silent; return them."""
    if not is_delegate(state, now):
        # Others hear them; this host would judge anew from when it speaks again.
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
            lose_sight(member, now)
        lost += members
        fields: dict[str, object] = {"failure_domain": domain, "hosts": len(members)}
        out.append(LogDecision(event="domain-silent", fields=fields))
    return lost
