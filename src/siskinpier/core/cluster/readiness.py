"""Readiness: what a fresh host must know before it serves."""

from typing import Final

from ..effects import Effect, LogDecision
from ..state import HostState, Lifecycle
from .members import is_live

START_SETTLE_S: Final = 1.0
NOTHING_STORED: Final = "no routing intents are stored"


def check_readiness(state: HostState, now: float, out: list[Effect]) -> None:
    """Become ready once nothing is lacking."""
    if state.lifecycle is not Lifecycle.STARTING:
        return
    if get_lack(state, now) is not None:
        return
    state.lifecycle = Lifecycle.READY
    fields: dict[str, object] = {"revision": state.intents.revision}
    out.append(LogDecision(event="ready", fields=fields))


def get_lack(state: HostState, now: float) -> str | None:
    """Return what a fresh host still lacks, or None.

    It waits for the highest revision that the platform and the live peers know,
    and gives both a moment to answer, as a first read may lag. An update of its
    own that the platform accepted proves that it knows the newest.
    """
    if not state.intents_known or state.intents.revision == 0:
        return _describe_sources(state)
    reported = max(
        (
            member.revision
            for member in state.members.values()
            if is_live(member, now, state.settings.heartbeat_s)
        ),
        default=0,
    )
    if reported > state.intents.revision:
        return f"routing intents of revision {reported}, which a peer reported"
    if state.settings.servers_register:
        # The platform's reads are linearizable there.
        has_listed = state.registry.position.revision > 0
        return None if has_listed else "no registered backend servers yet"
    if not state.has_written_intents and now - state.first_intents_at < START_SETTLE_S:
        return f"{START_SETTLE_S} s for platform and peers to report newer intents"
    return None


def take_missing_intents(state: HostState) -> None:
    """Note that the platform answered that it stores no routing intents.

    That read may lag, so a host does not serve with nothing declared, but an
    operator may apply a first declaration, which the platform takes or refuses.
    """
    state.platform_fault = NOTHING_STORED


def knows_base(state: HostState) -> bool:
    """Return True if a document can be compared with what is in force.

    That holds too where the platform said that nothing is stored: an apply based
    on nothing is refused if the read lagged.
    """
    return state.intents_known or state.platform_fault == NOTHING_STORED


def _describe_sources(state: HostState) -> str:
    heard = sum(1 for m in state.members.values() if m.last_heard is not None)
    platform = state.platform_fault or "no answer yet"
    return (
        f"no routing intents yet: platform: {platform}; "
        f"peers: {heard} heard of {len(state.members)} known"
    )
