"""Puts accepted routing intents in force, and applies orders to the stored ones."""

from dataclasses import replace
from typing import Final

from ..cluster.confirmation import confirm_applied
from ..cluster.heartbeats import announce_revision
from ..cluster.readiness import update_readiness
from ..cluster.registry import merge_registered_servers
from ..cluster.rendezvous import compute_weight
from ..cluster.views import (
    list_live_hosts,
    list_serving_hosts,
    rebuild_service,
    update_service_placement,
)
from ..effects import (
    AnswerOrder,
    ClearTimer,
    Effect,
    LogDecision,
    ReadObject,
    SetCallerLimits,
    SetTimer,
    WriteObject,
)
from ..events import ObjectRead, ObjectWritten, OrderGiven
from ..platform_results import (
    ROUTING_INTENTS,
    ObjectMissing,
    StoredObject,
    Unavailable,
    VersionConflict,
    WriteAccepted,
    WriteOutcomeUnknown,
)
from ..routing.queueing import dispatch_queued_calls
from ..routing.routes import make_route_table
from ..routing.workspace_table import make_workspace_table
from ..routing.workspaces import refuse_withdrawn_keys
from ..state import HostState, PendingOrder
from ..timers import OrderRetry
from .intents import MAX_RECENT_UPDATES, RoutingIntents
from .orders import OrderError, OrderResult, OrderStatus, apply_order
from .stored_form import make_stored_form

INTENTS_NAME: Final = "main"
# An order is answered after this time, even if its result is still unknown.
ORDER_TIMEOUT_S: Final = 10.0
# Average delay of a retry; each one gets jitter.
ORDER_RETRY_DELAY_S: Final = 0.5


def apply_intents(
    state: HostState,
    intents: RoutingIntents,
    version: str,
    now: float,
    out: list[Effect],
    *,
    is_reduced: bool = False,
    lacks_limits: bool = False,
) -> None:
    """Put routing intents in force if they are newer than those in force.

    All callers pass documents that the platform has accepted: results of reads,
    watches and conditional updates, or copies of these from peers. Intents of the
    revision in force complete it if they have parts that it lacks: `is_reduced` and
    `lacks_limits` state what these lack themselves.
    """
    is_completed = intents.revision == state.intents.revision and (
        (state.has_reduced_intents and not is_reduced)
        or (state.lacks_caller_limits and not lacks_limits)
    )
    if intents.revision <= state.intents.revision and not is_completed:
        if intents.revision == state.intents.revision:
            state.intents_version = version
        return
    if state.intents.revision == 0:
        state.first_intents_at = now
    previous = (state.intents, state.intents_version)
    known = (state.intents_known, state.has_reduced_intents, state.lacks_caller_limits)
    state.intents = intents
    state.intents_version = version
    state.intents_known = True
    state.has_reduced_intents = is_reduced
    state.lacks_caller_limits = lacks_limits
    try:
        _rebuild_services(state, now, out)
    except Exception:
        # Otherwise the same revision, read again, would count as in force.
        state.intents, state.intents_version = previous
        state.intents_known, state.has_reduced_intents, state.lacks_caller_limits = (
            known
        )
        raise
    if intents.caller_limits != previous[0].caller_limits:
        out.append(SetCallerLimits(limits=intents.caller_limits))
    out.append(
        LogDecision(
            event="intents",
            fields={"revision": intents.revision, "by": intents.changed_by},
        )
    )
    confirm_applied(state, now, out)
    update_readiness(state, now, out)
    announce_revision(state, now, out)


def start_order(state: HostState, event: OrderGiven, out: list[Effect]) -> None:
    """Start an order by reading the newest routing intents."""
    pending = PendingOrder(
        request_id=event.request_id,
        order=event.order,
        operator=event.operator,
        update_id=event.update_id or _make_update_id(state),
        started=event.now,
    )
    state.orders[event.request_id] = pending
    out.append(_make_read(pending))


