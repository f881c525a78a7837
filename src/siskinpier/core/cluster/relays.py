"""Which hosts watch the platform for their failure domain.

The first live host of a domain by rank is its relay: it watches, passes on what
it hears, and tells several times a second that its watches work. Where that word
stays away, the next hosts by rank begin to watch one after another, and the first
whose watches work is heard in the relay's place.
"""

from typing import Final

from ..effects import Effect, LogDecision, SetTimer, WatchIntents
from ..events import PlatformLost, PlatformReached
from ..messages import IntentsNotice, IntentsRequest, RelayReport
from ..routing.slot_requests import send_to
from ..state import HostState
from ..timers import RelayDue
from .broadcast import tell_domain
from .registry_notices import request_servers
from .rendezvous import rank_strongest
from .views import get_live_hosts

WORD_INTERVAL_S: Final = 0.3
# Time without a relay's word until the next host by rank watches itself, and how
# much longer each further host waits.
SUBSTITUTE_AFTER_S: Final = 0.8
SUBSTITUTE_STEP_S: Final = 0.15
# Makes a time lie just beyond a bound, seconds.
LEAST_S: Final = 0.001
# How long a fresh host waits for a relay's word.
START_PATIENCE_S: Final = 0.3
# How long one waits for its list of hosts that knows neither hosts nor seed peers.
LIST_PATIENCE_S: Final = 0.15
# How long one waits that knows no host but has seed peers, which tell it of the others.
SEEDS_PATIENCE_S: Final = 1.0


def start_relay(state: HostState, now: float, out: list[Effect]) -> None:
    """Begin to listen for a relay; a fresh host waits for its word only shortly."""
    state.relay.relay_heard_at = now - SUBSTITUTE_AFTER_S + START_PATIENCE_S
    step_relay(state, now, out)


def step_relay(state: HostState, now: float, out: list[Effect]) -> None:
    """Tell that the watches work, or begin or end to watch."""
    relay = state.relay
    rank = _get_rank(state, now)
    patience_s = SUBSTITUTE_AFTER_S + SUBSTITUTE_STEP_S * (rank - 1)
    is_unheard = now - relay.relay_heard_at > patience_s
    settled_at = _get_settled_at(state)
    watching = now >= settled_at and (rank == 0 or is_unheard)
    if watching != state.watching:
        state.watching = watching
        # What an earlier watch confirmed says nothing of this one.
        relay.confirmed_at = 0.0
        out.append(WatchIntents(watching=watching))
        fields: dict[str, object] = {
            "watching": watching,
            "rank": rank,
            "unheard_s": round(now - relay.relay_heard_at, 3),
        }
        out.append(LogDecision(event="watch", fields=fields))
    if state.watching and is_confirmed(state):
        tell_domain(state, _make_word(state, rank), out)
    due_at = now + WORD_INTERVAL_S
    if not state.watching:
        begins_at = max(now, settled_at, relay.relay_heard_at + patience_s)
        due_at = min(due_at, begins_at + LEAST_S)
    out.append(SetTimer(timer=RelayDue(), at=due_at))


def _get_settled_at(state: HostState) -> float:
    """Return the time up to which other hosts may make themselves known.

    A host that just started knows no other, and would take itself for the first.
    """
    if state.members:
        return state.started
    others = set(state.settings.seed_peers) - {state.identity.peers}
    return state.started + (SEEDS_PATIENCE_S if others else LIST_PATIENCE_S)


def is_confirmed(state: HostState) -> bool:
    """Return True if the watches of this host work as far as it knows."""
    return state.relay.confirmed_at > 0.0 and state.relay.lost_at is None


def take_word(
    state: HostState, word: RelayReport, now: float, out: list[Effect]
) -> None:
    """Take in a relay's word; fetch what it knows and this host lacks."""
    rank = _get_rank(state, now)
    if word.is_lost:
        # As if the relay had been silent for as long as the next host waits.
        if rank > word.rank:
            silence_s = SUBSTITUTE_AFTER_S + SUBSTITUTE_STEP_S * word.rank
            relay_heard_at = now - silence_s - LEAST_S
            state.relay.relay_heard_at = min(state.relay.relay_heard_at, relay_heard_at)
            step_relay(state, now, out)
        return
    _note_answered(state, now)
    if not state.watching or word.rank < rank:
        state.relay.relay_heard_at = now
    if word.servers_position > state.registry.position:
        request_servers(state, word.host, out)
    if word.intents_revision > state.intents.revision:
        request = IntentsRequest(
            host=state.identity.name, revision=state.intents.revision
        )
        send_to(state, word.host, request, out)


def take_lost(state: HostState, event: PlatformLost, out: list[Effect]) -> None:
    """Note that the platform does not answer this host."""
    if state.relay.lost_at is not None:
        return
    state.relay.lost_at = event.now
    state.platform_fault = f"unavailable: {event.reason}"
    fields: dict[str, object] = {"reason": event.reason}
    out.append(LogDecision(event="platform-lost", fields=fields))
    if state.watching:
        rank = _get_rank(state, event.now)
        tell_domain(state, _make_word(state, rank, is_lost=True), out)


def take_reached(state: HostState, event: PlatformReached, out: list[Effect]) -> None:
    """Note that the platform answers this host."""
    relay = state.relay
    was_confirmed = is_confirmed(state)
    relay.confirmed_at = event.now
    if relay.lost_at is not None:
        fields: dict[str, object] = {"after_s": round(event.now - relay.lost_at, 3)}
        out.append(LogDecision(event="platform-regained", fields=fields))
        # The platform was back when it answered the first host of this domain.
        was_answered = relay.other_relay_heard_at > relay.lost_at
        relay.regained_at = relay.other_relay_heard_at if was_answered else event.now
        relay.lost_at = None
        state.platform_fault = ""
    if state.watching and not was_confirmed:
        # Keeps further hosts from beginning to watch.
        rank = _get_rank(state, event.now)
        tell_domain(state, _make_word(state, rank), out)


def _note_answered(state: HostState, now: float) -> None:
    """Note that the platform answers another host while it leaves this one without."""
    relay = state.relay
    if relay.lost_at is not None and relay.other_relay_heard_at <= relay.lost_at:
        relay.other_relay_heard_at = now


def pass_on_intents(state: HostState, out: list[Effect]) -> None:
    """Tell the failure domain of routing intents that this host's watch brought."""
    if not state.watching or state.intents_version is None:
        return
    notice = IntentsNotice(version=state.intents_version, intents=state.intents)
    tell_domain(state, notice, out)


def _make_word(state: HostState, rank: int, *, is_lost: bool = False) -> RelayReport:
    return RelayReport(
        host=state.identity.name,
        rank=rank,
        is_lost=is_lost,
        intents_revision=state.intents.revision,
        servers_position=state.registry.position,
    )


def _get_rank(state: HostState, now: float) -> int:
    own = state.identity
    hosts = get_live_hosts(state, now)
    near = {h.name: h.strength for h in hosts if h.failure_domain == own.failure_domain}
    # A relay sends all that it hears to each host of its domain.
    ranked = rank_strongest(f"watch/{own.failure_domain}", near)
    return ranked.index(own.name) if own.name in ranked else len(ranked)
