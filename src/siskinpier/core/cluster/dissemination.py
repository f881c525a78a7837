"""Failure detection and dissemination of membership without a full mesh.

As in SWIM (Das, Gupta and Motivala, 2002), a few monitors detect the failure of a
host and the result spreads through the cluster. Unlike in SWIM, each failure domain
detects failures on its own, so that during a partition between domains each side
keeps the hosts that it can reach. Heartbeats carry a digest of the view; two hosts
with different digests exchange their member records.
"""

from dataclasses import replace
from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import Heartbeat, MemberRecord, MembersNotice
from ..state import HostState, IsolationStatus
from .delegates import detect_silent_domains, is_delegate, send_to_remote_delegates
from .members import (
    REMOTE_INTERVAL_HEARTBEATS,
    SILENCE_LIMIT_HEARTBEATS,
    Member,
    detect_silence,
    is_believed_alive,
    make_record,
    merge_record,
    presume_silent,
)
from .rendezvous import compute_weight

# How long digests must differ before a host sends its records to the other one.
SYNC_AFTER_S: Final = 2.0
# Minimum time between two such exchanges started by a host.
SYNC_INTERVAL_S: Final = 5.0
# Shorter limits apply to a host that started, or heard from a silent host again, less
# than FRESH_HOST_S ago.
FRESH_HOST_S: Final = 6.0
FRESH_SYNC_AFTER_S: Final = 0.5
FRESH_SYNC_INTERVAL_S: Final = 1.0
# A host whose own heartbeat is delayed beyond this was paused. It may have missed
# messages in that time, so it declares no member silent.
PAUSE_LIMIT_HEARTBEATS: Final = 2


def update_monitors(state: HostState, now: float) -> None:
    """Update which members this host monitors according to the current rings."""
    own = state.identity
    for member in state.members.values():
        monitors = state.rings.list_monitors(member.name, own.failure_domain)
        if _has_reduced_heartbeats(state, member):
            monitors = monitors[:1]
        if own.name not in monitors:
            member.monitored_since = None
        elif member.monitored_since is None:
            member.monitored_since = now


def detect_silent_members(state: HostState, now: float, out: list[Effect]) -> bool:
    """Detect silent members and spread the change; return True if there are any."""
    heartbeat_s = state.settings.heartbeat_s
    was_paused = now - state.last_heartbeat_at > PAUSE_LIMIT_HEARTBEATS * heartbeat_s
    state.last_heartbeat_at = now
    if was_paused:
        state.last_heard = now
        state.domain_heard_at = dict.fromkeys(state.domain_heard_at, now)
        for member in state.members.values():
            if member.monitored_since is not None:
                member.monitored_since = now
        return False
    if now - state.last_heard > SILENCE_LIMIT_HEARTBEATS * heartbeat_s:
        return _presume_all_silent(state, now, out)
    silent = [
        member
        for member in state.members.values()
        if detect_silence(member, now, _get_heartbeat_interval_s(state, member))
    ]
    for member in silent:
        fields: dict[str, object] = {"host": member.name}
        out.append(LogDecision(event="silent", fields=fields))
    if state.settings.grants_slots:
        silent += detect_silent_domains(state, now, out)
    _spread_members(state, silent, "", out)
    send_to_remote_delegates(state, silent, now, out)
    return bool(silent)


def _has_reduced_heartbeats(state: HostState, member: Member) -> bool:
    """Return True if the member sends its heartbeats to this host at a reduced rate.

    That holds for hosts of other failure domains where homes grant slots.
    """
    is_remote = member.failure_domain != state.identity.failure_domain
    return is_remote and state.settings.grants_slots


def _get_heartbeat_interval_s(state: HostState, member: Member) -> float:
    factor = REMOTE_INTERVAL_HEARTBEATS if _has_reduced_heartbeats(state, member) else 1
    return state.settings.heartbeat_s * factor


def merge_members(
    state: HostState, notice: MembersNotice, sender: str, now: float, out: list[Effect]
) -> bool:
    """Merge received records and forward changes; return True if the view changed."""
    own = state.identity
    is_local = notice.failure_domain == own.failure_domain
    changed: list[Member] = []
    still_heard: list[Member] = []
    for record in notice.records:
        if record.host == own.name:
            _raise_incarnation(state, record, out)
            continue
        same_domain = is_local or record.failure_domain == notice.failure_domain
        if record.is_silent and same_domain and _has_heard_since(state, record, now):
            still_heard.append(state.members[record.host])
            continue
        if merge_record(state.members, record, now, same_domain=same_domain):
            changed.append(state.members[record.host])
    _spread_members(state, still_heard, "", out)
    _spread_members(state, changed, sender, out)
    send_to_remote_delegates(
        state, [*still_heard, *changed] if is_local else [], now, out
    )
    if notice.wants_reply:
        _send_newer_records(state, notice, sender, out)
    return bool(changed)


