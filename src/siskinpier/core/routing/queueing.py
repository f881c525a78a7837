"""The queue of a service: which calls enter it, and when they leave it."""

from math import inf
from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..problems import (
    make_no_server,
    make_overloaded,
    make_servers_limited,
    make_servers_paused,
)
from ..state import HostState, ServiceRuntime
from ..timers import CallDeadline, QueueReviewDue, SlowServersAllowedDue
from ..verdict import Problem
from .admission import (
    estimate_retry_after_s,
    is_deadline_unlikely,
    is_not_worth_queueing,
)
from .attempts import cancel_attempts, restore_deadline_timer
from .balance import ServerRuntime, has_free_slot, is_draining, is_ejected
from .calls import ActiveCall, Stage
from .candidates import choose_candidate, estimate_answer_s
from .cross_domain import is_cross_domain_worthwhile
from .forwarding import report_spare_slots
from .pauses import find_pause_end
from .quarantine import find_quarantine_refusal
from .quotas import renew_credit
from .rate_limit_tokens import get_token_time, has_token
from .refusals import refuse_call, remove_call
from .run_times import get_typical_run_s
from .slot_requests import request_slot, request_spare_slot
from .speed_checks import ServerChoice, send_or_check
from .speeds import is_slow
from .warmup_tokens import get_next_request_time
from .workspaces import refuse_without_key

# Number of calls at the head of the queue that are considered for a free slot.
MAX_SCANNED_CALLS: Final = 8
# How often a queue is reviewed while slow servers have free slots, in seconds.
QUEUE_REVIEW_INTERVAL_S: Final = 0.1
MIN_REVIEW_INTERVAL_S: Final = 0.005
# Share of the time to its deadline after which a waiting call is refused.
MAX_WAIT_SHARE: Final = 0.5


