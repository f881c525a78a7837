"""Membership: the known entry hosts and which of them are live.

Hosts do not reach consensus on their views. An outdated or different view can delay
calls, but it never decides whether a call may run.
"""

from dataclasses import dataclass, field
from typing import Final

from ..events import ListedHost
from ..messages import UNSTATED_PROTOCOL_VERSION, Heartbeat, MemberRecord
from .rendezvous import compute_weight

# Missed heartbeats after which a monitor declares a member silent.
SILENCE_LIMIT_HEARTBEATS: Final = 4
# How long a listed host that was never heard from counts as live.
LISTED_GRACE_S: Final = 3.0
# Where traffic between failure domains is expensive, only one in this many heartbeats
# is sent to other domains: by delegates, and by all other hosts.
DELEGATE_INTERVAL_HEARTBEATS: Final = 4
REMOTE_INTERVAL_HEARTBEATS: Final = 16
# Lower than the sequence number of any heartbeat, so that each one is newer.
UNKNOWN_SEQUENCE: Final = -1
# How long a report by another monitor that a member is alive prevents declaring it
# silent here.
REPORTED_ALIVE_S: Final = 10.0
# A report of silence is ignored if a newer heartbeat was received this recently.
RECENTLY_HEARD_S: Final = 1.0


@dataclass(slots=True, kw_only=True)
class Member:
    """What this host knows about another entry host."""

    name: str
    failure_domain: str
    region: str
    callers: str
    peers: str
    strength: float = 1.0
    incarnation: int = 0
    sequence: int = UNKNOWN_SEQUENCE
    revision: int = 0
    leaving: bool = False
    listed_leaving: bool = False
    listed: bool = False
    first_listed: float = 0.0
    last_heard: float | None = None
    # The member says that it reaches no backend server.
    is_isolated: bool = False
    # Protocol version that the member speaks. It is known to be higher only through
    # hosts that state versions, and does not change within an incarnation.
    protocol: int = UNSTATED_PROTOCOL_VERSION
    # When this host began to monitor the member, and when it found it silent.
    monitored_since: float | None = None
    silent_since: float | None = None
    # Another monitor reported the member alive; until then it is not declared silent.
    reported_alive_until: float = 0.0
    # When the last heartbeat with a digest equal to the local one was received.
    digests_matched_at: float = 0.0
    # Until then no slots are requested from it, as it left a request unanswered.
    unresponsive_until: float = 0.0
    # Number of spare slots by service, from the last heartbeat.
    spare: dict[str, int] = field(default_factory=dict)
    # The member's contribution to the digest of a view.
    weight: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        self.weight = compute_weight(self.name, str(self.incarnation))


def merge_listed(
    members: dict[str, Member], hosts: tuple[ListedHost, ...], now: float
) -> None:
    """Merge the platform's host list, which may be outdated.

    A listed host that was never heard from counts as live for a grace period only. A
    host missing from the list stays as long as its heartbeats arrive.
    """
    listed = {host.name for host in hosts}
    for name, member in members.items():
        member.listed = name in listed
    for host in hosts:
        member = members.setdefault(host.name, _make_member(host, now))
        member.listed = True
        member.listed_leaving = host.leaving
        if member.last_heard is None:
            member.callers = host.callers
            member.peers = host.peers
            member.strength = host.strength


def merge_heartbeat(
    members: dict[str, Member], heartbeat: Heartbeat, now: float
) -> bool:
    """Merge a heartbeat; return False if it is not newer than the last one."""
    member = members.get(heartbeat.host)
    if member is not None:
        known = (member.incarnation, member.sequence)
        if (heartbeat.incarnation, heartbeat.sequence) <= known:
            return False
    if member is None or heartbeat.incarnation > member.incarnation:
        member = Member(
            name=heartbeat.host,
            failure_domain=heartbeat.failure_domain,
            region=heartbeat.region,
            callers=heartbeat.callers,
            peers=heartbeat.peers,
            strength=heartbeat.strength,
            incarnation=heartbeat.incarnation,
            listed=member.listed if member else False,
            listed_leaving=False,
        )
        members[heartbeat.host] = member
    member.sequence = heartbeat.sequence
    member.revision = heartbeat.revision
    # The leaving flag is never reset within an incarnation.
    member.leaving = member.leaving or heartbeat.leaving
    member.last_heard = now
    member.silent_since = None
    member.spare = dict(heartbeat.spare)
    member.is_isolated = heartbeat.is_isolated
    member.protocol = max(member.protocol, heartbeat.protocol)
    return True


