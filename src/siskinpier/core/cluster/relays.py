"""Relays: the hosts that watch the platform for their failure domain.

The first live host of a domain by rank is its relay. It watches the platform, forwards
changes, and reports several times a second that its watches work. If these reports
stop, the next hosts by rank start to watch one after another, and the first whose
watches work replaces the relay.
"""

from typing import Final

from ..effects import Effect, LogDecision, SetTimer, WatchIntents
from ..events import PlatformLost, PlatformReached
from ..messages import IntentsRequest, RelayReport
from ..routing.slot_requests import send_message
from ..state import HostState, Lifecycle
from ..timers import RelayDue
from .broadcast import send_to_domain
from .confirmation import can_revoke_keys, confirm_revision, is_in_doubt
from .earlier_hosts import loses_limits
from .evacuations import compare_evacuations, make_evacuations_digest
from .intents_notices import make_intents_notice
from .readiness import update_readiness
from .registry_notices import send_servers_request
from .relay_lag import is_lagging, update_lag
from .rendezvous import rank_strongest
from .views import list_live_hosts

# Interval between two reports of a relay.
RELAY_REPORT_INTERVAL_S: Final = 0.3
# How long the next host by rank waits without a relay's report before it watches the
# platform itself, and how much longer each further host waits.
TAKEOVER_AFTER_S: Final = 0.8
TAKEOVER_STEP_S: Final = 0.15
# Where keys may be revoked, only this many hosts wait the whole step longer each. The
# rest follow so that all watch within 1.9 s of the last report, which leaves time to
# read the configuration within the 2.5 s until a revoked key is out of force.
FULL_STEPS: Final = 4
SHORT_STEP_S: Final = 0.01
MAX_SHORT_STEPS_S: Final = 0.5
# Added to a time so that it lies just beyond a limit.
TIMER_MARGIN_S: Final = 0.001
# How long a host that just started waits for a relay's report.
FIRST_REPORT_WAIT_S: Final = 0.3
# How long a host that knows neither hosts nor seed peers waits for the host list.
HOST_LIST_WAIT_S: Final = 0.15
# How long a host that knows only seed peers waits for them to report other hosts.
SEED_PEERS_WAIT_S: Final = 1.0


def start_relay(state: HostState, now: float, out: list[Effect]) -> None:
    """Start the relay timer; the first report is awaited for a short time only."""
    state.relay.relay_heard_at = now - TAKEOVER_AFTER_S + FIRST_REPORT_WAIT_S
    run_relay(state, now, out)


def run_relay(state: HostState, now: float, out: list[Effect]) -> None:
    """Start or stop watching, report working watches, and schedule the next run."""
    relay = state.relay
    rank = _get_rank(state, now)
    wait_s = _get_takeover_wait_s(state, rank)
    is_relay_silent = now - relay.relay_heard_at > wait_s
    settled_at = _get_settled_at(state)
    watching = now >= settled_at and (rank == 0 or is_relay_silent)
    if watching != state.watching:
        if state.watching and is_watch_confirmed(state):
            # The next word is the first report of the host that watches from now on.
            state.confirmation.confirmed_at = now
        state.watching = watching
        # The confirmation of an earlier watch does not apply to this one.
        relay.confirmed_at = 0.0
        out.append(WatchIntents(watching=watching))
        fields: dict[str, object] = {
            "watching": watching,
            "rank": rank,
            "unheard_s": round(now - relay.relay_heard_at, 3),
        }
        out.append(LogDecision(event="watch", fields=fields))
    if state.watching and is_watch_confirmed(state) and not _is_unsure(state, now):
        send_to_domain(state, _make_report(state, rank), out)
    due_at = now + RELAY_REPORT_INTERVAL_S
    if not state.watching:
        watch_at = max(now, settled_at, relay.relay_heard_at + wait_s)
        due_at = min(due_at, watch_at + TIMER_MARGIN_S)
    out.append(SetTimer(timer=RelayDue(), at=due_at))


def _get_settled_at(state: HostState) -> float:
    """Return the time until which this host waits to learn of other hosts.

    A host that just started knows no other host and would rank itself first.
    """
    if state.members:
        return state.started
    others = set(state.settings.seed_peers) - {state.identity.peers}
    return state.started + (SEED_PEERS_WAIT_S if others else HOST_LIST_WAIT_S)


def is_watch_confirmed(state: HostState) -> bool:
    """Return True if the watches of this host work, according to the last events."""
    return state.relay.confirmed_at > 0.0 and state.relay.lost_at is None


def handle_relay_report(
    state: HostState, report: RelayReport, now: float, out: list[Effect]
) -> None:
    """Handle a relay's report; request newer data that the relay has."""
    rank = _get_rank(state, now)
    if report.is_lost and _ranks_above_earlier(state, report.host):
        return
    if report.is_lost:
        # Treat the relay as silent for as long as the next host by rank waits.
        if rank > report.rank:
            silence_s = _get_takeover_wait_s(state, report.rank + 1)
            relay_heard_at = now - silence_s - TIMER_MARGIN_S
            state.relay.relay_heard_at = min(state.relay.relay_heard_at, relay_heard_at)
            run_relay(state, now, out)
        return
    _record_answer_elsewhere(state, now)
    if not _ranks_above_earlier(state, report.host):
        update_lag(state, report, now)
        if is_lagging(state, now):
            _replace_relay(state, report, rank, now, out)
        elif not state.watching or report.rank < rank:
            state.relay.relay_heard_at = now
    _record_newest(state, report, now, out)
    compare_evacuations(state, report.host, report.evacuations, out)
    if report.servers_position > state.registry.position:
        send_servers_request(state, report.host, out)
    if report.intents_revision > state.intents.revision:
        request = IntentsRequest(
            host=state.identity.name, revision=state.intents.revision
        )
        send_message(state, report.host, request, out)