def enqueue_call(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Queue a call if waiting is worthwhile, else request a slot or refuse it."""
    if not _has_usable_server(service):
        problem = make_no_server(active.call.service, active.worst_verdict)
        _request_slot_or_refuse(state, service, active, problem, now, out)
        return
    pause_end = find_pause_end(service.owned, active, now)
    if pause_end is not None and _is_pause_too_long(service, active, pause_end):
        problem = make_servers_paused(
            active.call.service, pause_end - now, active.worst_verdict
        )
        _request_slot_or_refuse(state, service, active, problem, now, out)
        return
    if active.aim_s > 0.0 and state.settings.grants_slots:
        is_late = is_not_worth_queueing(service, active, now)
    else:
        is_late = is_deadline_unlikely(service, active, now)
    is_full = len(service.queue) >= service.intent.queue_limit
    if (is_late or is_full) and not _has_claim(
        state, service, active, now, out, is_late=is_late, is_full=is_full
    ):
        problem = _make_overloaded(service, active, now)
        _request_slot_or_refuse(state, service, active, problem, now, out)
        return
    push_to_queue(service, active, now, out)
    if active.accepts_slow_from > now and not active.holder:
        expected_s = estimate_answer_s(service, active, now)
        typical_run_s = get_typical_run_s(service, active)
        active.expected_s = expected_s
        if is_cross_domain_worthwhile(active, expected_s, typical_run_s, now):
            request_spare_slot(state, service, active, now, out)


def push_to_queue(
    service: ServiceRuntime, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Append a call to the queue, and set the timers that limit its wait."""
    active.stage = Stage.QUEUED
    if len(service.queue) == 0:
        service.queued_since = now
    run_s = get_typical_run_s(service, active)
    service.queue.push(active, is_late=active.is_late(run_s, now), run_s=run_s)
    _schedule_review(service, now, out)
    if active.aim_s > 0.0:
        # The call is refused once half its time is over and its objective missed;
        # `send_attempt` restores the timer.
        active.has_wait_limit = True
        limit_timer = CallDeadline(call_id=active.call.call_id)
        out.append(SetTimer(timer=limit_timer, at=_get_wait_limit(active)))
    if active.accepts_slow_from > now:
        slow_timer = SlowServersAllowedDue(service=active.call.service)
        out.append(SetTimer(timer=slow_timer, at=active.accepts_slow_from))
    out.append(
        LogDecision(
            event="queue",
            fields={
                "call": active.call.call_id,
                "service": active.call.service,
                "urgency": active.urgency,
                "length": len(service.queue),
            },
        )
    )


def dispatch_queued_calls(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Send waiting calls while backend servers have free slots."""
    # A host whose servers went to another owner still serves the calls it queued.
    servers = service.owned or list(service.servers.values())
    while len(service.queue) > 0 and any(has_free_slot(s, now) for s in servers):
        found = _find_next_call(state, service, servers, now, out)
        if found is None:
            break
        active, server = found
        service.queue.take(active)
        if not _may_still_be_sent(state, active, now, out):
            # Its workspace is not charged for a run that does not take place.
            service.queue.correct_run(active, 0.0)
            continue
        choice = ServerChoice(server=server, reason="queued")
        send_or_check(state, service, active, choice, now, out)
    _schedule_review(service, now, out)
    report_spare_slots(state, service, now, out)


def _may_still_be_sent(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> bool:
    """Return True unless the call was refused or waits for a credit again."""
    if state.intents.requires_keys and refuse_without_key(state, active, now, out):
        return False
    if refuse_if_quarantined(state, active, now, out):
        return False
    return renew_credit(state, active, now, out)


def redispatch_blocked_calls(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Dispatch waiting calls again that no owned server will take.

    All owned servers are draining, or requested pauses from the holders of the calls.
    """
    if not service.owned:
        return
    is_usable = _has_usable_server(service)
    for call_id in service.queue.get_call_ids():
        active = state.calls[call_id]
        pause_end = find_pause_end(service.owned, active, now)
        is_too_long = pause_end is not None and _is_pause_too_long(
            service, active, pause_end
        )
        if not is_usable or is_too_long:
            _requeue_call(state, service, active, now, out)


def requeue_calls(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Queue the waiting calls again, without those that would now wait too long."""
    if not service.owned:
        return
    for call_id in service.queue.get_call_ids():
        _requeue_call(state, service, state.calls[call_id], now, out)


def _requeue_call(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    service.queue.remove(active)
    restore_deadline_timer(active, out)
    enqueue_call(state, service, active, now, out)


def refuse_waiting_call(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    """Refuse a call that waited too long, while its caller can still retry."""
    cancel_attempts(state, active, out)
    remove_call(state, active, out)
    refuse_call(active, _make_overloaded(service, active, now), out)


def refuse_if_quarantined(
    state: HostState, active: ActiveCall, now: float, out: list[Effect]
) -> bool:
    """Refuse a call if it was quarantined while it waited; return True if it was."""
    problem = find_quarantine_refusal(state, active.call, now)
    if problem is None:
        return False
    remove_call(state, active, out)
    refuse_call(active, problem, out)
    return True


def _schedule_review(service: ServiceRuntime, now: float, out: list[Effect]) -> None:
    """Schedule a review of the queue where no other event may come in time.

    While slow servers have free slots, the choice changes with the length of a slow
    period. A server that names a rate limit, or is cold, takes a call at a known time.
    """
    if len(service.queue) == 0:
        return
    limits = [s.rate_limit for s in service.owned if not has_token(s.rate_limit, now)]
    review_at = min((get_token_time(limit, now) for limit in limits), default=inf)
    for server in service.owned:
        if server.warmup is not None:
            review_at = min(review_at, get_next_request_time(server.warmup, now))
    review_at = max(review_at, now + MIN_REVIEW_INTERVAL_S)
    if any(is_slow(s, now) and has_free_slot(s, now) for s in service.owned):
        review_at = min(review_at, now + QUEUE_REVIEW_INTERVAL_S)
    if review_at < inf:
        timer = QueueReviewDue(service=service.intent.name)
        out.append(SetTimer(timer=timer, at=review_at))


def _find_next_call(
    state: HostState,
    service: ServiceRuntime,
    servers: list[ServerRuntime],
    now: float,
    out: list[Effect],
) -> tuple[ActiveCall, ServerRuntime] | None:
    """Return the first waiting call that can be sent, with its server, or None.

    A call that has tried the servers with free slots does not block those behind it.
    """
    _demote_late_calls(state, service, now, out)
    for call_id in service.queue.get_call_ids(last=MAX_SCANNED_CALLS):
        active = state.calls[call_id]
        server = choose_candidate(service, servers, active, now)
        if server is not None:
            return active, server
    return None


def _demote_late_calls(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Move late calls from the head of the queue behind the calls that are not late.

    A call is late if it cannot meet its latency objective; it is refused if it is also
    unlikely to be answered before its deadline.
    """
    while (call_id := service.queue.peek()) is not None:
        active = state.calls[call_id]
        entry = active.queue_entry
        run_s = get_typical_run_s(service, active)
        if entry is None or entry.is_late or not active.is_late(run_s, now):
            return
        service.queue.remove(active)
        is_refused = is_not_worth_queueing(service, active, now)
        if is_refused and _find_above_share(state, service, active) is None:
            refuse_waiting_call(state, service, active, now, out)
        else:
            service.queue.push(active, is_late=True, run_s=run_s)


def _get_wait_limit(active: ActiveCall) -> float:
    """Return the time at which a call is refused if it still waits then.

    By then half the time to its deadline and its latency objective have both passed.
    """
    half_time = active.arrived + MAX_WAIT_SHARE * (
        active.call.deadline - active.arrived
    )
    return min(active.call.deadline, max(active.arrived + active.aim_s, half_time))


def _has_usable_server(service: ServiceRuntime) -> bool:
    return any(not is_draining(server) for server in service.owned)


def _is_pause_too_long(
    service: ServiceRuntime, active: ActiveCall, pause_end: float
) -> bool:
    """Return True if a call would be late after waiting for the end of the pause.

    Late is after the latency objective or, if there is none, after the deadline.
    """
    typical_run_s = get_typical_run_s(service, active)
    if active.aim_s == 0.0:
        return pause_end + typical_run_s > active.call.deadline
    return active.is_late(typical_run_s, pause_end)


def _request_slot_or_refuse(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    problem: Problem,
    now: float,
    out: list[Effect],
) -> None:
    """Request a slot from another home, or refuse the call with `problem`."""
    is_own = not active.holder and state.settings.grants_slots
    if is_own and request_slot(state, service, active, now, out):
        return
    remove_call(state, active, out)
    refuse_call(active, problem, out)


def _has_claim(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
    *,
    is_late: bool,
    is_full: bool,
) -> bool:
    """Return True if a call is queued though it is late or the queue is full.

    A full queue refuses its last call in place of a more urgent one. While calls wait
    of a workspace, or of a route of it, that is above its fair share, no call of one
    below its share is refused.
    """
    if not is_late and _evict_less_urgent(state, service, active, now, out):
        return True
    above = _find_above_share(state, service, active)
    if above is None:
        return False
    if is_full:
        fields: dict[str, object] = {
            "call": above.call.call_id,
            "service": above.call.service,
            "workspace": above.workspace,
            "for_workspace": active.workspace,
        }
        out.append(LogDecision(event="evict", fields=fields))
        _evict(state, service, above, now, out)
    return True


def _find_above_share(
    state: HostState, service: ServiceRuntime, active: ActiveCall
) -> ActiveCall | None:
    """Return a waiting call that is above its share, compared to `active`, or None."""
    run_s = get_typical_run_s(service, active)
    call_id = service.queue.find_above_share(active, run_s)
    return state.calls[call_id] if call_id is not None else None


def _evict_less_urgent(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    now: float,
    out: list[Effect],
) -> bool:
    """Refuse the last waiting call if it is less urgent; return False if it is not."""
    call_id = service.queue.peek_last()
    if call_id is None or state.calls[call_id].urgency <= active.urgency:
        return False
    _evict(state, service, state.calls[call_id], now, out)
    return True


def _evict(
    state: HostState,
    service: ServiceRuntime,
    evicted: ActiveCall,
    now: float,
    out: list[Effect],
) -> None:
    service.queue.remove(evicted)
    remove_call(state, evicted, out)
    refuse_call(evicted, _make_overloaded(service, evicted, now), out)


def _make_overloaded(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> Problem:
    retry_after_s = estimate_retry_after_s(service, now)
    usable = [s for s in service.owned if not is_draining(s) and not is_ejected(s, now)]
    if usable and all(server.rate_limit is not None for server in usable):
        return make_servers_limited(
            active.call.service, retry_after_s, active.worst_verdict
        )
    return make_overloaded(active.call.service, retry_after_s, active.worst_verdict)
