"""Routing intents that passed a host of an earlier build.

A host of protocol version 8 does not know workspaces, public routes and warm-up, and
none of a version before 10 knows the limits on callers, so what it passes on lacks
them. The parts that it knows take effect at once. The others keep their last known
values until the complete intents of the same revision arrive from a watch or from a
peer of this build.
"""

from collections.abc import Mapping
from dataclasses import replace

from ..cluster.members import is_believed_alive
from ..cluster.rendezvous import rank_nodes
from ..effects import Effect, LogDecision, SendMessage
from ..events import MessageReceived
from ..messages import (
    CALLER_LIMITS_VERSION,
    LATER_RULES_VERSION,
    IntentsNotice,
    IntentsRequest,
)
from ..state import HostState
from .intents import Route, RoutingIntents
from .updates import apply_intents


def handle_intents_notice(
    state: HostState, event: MessageReceived, notice: IntentsNotice, out: list[Effect]
) -> None:
    """Put the intents that a peer sent in force, completed if they lack parts."""
    known, intents = state.intents, notice.intents
    has_later_rules = state.settings.has_later_rules or known.requires_keys
    is_reduced = notice.is_reduced and has_later_rules
    lacks_limits = intents.caller_limits is None and state.settings.servers_register
    if is_reduced:
        intents = complete_intents(intents, known)
    if lacks_limits:
        intents = replace(intents, caller_limits=known.caller_limits)
        is_known = intents.revision == known.revision and not state.lacks_caller_limits
        lacks_limits = not is_known
    apply_intents(
        state,
        intents,
        notice.version,
        event.now,
        out,
        is_reduced=is_reduced,
        lacks_limits=lacks_limits,
    )
    is_applied = state.intents is not known
    if is_applied and (is_reduced or lacks_limits):
        fields: dict[str, object] = {
            "revision": intents.revision,
            "host": event.sender,
            "lacks": "keys" if is_reduced else "limits",
        }
        out.append(LogDecision(event="intents-reduced", fields=fields))


def complete_intents(reduced: RoutingIntents, known: RoutingIntents) -> RoutingIntents:
    """Return reduced intents with the missing parts of the last known ones.

    Without known intents, keys are required and none is known: a request that needs a
    key is refused until the complete intents arrive, and never runs without one.
    """
    routes = {route.name: route for route in known.routes}
    warmups = {s.name: (s.warmup_s, s.warmup_per_s) for s in known.services}
    return replace(
        reduced,
        routes=tuple(_complete_route(route, routes) for route in reduced.routes),
        services=tuple(
            (
                replace(service, warmup_s=warmup[0], warmup_per_s=warmup[1])
                if (warmup := warmups.get(service.name)) is not None
                else service
            )
            for service in reduced.services
        ),
        workspaces=known.workspaces,
        requires_keys=known.requires_keys or known.revision == 0,
    )


def _complete_route(route: Route, known: Mapping[str, Route]) -> Route:
    """Keep a route public only if the known one of that name matches the same calls."""
    before = known.get(route.name)
    if before is None:
        return route
    is_same = (before.virtual_host, before.path_prefix) == (
        route.virtual_host,
        route.path_prefix,
    )
    return replace(route, is_public=is_same and before.is_public)


def request_complete_intents(state: HostState, now: float, out: list[Effect]) -> None:
    """Request the complete intents from one live peer that knows later fields."""
    if not (state.has_reduced_intents or state.lacks_caller_limits):
        return
    own = state.identity
    version = (
        CALLER_LIMITS_VERSION if state.lacks_caller_limits else LATER_RULES_VERSION
    )
    peers = {
        member.name: member
        for member in state.members.values()
        if member.protocol >= version
        and member.revision >= state.intents.revision
        and member.last_heard is not None
        and is_believed_alive(member, now)
    }
    near = [m.name for m in peers.values() if m.failure_domain == own.failure_domain]
    # The key changes with each heartbeat, so that another peer is asked each time.
    ranked = rank_nodes(f"{own.name}/{state.heartbeat_sequence}", near or peers)
    if not ranked:
        return
    # A peer answers if it has later intents than the request names.
    request = IntentsRequest(host=own.name, revision=state.intents.revision - 1)
    address = peers[ranked[0]].peers
    out.append(SendMessage(host=ranked[0], address=address, message=request))
