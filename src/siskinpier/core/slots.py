"""Slots granted by the home that owns a service's backend servers.

The home keeps the one queue of its servers, by urgency and deadline, and counts
what is in flight. A grant is used once: the holder sends a call only while it
waits for just this request's grant, and tells the home how each grant ended.
"""

from typing import Final

from .attempts import learn_service_time, note_failure, release, send
from .balance import is_draining
from .calls import ActiveCall, Call, Grant, Stage
from .dispatch import drain_queue, place_call
from .effects import Effect, LogDecision, SendMessage, SetTimer
from .health import record_success
from .hedging import learn_hedge_time
from .load_reports import take_load
from .members import Member
from .messages import (
    SlotEnd,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotRequest,
    SlotUse,
)
from .problems import make_no_server
from .refusals import forget, refuse
from .slot_requests import ask_slot, withdraw
from .state import HostState, ServiceRuntime
from .timers import CallDeadline, SlotDue
from .verdict import AttemptFailure, Problem

# How often the holder of a queued call looks whether its home lives, seconds.
QUEUED_CHECK_S: Final = 0.5


def take_request(
    state: HostState, request: SlotRequest, now: float, out: list[Effect]
) -> None:
    """Give a slot, queue the request, or refuse it."""
    holder = state.members.get(request.host)
    if holder is None:
        return
    active = _make_proxy(request, holder, now)
    call_id = active.call.call_id
    if call_id in state.calls:
        return
    service = state.services.get(request.service)
    if service is None or not service.owned:
        refuse(active, make_no_server(request.service, active.worst), out)
        return
    state.calls[call_id] = active
    out.append(SetTimer(timer=CallDeadline(call_id=call_id), at=active.call.deadline))
    place_call(state, service, active, now, out)
    if active.stage is Stage.QUEUED and call_id in state.calls:
        message = SlotQueued(call=request.call, ask=request.ask)
        out.append(SendMessage(host=holder.name, address=holder.peers, message=message))


def take_end(state: HostState, message: SlotEnd, now: float, out: list[Effect]) -> None:
    """Take back a slot, and learn how its server did."""
    active = state.calls.get(_make_id(message.host, message.call, message.ask))
    if active is None:
        return
    service = state.services.get(active.call.service)
    if service is not None:
        service.queue.remove(active)
    forget(state, active, out)
    if service is None:
        return
    if active.attempt is not None:
        _learn(service, active, message, now, out)
        release(service, active.attempt, out)
    drain_queue(state, service, now, out)


def take_grant(
    state: HostState, grant: SlotGrant, sender: str, now: float, out: list[Effect]
) -> None:
    """Send a call to the backend server that its home granted, once."""
    active = state.calls.get(grant.call)
    if active is None or not _is_awaited(active, sender, grant.ask):
        withdraw(state, sender, grant.call, grant.ask, out)
        return
    service = state.services.get(active.call.service)
    server = service.servers.get(grant.server) if service is not None else None
    home = state.members.get(sender)
    if service is None or server is None or home is None or is_draining(server):
        withdraw(state, sender, grant.call, grant.ask, out)
        _look_elsewhere(state, active, now, out)
        return
    send(active, server, now, "granted", out)
    if active.attempt is not None:
        active.attempt.grant = Grant(
            home=sender,
            address=home.peers,
            holder=state.identity.name,
            call_id=grant.call,
            ask=grant.ask,
        )


def take_queued(state: HostState, message: SlotQueued, sender: str) -> None:
    """Note that a call waits in its home's queue."""
    active = state.calls.get(message.call)
    if active is not None and _is_awaited(active, sender, message.ask):
        active.is_queued_there = True


def take_refusal(
    state: HostState,
    message: SlotRefusal,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Ask another home, or refuse the call as its home did."""
    active = state.calls.get(message.call)
    if active is None or not _is_awaited(active, sender, message.ask):
        return
    active.refused_by.add(sender)
    service = state.services.get(active.call.service)
    if service is not None and ask_slot(state, service, active, now, out):
        return
    problem = Problem(
        status=503,
        title=message.title,
        detail=message.detail,
        verdict=active.worst,
        retry_after_s=message.retry_after_s,
    )
    forget(state, active, out)
    refuse(active, problem, out)


def check_slot(state: HostState, call_id: str, now: float, out: list[Effect]) -> None:
    """Look elsewhere for a call whose home gave no word, or fell silent."""
    active = state.calls.get(call_id)
    if active is None or active.stage is not Stage.ASKING:
        return
    member = state.members.get(active.asked)
    is_lost = member is None or member.silent_since is not None
    if active.is_queued_there and not is_lost:
        timer = SlotDue(call_id=call_id)
        out.append(SetTimer(timer=timer, at=now + QUEUED_CHECK_S))
        return
    fields: dict[str, object] = {
        "call": call_id,
        "home": active.asked,
        "after_s": round(now - active.asked_at, 3),
    }
    out.append(LogDecision(event="slot-unanswered", fields=fields))
    withdraw(state, active.asked, call_id, active.ask, out)
    _look_elsewhere(state, active, now, out)


def _is_awaited(active: ActiveCall, sender: str, ask: int) -> bool:
    is_asking = active.stage is Stage.ASKING
    return is_asking and active.asked == sender and active.ask == ask


def _look_elsewhere(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    active.refused_by.add(active.asked)
    service = state.services.get(active.call.service)
    if service is not None:
        place_call(state, service, active, now, out)
        return
    forget(state, active, out)
    refuse(active, make_no_server(active.call.service, active.worst), out)


def _make_proxy(request: SlotRequest, holder: Member, now: float) -> ActiveCall:
    """Return what stands at the home for a call that another host holds."""
    call = Call(
        call_id=_make_id(request.host, request.call, request.ask),
        service=request.service,
        method="",
        path="",
        caller="",
        deadline=now + request.left_s,
        urgency=request.urgency,
        hops=1,
        fingerprint=request.fingerprint,
    )
    return ActiveCall(
        call=call,
        urgency=request.urgency,
        idempotent=request.idempotent,
        arrived=now,
        aim_s=request.aim_left_s,
        ask=request.ask,
        holder=request.host,
        holder_address=holder.peers,
        holders_id=request.call,
        avoided=frozenset(request.tried),
    )


def _learn(
    service: ServiceRuntime,
    active: ActiveCall,
    message: SlotEnd,
    now: float,
    out: list[Effect],
) -> None:
    attempt = active.attempt
    server = service.servers.get(attempt.target) if attempt is not None else None
    if attempt is None or server is None:
        return
    if message.load is not None:
        take_load(server, message.load, now)
    match message.use:
        case SlotUse.ANSWERED:
            record_success(server, message.latency_s, now)
            learn_service_time(service, message.latency_s)
            learn_hedge_time(service, message.latency_s)
        case SlotUse.FAILED:
            note_failure(service, attempt, now, out)
        case SlotUse.UNREACHABLE:
            failure = AttemptFailure.CONNECT_REFUSED
            note_failure(service, attempt, now, out, failure)
        case SlotUse.CANCELLED | SlotUse.UNUSED:
            pass


def _make_id(host: str, call_id: str, ask: int) -> str:
    return f"{host}/{call_id}/{ask}"
