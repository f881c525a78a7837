"""Admission of calls by the key of a workspace, where the configuration has workspaces.

A key is looked up when a call arrives and again before each attempt, so that a key that
was withdrawn meanwhile sends no more calls. A call that this host cannot judge, because
it may not know the newest configuration, is refused with 503 in place of 401 or 404.
The cost of a check does not depend on the number of workspaces.
"""

from typing import Final

from ..cluster.confirmation import (
    BEHIND_LIMIT_S,
    get_silence_s,
    is_in_doubt,
    knows_newest,
)
from ..cluster.readiness import can_admit_calls
from ..configuration.intents import Route, Workspace
from ..effects import Effect, LogDecision
from ..problems import (
    make_key_refused,
    make_not_known_yet,
    make_route_suspended,
    make_unknown_route,
)
from ..state import HostState
from ..verdict import Problem, Verdict
from .attempts import cancel_attempts
from .calls import ActiveCall, Call, Stage
from .refusals import (
    get_untracked_verdict,
    make_not_admitting,
    refuse_call,
    remove_call,
)

# Applies where the settings do not name the time, seconds.
DEFAULT_REVOKE_S: Final = 5.0
WAITING_STAGES: Final = frozenset({Stage.QUEUED, Stage.ASKING, Stage.CHECKING})


def find_workspace(
    state: HostState, call: Call, route: Route | None, now: float
) -> Workspace | Problem | None:
    """Return the workspace of a call, None on a public route, or the call's refusal."""
    if route is not None and route.is_public:
        return None
    verdict = get_untracked_verdict(call)
    doubt = _find_doubt(state, now)
    if doubt is not None:
        return make_not_known_yet(doubt, verdict)
    digest = call.key_digest
    workspace = state.workspaces.find(digest) if digest is not None else None
    if workspace is not None:
        return workspace
    if not knows_newest(state, now):
        return make_not_known_yet("the key may be newer than is known here", verdict)
    detail = "the call bears no key" if digest is None else "the key is not in force"
    return make_key_refused(detail, verdict)


def find_early_refusal(state: HostState, call: Call, now: float) -> Problem | None:
    """Return the refusal of a call without a valid key whose body is not read yet.

    None leaves the decision to the arrival of the call.
    """
    if not can_admit_calls(state):
        return make_not_admitting(state, call)
    route = state.routes.find(call.virtual_host, call.path)
    if route is None or route.is_suspended:
        return None
    found = find_workspace(state, call, route, now)
    return found if isinstance(found, Problem) else None


def find_unknown_route_refusal(state: HostState, call: Call, now: float) -> Problem:
    """Return the refusal of a call that matches no route known to this host."""
    if knows_newest(state, now):
        return make_unknown_route(call.virtual_host)
    return make_not_known_yet(
        "the route may be newer than is known here", Verdict.NOT_RUN
    )


def assign_workspace(active: ActiveCall, workspace: Workspace | None) -> None:
    """Set the workspace of a call that was just admitted, and its urgency."""
    active.hides_credentials = True
    if workspace is None:
        return
    active.workspace = workspace.name
    if workspace.urgency is not None:
        active.urgency = workspace.urgency


def find_key_refusal(
    state: HostState, active: ActiveCall, now: float
) -> Problem | None:
    """Return the refusal of a call that must not be sent any more, or None.

    A call of another host is checked there. A call that arrived before keys were
    required is refused with 503, as its key was not read.
    """
    if active.holder:
        return None
    call = active.call
    route = None
    if call.virtual_host:
        route = state.routes.find(call.virtual_host, call.path)
    if route is not None and route.is_suspended:
        return make_route_suspended(call.virtual_host)
    found = find_workspace(state, call, route, now)
    if isinstance(found, Problem):
        if active.hides_credentials:
            return found
        return make_not_known_yet("keys are required since it arrived", found.verdict)
    active.hides_credentials = True
    active.workspace = "" if found is None else found.name
    return None


def refuse_without_key(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> bool:
    """Refuse a call whose key is not accepted any more; return True if it was."""
    problem = find_key_refusal(state, active, now)
    if problem is None:
        return False
    cancel_attempts(state, active, out)
    remove_call(state, active, out)
    refuse_call(active, problem, out)
    return True


def refuse_withdrawn_keys(state: HostState, now: float, out: list[Effect]) -> None:
    """Refuse the waiting calls whose keys are not in the new configuration."""
    if not state.intents.requires_keys:
        return
    waiting = [a for a in state.calls.values() if a.stage in WAITING_STAGES]
    refused = sum(refuse_without_key(state, active, now, out) for active in waiting)
    if refused:
        fields: dict[str, object] = {
            "revision": state.intents.revision,
            "calls": refused,
        }
        out.append(LogDecision(event="keys-withdrawn", fields=fields))


def _find_doubt(state: HostState, now: float) -> str | None:
    """Return why this host accepts no key at all now, or None."""
    if is_in_doubt(state, now):
        return "the configuration is not confirmed since a start or a pause"
    behind_since = state.behind_since
    if behind_since is not None and now - behind_since >= BEHIND_LIMIT_S:
        return "a peer has a newer configuration"
    settings = state.settings
    limit_s = settings.revoke_s or DEFAULT_REVOKE_S
    if settings.revoke_fail_closed and get_silence_s(state, now) >= limit_s:
        return "neither the platform nor a peer was heard"
    return None
