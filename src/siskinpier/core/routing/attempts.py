"""Attempts of calls: sending, cancelling, and recording their results."""

from typing import Final

from ..cluster.members import Member
from ..effects import (
    AbandonAttempt,
    Effect,
    LogDecision,
    SendAttempt,
    SendMessage,
    SetTimer,
)
from ..messages import SlotEnd, SlotGrant, SlotUse
from ..state import HostState, ServiceRuntime
from ..timers import CallDeadline
from ..verdict import AttemptFailure
from .balance import ServerRuntime
from .call_queue import FORWARD_MARGIN_S
from .calls import ActiveCall, Attempt, Grant, Stage
from .forwarding import record_forward
from .health import eject_replaced_server, record_failure
from .rate_limit_tokens import take_token
from .slot_requests import withdraw_slot_requests
from .speeds import get_slowdown
from .warmup_tokens import count_request

# A missed deadline counts as a failure of the server if the attempt ran for at least
# this many mean service times.
LATE_REPLY_FACTOR: Final = 5.0
# Upper bound on the margin of a forward, as a share of the time left.
FORWARD_MARGIN_SHARE: Final = 0.1
# Weight of the newest latency in the mean service time.
SERVICE_TIME_WEIGHT: Final = 0.1
UNREACHABLE_FAILURES: Final = (
    AttemptFailure.CONNECT_REFUSED,
    AttemptFailure.CONNECT_TIMEOUT,
)


def send_attempt(
    active: ActiveCall,
    server: ServerRuntime,
    now: float,
    reason: str,
    out: list[Effect],
) -> None:
    """Send a call to a backend server, or grant the slot to the call's holder."""
    number = len(active.attempts)
    target = server.intent.name
    active.attempts.append(
        Attempt(number=number, target=target, is_forward=False, started=now)
    )
    active.stage = Stage.SENT
    withdraw_slot_requests(active, out)
    restore_deadline_timer(active, out)
    server.in_flight += 1
    take_token(server.rate_limit, now)
    count_request(server.warmup, now)
    active.attempts[-1].took_last_slot = server.in_flight >= server.intent.slots
    active.attempts[-1].slowdown = get_slowdown(server, now)
    _log_route(active, server, reason, now, out)
    if active.holder:
        message = SlotGrant(
            call=active.holder_call_id,
            request_number=active.request_number,
            server=target,
            number=number,
            is_hedge=active.other_attempt is not None,
        )
        out.append(
            SendMessage(
                host=active.holder, address=active.holder_address, message=message
            )
        )
        return
    out.append(
        SendAttempt(
            call_id=active.call.call_id,
            attempt=number,
            target=target,
            address=server.intent.address,
            is_forward=False,
            timeout_s=active.call.deadline - now,
            connections=server.intent.connections,
            workspace=active.workspace if active.hides_credentials else None,
        )
    )


def restore_deadline_timer(active: ActiveCall, out: list[Effect]) -> None:
    """Set a call's timer back to its deadline if it stands at the limit of its wait."""
    if not active.has_wait_limit:
        return
    active.has_wait_limit = False
    timer = CallDeadline(call_id=active.call.call_id)
    out.append(SetTimer(timer=timer, at=active.call.deadline))


def forward_call(
    service: ServiceRuntime,
    active: ActiveCall,
    peer: Member,
    now: float,
    out: list[Effect],
) -> None:
    """Forward a call to another home."""
    record_forward(service, peer)
    number = len(active.attempts)
    active.attempts.append(
        Attempt(number=number, target=peer.name, is_forward=True, started=now)
    )
    active.stage = Stage.SENT
    out.append(
        SendAttempt(
            call_id=active.call.call_id,
            attempt=number,
            target=peer.name,
            address=peer.callers,
            is_forward=True,
            timeout_s=_get_forward_timeout_s(active, now),
            at_most_once=not active.idempotent,
            claimed=active.call.key is not None and not active.idempotent,
            workspace=active.workspace if active.hides_credentials else None,
        )
    )
    _log_forward(active, peer.name, out)


def _get_forward_timeout_s(active: ActiveCall, now: float) -> float:
    """Return the timeout of a forward, which leaves time for a refusal to return."""
    left_s = active.call.deadline - now
    return left_s - min(FORWARD_MARGIN_S, left_s * FORWARD_MARGIN_SHARE)


def find_call_of_attempt(
    state: HostState, call_id: str, number: int
) -> ActiveCall | None:
    """Return the call of an attempt that still runs, or None.

    If the call has two running attempts, this one becomes the latest.
    """
    active = state.calls.get(call_id)
    if active is None or active.attempt is None:
        return None
    if active.stage not in (Stage.SENT, Stage.RELAYING):
        return None
    other_attempt = active.other_attempt
    if other_attempt is not None and other_attempt.number == number:
        active.other_attempt = active.attempt
        active.set_current_attempt(other_attempt)
    return active if active.attempt.number == number else None


