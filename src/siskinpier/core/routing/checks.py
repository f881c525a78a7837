"""Asking a backend server for its speed right before a call is sent to it.

A report ages: a server may have turned slow since. Where the chance of that, times
what it would cost the call, outweighs the time to ask, the call holds its slot and
waits for the answer of one probe.
"""

from dataclasses import dataclass
from typing import Final

from ..effects import Effect, SendProbe, SetTimer
from ..state import HostState, ServiceRuntime
from ..timers import SpeedCheckDue
from .attempts import end_waiting, send
from .balance import ServerRuntime
from .calls import ActiveCall, Stage
from .hedging import plan_hedge
from .run_times import get_usual_s
from .speeds import is_slow

# What asking costs: the time that a call waits, and the work of a probe, seconds.
CHECK_COST_S: Final = 0.004
# A server that gives no word in this time is sent the call without it, seconds.
CHECK_TIMEOUT_S: Final = 0.02
# Servers that are asked for one call.
CHECKS_LIMIT: Final = 3
PROBE_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """A server with room that was chosen for a call, and why."""

    server: ServerRuntime
    reason: str


def send_or_check(
    state: HostState,
    service: ServiceRuntime,
    active: ActiveCall,
    choice: Choice,
    now: float,
    out: list[Effect],
) -> None:
    """Send a call to the server that was chosen, or ask the server first."""
    typical_run_s = get_usual_s(service, active)
    is_worth = state.settings.grants_slots and is_check_worth(
        service, choice.server, typical_run_s, now
    )
    if not is_worth or active.checks >= CHECKS_LIMIT:
        send_planned(service, active, choice, now, out)
        return
    _start_check(service, active, choice, now, out)


def send_planned(
    service: ServiceRuntime,
    active: ActiveCall,
    choice: Choice,
    now: float,
    out: list[Effect],
) -> None:
    """Send a call, and plan what follows if it takes long."""
    send(active, choice.server, now, choice.reason, out)
    plan_hedge(service, active, now, out)


def is_check_worth(
    service: ServiceRuntime, server: ServerRuntime, typical_run_s: float, now: float
) -> bool:
    """Return True if an older report may cost a call more than asking again.

    `typical_run_s` is how long its run takes on a server that is not slow.
    """
    if server.report is None or is_slow(server, now):
        return False
    slow_period_stats = service.slow_period_stats
    slow_s = slow_period_stats.get_begun_s(typical_run_s, slow_period_stats.slowdown)
    chance = slow_period_stats.get_onset_chance(now - server.reported_at)
    return chance * (slow_s - typical_run_s) > CHECK_COST_S


def make_probe(service: ServiceRuntime, server: ServerRuntime) -> SendProbe:
    """Return the probe of a server."""
    return SendProbe(
        service=service.intent.name,
        server=server.intent.name,
        address=server.intent.address,
        path=service.intent.probes.path,
        timeout_s=PROBE_TIMEOUT_S,
    )


def end_check(server: ServerRuntime, call_id: str) -> str | None:
    """Give back the slot that a call held while its server was asked.

    Return the reason for which the server was chosen, or None for no such call.
    """
    reason = server.checks.pop(call_id, None)
    if reason is not None:
        server.in_flight = max(0, server.in_flight - 1)
    return reason


def _start_check(
    service: ServiceRuntime,
    active: ActiveCall,
    choice: Choice,
    now: float,
    out: list[Effect],
) -> None:
    server = choice.server
    call_id = active.call.call_id
    end_waiting(active, out)
    active.stage = Stage.CHECKING
    active.checks += 1
    server.in_flight += 1
    if not server.checks:
        server.probed_at = now
        out.append(make_probe(service, server))
    server.checks[call_id] = choice.reason
    timer = SpeedCheckDue(
        service=service.intent.name, server=server.intent.name, call_id=call_id
    )
    out.append(SetTimer(timer=timer, at=now + CHECK_TIMEOUT_S))
