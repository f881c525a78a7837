"""Acting as one of many hosts: heartbeats, views, and placement from them."""

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
    Heartbeat,
    IntentsNotice,
    IntentsRequest,
    MembersNotice,
    Message,
)
from ..routing.forwarding import count_spare
from ..state import HostState
from ..timers import HeartbeatDue
from .delegates import is_delegate, list_counterparts, note_heard
from .dissemination import (
    compare_digest,
    judge_members,
    make_digest,
    refresh_monitors,
    spread_member,
    take_members,
)
from .members import (
    DELEGATE_HEARTBEATS,
    FAR_HEARTBEATS,
    Member,
    forget_silent,
    is_believed_alive,
    merge_heartbeat,
    merge_listed,
)
from .rendezvous import rank_nodes
from .views import is_leaving, refresh_placement

FORGET_SILENT_S: Final = 60.0
ASK_INTERVAL_S: Final = 0.2
GREET_S: Final = 30.0
UP_TO_DATE_TOLD: Final = 4
GREETED_LIMIT: Final = 8
# Silent hosts that are tried with each heartbeat, as a cut may have ended.
SILENT_TRIED: Final = 2
# Hosts of another failure domain that hear a host's heartbeats, where these are dear.
FAR_MONITORS: Final = 1


def beat(state: HostState, now: float, out: list[Effect]) -> None:
    """Send heartbeats, judge the silence of others, and set the next timer."""
    forget_silent(state.members, now, FORGET_SILENT_S)
    judge_members(state, now, out)
    refresh_placement(state, now, out)
    refresh_monitors(state, now)
    _send_heartbeats(state, _list_listeners(state, now), now, out)
    if all(member.last_heard is None for member in state.members.values()):
        _greet_seeds(state, now, out)
    interval_s = state.settings.heartbeat_s
    jitter = 0.9 + 0.2 * state.rng.random()
    out.append(SetTimer(timer=HeartbeatDue(), at=now + interval_s * jitter))


def announce_revision(state: HostState, now: float, out: list[Effect]) -> None:
    """Tell neighbours at once of newer intents, and the host that accepted them."""
    own = state.identity
    if state.settings.servers_register:
        return  # Relays tell their failure domains.
    names = state.rings.get_fingers(own.name, own.failure_domain)
    names += state.rings.get_all_monitors(own.name)
    names.append(state.intents.changed_through)
    _send_heartbeats(state, names, now, out)


def _list_listeners(state: HostState, now: float) -> list[str]:
    """Return the monitors, the other homes of own services, and hosts out of touch."""
    own = state.identity
    if state.settings.grants_slots:
        names = _list_thrifty_listeners(state, now)
    else:
        names = state.rings.get_all_monitors(own.name)
        for service in state.services.values():
            if service.owned:
                names += service.placement.get_all_homes()
    greeted = _list_greeted(state, now)
    unheard = [
        member.name
        for member in greeted
        if member.last_heard is None and now - member.first_listed <= GREET_S
    ]
    names += rank_nodes(own.name, unheard)[:GREETED_LIMIT]
    silent = [m.name for m in greeted if m.silent_since is not None]
    names += state.rng.sample(silent, min(SILENT_TRIED, len(silent)))
    return names


def _list_greeted(state: HostState, now: float) -> list[Member]:
    """Return the hosts that this one greets if they are out of touch.

    Those of other failure domains hear of it from the hosts that speak for it.
    """
    members = state.members.values()
    if not state.settings.grants_slots or is_delegate(state, now):
        return list(members)
    own = state.identity.failure_domain
    return [member for member in members if member.failure_domain == own]


def _list_thrifty_listeners(state: HostState, now: float) -> list[str]:
    """Return the monitors here, and at times one in each other failure domain.

    Bytes between failure domains cost most, and homes that grant slots need not tell
    each other of their room.
    """
    own = state.identity
    names = state.rings.get_monitors(own.name, own.failure_domain)
    if state.heartbeat_sequence % DELEGATE_HEARTBEATS == 0:
        names += list_counterparts(state, now)
    if state.heartbeat_sequence % FAR_HEARTBEATS == 0:
        for domain in state.rings.points:
            if domain != own.failure_domain:
                names += state.rings.get_monitors(own.name, domain)[:FAR_MONITORS]
    return names


def _send_heartbeats(
    state: HostState, names: list[str], now: float, out: list[Effect]
) -> None:
    state.heartbeat_sequence += 1
    own = state.identity
    message = make_heartbeat(state, now)
    far = message
    if state.settings.grants_slots:
        # Another failure domain hears of this one alone.
        far = replace(message, digest=make_digest(state, now, own.failure_domain))
    for name in dict.fromkeys(names):
        member = state.members.get(name)
        if member is not None and name != own.name:
            is_near = member.failure_domain == own.failure_domain
            _send_to(member, message if is_near else far, out)


def _greet_seeds(state: HostState, now: float, out: list[Effect]) -> None:
    """Send a heartbeat to the peers of the settings, as no host was heard yet."""
    message = make_heartbeat(state, now)
    for address in state.settings.seed_peers:
        if address != state.identity.peers:
            out.append(SendMessage(host="", address=address, message=message))


