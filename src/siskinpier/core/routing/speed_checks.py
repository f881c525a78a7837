"""Speed checks: probing a backend server right before a call is sent to it.

A server may have become slow since its last report. If the probability of that, times
the delay that a slow server would cause, exceeds the cost of a probe, the call takes
its slot and waits for the answer to one probe.
"""

from dataclasses import dataclass
from typing import Final

from ..effects import Effect, SendProbe, SetTimer
from ..state import HostState, ServiceRuntime
from ..timers import SpeedCheckDue
from .attempts import restore_deadline_timer, send_attempt
from .balance import ServerRuntime
from .calls import ActiveCall, Stage
from .hedging import schedule_hedge
from .rate_limit_tokens import take_token
from .run_times import get_typical_run_s
from .speeds import is_slow
from .warmup_tokens import count_request

# Cost of a check: the wait of the call and the work of the probe, in seconds.
CHECK_COST_S: Final = 0.004
# Time after which a call no longer waits for the answer to its probe, in seconds.
CHECK_TIMEOUT_S: Final = 0.02
# Upper bound on the speed checks of one call.
MAX_SPEED_CHECKS: Final = 3
PROBE_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerChoice:
    """A server with a free slot that was chosen for a call, and the reason."""

    server: ServerRuntime
    reason: str


def send_or_check(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    choice: ServerChoice,
    now: float,
    out: list[Effect],
) -> None:
    """Send a call to the chosen server, or check the speed of that server first."""
    typical_run_s = get_typical_run_s(service, active)
    is_worthwhile = state.settings.grants_slots and is_check_worthwhile(
        service, choice.server, typical_run_s, now
    )
    if not is_worthwhile or active.check_count >= MAX_SPEED_CHECKS:
        send_with_hedge(service, active, choice, now, out)
        return
    _start_check(service, active, choice, now, out)


def send_with_hedge(
    service: ServiceRuntime,
    active: ActiveCall,
    choice: ServerChoice,
    now: float,
    out: list[Effect],
) -> None:
    """Send a call, and schedule a hedge in case it takes long."""
    send_attempt(active, choice.server, now, choice.reason, out)
    schedule_hedge(service, active, now, out)


def is_check_worthwhile(
    service: ServiceRuntime, server: ServerRuntime, typical_run_s: float, now: float
) -> bool:
    """Return True if trusting an old report costs a call more than a speed check.

    `typical_run_s` is its run time on a server that is not slow, in seconds.
    """
    if server.report is None or is_slow(server, now):
        return False
    is_cold = server.warmup is not None and server.warmup.is_cold(now)
    if server.rate_limit is not None or is_cold:
        return False  # The probe would use the room of a call.
    slow_period_stats = service.slow_period_stats
    slow_s = slow_period_stats.estimate_begun_slow_s(
        typical_run_s, slow_period_stats.slowdown
    )
    probability = slow_period_stats.estimate_onset_probability(now - server.reported_at)
    return probability * (slow_s - typical_run_s) > CHECK_COST_S


def send_probe(
    service: ServiceRuntime, server: ServerRuntime, now: float, out: list[Effect]
) -> None:
    """Probe a server."""
    server.probed_at = now
    server.unanswered_since = server.unanswered_since or now
    take_token(server.rate_limit, now)
    count_request(server.warmup, now)
    out.append(
        SendProbe(
            service=service.intent.name,
            server=server.intent.name,
            address=server.intent.address,
            path=service.intent.probes.path,
            timeout_s=PROBE_TIMEOUT_S,
        )
    )


def end_check(server: ServerRuntime, call_id: str) -> str | None:
    """End the speed check of a call and release the slot that the call held.

    Return the reason for which the server was chosen, or None if there is no check.
    """
    reason = server.pending_checks.pop(call_id, None)
    if reason is not None:
        server.in_flight = max(0, server.in_flight - 1)
    return reason


def _start_check(
    service: ServiceRuntime,
    active: ActiveCall,
    choice: ServerChoice,
    now: float,
    out: list[Effect],
) -> None:
    server = choice.server
    call_id = active.call.call_id
    restore_deadline_timer(active, out)
    active.stage = Stage.CHECKING
    active.check_count += 1
    server.in_flight += 1
    if not server.pending_checks:
        send_probe(service, server, now, out)
    server.pending_checks[call_id] = choice.reason
    timer = SpeedCheckDue(
        service=service.intent.name, server=server.intent.name, call_id=call_id
    )
    out.append(SetTimer(timer=timer, at=now + CHECK_TIMEOUT_S))
