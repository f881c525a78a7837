"""A second attempt of a slow idempotent call while the first still runs.

As in Dean and Barroso, "The Tail at Scale" (2013): once a call takes longer
than most, it is sent to one more backend server, the first good reply counts,
and the other attempt is cancelled. A budget, a share of fresh calls, bounds
the extra load, and only slots that nobody waits for are used.
"""

from typing import Final

from ..effects import AbandonAttempt, Effect, SetTimer
from ..state import HostState, ServiceRuntime
from ..timers import HedgeDue
from .attempts import release, send
from .balance import ServerRuntime, choose_server
from .calls import ActiveCall, Attempt, Stage
from .health import record_slow
from .quarantine import is_quarantined
from .run_times import get_usual_s
from .speeds import estimate_rest_s, is_slow

QUANTILE_STEP: Final = 0.1
LEAST_QUANTILE: Final = 0.5
AGAIN_SHARE: Final = 0.25
# Times the usual run that a late call must still need to be sent to a second server.
LARGE_GAIN: Final = 2.0
# Times the usual run after which the answer of a server that reports its speed is
# taken for lost.
LOST_AFTER: Final = 4.0


def plan_hedge(
    service: ServiceRuntime, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Set the time at which a call just sent counts as slow."""
    if service.intent.hedge_share == 0.0 or service.hedge_after_s == 0.0:
        return
    if not active.idempotent or not active.call.replayable or len(active.attempts) > 1:
        return
    if active.attempts_limit < 2 or active.is_repeat:
        return
    active.hedge_timer_set = True
    timer = HedgeDue(call_id=active.call.call_id)
    after_s = service.hedge_after_s
    attempt = active.attempt
    server = service.servers.get(attempt.target) if attempt is not None else None
    if server is not None and server.report is not None:
        # Its reports tell of slow spells; this is for an answer that was lost.
        after_s = max(after_s, LOST_AFTER * get_usual_s(service, active))
    out.append(SetTimer(timer=timer, at=now + after_s))


def send_hedge(state: HostState, call_id: str, now: float, out: list[Effect]) -> None:
    """Send a slow call to one more server, if one is idle and the budget allows."""
    active = state.calls.get(call_id)
    if active is None or not _may_hedge(active):
        return
    service = state.services.get(active.call.service)
    if service is None or active.attempt is None or active.attempt.is_forward:
        return
    if is_quarantined(state, active.call, now):
        return
    server = None
    if len(service.queue) == 0:
        fast = [s for s in service.owned if not is_slow(s, now)]
        server = choose_server(fast, now, active.get_tried(), holder=active.holder)
    if server is None:
        again_s = service.hedge_after_s * AGAIN_SHARE
        out.append(SetTimer(timer=HedgeDue(call_id=call_id), at=now + again_s))
        return
    if not service.hedges.take(now):
        return
    active.rival = active.attempt
    send(active, server, now, "hedge", out)


def hedge_slowed(
    state: HostState,
    service: ServiceRuntime,
    slowed: ServerRuntime,
    now: float,
    out: list[Effect],
) -> None:
    """Send calls elsewhere too whose server just became slow, where it helps.

    It helps where the call would miss its aim there and keep it elsewhere, or be late
    there by much more than a whole run.
    """
    if len(service.queue) > 0:
        return
    for active in list(state.calls.values()):
        attempt = active.attempt
        if attempt is None or attempt.target != slowed.intent.name:
            continue
        if not _may_hedge(active) or is_quarantined(state, active.call, now):
            continue
        typical_run_s = get_usual_s(service, active)
        rest_s = estimate_rest_s(service, slowed, typical_run_s, attempt.started, now)
        aim = active.arrived + (active.aim_s or typical_run_s)
        if now + rest_s <= aim:
            continue
        is_kept_elsewhere = now + typical_run_s <= aim
        if not is_kept_elsewhere and rest_s < LARGE_GAIN * typical_run_s:
            continue
        fast = [s for s in service.owned if not is_slow(s, now)]
        server = choose_server(fast, now, active.get_tried(), holder=active.holder)
        if server is None or not service.hedges.take(now):
            return
        active.rival = attempt
        send(active, server, now, "hedge-slowed", out)


def _may_hedge(active: ActiveCall) -> bool:
    return (
        active.stage is Stage.SENT
        and active.rival is None
        and active.idempotent
        and active.call.replayable
        and len(active.attempts) < active.attempts_limit
        and not active.is_repeat
    )


def drop_rival(
    service: ServiceRuntime | None, active: ActiveCall, now: float, out: list[Effect]
) -> None:
    """Cancel the attempt that the other one overtook."""
    rival = active.rival
    if rival is None:
        return
    active.rival = None
    out.append(AbandonAttempt(call_id=active.call.call_id, attempt=rival.number))
    if service is None:
        return
    release(service, rival, out)
    server = service.servers.get(rival.target)
    if server is not None:
        record_slow(server, now - rival.started)
    learn_hedge_time(service, now - rival.started)


def fall_back_to_rival(
    service: ServiceRuntime, active: ActiveCall, failed: Attempt, out: list[Effect]
) -> bool:
    """Let the other attempt decide after one failed; return False without one."""
    rival = active.rival
    if rival is None:
        return False
    release(service, failed, out)
    out.append(AbandonAttempt(call_id=active.call.call_id, attempt=failed.number))
    active.rival = None
    active.make_current(rival)
    return True


def learn_hedge_time(service: ServiceRuntime, latency_s: float) -> None:
    """Follow the latency that all but the hedged share of calls stay under.

    A stochastic approximation of the quantile (Robbins and Monro, 1951).
    """
    quantile = max(LEAST_QUANTILE, 1.0 - service.intent.hedge_share)
    if service.hedge_after_s == 0.0:
        service.hedge_after_s = 2.0 * latency_s
        return
    step_s = QUANTILE_STEP * (service.service_time_s or latency_s)
    if latency_s > service.hedge_after_s:
        service.hedge_after_s += step_s * quantile
    else:
        service.hedge_after_s -= step_s * (1.0 - quantile)