def handle_order_read(state: HostState, event: ObjectRead, out: list[Effect]) -> None:
    """Apply an order to the intents read, or find the result of its write in them."""
    pending = state.orders.get(event.request_id)
    if pending is None:
        return
    match event.result:
        case Unavailable(reason=reason):
            _retry_or_answer(state, pending, reason, event.now, out)
        case ObjectMissing() if pending.intents is None:
            _start_write(state, pending, state.intents, None, event.now, out)
        case ObjectMissing():
            _retry_or_answer(state, pending, "intents missing", event.now, out)
        case StoredObject(version=version, spec=spec):
            _handle_stored(state, pending, spec, version, event.now, out)


def handle_order_written(
    state: HostState, event: ObjectWritten, out: list[Effect]
) -> None:
    """Handle the result of a conditional update."""
    pending = state.orders.get(event.request_id)
    if pending is None or pending.intents is None:
        return
    match event.result:
        case WriteAccepted(version=version):
            intents = pending.intents
            state.has_written_intents = True
            apply_intents(state, intents, version, event.now, out)
            _answer(state, pending, OrderStatus.ACCEPTED, intents.revision, "", out)
        case VersionConflict():
            # Either another order won, or an earlier attempt of this write succeeded.
            pending.has_conflict = True
            out.append(_make_read(pending))
        case Unavailable(reason=reason):
            _retry_or_answer(state, pending, reason, event.now, out)
        case WriteOutcomeUnknown(reason=reason):
            pending.is_outcome_unknown = True
            _retry_or_answer(state, pending, reason, event.now, out)


def handle_order_retry(
    state: HostState, request_id: str, now: float, out: list[Effect]
) -> None:
    """Repeat the last step of an order: the same conditional update, or a read."""
    pending = state.orders.get(request_id)
    if pending is None:
        return
    if pending.intents is None or pending.has_conflict:
        out.append(_make_read(pending))
    else:
        out.append(_make_write(pending))


def _make_update_id(state: HostState) -> str:
    """Return an id that differs between hosts and incarnations with equal seeds."""
    own = state.identity
    bits = state.rng.getrandbits(64)
    return f"{compute_weight(f'{own.name}/{own.incarnation}', str(bits)):016x}"


def _handle_stored(
    state: HostState,
    pending: PendingOrder,
    spec: dict[str, object],
    version: str,
    now: float,
    out: list[Effect],
) -> None:
    current = state.parse_intents(spec)
    if current is None and pending.intents is None:
        _answer(state, pending, OrderStatus.REFUSED, 0, "stored intents invalid", out)
        return
    if current is None:
        _retry_or_answer(state, pending, "stored intents invalid", now, out)
        return
    apply_intents(state, current, version, now, out)
    if pending.intents is None and pending.update_id in current.recent_updates:
        # The operator repeated an order under its id after it had taken effect.
        _answer(state, pending, OrderStatus.ACCEPTED, current.revision, "", out)
        return
    if pending.intents is None:
        # Older intents, from a stale read or a recreated object, are no valid base.
        base = current if current.revision >= state.intents.revision else state.intents
        _start_write(state, pending, base, version, now, out)
        return
    _answer_from_read(state, pending, pending.intents, current, now, out)


def _answer_from_read(
    state: HostState,
    pending: PendingOrder,
    written: RoutingIntents,
    current: RoutingIntents,
    now: float,
    out: list[Effect],
) -> None:
    """Answer an order from a read that shows whether its write took effect.

    Each revision carries the update ids of recent revisions. If the written revision
    or a later one is read without the id, the write did not take effect and cannot
    do so later. An earlier revision comes from a stale read.
    """
    if pending.update_id in current.recent_updates:
        _answer(state, pending, OrderStatus.ACCEPTED, written.revision, "", out)
        return
    ahead = current.revision - written.revision
    if ahead < 0 or (pending.is_outcome_unknown and ahead >= MAX_RECENT_UPDATES):
        _retry_or_answer(state, pending, "the result cannot be read", now, out)
        return
    detail = f"revision {current.revision} by {current.changed_by} came first"
    _answer(state, pending, OrderStatus.REFUSED, current.revision, detail, out)


