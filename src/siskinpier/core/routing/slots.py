"""Slots granted by the home that owns a service's backend servers.

The home keeps the one queue of its servers, by urgency and deadline, and counts
what is in flight. A grant is used once: the holder sends a call only while it
waits for just this request's grant, and tells the home how each grant ended.
"""

from typing import Final

from ..cluster.members import Member
from ..effects import Effect, LogDecision, SetTimer
from ..messages import (
    SlotEnd,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotRequest,
    SlotUse,
)
from ..problems import make_no_server, make_retry_budget_exhausted
from ..state import HostState, ServiceRuntime
from ..timers import CallDeadline, SlotResponseDue
from ..verdict import AttemptFailure, Problem
from .attempts import (
    learn_service_time,
    note_failure,
    note_other_server,
    release,
    send,
)
from .balance import (
    ServerRuntime,
    get_slot_limit,
    has_room,
    is_draining,
    is_paused,
)
from .calls import ActiveCall, Attempt, Call, Grant, Stage
from .candidates import PATIENCE_S, choose_fast
from .checks import Choice, send_or_check
from .crossing import is_crossing_worth
from .dispatch import drain_queue, place_call
from .full_servers import learn_run
from .health import record_success
from .hedging import learn_hedge_time
from .refusals import forget, refuse
from .repeat_budget import add_shares
from .run_times import learn_run_time
from .server_words import take_pause
from .slot_notices import tell_queued
from .slot_requests import DOUBT_S, ask_slot, ask_spare, drop_asks, withdraw
from .speed_changes import take_speed
from .speeds import is_slow, learn_spells

# How often the holder of a queued call looks whether its home lives, seconds.
QUEUED_CHECK_S: Final = 0.5
# Free slots of fast servers from which a home gives to other failure domains.
SPARE_KEPT: Final = 2
# Times the usual run that an answer must be away for other homes nearby to be asked.
WAIT_WORTH: Final = 1.2


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
    if not _take_budget(service, request, now):
        refuse(active, make_retry_budget_exhausted(request.service), out)
        return
    state.calls[call_id] = active
    out.append(SetTimer(timer=CallDeadline(call_id=call_id), at=active.call.deadline))
    if request.spare_only:
        _grant_spare(state, service, active, now, out)
        return
    place_call(state, service, active, now, out)
    if active.stage is Stage.QUEUED:
        tell_queued(state, service, active, now, out)