def merge_record(
    members: dict[str, Member], record: MemberRecord, now: float, *, same_domain: bool
) -> bool:
    """Merge a record from another host; return True if the view changes.

    A report of silence counts only if it was made in the failure domain of this host
    or of the reported one. `same_domain` is False for any other report.
    """
    if record.is_silent and not same_domain:
        return False
    member = members.get(record.host)
    known = (member.incarnation, member.sequence) if member is not None else (-1, -1)
    reported = (record.incarnation, record.sequence)
    if not record.is_silent and reported <= known:
        return _raise_protocol(member, record)
    if record.is_silent and _is_newer_than_silence(member, record, now):
        return False
    is_new_incarnation = member is None or record.incarnation > member.incarnation
    if member is None or is_new_incarnation:
        member = _make_member_from_record(record, member)
        members[record.host] = member
    status_before = get_status(member)
    if record.is_silent and record.sequence == UNKNOWN_SEQUENCE:
        member.sequence = UNKNOWN_SEQUENCE
    member.sequence = max(member.sequence, record.sequence)
    member.revision = max(member.revision, record.revision)
    member.leaving = member.leaving or record.leaving
    _raise_protocol(member, record)
    if reported > known:
        member.is_isolated = record.is_isolated
    if record.is_silent:
        member.silent_since = member.silent_since or now
    else:
        if member.silent_since is not None:
            member.reported_alive_until = now + REPORTED_ALIVE_S
        member.silent_since = None
        member.last_heard = now
    return is_new_incarnation or status_before != get_status(member)


def _raise_protocol(member: Member | None, record: MemberRecord) -> bool:
    """Note a higher protocol version of the same incarnation; return True if it is.

    Records that pass a host of version 8 lose the version that they state.
    """
    if member is None or member.incarnation != record.incarnation:
        return False
    is_higher = record.protocol > member.protocol
    member.protocol = max(member.protocol, record.protocol)
    return is_higher


def get_status(member: Member) -> tuple[bool, bool, bool, int]:
    """Return what other hosts are told of when it changes."""
    is_silent = member.silent_since is not None
    return is_silent, member.leaving, member.is_isolated, member.protocol


def _is_newer_than_silence(
    member: Member | None, record: MemberRecord, now: float
) -> bool:
    """Return True if something newer than a report of silence is known."""
    if member is None or record.incarnation > member.incarnation:
        return False
    if record.incarnation < member.incarnation:
        return True
    is_newer = member.sequence > record.sequence
    heard = member.last_heard if member.last_heard is not None else 0.0
    return is_newer and now - heard <= RECENTLY_HEARD_S


def make_record(member: Member) -> MemberRecord:
    """Return the record of a member for sending to other hosts."""
    return MemberRecord(
        host=member.name,
        incarnation=member.incarnation,
        sequence=member.sequence,
        failure_domain=member.failure_domain,
        region=member.region,
        callers=member.callers,
        peers=member.peers,
        revision=member.revision,
        leaving=member.leaving,
        is_silent=member.silent_since is not None,
        strength=member.strength,
        is_isolated=member.is_isolated,
        protocol=member.protocol,
    )


def is_live(member: Member, now: float, heartbeat_s: float) -> bool:
    """Return True if calls can be sent to the host."""
    if member.leaving or member.listed_leaving:
        return False
    return is_believed_alive(member, now)


def is_believed_alive(member: Member, now: float) -> bool:
    """Return True unless the host is silent.

    A host that was never heard from counts as alive for `LISTED_GRACE_S` after it was
    first listed.
    """
    if member.last_heard is None:
        return now - member.first_listed <= LISTED_GRACE_S
    return member.silent_since is None


def presume_silent(member: Member, now: float) -> None:
    """Mark a member as silent that may be alive beyond a network partition.

    Its sequence number is reset, so that any record of it counts, even an older one.
    """
    member.silent_since = now
    member.sequence = UNKNOWN_SEQUENCE


def detect_silence(member: Member, now: float, heartbeat_s: float) -> bool:
    """Mark a monitored member that became silent; return True if it did."""
    if member.monitored_since is None or member.last_heard is None:
        return False
    if member.silent_since is not None or now < member.reported_alive_until:
        return False
    heard = max(member.last_heard, member.monitored_since)
    if now - heard <= SILENCE_LIMIT_HEARTBEATS * heartbeat_s:
        return False
    member.silent_since = now
    return True


def remove_silent(members: dict[str, Member], now: float, keep_s: float) -> None:
    """Remove hosts that are not listed and have been silent for `keep_s` seconds."""
    for name, member in list(members.items()):
        since = member.silent_since
        if member.last_heard is None:
            since = member.first_listed
        if not member.listed and since is not None and now - since > keep_s:
            del members[name]


def _make_member_from_record(record: MemberRecord, old: Member | None) -> Member:
    return Member(
        name=record.host,
        failure_domain=record.failure_domain,
        region=record.region,
        callers=record.callers,
        peers=record.peers,
        strength=record.strength,
        incarnation=record.incarnation,
        listed=old.listed if old is not None else False,
    )


def _make_member(host: ListedHost, now: float) -> Member:
    return Member(
        name=host.name,
        failure_domain=host.failure_domain,
        region=host.region,
        callers=host.callers,
        peers=host.peers,
        strength=host.strength,
        first_listed=now,
    )
