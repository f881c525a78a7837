"""Heartbeats: when and to whom they are sent, and what received ones change."""

from dataclasses import replace
from typing import Final

from ..effects import (
    Effect,
    LogDecision,
    SendMessage,
    SetTimer,
)
from ..events import HostsListed, MessageReceived, PeerRefused
from ..messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    IntentsRequest,
    MembersNotice,
    Message,
)
from ..routing.forwarding import count_spare_slots
from ..routing.warmup import refresh_warmups
from ..state import HostState, IsolationStatus
from ..timers import HeartbeatDue
from .confirmation import can_revoke_keys, has_recent_word, note_newer_revision
from .delegates import (
    is_delegate,
    list_counterparts,
    list_remote_delegates,
    record_domain_heard,
)
from .dissemination import (
    detect_silent_members,
    make_digest,
    merge_members,
    spread_member,
    sync_if_digests_differ,
    update_monitors,
)
from .evacuations import expire_held_evacuations, make_evacuations_digest
from .intents_notices import make_intents_notice
from .members import (
    DELEGATE_INTERVAL_HEARTBEATS,
    REMOTE_INTERVAL_HEARTBEATS,
    Member,
    get_status,
    is_believed_alive,
    make_record,
    merge_heartbeat,
    merge_listed,
    remove_silent,
)
from .rendezvous import rank_nodes
from .views import is_leaving, update_placement

# Silent hosts that the platform does not list are removed after this time.
SILENT_TTL_S: Final = 60.0
# Minimum time between two requests for the same revision of the routing intents.
REQUEST_INTERVAL_S: Final = 0.2
# How long heartbeats are sent to a listed host that was never heard from.
UNHEARD_CONTACT_S: Final = 30.0
# Number of hosts that a heartbeat names as having the sender's revision in force.
UP_TO_DATE_COUNT: Final = 4
# Maximum number of hosts never heard from that each heartbeat is sent to.
UNHEARD_CONTACT_COUNT: Final = 8
# Number of silent hosts that each heartbeat is sent to, as a partition may have ended.
SILENT_CONTACT_COUNT: Final = 2
# Number of monitors in each other failure domain that receive a host's heartbeats
# where homes grant slots.
REMOTE_MONITOR_COUNT: Final = 1


def run_heartbeat(state: HostState, now: float, out: list[Effect]) -> None:
    """Detect silent hosts, send heartbeats, and schedule the next run."""
    remove_silent(state.members, now, SILENT_TTL_S)
    detect_silent_members(state, now, out)
    update_placement(state, now, out)
    refresh_warmups(state, now)
    expire_held_evacuations(state, now, out)
    update_monitors(state, now)
    _send_heartbeats(state, _list_recipients(state, now), now, out)
    if all(member.last_heard is None for member in state.members.values()):
        _send_to_seed_peers(state, now, out)
    interval_s = state.settings.heartbeat_s
    jitter = 0.9 + 0.2 * state.rng.random()
    out.append(SetTimer(timer=HeartbeatDue(), at=now + interval_s * jitter))


def announce_revision(state: HostState, now: float, out: list[Effect]) -> None:
    """Announce newer intents at once to neighbours and the host that accepted them."""
    own = state.identity
    if state.settings.servers_register:
        # Relays inform their failure domains. Where keys may be revoked, they also tell
        # the other domains, whose relays may be cut off from the platform.
        if can_revoke_keys(state) and state.watching:
            _send_heartbeats(state, list_remote_delegates(state, now), now, out)
        return
    names = state.rings.list_fingers(own.name, own.failure_domain)
    names += state.rings.list_all_monitors(own.name)
    names.append(state.intents.changed_through)
    _send_heartbeats(state, names, now, out)


def announce_status(state: HostState, now: float, out: list[Effect]) -> None:
    """Announce a change of this host at once to hosts that spread it further."""
    own = state.identity
    names = state.rings.list_fingers(own.name, own.failure_domain)
    names += state.rings.list_monitors(own.name, own.failure_domain)
    names += list_remote_delegates(state, now)
    _send_heartbeats(state, names, now, out)


def _list_recipients(state: HostState, now: float) -> list[str]:
    """Return the hosts to send the periodic heartbeat to; names may repeat.

    These are the monitors of this host, the other homes of its services, and some
    hosts that are silent or were never heard from.
    """
    own = state.identity
    if state.settings.grants_slots:
        names = _list_reduced_recipients(state, now)
    else:
        names = state.rings.list_all_monitors(own.name)
        for service in state.services.values():
            if service.owned:
                names += service.placement.get_all_homes()
    candidates = _list_contact_candidates(state, now)
    unheard = [
        member.name
        for member in candidates
        if member.last_heard is None and now - member.first_listed <= UNHEARD_CONTACT_S
    ]
    names += rank_nodes(own.name, unheard)[:UNHEARD_CONTACT_COUNT]
    silent = [m.name for m in candidates if m.silent_since is not None]
    names += state.rng.sample(silent, min(SILENT_CONTACT_COUNT, len(silent)))
    return names


