"""Readiness: what a host must know after its start before it serves calls."""

from typing import Final

from ..effects import Effect, LogDecision
from ..state import HostState, Lifecycle
from .confirmation import can_revoke_keys, is_in_doubt
from .members import is_live

# How long a host that got its first routing intents waits for newer ones.
START_WAIT_S: Final = 1.0
# How long a host may have older routing intents than a live peer and be ready.
MAX_BEHIND_S: Final = 10.0
NOTHING_STORED: Final = "no routing intents are stored"


def update_readiness(state: HostState, now: float, out: list[Effect]) -> None:
    """Make a starting host ready if no reason against it is left.

    For a host that was ready, record since when live peers have newer routing intents.
    One that was stopped before admits calls once no reason is left.
    """
    if state.is_informed:
        is_behind = _get_reported_revision(state, now) > state.intents.revision
        if not is_behind:
            state.behind_since = None
        elif state.behind_since is None:
            state.behind_since = now
        return
    if find_not_ready_reason(state, now) is not None:
        return
    state.is_informed = True
    if state.lifecycle is not Lifecycle.STARTING:
        return
    state.lifecycle = Lifecycle.READY
    fields: dict[str, object] = {"revision": state.intents.revision}
    out.append(LogDecision(event="ready", fields=fields))


def find_not_ready_reason(state: HostState, now: float) -> str | None:
    """Return what a starting host still needs before it is ready, or None.

    The host waits for the highest revision that the platform and the live peers report,
    and gives both some time to answer, because a first read may be stale. An update by
    this host that the platform accepted proves that it has the newest revision.
    """
    if not state.intents_known or state.intents.revision == 0:
        return _describe_missing_intents(state)
    if state.has_reduced_intents:
        return "the parts of the routing intents that earlier hosts do not pass on"
    reported = _get_reported_revision(state, now)
    if reported > state.intents.revision:
        return f"routing intents of revision {reported}, which a peer reported"
    if state.settings.servers_register:
        if is_in_doubt(state, now) and can_revoke_keys(state):
            return "no word yet that no newer routing intents are in force"
        # Reads from this platform are linearizable, so there is no need to wait.
        has_listed = state.registry.position.revision > 0
        return None if has_listed else "no registered backend servers yet"
    if not state.has_written_intents and now - state.first_intents_at < START_WAIT_S:
        return f"{START_WAIT_S} s for platform and peers to report newer intents"
    return None


def can_admit_calls(state: HostState) -> bool:
    """Return True if this host may judge calls, also to deny them.

    A host that was stopped before it was ready may not: its tables were never filled.
    """
    return state.is_informed and state.lifecycle in (
        Lifecycle.READY,
        Lifecycle.LEAVING,
    )


def is_ready(state: HostState, now: float) -> bool:
    """Return True if callers should be sent to this host.

    A host that cannot follow its live peers for `MAX_BEHIND_S` is not ready until it
    does. One that no peer is ahead of stays ready: all hosts may miss a change alike,
    and callers need some of them.
    """
    if state.lifecycle is not Lifecycle.READY:
        return False
    return state.behind_since is None or now - state.behind_since < MAX_BEHIND_S


def _get_reported_revision(state: HostState, now: float) -> int:
    """Return the highest revision that live peers report."""
    heartbeat_s = state.settings.heartbeat_s
    return max(
        (m.revision for m in state.members.values() if is_live(m, now, heartbeat_s)),
        default=0,
    )


def handle_missing_intents(state: HostState) -> None:
    """Record that the platform reported no stored routing intents.

    The read may be stale, so the host does not serve without a declaration. But an
    operator can apply a first declaration, which the platform accepts or rejects.
    """
    state.platform_fault = NOTHING_STORED


def is_base_known(state: HostState) -> bool:
    """Return True if a document can be compared with the intents in force.

    That is also possible if the platform reported that none are stored: an update
    based on no revision is rejected if the read was stale.
    """
    return state.intents_known or state.platform_fault == NOTHING_STORED


def _describe_missing_intents(state: HostState) -> str:
    heard = sum(1 for m in state.members.values() if m.last_heard is not None)
    platform = state.platform_fault or "no answer yet"
    return (
        f"no routing intents yet: platform: {platform}; "
        f"peers: {heard} heard of {len(state.members)} known"
    )