def _grant_spare(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Grant a slot that nobody here is likely to need, or refuse."""
    server = None
    if len(service.queue) == 0:
        fast = [s for s in service.owned if not is_slow(s, now) and has_room(s, now)]
        free = sum(get_slot_limit(s, now) - s.in_flight for s in fast)
        if free >= SPARE_KEPT:
            server = choose_fast(fast, active, now)
    if server is not None:
        choice = Choice(server=server, reason="spare")
        send_or_check(state, service, active, choice, now, out)
        return
    forget(state, active, out)
    refuse(active, make_no_server(active.call.service, active.worst), out)


def take_end(state: HostState, message: SlotEnd, now: float, out: list[Effect]) -> None:
    """Take back a slot, and learn how its server did."""
    active = state.calls.get(_make_id(message.host, message.call, message.ask))
    if active is None:
        return
    service = state.services.get(active.call.service)
    if service is None:
        forget(state, active, out)
        return
    if message.number is None:
        service.queue.remove(active)
        for attempt in active.list_running():
            release(service, attempt, out)
        forget(state, active, out)
        drain_queue(state, service, now, out)
        return
    ended = active.get_running(message.number)
    if ended is None:
        return
    _learn(state, service, active, ended, message, now, out)
    service.completions.count(now)
    release(service, ended, out)
    if not active.end_attempt(ended):
        forget(state, active, out)
    drain_queue(state, service, now, out)


def take_grant(
    state: HostState, grant: SlotGrant, sender: str, now: float, out: list[Effect]
) -> None:
    """Send a call to the backend server that its home granted, once."""
    active = state.calls.get(grant.call)
    if active is not None and grant.is_hedge:
        _take_hedge(state, active, grant, sender, now, out)
        return
    is_over = active is not None and now >= active.call.deadline
    if active is None or is_over or not _is_awaited(active, sender, grant.ask):
        # A host that stood still may hear of a grant when its call's time is over.
        withdraw(state, sender, grant.call, grant.ask, out, grant.number)
        return
    service = state.services.get(active.call.service)
    server = service.servers.get(grant.server) if service is not None else None
    home = state.members.get(sender)
    if service is None or server is None or home is None or is_draining(server):
        withdraw(state, sender, grant.call, grant.ask, out)
        ask = active.asks.pop(grant.ask)
        if not ask.is_spare:
            _look_elsewhere(state, active, now, out)
        return
    if is_paused(server, now):
        # Granted before the home heard of the pause.
        withdraw(state, sender, grant.call, grant.ask, out)
        del active.asks[grant.ask]
        place_call(state, service, active, now, out)
        return
    service.queue.remove(active)
    _send_granted(state, active, server, grant, home, "granted", now, out)


def _send_granted(
    state: HostState,
    active: ActiveCall,
    server: ServerRuntime,
    grant: SlotGrant,
    home: Member,
    reason: str,
    now: float,
    out: list[Effect],
) -> None:
    active.asks.pop(grant.ask, None)
    send(active, server, now, reason, out)
    if active.attempt is not None:
        active.attempt.grant = Grant(
            home=home.name,
            address=home.peers,
            holder=state.identity.name,
            call_id=grant.call,
            ask=grant.ask,
            number=grant.number,
        )


def _take_hedge(
    state: HostState,
    active: ActiveCall,
    grant: SlotGrant,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Send a second attempt beside the one that runs, if it still waits."""
    service = state.services.get(active.call.service)
    server = service.servers.get(grant.server) if service is not None else None
    home = state.members.get(sender)
    may_send = (
        active.stage is Stage.SENT
        and now < active.call.deadline
        and active.rival is None
        and active.idempotent
        and active.call.replayable
        and len(active.attempts) < active.attempts_limit
        and grant.server not in active.get_tried()
    )
    is_usable = server is not None and not is_draining(server)
    if server is None or not is_usable or is_paused(server, now):
        may_send = False
    if server is None or home is None or not may_send:
        withdraw(state, sender, grant.call, grant.ask, out, grant.number)
        return
    active.rival = active.attempt
    _send_granted(state, active, server, grant, home, "hedge", now, out)


def take_queued(
    state: HostState,
    message: SlotQueued,
    sender: str,
    now: float,
    out: list[Effect],
) -> None:
    """Note that a call waits in its home's queue; look for a free slot elsewhere."""
    active = state.calls.get(message.call)
    if active is None or not _is_awaited(active, sender, message.ask):
        return
    active.is_queued_there = True
    service = state.services.get(active.call.service)
    if service is None:
        return
    if is_crossing_worth(active, message.expected_s, message.typical_run_s, now):
        ask_spare(state, service, active, now, out)
    elif message.expected_s > WAIT_WORTH * message.typical_run_s:
        ask_spare(state, service, active, now, out, near_only=True)


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
    ask = active.asks.pop(message.ask)
    service = state.services.get(active.call.service)
    if ask.is_spare:
        active.without_spare.add(sender)
        if service is not None:
            ask_spare(state, service, active, now, out)
        return
    active.refused_by.add(sender)
    may_ask = service is not None and not message.is_final
    if may_ask and service and ask_slot(state, service, active, now, out):
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
        timer = SlotResponseDue(call_id=call_id)
        out.append(SetTimer(timer=timer, at=now + QUEUED_CHECK_S))
        return
    fields: dict[str, object] = {
        "call": call_id,
        "home": active.asked,
        "after_s": round(now - active.asked_at, 3),
    }
    out.append(LogDecision(event="slot-unanswered", fields=fields))
    if member is not None:
        member.doubted_until = now + DOUBT_S
    drop_asks(active, out)
    _look_elsewhere(state, active, now, out)


def _is_awaited(active: ActiveCall, sender: str, number: int) -> bool:
    if active.stage not in (Stage.ASKING, Stage.QUEUED):
        return False
    ask = active.asks.get(number)
    return ask is not None and ask.home == sender


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
        attempts_limit=request.attempts_left,
        aim_s=request.aim_left_s,
        ask=request.ask,
        holder=request.host,
        holder_address=holder.peers,
        holders_id=request.call,
        avoided=frozenset(request.tried),
        is_repeat=request.is_repeat,
        route_name=request.route,
        slow_from=now + PATIENCE_S if request.may_cross else 0.0,
    )


def _take_budget(service: ServiceRuntime, request: SlotRequest, now: float) -> bool:
    """Count a fresh call once, or take the token that a repeat costs."""
    if request.is_repeat:
        return service.retries.take(now)
    if request.earns_budget:
        add_shares(service)
    return True


def _learn(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    attempt: Attempt,
    message: SlotEnd,
    now: float,
    out: list[Effect],
) -> None:
    server = service.servers.get(attempt.target)
    if server is None:
        return
    if message.load is not None:
        take_speed(state, service, server, message.load, now, out)
    if message.pause_s > 0.0:
        take_pause(
            state, service, server, message.pause_s, now, out, holder=message.host
        )
    match message.use:
        case SlotUse.ANSWERED:
            record_success(server, message.latency_s, now)
            learn_service_time(service, message.latency_s)
            learn_hedge_time(service, message.latency_s)
            learn_run(service, message.latency_s, was_full=attempt.was_full)
            learn_spells(service, server, active, attempt, message.latency_s, now)
            learn_run_time(service, active.route_name, message.latency_s)
        case SlotUse.FAILED:
            note_failure(service, attempt, now, out)
        case SlotUse.MISDIRECTED:
            note_other_server(service, server, now, out)
        case SlotUse.UNREACHABLE:
            failure = AttemptFailure.CONNECT_REFUSED
            note_failure(service, attempt, now, out, failure)
        case SlotUse.CANCELLED | SlotUse.UNUSED:
            pass


def _make_id(host: str, call_id: str, ask: int) -> str:
    return f"{host}/{call_id}/{ask}"