def _replace_relay(
    state: HostState, report: RelayReport, rank: int, now: float, out: list[Effect]
) -> None:
    """Watch the platform in place of a relay whose messages do not arrive here."""
    if state.watching:
        return
    delay_s = min(MAX_SHORT_STEPS_S, SHORT_STEP_S * rank)
    silence_s = _get_takeover_wait_s(state, rank) - delay_s
    state.relay.relay_heard_at = min(state.relay.relay_heard_at, now - silence_s)
    fields: dict[str, object] = {
        "relay": report.host,
        "revision": report.intents_revision,
        "servers": report.servers_position.revision,
    }
    out.append(LogDecision(event="relay-lag", fields=fields))
    run_relay(state, now, out)


def _record_newest(
    state: HostState, report: RelayReport, now: float, out: list[Effect]
) -> None:
    """Record which revision is the newest, as the watches of a relay say."""
    if can_revoke_keys(state) and report.host in state.members:
        member = state.members[report.host]
        member.revision = max(member.revision, report.intents_revision)
    confirm_revision(state, report.intents_revision, now, out)
    if state.intents.requires_keys and state.lifecycle is Lifecycle.STARTING:
        update_readiness(state, now, out)


def handle_platform_lost(
    state: HostState, event: PlatformLost, out: list[Effect]
) -> None:
    """Record that the platform stopped answering this host, and inform its domain."""
    if state.relay.lost_at is not None:
        return
    state.relay.lost_at = event.now
    state.platform_fault = f"unavailable: {event.reason}"
    fields: dict[str, object] = {"reason": event.reason}
    out.append(LogDecision(event="platform-lost", fields=fields))
    if state.watching:
        rank = _get_rank(state, event.now)
        send_to_domain(state, _make_report(state, rank, is_lost=True), out)


def handle_platform_reached(
    state: HostState, event: PlatformReached, out: list[Effect]
) -> None:
    """Record that the platform answered the watches of this host.

    While watching, report the first such answer to the failure domain at once.
    """
    relay = state.relay
    was_confirmed = is_watch_confirmed(state)
    relay.confirmed_at = event.now
    if relay.lost_at is not None:
        fields: dict[str, object] = {"after_s": round(event.now - relay.lost_at, 3)}
        out.append(LogDecision(event="platform-regained", fields=fields))
        # The outage ended when the platform answered the first host of this domain.
        was_answered = relay.other_relay_heard_at > relay.lost_at
        relay.regained_at = relay.other_relay_heard_at if was_answered else event.now
        relay.lost_at = None
        state.platform_fault = ""
    if state.watching and not was_confirmed:
        # Report at once, so that no further hosts start to watch.
        rank = _get_rank(state, event.now)
        send_to_domain(state, _make_report(state, rank), out)


def _record_answer_elsewhere(state: HostState, now: float) -> None:
    """Record that the platform answers another host during an outage here."""
    relay = state.relay
    if relay.lost_at is not None and relay.other_relay_heard_at <= relay.lost_at:
        relay.other_relay_heard_at = now


def send_intents(state: HostState, out: list[Effect]) -> None:
    """Send routing intents that this host received from its watch to its domain."""
    if not state.watching or state.intents_version is None:
        return
    send_to_domain(state, make_intents_notice(state, state.intents_version), out)


def _make_report(state: HostState, rank: int, *, is_lost: bool = False) -> RelayReport:
    return RelayReport(
        host=state.identity.name,
        rank=rank,
        is_lost=is_lost,
        intents_revision=state.intents.revision,
        servers_position=state.registry.position,
        evacuations=make_evacuations_digest(state),
    )


def _ranks_above_earlier(state: HostState, host: str) -> bool:
    """Return True if a host of an earlier build does not count as a relay here.

    It passes on configurations without the limits on callers or without workspaces, or
    watches no evacuations.
    """
    member = state.members.get(host)
    return member is not None and loses_limits(member)


def _get_takeover_wait_s(state: HostState, rank: int) -> float:
    """Return how long a host waits without a relay's report before it watches.

    Where keys may be revoked, a host of any rank that is cut off from its peers watches
    in time to learn of it.
    """
    steps = rank - 1
    if not can_revoke_keys(state) or steps <= FULL_STEPS:
        return TAKEOVER_AFTER_S + TAKEOVER_STEP_S * steps
    full_s = TAKEOVER_AFTER_S + TAKEOVER_STEP_S * FULL_STEPS
    return full_s + min(MAX_SHORT_STEPS_S, SHORT_STEP_S * (steps - FULL_STEPS))


def _is_unsure(state: HostState, now: float) -> bool:
    """Return True after a pause of this host, whose watch may have missed changes."""
    is_starting = state.lifecycle is Lifecycle.STARTING
    return can_revoke_keys(state) and not is_starting and is_in_doubt(state, now)


def _get_rank(state: HostState, now: float) -> int:
    own = state.identity
    strengths = {
        host.name: host.strength
        for host in list_live_hosts(state, now)
        if host.failure_domain == own.failure_domain
        and not _ranks_above_earlier(state, host.name)
    }
    # The strongest host ranks first, as a relay sends every change to all hosts of its
    # domain.
    ranked = rank_strongest(f"watch/{own.failure_domain}", strengths)
    return ranked.index(own.name) if own.name in ranked else len(ranked)
