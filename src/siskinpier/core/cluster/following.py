"""Following the routing intents on the platform: who watches, and slow polls.

Two hosts of each failure domain watch; the others hear from them. Every host
polls slowly, which closes the gaps that broken watches and lost messages leave.
"""

from typing import Final

from ..configuration.updates import INTENTS_NAME, apply_intents
from ..effects import Effect, LogDecision, ReadObject, SetTimer, WatchIntents
from ..events import ObjectRead
from ..platform_results import ROUTING_INTENTS, Missing, Stored, Unavailable
from ..state import HostState
from ..timers import IntentsPollDue
from .placement import LiveHost
from .readiness import take_missing_intents
from .rendezvous import rank_nodes
from .views import get_live_hosts

POLL_ID: Final = "intents-poll"
POLL_S: Final = 20.0
POLL_RETRY_S: Final = 0.5
WATCHERS_PER_DOMAIN: Final = 2


def poll_intents(state: HostState, out: list[Effect]) -> None:
    """Read the routing intents once."""
    out.append(ReadObject(request_id=POLL_ID, kind=ROUTING_INTENTS, name=INTENTS_NAME))


def take_poll(state: HostState, event: ObjectRead, out: list[Effect]) -> None:
    """Take in a poll and set the next; delays grow, with jitter, in an outage."""
    now = event.now
    state.platform_fault = ""
    match event.result:
        case Stored(version=version, spec=spec):
            _take_stored(state, spec, version, now, out)
        case Missing():
            take_missing_intents(state)
        case Unavailable(reason=reason):
            state.platform_fault = f"unavailable: {reason}"
    state.poll_delay_s = _get_next_delay_s(state)
    jitter = state.rng.uniform(0.5, 1.0)
    out.append(SetTimer(timer=IntentsPollDue(), at=now + state.poll_delay_s * jitter))


def choose_watchers(state: HostState, hosts: list[LiveHost], out: list[Effect]) -> None:
    """Watch the platform if this host is among the chosen of its failure domain."""
    own = state.identity
    names = [h.name for h in hosts if h.failure_domain == own.failure_domain]
    ranked = rank_nodes(f"watch/{own.failure_domain}", names)
    watching = own.name in ranked[:WATCHERS_PER_DOMAIN]
    if watching == state.watching:
        return
    state.watching = watching
    out.append(WatchIntents(watching=watching))
    out.append(LogDecision(event="watch", fields={"watching": watching}))


def refresh_watchers(state: HostState, now: float, out: list[Effect]) -> None:
    """Choose the watchers from the live hosts of now."""
    choose_watchers(state, get_live_hosts(state, now), out)


def _take_stored(
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
        take_missing_intents(state)
    apply_intents(state, intents, version, now, out)


def _get_next_delay_s(state: HostState) -> float:
    has_intents = state.intents.revision > 0
    is_settled = has_intents and not state.platform_fault
    if is_settled:
        return POLL_S
    # An outage makes polls rarer; a host that lacks intents asks more often.
    longest_s = POLL_S if has_intents else POLL_S / 5
    return min(longest_s, max(POLL_RETRY_S, state.poll_delay_s * 2))
