"""Hedging: a second attempt of a slow idempotent call while the first still runs.

As in Dean and Barroso, "The Tail at Scale" (2013): a call that takes longer than
most is sent to a second backend server, the first good reply is used, and the
other attempt is cancelled. A budget, a share of fresh calls, bounds the extra
load, and hedges use only slots that no queued call waits for.
"""

from typing import Final

from ..effects import AbandonAttempt, Effect, SetTimer
from ..state import HostState, ServiceRuntime
from ..timers import HedgeDue
from .attempts import release_slot, send_attempt
from .balance import ServerRuntime, choose_server, get_slot_limit
from .calls import ActiveCall, Attempt, Stage
from .early_attempts import (
    SLOTS_LEFT_FREE,
    get_delay_s,
    get_recheck_s,
    has_hedge_token,
    record_run_factor,
)
from .health import record_slow_attempt
from .quarantine import is_quarantined
from .run_times import get_typical_run_s
from .speeds import SLOW_FACTOR, estimate_remaining_s, is_slow
from .workspaces import find_key_refusal

# Step of the quantile estimate, as a share of the mean service time.
QUANTILE_STEP_SHARE: Final = 0.1
MIN_QUANTILE: Final = 0.5
# Share of the hedge delay until the next try if no other server had a free slot.
HEDGE_RECHECK_SHARE: Final = 0.25
# A call that would be late on any server is hedged only if its remaining time on the
# slow one is at least this many usual run times.
MIN_REMAINING_FACTOR: Final = 2.0
# Multiple of the usual run time after which the reply of a server that reports its
# speed is considered lost.
LOST_REPLY_FACTOR: Final = 4.0


