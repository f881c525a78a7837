"""Probes of backend servers, for what calls do not show, within a budget."""

from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..events import ProbeAnswered
from ..state import HostState, ServiceRuntime
from ..timers import ProbesDue
from .attempts import handle_replaced_server
from .balance import ServerRuntime, is_draining, is_ejected, is_paused
from .health import record_probe
from .last_slots import update_last_slot_limits
from .limits import refresh_limits
from .probe_budget import note_probe_bytes, refresh_bucket
from .server_words import note_leaving_word, take_pause
from .speed_changes import note_silence, take_speed
from .speed_check_results import finish_checks
from .speed_checks import make_probe
from .speeds import has_fallen_silent

PROBE_INTERVAL_S: Final = 0.2
FRESH_S: Final = 1.0
# Servers that report their speed are asked again when the report is this old.
REPORT_AGE_S: Final = 0.1
REPORT_STEP_S: Final = 0.025
# How often a host that owns no servers looks whether it does by now, seconds.
IDLE_STEP_S: Final = 0.2
# No call tells of a server that gets none.
UNCALLED_WEIGHT: Final = 2.0


def start_probes(state: HostState, now: float, out: list[Effect]) -> None:
    """Spend the probe budget on the owned servers that it matters most for."""
    if state.settings.grants_slots:
        owning = [service for service in state.services.values() if service.owned]
        for service in owning:
            update_last_slot_limits(service, now)
            _refresh_reports(state, service, now, out)
        step_s = REPORT_STEP_S if owning else IDLE_STEP_S
        out.append(SetTimer(timer=ProbesDue(), at=now + step_s))
        return
    for service in state.services.values():
        refresh_limits(service)
        _probe_service(state, service, now, out)
    out.append(SetTimer(timer=ProbesDue(), at=now + PROBE_INTERVAL_S))


def take_probe(state: HostState, event: ProbeAnswered, out: list[Effect]) -> None:
    """Take in the result of a probe."""
    service = state.services.get(event.service)
    server = service.servers.get(event.server) if service is not None else None
    if service is None or server is None:
        return
    note_probe_bytes(service, event.bytes_used)
    if event.is_other_server:
        server.last_heard = event.now
        handle_replaced_server(service, server, event.now, out)
        return
    if event.pause_s is not None:
        take_pause(state, service, server, event.pause_s, event.now, out)
    if event.report is not None:
        take_speed(state, service, server, event.report, event.now, out)
    finish_checks(state, service, server, event.now, out)
    is_healthy = event.latency_s is not None
    if is_healthy or event.draining:
        # A probe without an answer does not tell that a drain was called off.
        note_leaving_word(
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
    """Ask the owned servers whose last report of their speed grew old."""
    for server in service.owned:
        if is_draining(server) or is_paused(server, now):
            continue
        if not server.is_silent and has_fallen_silent(server, now):
            note_silence(state, service, server, now, out)
        age_s = now - max(server.reported_at, server.probed_at)
        if age_s < REPORT_AGE_S:
            continue
        server.probed_at = now
        out.append(make_probe(service, server))


def _probe_service(
    state: HostState, service: ServiceRuntime, now: float, out: list[Effect]
) -> None:
    bucket = refresh_bucket(state, service, now)
    if bucket.rate == 0.0:
        return
    stale = [
        server
        for server in service.owned
        if _get_age_s(server, now) > FRESH_S and not is_paused(server, now)
    ]
    for server in sorted(stale, key=lambda s: -_get_need(s, now)):
        if not bucket.take(now):
            return
        server.probed_at = now
        out.append(make_probe(service, server))
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


def _get_need(server: ServerRuntime, now: float) -> float:
    """Return how much a probe would tell: the age of what is known, weighed."""
    is_uncalled = is_ejected(server, now) or is_draining(server)
    weight = UNCALLED_WEIGHT if is_uncalled else 1.0
    return weight * _get_age_s(server, now)