def sync_if_digests_differ(
    state: HostState,
    member: Member,
    heartbeat: Heartbeat,
    now: float,
    out: list[Effect],
) -> None:
    """Send member records to a host whose digest has differed for some time."""
    is_local = member.failure_domain == state.identity.failure_domain
    is_remote = not is_local and state.settings.grants_slots
    domain = member.failure_domain if is_remote else None
    if heartbeat.digest == make_digest(state, now, domain):
        member.digests_matched_at = now
        return
    if is_remote and not is_delegate(state, now):
        return
    # A host that started or reconnected was in no ring for a while, so it missed
    # most of the changes spread in that time.
    is_fresh = now - max(state.started, state.rejoined_at) <= FRESH_HOST_S
    if now - member.digests_matched_at <= (
        FRESH_SYNC_AFTER_S if is_fresh else SYNC_AFTER_S
    ):
        return
    interval_s = FRESH_SYNC_INTERVAL_S if is_fresh else SYNC_INTERVAL_S
    if now - state.last_synced_at <= interval_s:
        return
    state.last_synced_at = now
    records = tuple(make_record(m) for m in _list_heard_members(state, domain))
    message = MembersNotice(
        failure_domain=state.identity.failure_domain,
        records=records,
        wants_reply=True,
    )
    out.append(SendMessage(host=member.name, address=member.peers, message=message))


def make_digest(state: HostState, now: float, domain: str | None = None) -> int:
    """Return a digest of the hosts believed alive and of those that are isolated.

    With `domain`, cover only the hosts of that failure domain.
    """
    own = state.identity
    digest = 0
    if domain in (None, own.failure_domain):
        digest = compute_weight(own.name, str(own.incarnation))
        if state.isolation.status is IsolationStatus.ISOLATED:
            digest ^= _compute_isolation_weight(own.name)
    for member in state.members.values():
        if domain is not None and member.failure_domain != domain:
            continue
        if member.last_heard is not None and is_believed_alive(member, now):
            digest ^= member.weight
            if member.is_isolated:
                digest ^= _compute_isolation_weight(member.name)
    return digest


def _compute_isolation_weight(name: str) -> int:
    return compute_weight(name, "isolated")


def spread_member(
    state: HostState, member: Member, sender: str, now: float, out: list[Effect]
) -> None:
    """Spread a changed member in this failure domain and to remote delegates."""
    _spread_members(state, [member], sender, out)
    send_to_remote_delegates(state, [member], now, out)


def _spread_members(
    state: HostState, members: list[Member], sender: str, out: list[Effect]
) -> None:
    if not members:
        return
    own = state.identity
    message = MembersNotice(
        failure_domain=own.failure_domain,
        records=tuple(make_record(member) for member in members),
    )
    for name in state.rings.list_fingers(own.name, own.failure_domain):
        member = state.members.get(name)
        if member is not None and name != sender:
            out.append(SendMessage(host=name, address=member.peers, message=message))


def _presume_all_silent(state: HostState, now: float, out: list[Effect]) -> bool:
    """Mark all members as silent because this host receives no messages at all."""
    lost = [m for m in state.members.values() if m.silent_since is None]
    lost = [member for member in lost if member.last_heard is not None]
    for member in lost:
        presume_silent(member, now)
    if lost:
        fields: dict[str, object] = {"members": len(lost)}
        out.append(LogDecision(event="cut-off", fields=fields))
    return bool(lost)


def _has_heard_since(state: HostState, record: MemberRecord, now: float) -> bool:
    """Return True if this host monitors the member and heard from it since."""
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


def _raise_incarnation(
    state: HostState, record: MemberRecord, out: list[Effect]
) -> None:
    """Raise this host's incarnation above that of a record about itself.

    An earlier process of this host may have taken a higher incarnation from a clock
    that was ahead.
    """
    own = state.identity
    if record.incarnation <= own.incarnation:
        return
    state.identity = replace(own, incarnation=record.incarnation + 1)
    fields: dict[str, object] = {"incarnation": state.identity.incarnation}
    out.append(LogDecision(event="refute", fields=fields))


def _send_newer_records(
    state: HostState, notice: MembersNotice, sender: str, out: list[Effect]
) -> None:
    peer = state.members.get(sender)
    if peer is None:
        return
    received = {r.host: r for r in notice.records}
    own = state.identity.failure_domain
    is_remote = notice.failure_domain != own and state.settings.grants_slots
    newer = [
        member
        for member in _list_heard_members(state, own if is_remote else None)
        if _is_newer_here(member, received.get(member.name))
    ]
    if newer:
        message = MembersNotice(
            failure_domain=state.identity.failure_domain,
            records=tuple(make_record(member) for member in newer),
        )
        out.append(SendMessage(host=sender, address=peer.peers, message=message))


def _is_newer_here(member: Member, record: MemberRecord | None) -> bool:
    """Return True if the local entry of a member is newer than a received record.

    At equal versions, a member known to be silent counts as newer.
    """
    if record is None:
        return True
    known = (member.incarnation, member.sequence)
    received = (record.incarnation, record.sequence)
    if known != received:
        return known > received
    return member.silent_since is not None and not record.is_silent


def _list_heard_members(state: HostState, domain: str | None) -> list[Member]:
    """Return the members heard from; with `domain`, only those of that domain."""
    return [
        member
        for member in state.members.values()
        if member.last_heard is not None and domain in (None, member.failure_domain)
    ]
