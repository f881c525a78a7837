"""Orders on soft state: applied at once on all hosts by messages, never stored."""

from ..effects import AnswerOrder, Effect, LogDecision
from ..events import OrderGiven
from ..routing.quarantine import clear_suspicion, list_quarantine
from ..state import HostState
from .orders import (
    GuardedOrder,
    Order,
    OrderResult,
    OrderStatus,
    ReleaseQuarantine,
    make_stale_revision_error,
)


def handle_soft_order(state: HostState, event: OrderGiven, out: list[Effect]) -> bool:
    """Apply an order on soft state; return False for any other order."""
    order: Order = event.order
    base: int | None = None
    if isinstance(order, GuardedOrder):
        base = order.revision
        order = order.order
    if not isinstance(order, ReleaseQuarantine):
        return False
    if base is not None and base != state.intents.revision:
        error = make_stale_revision_error(base, state.intents)
        _answer(state, event, OrderStatus.REFUSED, error.reason, out)
        return True
    is_quarantined = any(
        (item.fingerprint, item.service) == (order.fingerprint, order.service)
        for item in list_quarantine(state, event.now)
    )
    if not is_quarantined:
        reason = f"no such quarantine: {order.fingerprint!r}"
        _answer(state, event, OrderStatus.REFUSED, reason, out)
        return True
    clear_suspicion(state, order.fingerprint, out)
    peer_count = len(state.members)
    detail = f"released here, and {peer_count} other hosts are told"
    _answer(state, event, OrderStatus.ACCEPTED, detail, out)
    return True


def _answer(
    state: HostState,
    event: OrderGiven,
    status: OrderStatus,
    detail: str,
    out: list[Effect],
) -> None:
    revision = state.intents.revision
    result = OrderResult(status=status, revision=revision, detail=detail)
    out.append(AnswerOrder(request_id=event.request_id, result=result))
    fields: dict[str, object] = {
        "operator": event.operator,
        "status": status,
        "revision": revision,
        "update": event.update_id or "",
        "detail": detail,
    }
    out.append(LogDecision(event="order", fields=fields))
