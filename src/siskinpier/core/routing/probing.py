"""Budgeted probes of backend servers, for state that calls do not reveal."""

from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..events import ProbeAnswered
from ..state import HostState, ServiceRuntime
from ..timers import ProbesDue
from .attempts import handle_replaced_server
from .balance import ServerRuntime, is_draining, is_ejected, is_paused
from .concurrency_limits import update_limits
from .health import record_probe
from .last_slots import update_last_slot_limits
from .probe_budget import record_probe_bytes, update_probe_bucket
from .rate_limit_answers import LimitAnswer, handle_limit_answer
from .rate_limit_tokens import get_probe_interval_s, has_token
from .server_availability import apply_pause, record_leaving_flag
from .speed_changes import handle_load_report, handle_unresponsive_server
from .speed_check_results import finish_checks
from .speed_checks import send_probe
from .speeds import has_stopped_reporting
from .warmup_answers import handle_warmup_answer
from .warmup_tokens import allows_request, get_probe_due

PROBE_INTERVAL_S: Final = 0.2
# Where homes grant no slots, a server is probed if it was last heard or probed longer
# ago than this, in seconds.
MAX_STATE_AGE_S: Final = 1.0
# Where homes grant slots, a server is probed again once its last load report and its
# last probe are this old, in seconds.
MAX_REPORT_AGE_S: Final = 0.1
# Where the service declares a pace for cold servers, a server is probed this often also
# while answers to calls report its load: it may become cold again, and a server of two
# slots gets 4 calls in this time, which leaves most of the rule's slack.
WARMUP_CHECK_INTERVAL_S: Final = 0.2
# How often the ages of the load reports are checked, in seconds.
REPORT_CHECK_INTERVAL_S: Final = 0.025
# How often a host that owns no servers checks whether it now owns some, in seconds.
OWNERSHIP_CHECK_INTERVAL_S: Final = 0.2
# Servers that get no calls are more urgent to probe: no call reveals their state.
UNCALLED_WEIGHT: Final = 2.0


def run_probing(state: HostState, now: float, out: list[Effect]) -> None:
    """Probe the owned servers whose state is stale, and schedule the next pass."""
    if state.settings.grants_slots:
        owning = [service for service in state.services.values() if service.owned]
        for service in owning:
            update_last_slot_limits(service, now)
            _refresh_reports(state, service, now, out)
        interval_s = REPORT_CHECK_INTERVAL_S if owning else OWNERSHIP_CHECK_INTERVAL_S
        out.append(SetTimer(timer=ProbesDue(), at=now + interval_s))
        return
    for service in state.services.values():
        update_limits(service)
        _probe_service(state, service, now, out)
    out.append(SetTimer(timer=ProbesDue(), at=now + PROBE_INTERVAL_S))


def handle_probe_answered(
    state: HostState, event: ProbeAnswered, out: list[Effect]
) -> None:
    """Handle the result of a probe."""
    service = state.services.get(event.service)
    server = service.servers.get(event.server) if service is not None else None
    if service is None or server is None:
        return
    record_probe_bytes(service, event.bytes_used)
    if event.is_other_server:
        server.last_heard = event.now
        handle_replaced_server(service, server, event.now, out)
        return
    answer = LimitAnswer(
        report=event.rate_limit,
        sent_at=server.probed_at,
        is_success=event.latency_s is not None,
        is_probe=True,
    )
    handle_limit_answer(state, service, server, answer, event.now, out)
    if event.warmup_left_s is not None:
        handle_warmup_answer(
            state, service, server, event.warmup_left_s, event.now, out
        )
    if event.pause_s is not None:
        apply_pause(state, service, server, event.pause_s, event.now, out)
    if event.report is not None:
        handle_load_report(state, service, server, event.report, event.now, out)
    finish_checks(state, service, server, event.now, out)
    is_healthy = event.latency_s is not None
    if is_healthy or event.draining:
        # An unanswered probe does not show that a drain was cancelled.
        record_leaving_flag(
            state, service, server, event.now, out, is_leaving=event.draining
        )
    if record_probe(server, event.now, is_healthy=is_healthy):
        out.append(
            LogDecision(
                event="return",
                fields={"service": event.service, "server": event.server},
            )
        )


def _refresh_reports(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    """Probe the owned servers whose last load report is old."""
    for server in service.owned:
        if is_draining(server) or is_paused(server, now):
            continue
        if not server.is_silent and has_stopped_reporting(server, now):
            handle_unresponsive_server(state, service, server, now, out)
        limit = server.rate_limit
        if _get_probe_due(service, server) > now:
            continue
        if now < get_probe_due(server.warmup, now):
            continue
        if has_token(limit, now) and allows_request(server.warmup, now):
            send_probe(service, server, now, out)


def _get_probe_due(service: ServiceRuntime, server: ServerRuntime) -> float:
    """Return when the state of a server is old enough to be probed.

    Answers to calls tell its speed, but only those to probes that it is cold again.
    """
    reported_at = max(server.reported_at, server.probed_at)
    due = reported_at + MAX_REPORT_AGE_S
    if service.intent.warmup_per_s > 0.0:
        due = min(due, server.probed_at + WARMUP_CHECK_INTERVAL_S)
    return max(due, reported_at + get_probe_interval_s(server.rate_limit))


def _probe_service(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    bucket = update_probe_bucket(state, service, now)
    if bucket.rate == 0.0:
        return
    stale = [
        server
        for server in service.owned
        if _get_age_s(server, now) > _get_max_age_s(server)
        and not is_paused(server, now)
        and has_token(server.rate_limit, now)
        and now >= get_probe_due(server.warmup, now)
        and allows_request(server.warmup, now)
    ]
    for server in sorted(stale, key=lambda s: -_get_priority(s, now)):
        if not bucket.take(now):
            return
        send_probe(service, server, now, out)
        out.append(
            LogDecision(
                event="probe",
                fields={
                    "service": service.intent.name,
                    "server": server.intent.name,
                    "per_s": round(bucket.rate, 3),
                    "unheard_s": round(now - server.last_heard, 3),
                },
            )
        )


def _get_age_s(server: ServerRuntime, now: float) -> float:
    return now - max(server.last_heard, server.probed_at)


def _get_max_age_s(server: ServerRuntime) -> float:
    return max(MAX_STATE_AGE_S, get_probe_interval_s(server.rate_limit))


def _get_priority(server: ServerRuntime, now: float) -> float:
    """Return the probe priority of a server: the weighted age of its known state."""
    is_uncalled = is_ejected(server, now) or is_draining(server)
    weight = UNCALLED_WEIGHT if is_uncalled else 1.0
    return weight * _get_age_s(server, now)