def _list_contact_candidates(state: HostState, now: float) -> list[Member]:
    """Return the members to contact while nothing is heard from them.

    Where homes grant slots, only delegates contact other failure domains; the hosts
    there learn of this one through them.
    """
    members = state.members.values()
    if not state.settings.grants_slots or is_delegate(state, now):
        return list(members)
    own = state.identity.failure_domain
    return [member for member in members if member.failure_domain == own]


def _list_reduced_recipients(state: HostState, now: float) -> list[str]:
    """Return the local monitors and, less often, hosts of each other domain.

    Traffic between failure domains is the most expensive, and homes that grant slots
    need not report their spare slots to each other.
    """
    own = state.identity
    names = state.rings.list_monitors(own.name, own.failure_domain)
    if state.heartbeat_sequence % DELEGATE_INTERVAL_HEARTBEATS == 0:
        names += list_counterparts(state, now)
    if state.heartbeat_sequence % REMOTE_INTERVAL_HEARTBEATS == 0:
        for domain in state.rings.points:
            if domain != own.failure_domain:
                names += state.rings.list_monitors(own.name, domain)[
                    :REMOTE_MONITOR_COUNT
                ]
    return names


def _send_heartbeats(
    state: HostState, names: list[str], now: float, out: list[Effect]
) -> None:
    state.heartbeat_sequence += 1
    own = state.identity
    message = make_heartbeat(state, now)
    remote_message = message
    if state.settings.grants_slots:
        # Digests sent to other failure domains cover only this domain.
        remote_message = replace(
            message, digest=make_digest(state, now, own.failure_domain)
        )
    for name in dict.fromkeys(names):
        member = state.members.get(name)
        if member is not None and name != own.name:
            is_local = member.failure_domain == own.failure_domain
            _send_to(member, message if is_local else remote_message, out)


def _send_to_seed_peers(state: HostState, now: float, out: list[Effect]) -> None:
    """Send a heartbeat to the configured seed peers, as no host was heard from yet."""
    message = make_heartbeat(state, now)
    for address in state.settings.seed_peers:
        if address != state.identity.peers:
            out.append(SendMessage(host="", address=address, message=message))


def make_heartbeat(state: HostState, now: float) -> Heartbeat:
    """Return the heartbeat that describes this host."""
    own = state.identity
    return Heartbeat(
        host=own.name,
        incarnation=own.incarnation,
        sequence=state.heartbeat_sequence,
        failure_domain=own.failure_domain,
        region=own.region,
        callers=own.callers,
        peers=own.peers,
        revision=state.intents.revision,
        leaving=is_leaving(state),
        spare=_list_spare_slots(state, now),
        digest=make_digest(state, now),
        up_to_date=_sample_up_to_date(state),
        servers_position=state.registry.position,
        strength=own.strength,
        is_isolated=state.isolation.status is IsolationStatus.ISOLATED,
        protocol=PROTOCOL_VERSION,
        evacuations=make_evacuations_digest(state),
    )


def _list_spare_slots(state: HostState, now: float) -> tuple[tuple[str, int], ...]:
    if state.settings.grants_slots:
        return ()
    return tuple(
        (name, count_spare_slots(service, now))
        for name, service in state.services.items()
        if service.owned
    )


def _sample_up_to_date(state: HostState) -> tuple[str, ...]:
    """Return a random sample of hosts that have this host's revision in force."""
    if state.settings.grants_slots:
        return ()
    revision = state.intents.revision
    names = [m.name for m in state.members.values() if m.revision == revision]
    return tuple(state.rng.sample(names, min(UP_TO_DATE_COUNT, len(names))))


def handle_hosts_listed(
    state: HostState, event: HostsListed, out: list[Effect]
) -> None:
    """Merge the platform's host list into the members; it may be outdated."""
    hosts = tuple(h for h in event.hosts if h.name != state.identity.name)
    merge_listed(state.members, hosts, event.now)
    update_placement(state, event.now, out)


