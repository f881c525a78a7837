"""Membership: which entry hosts are live, from what each host last heard.

Nothing here is agreed between hosts. A view that lags or differs makes calls
slower; it never decides whether a call may run.
"""

from dataclasses import dataclass, field
from typing import Final

from ..events import ListedHost
from ..messages import Heartbeat, MemberRecord
from .rendezvous import get_weight

SILENCE_LIMIT_HEARTBEATS: Final = 4
LISTED_GRACE_S: Final = 3.0
# Heartbeats of which one goes to other failure domains, where bytes there are dear:
# from the hosts that speak for their domain, and from all others.
DELEGATE_HEARTBEATS: Final = 4
FAR_HEARTBEATS: Final = 16
# Stands below the number of every heartbeat, so that each is news.
ANY_SEQUENCE: Final = -1
VOUCHED_S: Final = 10.0
FRESH_WORD_S: Final = 1.0


@dataclass(slots=True, kw_only=True)
class Member:
    """What is known of one entry host."""

    name: str
    failure_domain: str
    region: str
    callers: str
    peers: str
    strength: float = 1.0
    incarnation: int = 0
    sequence: int = ANY_SEQUENCE
    revision: int = 0
    leaving: bool = False
    listed_leaving: bool = False
    listed: bool = False
    first_listed: float = 0.0
    last_heard: float | None = None
    # Times at which this host began to monitor the member, and found it silent.
    monitored_since: float | None = None
    silent_since: float | None = None
    # Until then another monitor's word is taken that the member is alive.
    vouched_until: float = 0.0
    # The time of the last heartbeat that showed the same members as known here.
    agreed_at: float = 0.0
    # Until then it is asked for no slots, as it left a request without a word.
    doubted_until: float = 0.0
    spare: dict[str, int] = field(default_factory=dict)
    # The member's part of digests of a view.
    weight: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        self.weight = get_weight(self.name, str(self.incarnation))


def merge_listed(
    members: dict[str, Member], hosts: tuple[ListedHost, ...], now: float
) -> None:
    """Take in the platform's host list, which lags.

    A listed host that was never heard counts as live for a short grace only.
    A host that is missing from the list stays while its heartbeats come.
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


def merge_heartbeat(members: dict[str, Member], beat: Heartbeat, now: float) -> bool:
    """Take in a heartbeat; return False for one that is older than the last."""
    member = members.get(beat.host)
    if member is not None:
        known = (member.incarnation, member.sequence)
        if (beat.incarnation, beat.sequence) <= known:
            return False
    if member is None or beat.incarnation > member.incarnation:
        member = Member(
            name=beat.host,
            failure_domain=beat.failure_domain,
            region=beat.region,
            callers=beat.callers,
            peers=beat.peers,
            strength=beat.strength,
            incarnation=beat.incarnation,
            listed=member.listed if member else False,
            listed_leaving=False,
        )
        members[beat.host] = member
    member.sequence = beat.sequence
    member.revision = beat.revision
    # A leaving mark stays for the whole incarnation.
    member.leaving = member.leaving or beat.leaving
    member.last_heard = now
    member.silent_since = None
    member.spare = dict(beat.spare)
    return True


def merge_record(
    members: dict[str, Member], record: MemberRecord, now: float, *, same_domain: bool
) -> bool:
    """Take in what another host knows; return True if that changes the view.

    Silence is a word about one failure domain's hosts; with `same_domain` False it
    comes from another one than theirs and this host's, and does not count.
    """
    if record.is_silent and not same_domain:
        return False
    member = members.get(record.host)
    known = (member.incarnation, member.sequence) if member is not None else (-1, -1)
    told = (record.incarnation, record.sequence)
    if not record.is_silent and told <= known:
        return False
    if record.is_silent and _outruns_silence(member, record, now):
        return False
    is_new = member is None or record.incarnation > member.incarnation
    if member is None or is_new:
        member = _make_member_of_record(record, member)
        members[record.host] = member
    was = (member.silent_since is not None, member.leaving)
    if record.is_silent and record.sequence == ANY_SEQUENCE:
        member.sequence = ANY_SEQUENCE
    member.sequence = max(member.sequence, record.sequence)
    member.revision = max(member.revision, record.revision)
    member.leaving = member.leaving or record.leaving
    if record.is_silent:
        member.silent_since = member.silent_since or now
    else:
        if member.silent_since is not None:
            member.vouched_until = now + VOUCHED_S
        member.silent_since = None
        member.last_heard = now
    return is_new or was != (member.silent_since is not None, member.leaving)


def _outruns_silence(member: Member | None, record: MemberRecord, now: float) -> bool:
    """Return True if newer word of a member is known than its silence."""
    if member is None or record.incarnation > member.incarnation:
        return False
    if record.incarnation < member.incarnation:
        return True
    is_newer = member.sequence > record.sequence
    heard = member.last_heard if member.last_heard is not None else 0.0
    return is_newer and now - heard <= FRESH_WORD_S


def make_record(member: Member) -> MemberRecord:
    """Return what is known here of a member, to be passed on."""
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
    )


def is_live(member: Member, now: float, heartbeat_s: float) -> bool:
    """Return True if the host may be sent calls."""
    if member.leaving or member.listed_leaving:
        return False
    return is_believed_alive(member, now)


def is_believed_alive(member: Member, now: float) -> bool:
    """Return True unless the host was never heard or its monitors say silence."""
    if member.last_heard is None:
        return now - member.first_listed <= LISTED_GRACE_S
    return member.silent_since is None


def lose_sight(member: Member, now: float) -> None:
    """Take a member for silent that may be well behind a cut.

    Any word of it counts again, also one from before.
    """
    member.silent_since = now
    member.sequence = ANY_SEQUENCE


def judge_silence(member: Member, now: float, heartbeat_s: float) -> bool:
    """Return True if a monitored member has just become silent."""
    if member.monitored_since is None or member.last_heard is None:
        return False
    if member.silent_since is not None or now < member.vouched_until:
        return False
    heard = max(member.last_heard, member.monitored_since)
    if now - heard <= SILENCE_LIMIT_HEARTBEATS * heartbeat_s:
        return False
    member.silent_since = now
    return True


def forget_silent(members: dict[str, Member], now: float, keep_s: float) -> None:
    """Drop hosts that are not listed and were silent for `keep_s` seconds."""
    for name, member in list(members.items()):
        since = member.silent_since
        if member.last_heard is None:
            since = member.first_listed
        if not member.listed and since is not None and now - since > keep_s:
            del members[name]


def _make_member_of_record(record: MemberRecord, old: Member | None) -> Member:
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