def cancel_attempts(state: HostState, active: ActiveCall, out: list[Effect]) -> None:
    """Cancel the attempts and slot requests of a call, and free its slots."""
    service = state.services.get(active.call.service)
    if service is not None:
        service.queue.remove(active)
    attempt = active.attempt
    withdraw_slot_requests(active, out)
    if attempt is None or active.stage not in (Stage.SENT, Stage.RELAYING):
        return
    out.append(AbandonAttempt(call_id=active.call.call_id, attempt=attempt.number))
    release_slot(service, attempt, out)
    if active.other_attempt is not None:
        number = active.other_attempt.number
        out.append(AbandonAttempt(call_id=active.call.call_id, attempt=number))
        release_slot(service, active.other_attempt, out)
        active.other_attempt = None


def release_slot(
    service: ServiceRuntime | None, attempt: Attempt, out: list[Effect]
) -> None:
    """Free the slot of an attempt, here and at the home that granted it, once."""
    if attempt.is_released:
        return
    attempt.is_released = True
    if attempt.grant is not None:
        _send_slot_end(attempt, attempt.grant, out)
        attempt.grant = None
    if service is None or attempt.is_forward:
        return
    server = service.servers.get(attempt.target)
    if server is not None:
        server.in_flight = max(0, server.in_flight - 1)


def _send_slot_end(attempt: Attempt, grant: Grant, out: list[Effect]) -> None:
    if attempt.is_misdirected:
        use = SlotUse.MISDIRECTED
    elif attempt.has_failed:
        use = SlotUse.UNREACHABLE if attempt.is_unreachable else SlotUse.FAILED
    elif attempt.latency_s is not None:
        use = SlotUse.ANSWERED
    else:
        use = SlotUse.CANCELLED
    message = SlotEnd(
        host=grant.holder,
        call=grant.call_id,
        request_number=grant.request_number,
        number=grant.number,
        use=use,
        latency_s=round(attempt.latency_s or 0.0, 4),
        load=attempt.load,
        pause_s=attempt.pause_s,
        rate_limit=attempt.rate_limit,
    )
    out.append(SendMessage(host=grant.home, address=grant.address, message=message))


def record_attempt_failure(
    service: ServiceRuntime,
    attempt: Attempt,
    now: float,
    out: list[Effect],
    failure: AttemptFailure | None = None,
) -> None:
    """Record a failed attempt for its backend server; eject the server if needed."""
    attempt.has_failed = True
    attempt.is_unreachable = failure in UNREACHABLE_FAILURES
    server = None if attempt.is_forward else service.servers.get(attempt.target)
    if server is None:
        return
    peers = service.owned if server in service.owned else [*service.servers.values()]
    is_unreachable = failure in UNREACHABLE_FAILURES
    if record_failure(server, peers, now, is_unreachable=is_unreachable):
        _log_ejection(service, server, "failures", now, out)


def handle_replaced_server(
    service: ServiceRuntime, server: ServerRuntime, now: float, out: list[Effect]
) -> None:
    """Eject a server at whose address a different server answers."""
    if eject_replaced_server(server, now):
        _log_ejection(service, server, "other-server", now, out)


def record_missed_deadline(
    service: ServiceRuntime, attempt: Attempt, now: float, out: list[Effect]
) -> None:
    """Record a missed deadline as a failure, unless the call was sent late."""
    if now - attempt.started >= LATE_REPLY_FACTOR * service.service_time_s:
        record_attempt_failure(service, attempt, now, out)


def record_service_time(service: ServiceRuntime, latency_s: float) -> None:
    """Update the mean service time with one latency, in seconds."""
    if service.service_time_s == 0.0:
        service.service_time_s = latency_s
        return
    service.service_time_s += SERVICE_TIME_WEIGHT * (latency_s - service.service_time_s)


def _log_ejection(
    service: ServiceRuntime,
    server: ServerRuntime,
    reason: str,
    now: float,
    out: list[Effect],
) -> None:
    fields: dict[str, object] = {
        "service": service.intent.name,
        "server": server.intent.name,
        "reason": reason,
        "for_s": round(server.ejected_until - now, 3),
    }
    out.append(LogDecision(event="eject", fields=fields))


def _log_route(
    active: ActiveCall,
    server: ServerRuntime,
    reason: str,
    now: float,
    out: list[Effect],
) -> None:
    fields = _make_route_fields(active, server.intent.name, reason)
    fields["in_flight"] = server.in_flight
    fields["waited_s"] = round(now - active.arrived, 4)
    fields["left_s"] = round(active.call.deadline - now, 3)
    if server.report is not None:
        fields["slowdown"] = server.slowdown
        fields["slowdown_age_s"] = round(now - server.reported_at, 3)
    if active.holder:
        # The holder sends this call; this host only grants it the slot.
        out.append(LogDecision(event="grant", fields=fields))
        return
    out.append(LogDecision(event="route", fields=fields))


def _log_forward(active: ActiveCall, home: str, out: list[Effect]) -> None:
    fields = _make_route_fields(active, home, "forward")
    out.append(LogDecision(event="route", fields=fields))


def _make_route_fields(
    active: ActiveCall, target: str, reason: str
) -> dict[str, object]:
    return {
        "call": active.call.call_id,
        "service": active.call.service,
        "target": target,
        "reason": reason,
        "urgency": active.urgency,
        "attempt": len(active.attempts),
    }