def _start_write(
    state: HostState,
    pending: PendingOrder,
    base: RoutingIntents,
    version: str | None,
    now: float,
    out: list[Effect],
) -> None:
    changed = apply_order(base, pending.order)
    if isinstance(changed, OrderError):
        _answer(state, pending, OrderStatus.REFUSED, base.revision, changed.reason, out)
        return
    updates = (*base.recent_updates, pending.update_id)[-MAX_RECENT_UPDATES:]
    pending.intents = replace(
        changed,
        revision=base.revision + 1,
        changed_by=pending.operator,
        changed_at=round(now, 3),
        changed_through=state.identity.name,
        recent_updates=updates,
    )
    pending.expected_version = version
    out.append(_make_write(pending))


def _make_write(pending: PendingOrder) -> WriteObject:
    """Return the conditional update of an order; repeating it is idempotent."""
    assert pending.intents is not None
    return WriteObject(
        request_id=pending.request_id,
        kind=ROUTING_INTENTS,
        name=INTENTS_NAME,
        spec=make_stored_form(pending.intents),
        expected_version=pending.expected_version,
    )


def _retry_or_answer(
    state: HostState,
    pending: PendingOrder,
    reason: str,
    now: float,
    out: list[Effect],
) -> None:
    if now - pending.started < ORDER_TIMEOUT_S:
        timer = OrderRetry(request_id=pending.request_id)
        delay_s = ORDER_RETRY_DELAY_S * state.rng.uniform(0.5, 1.5)
        out.append(SetTimer(timer=timer, at=now + delay_s))
        return
    if pending.is_outcome_unknown:
        detail = f"{reason}; ask 'update {pending.update_id}' to find out"
        status = OrderStatus.UNKNOWN
    else:
        detail = f"nothing was changed: {reason}"
        status = OrderStatus.REFUSED
    _answer(state, pending, status, state.intents.revision, detail, out)


def _answer(
    state: HostState,
    pending: PendingOrder,
    status: OrderStatus,
    revision: int,
    detail: str,
    out: list[Effect],
) -> None:
    del state.orders[pending.request_id]
    out.append(ClearTimer(timer=OrderRetry(request_id=pending.request_id)))
    result = OrderResult(status=status, revision=revision, detail=detail)
    out.append(AnswerOrder(request_id=pending.request_id, result=result))
    out.append(
        LogDecision(
            event="order",
            fields={
                "operator": pending.operator,
                "status": status,
                "revision": revision,
                "update": pending.update_id,
                "detail": detail,
            },
        )
    )


def _rebuild_services(state: HostState, now: float, out: list[Effect]) -> None:
    old = state.services
    state.services = {
        intent.name: rebuild_service(
            state, merge_registered_servers(state, intent), old.get(intent.name), now
        )
        for intent in state.intents.services
    }
    state.routes = make_route_table(state.intents.routes, state.routes)
    state.workspaces = make_workspace_table(state.intents.workspaces)
    refuse_withdrawn_keys(state, now, out)
    state.live = tuple(host.name for host in list_live_hosts(state, now))
    hosts = list_serving_hosts(state, now)
    state.serving = tuple(host.name for host in hosts)
    state.earlier = tuple(host.name for host in hosts if host.is_earlier)
    for service in state.services.values():
        update_service_placement(state, service, hosts, now)
        dispatch_queued_calls(state, service, now, out)


def _make_read(pending: PendingOrder) -> ReadObject:
    return ReadObject(
        request_id=pending.request_id, kind=ROUTING_INTENTS, name=INTENTS_NAME
    )