def make_heartbeat(state: HostState, now: float) -> Heartbeat:
    """Return this host's heartbeat."""
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
        spare=_make_spare(state, now),
        digest=make_digest(state, now),
        up_to_date=_sample_up_to_date(state),
        servers_position=state.registry.position,
        strength=own.strength,
    )


def _make_spare(state: HostState, now: float) -> tuple[tuple[str, int], ...]:
    if state.settings.grants_slots:
        return ()
    return tuple(
        (name, count_spare(service, now))
        for name, service in state.services.items()
        if service.owned
    )


def _sample_up_to_date(state: HostState) -> tuple[str, ...]:
    """Return a few of the hosts known to have this host's revision in force."""
    if state.settings.grants_slots:
        return ()
    revision = state.intents.revision
    names = [m.name for m in state.members.values() if m.revision == revision]
    return tuple(state.rng.sample(names, min(UP_TO_DATE_TOLD, len(names))))


def take_hosts(state: HostState, event: HostsListed, out: list[Effect]) -> None:
    """Take in the platform's host list as a hint."""
    hosts = tuple(h for h in event.hosts if h.name != state.identity.name)
    merge_listed(state.members, hosts, event.now)
    refresh_placement(state, event.now, out)


def take_heartbeat(
    state: HostState, event: MessageReceived, beat: Heartbeat, out: list[Effect]
) -> None:
    """Take in a heartbeat; ask for or pass on newer routing intents."""
    if beat.host == state.identity.name or beat.host != event.sender:
        return
    known = state.members.get(beat.host)
    before = _get_standing(known)
    was_alive = known is not None and is_believed_alive(known, event.now)
    if not merge_heartbeat(state.members, beat, event.now):
        return
    state.last_heard = event.now
    member = state.members[beat.host]
    note_heard(state, member, event.now)
    if before is not None and before[2]:
        state.rejoined_at = event.now
    if beat.revision > state.intents.revision and _may_ask(state, member):
        _ask_intents(state, member, beat.revision, event.now, out)
    for name in beat.up_to_date:
        other = state.members.get(name)
        if other is not None:
            other.revision = max(other.revision, beat.revision)
    is_news = before != _get_standing(member)
    # What only time changes in the view is found at this host's own heartbeat.
    if is_news or not was_alive:
        refresh_placement(state, event.now, out)
    if is_news:
        spread_member(state, member, "", event.now, out)
    if before is None or before[2]:
        _send_heartbeats(state, [member.name], event.now, out)
    compare_digest(state, member, beat, event.now, out)


def take_refusal(state: HostState, event: PeerRefused, out: list[Effect]) -> None:
    """Take a host whose process is gone for silent, in this host's view alone.

    Its monitors tell the others. A host that was never heard is still starting.
    """
    member = state.members.get(event.host)
    if member is None or member.last_heard is None or member.silent_since is not None:
        return
    member.silent_since = event.now
    fields: dict[str, object] = {"host": event.host}
    out.append(LogDecision(event="refused", fields=fields))
    refresh_placement(state, event.now, out)


def take_members_notice(
    state: HostState, event: MessageReceived, notice: MembersNotice, out: list[Effect]
) -> None:
    """Take in what another host knows of members."""
    state.last_heard = event.now
    if take_members(state, notice, event.sender, event.now, out):
        refresh_placement(state, event.now, out)


def _may_ask(state: HostState, member: Member) -> bool:
    """Return True unless the relays will tell of newer intents soon.

    Documents between failure domains cost most, so they go only to a host that
    the platform does not answer.
    """
    if not state.settings.servers_register:
        return True
    is_near = member.failure_domain == state.identity.failure_domain
    return is_near or not state.intents_known


def _get_standing(member: Member | None) -> tuple[int, bool, bool] | None:
    if member is None or member.last_heard is None:
        return None
    return member.incarnation, member.leaving, member.silent_since is not None


def _ask_intents(
    state: HostState, member: Member, revision: int, now: float, out: list[Effect]
) -> None:
    """Ask one host at a time for a revision, as the document may be large."""
    is_asked = revision <= state.requested_revision
    if is_asked and now - state.requested_at < ASK_INTERVAL_S:
        return
    state.requested_revision = revision
    state.requested_at = now
    request = IntentsRequest(host=state.identity.name, revision=state.intents.revision)
    _send_to(member, request, out)


def answer_intents_request(
    state: HostState, request: IntentsRequest, out: list[Effect]
) -> None:
    """Pass on the routing intents in force if they are newer."""
    member = state.members.get(request.host)
    if member is None or state.intents_version is None:
        return
    if state.intents.revision > request.revision:
        notice = IntentsNotice(version=state.intents_version, intents=state.intents)
        _send_to(member, notice, out)


def _send_to(member: Member, message: Message, out: list[Effect]) -> None:
    out.append(SendMessage(host=member.name, address=member.peers, message=message))