def schedule_hedge(
    service: ServiceRuntime, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Set the timer after which a call that was just sent counts as slow."""
    if service.intent.hedge_share == 0.0 or service.hedge_after_s == 0.0:
        return
    if not active.idempotent or not active.call.replayable or len(active.attempts) > 1:
        return
    if active.attempts_limit < 2 or active.is_retry:
        return
    active.hedge_timer_set = True
    timer = HedgeDue(call_id=active.call.call_id)
    typical_run_s = get_typical_run_s(service, active)
    if service.limits_hedges and typical_run_s > 0.0:
        delay_s = get_delay_s(service, typical_run_s)
        out.append(SetTimer(timer=timer, at=now + delay_s))
        return
    after_s = service.hedge_after_s
    attempt = active.attempt
    server = service.servers.get(attempt.target) if attempt is not None else None
    if server is not None and server.report is not None:
        # Load reports reveal slow periods; this timer covers lost replies.
        after_s = max(after_s, LOST_REPLY_FACTOR * typical_run_s)
    out.append(SetTimer(timer=timer, at=now + after_s))


def handle_hedge_due(
    state: HostState, call_id: str, now: float, out: list[Effect]
) -> None:
    """Hedge a slow call if another server has a free slot and the budget allows it."""
    active = state.calls.get(call_id)
    if active is None or not _can_hedge(active):
        return
    service = state.services.get(active.call.service)
    if service is None or active.attempt is None or active.attempt.is_forward:
        return
    if is_quarantined(state, active.call, now):
        return
    if state.intents.requires_keys and find_key_refusal(state, active, now):
        return
    if service.limits_hedges:
        _hedge_within_limit(service, active, now, out)
        return
    server = None
    if len(service.queue) == 0:
        fast = [s for s in service.owned if not is_slow(s, now)]
        server = choose_server(
            fast, now, active.list_tried_targets(), holder=active.holder
        )
    if server is None:
        recheck_s = service.hedge_after_s * HEDGE_RECHECK_SHARE
        out.append(SetTimer(timer=HedgeDue(call_id=call_id), at=now + recheck_s))
        return
    if not service.hedges.take(now):
        return
    active.other_attempt = active.attempt
    send_attempt(active, server, now, "hedge", out)


def _hedge_within_limit(
    service: ServiceRuntime, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Hedge a late call if a token and a slot are left, else consider it again."""
    attempt = active.attempt
    assert attempt is not None
    typical_run_s = get_typical_run_s(service, active)
    elapsed_s = now - attempt.started
    if now + typical_run_s > active.call.deadline:
        return  # A second answer would come too late.
    server = None
    if has_hedge_token(service.hedges, elapsed_s, typical_run_s, now):
        server = _choose_spare_server(service, active, now)
    if server is None:
        timer = HedgeDue(call_id=active.call.call_id)
        out.append(SetTimer(timer=timer, at=now + get_recheck_s(typical_run_s)))
        return
    service.hedges.take(now)
    active.other_attempt = attempt
    send_attempt(active, server, now, "hedge", out)


def _choose_spare_server(
    service: ServiceRuntime, active: ActiveCall, now: float
) -> ServerRuntime | None:
    """Return a fast server with a slot that no other call needs, or None."""
    if len(service.queue) > 0:
        return None
    fast = [s for s in service.owned if not is_slow(s, now)]
    free = sum(max(0, get_slot_limit(s, now) - s.in_flight) for s in fast)
    if free <= SLOTS_LEFT_FREE:
        return None
    return choose_server(fast, now, active.list_tried_targets(), holder=active.holder)


def hedge_slowed_calls(
    state: HostState,
    service: ServiceRuntime,
    slowed: ServerRuntime,
    now: float,
    out: list[Effect],
) -> None:
    """Hedge the calls of a server that just became slow, where a hedge helps.

    It helps if the call would miss its latency objective on this server, and either
    meet it on another or need much more than a usual run to end on this one.
    """
    if len(service.queue) > 0:
        return
    for active in list(state.calls.values()):
        attempt = active.attempt
        if attempt is None or attempt.target != slowed.intent.name:
            continue
        if not _can_hedge(active) or is_quarantined(state, active.call, now):
            continue
        if state.intents.requires_keys and find_key_refusal(state, active, now):
            continue
        typical_run_s = get_typical_run_s(service, active)
        remaining_s = estimate_remaining_s(
            service, slowed, typical_run_s, attempt.started, now
        )
        objective_at = active.arrived + (active.aim_s or typical_run_s)
        if now + remaining_s <= objective_at:
            continue
        can_meet_objective = now + typical_run_s <= objective_at
        if (
            not can_meet_objective
            and remaining_s < MIN_REMAINING_FACTOR * typical_run_s
        ):
            continue
        if service.limits_hedges:
            elapsed_s = now - attempt.started
            has_token = has_hedge_token(service.hedges, elapsed_s, typical_run_s, now)
            server = _choose_spare_server(service, active, now) if has_token else None
        else:
            fast = [s for s in service.owned if not is_slow(s, now)]
            server = choose_server(
                fast, now, active.list_tried_targets(), holder=active.holder
            )
        if server is None or not service.hedges.take(now):
            return
        active.other_attempt = attempt
        send_attempt(active, server, now, "hedge-slowed", out)


def _can_hedge(active: ActiveCall) -> bool:
    return (
        active.stage is Stage.SENT
        and active.other_attempt is None
        and active.idempotent
        and active.call.replayable
        and len(active.attempts) < active.attempts_limit
        and not active.is_retry
    )


def cancel_other_attempt(
    service: ServiceRuntime | None, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Cancel the other attempt of a call that has its reply."""
    other_attempt = active.other_attempt
    if other_attempt is None:
        return
    active.other_attempt = None
    out.append(
        AbandonAttempt(call_id=active.call.call_id, attempt=other_attempt.number)
    )
    if service is None:
        return
    release_slot(service, other_attempt, out)
    server = service.servers.get(other_attempt.target)
    if server is not None:
        record_slow_attempt(server, now - other_attempt.started)
    update_hedge_delay(service, now - other_attempt.started)
    record_run_length(
        service, active, other_attempt, now - other_attempt.started, is_complete=False
    )


def fall_back_to_other_attempt(
    service: ServiceRuntime, active: ActiveCall, failed: Attempt, out: list[Effect]
) -> bool:
    """Continue with the other attempt after one failed; return False without one."""
    other_attempt = active.other_attempt
    if other_attempt is None:
        return False
    release_slot(service, failed, out)
    out.append(AbandonAttempt(call_id=active.call.call_id, attempt=failed.number))
    active.other_attempt = None
    active.set_current_attempt(other_attempt)
    return True


def record_run_length(
    service: ServiceRuntime,
    active: ActiveCall,
    attempt: Attempt,
    run_s: float,
    *,
    is_complete: bool = True,
) -> None:
    """Record how long a run took for the delay of hedges within the operator's limit.

    Runs that began on a slow server say nothing about others.
    """
    if service.limits_hedges and attempt.slowdown < SLOW_FACTOR:
        typical_run_s = get_typical_run_s(service, active)
        record_run_factor(service, run_s, typical_run_s, is_complete=is_complete)


def update_hedge_delay(service: ServiceRuntime, latency_s: float) -> None:
    """Update the latency above which calls are hedged.

    All but `hedge_share` of the calls stay below this quantile, which is estimated by
    stochastic approximation (Robbins and Monro, 1951).
    """
    quantile = max(MIN_QUANTILE, 1.0 - service.intent.hedge_share)
    if service.hedge_after_s == 0.0:
        service.hedge_after_s = 2.0 * latency_s
        return
    step_s = QUANTILE_STEP_SHARE * (service.service_time_s or latency_s)
    if latency_s > service.hedge_after_s:
        service.hedge_after_s += step_s * quantile
    else:
        service.hedge_after_s -= step_s * (1.0 - quantile)
