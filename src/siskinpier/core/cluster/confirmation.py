"""Whether the routing intents in force are the newest, where calls need keys.

The platform's answer to this host's own watch confirms it, and so does the report of a
relay, whose watches work. After a start or a pause a host accepts no key until one of
them has confirmed it, or until none of the peers that it asked has sent newer intents.
"""

from typing import Final

from ..effects import Effect, LogDecision, SendMessage
from ..messages import IntentsRequest
from ..state import HostState, Lifecycle
from .broadcast import send_to_domain
from .delegates import list_remote_delegates
from .intents_notices import make_intents_notice
from .members import is_live

# A relay reports every 0.3 s, so that two lost reports make the host doubt.
WORD_VALID_S: Final = 0.7
# A host whose heartbeat is delayed beyond this was paused. With what it may miss before
# (one report) and after (the settling time), a revoked key is out of force in 2.5 s.
PAUSE_LIMIT_HEARTBEATS: Final = 3
# Reports that waited in a socket during a pause are handled within this time.
SETTLE_S: Final = 0.35
# How long peers that were asked for newer routing intents may take to send them.
PEER_ANSWER_S: Final = 0.9
# How long a host that knows of newer routing intents waits for them before it asks for
# them, and before it accepts no key.
REQUEST_AFTER_S: Final = 0.3
BEHIND_LIMIT_S: Final = 0.8


def can_revoke_keys(state: HostState) -> bool:
    """Return True if the configuration, or the settings, make keys required.

    With the settings alone, a host may not know yet that the configuration has keys.
    """
    return state.intents.requires_keys or state.settings.revoke_s > 0.0


def start_confirmation(state: HostState, now: float) -> None:
    """Await a confirmation after the start of this host."""
    state.confirmation.doubted_since = now
    state.confirmation.settles_at = now


def has_recent_word(state: HostState, now: float) -> bool:
    """Return True if the platform or a relay confirms the revision in force."""
    relay = state.relay
    if state.watching and relay.confirmed_at > 0.0 and relay.lost_at is None:
        return True
    confirmed_at = state.confirmation.confirmed_at
    return confirmed_at is not None and now - confirmed_at <= WORD_VALID_S


def is_in_doubt(state: HostState, now: float) -> bool:
    """Return True if nobody has confirmed the intents since a start or a pause."""
    if not state.settings.servers_register:
        return False
    return state.confirmation.doubted_since is not None or _is_paused(state, now)


def knows_newest(state: HostState, now: float) -> bool:
    """Return True if, as far as this host can tell, no newer intents are in force."""
    if state.behind_since is not None or is_in_doubt(state, now):
        return False
    return not state.settings.servers_register or has_recent_word(state, now)


def get_silence_s(state: HostState, now: float) -> float:
    """Return for how long neither the platform nor any peer was heard, in seconds."""
    if has_recent_word(state, now):
        return 0.0
    confirmed_at = state.confirmation.confirmed_at or state.started
    return now - max(confirmed_at, state.last_heard)


def confirm_revision(
    state: HostState, revision: int, now: float, out: list[Effect]
) -> None:
    """Record that a revision is the newest, as the platform or a relay says."""
    confirmation = state.confirmation
    confirmation.newest_revision = revision
    confirmation.newest_at = now
    if revision == state.intents.revision and revision > 0:
        _confirm(state, "platform", now, out)
    elif revision > state.intents.revision:
        note_newer_revision(state, now)


def confirm_applied(state: HostState, now: float, out: list[Effect]) -> None:
    """Record that other routing intents were put in force."""
    confirmation = state.confirmation
    is_newest = confirmation.newest_revision == state.intents.revision
    if is_newest and now - confirmation.newest_at <= WORD_VALID_S:
        _confirm(state, "platform", now, out)


def note_newer_revision(state: HostState, now: float) -> None:
    """Record that a peer has newer routing intents, where calls need keys."""
    is_starting = state.lifecycle is Lifecycle.STARTING
    if can_revoke_keys(state) and not is_starting and state.behind_since is None:
        state.behind_since = now


