"""Spreading what hosts know of each other, without a full mesh.

In the manner of SWIM (Das, Gupta and Motivala, 2002) a few monitors judge a host
and their finding spreads; unlike there, each failure domain judges for itself, so
that a cut between failure domains gives each side the hosts that it can reach.
Digests in heartbeats find differences, which two hosts then settle between them.
"""

from dataclasses import replace
from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import Heartbeat, MemberRecord, MembersNotice
from ..state import HostState
from .delegates import is_delegate, lose_silent_domains, tell_far
from .members import (
    FAR_HEARTBEATS,
    SILENCE_LIMIT_HEARTBEATS,
    Member,
    is_believed_alive,
    judge_silence,
    lose_sight,
    make_record,
    merge_record,
)
from .rendezvous import get_weight

SYNC_AFTER_S: Final = 2.0
SYNC_INTERVAL_S: Final = 5.0
# The same for a host that started, or heard a silent one again, less than so long ago,
# seconds.
FRESH_S: Final = 6.0
FRESH_SYNC_AFTER_S: Final = 0.5
FRESH_SYNC_INTERVAL_S: Final = 1.0
# A host whose heartbeats were this late was paused, and judges nobody by it.
PAUSED_HEARTBEATS: Final = 2


def refresh_monitors(state: HostState, now: float) -> None:
    """Note which members this host monitors in the rings of now."""
    own = state.identity
    for member in state.members.values():
        monitors = state.rings.get_monitors(member.name, own.failure_domain)
        if _is_heard_seldom(state, member):
            monitors = monitors[:1]
        if own.name not in monitors:
            member.monitored_since = None
        elif member.monitored_since is None:
            member.monitored_since = now


def judge_members(state: HostState, now: float, out: list[Effect]) -> bool:
    """Find members that fell silent and spread it; return True if there are any."""
    heartbeat_s = state.settings.heartbeat_s
    was_paused = now - state.last_heartbeat_at > PAUSED_HEARTBEATS * heartbeat_s
    state.last_heartbeat_at = now
    if was_paused:
        state.last_heard = now
        state.domain_heard_at = dict.fromkeys(state.domain_heard_at, now)
        for member in state.members.values():
            if member.monitored_since is not None:
                member.monitored_since = now
        return False
    if now - state.last_heard > SILENCE_LIMIT_HEARTBEATS * heartbeat_s:
        return _lose_everyone(state, now, out)
    silent = [
        member
        for member in state.members.values()
        if judge_silence(member, now, _get_interval_s(state, member))
    ]
    for member in silent:
        fields: dict[str, object] = {"host": member.name}
        out.append(LogDecision(event="silent", fields=fields))
    if state.settings.grants_slots:
        silent += lose_silent_domains(state, now, out)
    _spread(state, silent, "", out)
    tell_far(state, silent, now, out)
    return bool(silent)


def _is_heard_seldom(state: HostState, member: Member) -> bool:
    """Return True for a host whose heartbeats cross failure domains, at a price."""
    is_far = member.failure_domain != state.identity.failure_domain
    return is_far and state.settings.grants_slots


def _get_interval_s(state: HostState, member: Member) -> float:
    far = FAR_HEARTBEATS if _is_heard_seldom(state, member) else 1
    return state.settings.heartbeat_s * far


def take_members(
    state: HostState, notice: MembersNotice, sender: str, now: float, out: list[Effect]
) -> bool:
    """Take in records; pass on what was news; return True if anything was."""
    own = state.identity
    is_near = notice.failure_domain == own.failure_domain
    news: list[Member] = []
    objections: list[Member] = []
    for record in notice.records:
        if record.host == own.name:
            _refute(state, record, out)
            continue
        same_domain = is_near or record.failure_domain == notice.failure_domain
        if record.is_silent and same_domain and _hears(state, record, now):
            objections.append(state.members[record.host])
            continue
        if merge_record(state.members, record, now, same_domain=same_domain):
            news.append(state.members[record.host])
    _spread(state, objections, "", out)
    _spread(state, news, sender, out)
    tell_far(state, [*objections, *news] if is_near else [], now, out)
    if notice.wants_reply:
        _reply(state, notice, sender, out)
    return bool(news)