def handle_heartbeat(
    state: HostState, event: MessageReceived, heartbeat: Heartbeat, out: list[Effect]
) -> None:
    """Merge a heartbeat; request newer routing intents and spread changes."""
    if heartbeat.host == state.identity.name or heartbeat.host != event.sender:
        return
    known = state.members.get(heartbeat.host)
    before = _get_status(known)
    was_alive = known is not None and is_believed_alive(known, event.now)
    if not merge_heartbeat(state.members, heartbeat, event.now):
        _report_later_incarnation(state, heartbeat, out)
        return
    state.last_heard = event.now
    member = state.members[heartbeat.host]
    record_domain_heard(state, member, event.now)
    if before is not None and before[1]:
        state.rejoined_at = event.now
    if heartbeat.revision > state.intents.revision:
        note_newer_revision(state, event.now)
    if heartbeat.revision > state.intents.revision and _should_request_intents(
        state, member, event.now
    ):
        _send_intents_request(state, member, heartbeat.revision, event.now, out)
    for name in heartbeat.up_to_date:
        other = state.members.get(name)
        if other is not None:
            other.revision = max(other.revision, heartbeat.revision)
    is_changed = before != _get_status(member)
    # Changes that come with time alone are found when this host runs its heartbeat.
    if is_changed or not was_alive:
        update_placement(state, event.now, out)
    if is_changed:
        spread_member(state, member, "", event.now, out)
    if before is None or before[1]:
        _send_heartbeats(state, [member.name], event.now, out)
    sync_if_digests_differ(state, member, heartbeat, event.now, out)


def _report_later_incarnation(
    state: HostState, heartbeat: Heartbeat, out: list[Effect]
) -> None:
    """Tell a host of a later incarnation of it, which makes it raise its own.

    Its clock may have been ahead when an earlier process of it started.
    """
    member = state.members.get(heartbeat.host)
    if member is None or heartbeat.incarnation >= member.incarnation:
        return
    notice = MembersNotice(
        failure_domain=state.identity.failure_domain, records=(make_record(member),)
    )
    out.append(
        SendMessage(host=heartbeat.host, address=heartbeat.peers, message=notice)
    )


def handle_peer_refused(
    state: HostState, event: PeerRefused, out: list[Effect]
) -> None:
    """Mark a host that refused a connection as silent, in this host's view only.

    Its process is gone; its monitors inform the other hosts. A host that was never
    heard from is still starting and stays unchanged.
    """
    member = state.members.get(event.host)
    if member is None or member.last_heard is None or member.silent_since is not None:
        return
    member.silent_since = event.now
    fields: dict[str, object] = {"host": event.host}
    out.append(LogDecision(event="refused", fields=fields))
    update_placement(state, event.now, out)


def handle_members_notice(
    state: HostState, event: MessageReceived, notice: MembersNotice, out: list[Effect]
) -> None:
    """Merge the member records that another host sent."""
    state.last_heard = event.now
    if merge_members(state, notice, event.sender, event.now, out):
        update_placement(state, event.now, out)


def _should_request_intents(state: HostState, member: Member, now: float) -> bool:
    """Return True if newer intents should be requested from a member.

    Where relays distribute the intents, that holds for members of this failure domain
    and for a host without intents: transfers between domains are the most expensive.
    Where keys may be revoked, it also holds while no relay of this domain is heard.
    """
    if not state.settings.servers_register:
        return True
    is_local = member.failure_domain == state.identity.failure_domain
    if can_revoke_keys(state) and not has_recent_word(state, now):
        return True
    return is_local or not state.intents_known


def _get_status(member: Member | None) -> tuple[int, bool, bool, bool, int] | None:
    """Return the incarnation of a member and what others are told, if it was heard."""
    if member is None or member.last_heard is None:
        return None
    return member.incarnation, *get_status(member)


def _send_intents_request(
    state: HostState, member: Member, revision: int, now: float, out: list[Effect]
) -> None:
    """Request a revision from one host at a time, as the document may be large."""
    is_requested = revision <= state.requested_revision
    if is_requested and now - state.requested_at < REQUEST_INTERVAL_S:
        return
    state.requested_revision = revision
    state.requested_at = now
    request = IntentsRequest(host=state.identity.name, revision=state.intents.revision)
    _send_to(member, request, out)


def handle_intents_request(
    state: HostState, request: IntentsRequest, out: list[Effect]
) -> None:
    """Send the routing intents in force if they are newer than the requester's."""
    member = state.members.get(request.host)
    if member is None or state.intents_version is None:
        return
    if state.intents.revision > request.revision:
        _send_to(member, make_intents_notice(state, state.intents_version), out)


def _send_to(member: Member, message: Message, out: list[Effect]) -> None:
    out.append(SendMessage(host=member.name, address=member.peers, message=message))