def note_pause(state: HostState, now: float, out: list[Effect]) -> None:
    """Doubt the routing intents after a pause of this host."""
    if not can_revoke_keys(state) or not _is_paused(state, now):
        return
    paused_s = round(now - state.last_heartbeat_at, 3)
    out.append(LogDecision(event="intents-doubted", fields={"paused_s": paused_s}))
    confirmation = state.confirmation
    confirmation.doubted_since = now
    confirmation.settles_at = now + SETTLE_S
    confirmation.asked_at = None


def run_confirmation(state: HostState, now: float, out: list[Effect]) -> None:
    """Ask peers for newer routing intents if this host cannot be sure of its own."""
    if not can_revoke_keys(state) or not state.settings.servers_register:
        return
    _request_known_newer(state, now, out)
    confirmation = state.confirmation
    if confirmation.doubted_since is None:
        return
    if now - max(confirmation.doubted_since, state.first_intents_at) < WORD_VALID_S:
        return  # A relay will probably report.
    if confirmation.asked_at is None:
        confirmation.asked_at = now
        _ask_peers(state, now, out)
        return
    is_answered = now - confirmation.asked_at >= PEER_ANSWER_S
    if is_answered and _find_newest_peer(state, now) is None:
        _confirm(state, "peers", now, out)


def pass_on_intents(state: HostState, sender: str, out: list[Effect]) -> None:
    """Send routing intents from another failure domain to this host's own.

    They were requested there because no relay of this domain sent them.
    """
    member = state.members.get(sender)
    if member is None or member.failure_domain == state.identity.failure_domain:
        return
    if state.intents_version is None:
        return
    fields: dict[str, object] = {"revision": state.intents.revision, "host": sender}
    out.append(LogDecision(event="intents-passed-on", fields=fields))
    send_to_domain(state, make_intents_notice(state, state.intents_version), out)


def _confirm(state: HostState, source: str, now: float, out: list[Effect]) -> None:
    confirmation = state.confirmation
    since = confirmation.doubted_since
    if since is not None:
        if now < confirmation.settles_at:
            return
        confirmation.doubted_since = None
        if can_revoke_keys(state):
            fields: dict[str, object] = {
                "revision": state.intents.revision,
                "by": source,
                "after_s": round(now - since, 3),
            }
            out.append(LogDecision(event="intents-confirmed", fields=fields))
    if source != "peers":
        confirmation.confirmed_at = now


def _is_paused(state: HostState, now: float) -> bool:
    limit_s = PAUSE_LIMIT_HEARTBEATS * state.settings.heartbeat_s
    last = state.last_heartbeat_at
    return last > 0.0 and now - last > limit_s


def _ask_peers(state: HostState, now: float, out: list[Effect]) -> None:
    request = IntentsRequest(host=state.identity.name, revision=state.intents.revision)
    send_to_domain(state, request, out)
    for name in list_remote_delegates(state, now):
        address = state.members[name].peers
        out.append(SendMessage(host=name, address=address, message=request))


def _request_known_newer(state: HostState, now: float, out: list[Effect]) -> None:
    """Request newer intents that a peer has, as they did not come by themselves."""
    if state.behind_since is None or now - state.behind_since < REQUEST_AFTER_S:
        return
    name = _find_newest_peer(state, now)
    if name is not None:
        request = IntentsRequest(
            host=state.identity.name, revision=state.intents.revision
        )
        address = state.members[name].peers
        out.append(SendMessage(host=name, address=address, message=request))


def _find_newest_peer(state: HostState, now: float) -> str | None:
    """Return a live peer with newer intents, if possible of this failure domain."""
    own = state.identity.failure_domain
    heartbeat_s = state.settings.heartbeat_s
    newer = [
        (member.revision, member.failure_domain == own, member.name)
        for member in state.members.values()
        if member.revision > state.intents.revision
        and is_live(member, now, heartbeat_s)
    ]
    return max(newer)[2] if newer else None
