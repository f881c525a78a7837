"""Watching and polling of the routing intents stored on the platform.

Two hosts of each failure domain watch and inform the others. In addition, every host
polls at a low rate, to make up for broken watches and lost messages.
"""

from typing import Final

from ..configuration.updates import INTENTS_NAME, apply_intents
from ..effects import Effect, LogDecision, ReadObject, SetTimer, WatchIntents
from ..events import ObjectRead
from ..platform_results import ROUTING_INTENTS, ObjectMissing, StoredObject, Unavailable
from ..state import HostState
from ..timers import IntentsPollDue
from .placement import LiveHost
from .readiness import handle_missing_intents
from .rendezvous import rank_nodes
from .views import list_live_hosts

POLL_REQUEST_ID: Final = "intents-poll"
POLL_INTERVAL_S: Final = 20.0
POLL_MIN_RETRY_S: Final = 0.5
WATCHERS_PER_DOMAIN: Final = 2


def start_poll(state: HostState, out: list[Effect]) -> None:
    """Read the routing intents from the platform once."""
    out.append(
        ReadObject(request_id=POLL_REQUEST_ID, kind=ROUTING_INTENTS, name=INTENTS_NAME)
    )


def handle_poll_result(state: HostState, event: ObjectRead, out: list[Effect]) -> None:
    """Handle the result of a poll and schedule the next one.

    Delays have jitter and grow during an outage.
    """
    now = event.now
    state.platform_fault = ""
    match event.result:
        case StoredObject(version=version, spec=spec):
            _apply_stored(state, spec, version, now, out)
        case ObjectMissing():
            handle_missing_intents(state)
        case Unavailable(reason=reason):
            state.platform_fault = f"unavailable: {reason}"
    state.poll_delay_s = _compute_next_delay_s(state)
    jitter = state.rng.uniform(0.5, 1.0)
    out.append(SetTimer(timer=IntentsPollDue(), at=now + state.poll_delay_s * jitter))


def _update_watch_among(
    state: HostState, hosts: list[LiveHost], out: list[Effect]
) -> None:
    """Start or stop watching according to this host's rank among the given hosts."""
    own = state.identity
    names = [h.name for h in hosts if h.failure_domain == own.failure_domain]
    ranked = rank_nodes(f"watch/{own.failure_domain}", names)
    watching = own.name in ranked[:WATCHERS_PER_DOMAIN]
    if watching == state.watching:
        return
    state.watching = watching
    out.append(WatchIntents(watching=watching))
    out.append(LogDecision(event="watch", fields={"watching": watching}))


def update_watch(state: HostState, now: float, out: list[Effect]) -> None:
    """Start or stop watching according to the current live hosts."""
    _update_watch_among(state, list_live_hosts(state, now), out)


def _apply_stored(
    state: HostState,
    spec: dict[str, object],
    version: str,
    now: float,
    out: list[Effect],
) -> None:
    intents = state.parse_intents(spec)
    if intents is None:
        state.platform_fault = f"stored intents invalid at version {version}"
        return
    if intents.revision == 0:
        handle_missing_intents(state)
    apply_intents(state, intents, version, now, out)


def _compute_next_delay_s(state: HostState) -> float:
    has_intents = state.intents.revision > 0
    is_up_to_date = has_intents and not state.platform_fault
    if is_up_to_date:
        return POLL_INTERVAL_S
    # During an outage the delay doubles; its limit is lower for a host that has no
    # intents yet.
    max_delay_s = POLL_INTERVAL_S if has_intents else POLL_INTERVAL_S / 5
    return min(max_delay_s, max(POLL_MIN_RETRY_S, state.poll_delay_s * 2))