def compare_digest(
    state: HostState, member: Member, beat: Heartbeat, now: float, out: list[Effect]
) -> None:
    """Settle differences with a host that has known other members for a while."""
    is_near = member.failure_domain == state.identity.failure_domain
    is_far = not is_near and state.settings.grants_slots
    domain = member.failure_domain if is_far else None
    if beat.digest == make_digest(state, now, domain):
        member.agreed_at = now
        return
    if is_far and not is_delegate(state, now):
        return
    # Much of the news was spread while a fresh host, or one back in touch, was in
    # nobody's ring.
    is_fresh = now - max(state.started, state.rejoined_at) <= FRESH_S
    if now - member.agreed_at <= (FRESH_SYNC_AFTER_S if is_fresh else SYNC_AFTER_S):
        return
    interval_s = FRESH_SYNC_INTERVAL_S if is_fresh else SYNC_INTERVAL_S
    if now - state.last_synced_at <= interval_s:
        return
    state.last_synced_at = now
    records = tuple(make_record(m) for m in _list_spoken_of(state, domain))
    message = MembersNotice(
        failure_domain=state.identity.failure_domain,
        records=records,
        wants_reply=True,
    )
    out.append(SendMessage(host=member.name, address=member.peers, message=message))


def make_digest(state: HostState, now: float, domain: str | None = None) -> int:
    """Return a digest of the hosts believed alive, this one included.

    With a `domain`, only of the hosts of that failure domain.
    """
    own = state.identity
    digest = 0
    if domain in (None, own.failure_domain):
        digest = get_weight(own.name, str(own.incarnation))
    for member in state.members.values():
        if domain is not None and member.failure_domain != domain:
            continue
        if member.last_heard is not None and is_believed_alive(member, now):
            digest ^= member.weight
    return digest


def spread_member(
    state: HostState, member: Member, sender: str, now: float, out: list[Effect]
) -> None:
    """Pass on news of one member inside the failure domain, and to the others."""
    _spread(state, [member], sender, out)
    tell_far(state, [member], now, out)


def _spread(
    state: HostState, members: list[Member], sender: str, out: list[Effect]
) -> None:
    if not members:
        return
    own = state.identity
    message = MembersNotice(
        failure_domain=own.failure_domain,
        records=tuple(make_record(member) for member in members),
    )
    for name in state.rings.get_fingers(own.name, own.failure_domain):
        member = state.members.get(name)
        if member is not None and name != sender:
            out.append(SendMessage(host=name, address=member.peers, message=message))


def _lose_everyone(state: HostState, now: float, out: list[Effect]) -> bool:
    """Take all members for silent, as this host hears from nobody."""
    lost = [m for m in state.members.values() if m.silent_since is None]
    lost = [member for member in lost if member.last_heard is not None]
    for member in lost:
        lose_sight(member, now)
    if lost:
        fields: dict[str, object] = {"members": len(lost)}
        out.append(LogDecision(event="cut-off", fields=fields))
    return bool(lost)


def _hears(state: HostState, record: MemberRecord, now: float) -> bool:
    """Return True if this host monitors the member and has newer word of it."""
    member = state.members.get(record.host)
    if member is None or member.monitored_since is None:
        return False
    if member.silent_since is not None or member.last_heard is None:
        return False
    is_newer = (member.incarnation, member.sequence) > (
        record.incarnation,
        record.sequence,
    )
    limit_s = SILENCE_LIMIT_HEARTBEATS * state.settings.heartbeat_s / 2
    return is_newer and now - member.last_heard <= limit_s


def _refute(state: HostState, record: MemberRecord, out: list[Effect]) -> None:
    """Outrun a record of an earlier life whose clock was ahead."""
    own = state.identity
    if record.incarnation <= own.incarnation:
        return
    state.identity = replace(own, incarnation=record.incarnation + 1)
    fields: dict[str, object] = {"incarnation": state.identity.incarnation}
    out.append(LogDecision(event="refute", fields=fields))


def _reply(
    state: HostState, notice: MembersNotice, sender: str, out: list[Effect]
) -> None:
    peer = state.members.get(sender)
    if peer is None:
        return
    told = {r.host: r for r in notice.records}
    own = state.identity.failure_domain
    is_far = notice.failure_domain != own and state.settings.grants_slots
    better = [
        member
        for member in _list_spoken_of(state, own if is_far else None)
        if _knows_better(member, told.get(member.name))
    ]
    if better:
        message = MembersNotice(
            failure_domain=state.identity.failure_domain,
            records=tuple(make_record(member) for member in better),
        )
        out.append(SendMessage(host=sender, address=peer.peers, message=message))


def _knows_better(member: Member, record: MemberRecord | None) -> bool:
    """Return True if a member is known here as later, or to be silent by now."""
    if record is None:
        return True
    known = (member.incarnation, member.sequence)
    told = (record.incarnation, record.sequence)
    if known != told:
        return known > told
    return member.silent_since is not None and not record.is_silent


def _list_spoken_of(state: HostState, domain: str | None) -> list[Member]:
    """Return the members that were heard of; with a `domain`, those of it."""
    return [
        member
        for member in state.members.values()
        if member.last_heard is not None and domain in (None, member.failure_domain)
    ]
