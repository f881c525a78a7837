"""Detection of the isolation of this host: it reaches no backend server any more.

Silence or failures of several servers at once raise the suspicion; then some servers
are probed. If none of them replies in time, nor any other server, the host is isolated
until several servers reply again in successive rounds of probes. Whether the servers or
the network are to blame cannot be seen from here: if all hosts are isolated, the
servers are.
"""

from collections.abc import Iterator
from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..state import HostState, Isolation, IsolationStatus, ServiceRuntime
from ..timers import IsolationCheckDue
from ..verdict import AttemptFailure
from .balance import ServerRuntime, is_draining
from .calls import Stage
from .run_times import get_typical_run_s
from .speed_checks import send_probe

# Interval of the passes in seconds, and that of a host without calls and servers.
CHECK_INTERVAL_S: Final = 0.1
IDLE_INTERVAL_S: Final = 0.5
# Silence of all servers that raises the suspicion while a call or probe is unanswered:
# this time, in seconds, and for calls this many usual run times.
MIN_SILENCE_S: Final = 0.25
SILENCE_RUN_FACTOR: Final = 2.0
# Servers that must have failed since the last reply of any server.
MIN_FAILED_SERVERS: Final = 2
# Fewer servers do not tell the isolation of this host from their own failure.
MIN_KNOWN_SERVERS: Final = 3
# Probes of a check, and the time within which one must be answered, in seconds.
CHECK_PROBES: Final = 3
CHECK_TIMEOUT_S: Final = 0.3
# A pass that is this late, in seconds, shows that this host was paused or overloaded:
# replies may be waiting to be read.
MAX_LATENESS_S: Final = 0.1
# Interval of the rounds of probes of an isolated host in seconds, and the servers and
# successive rounds that show the end of the isolation.
ROUND_INTERVAL_S: Final = 0.25
MIN_REPLYING_SERVERS: Final = 2
RETURN_ROUNDS: Final = 2
# Shortest isolation, in seconds; it doubles with each one within `EPISODE_MEMORY_S`.
MIN_ISOLATED_S: Final = 1.0
MAX_ISOLATED_S: Final = 8.0
EPISODE_MEMORY_S: Final = 60.0
# Failures after which the server surely has replied.
REPLIED_FAILURES: Final = frozenset(
    {AttemptFailure.BAD_REPLY, AttemptFailure.TRUNCATED}
)
NO_PATH_FAILURES: Final = frozenset(
    {
        AttemptFailure.CONNECT_REFUSED,
        AttemptFailure.CONNECT_TIMEOUT,
        AttemptFailure.SEND_BROKEN,
        AttemptFailure.RESET,
    }
)


def record_server_reply(state: HostState, server: str, now: float) -> None:
    """Record that a backend server replied, with whatever result."""
    isolation = state.isolation
    isolation.last_reply_at = now
    isolation.failed_servers.clear()
    if isolation.status is IsolationStatus.ISOLATED:
        isolation.replying_servers.add(server)


def record_server_failure(
    state: HostState, server: str, failure: AttemptFailure, now: float
) -> None:
    """Record a failed attempt at a backend server."""
    if failure in REPLIED_FAILURES:
        record_server_reply(state, server, now)
    elif failure in NO_PATH_FAILURES:
        state.isolation.failed_servers.add(server)


def run_isolation_check(state: HostState, now: float, out: list[Effect]) -> bool:
    """Run one pass, and schedule the next; return True if the isolation changed."""
    isolation = state.isolation
    is_late = now - isolation.pass_due > MAX_LATENESS_S
    has_changed = _run_pass(state, now, out, is_late=is_late)
    is_idle = not state.calls and not any(s.owned for s in state.services.values())
    is_calm = isolation.status is IsolationStatus.CONNECTED and is_idle
    isolation.pass_due = now + (IDLE_INTERVAL_S if is_calm else CHECK_INTERVAL_S)
    out.append(SetTimer(timer=IsolationCheckDue(), at=isolation.pass_due))
    return has_changed


def _run_pass(
    state: HostState, now: float, out: list[Effect], *, is_late: bool
) -> bool:
    match state.isolation.status:
        case IsolationStatus.CONNECTED:
            if not is_late and _is_suspicious(state, now):
                _start_check(state, now, out)
            return False
        case IsolationStatus.CHECKING:
            return _continue_check(state, now, out, is_late=is_late)
        case IsolationStatus.ISOLATED:
            return _run_round(state, now, out)


def _is_suspicious(state: HostState, now: float) -> bool:
    isolation = state.isolation
    if len(isolation.failed_servers) >= MIN_FAILED_SERVERS:
        return True
    if now - isolation.last_reply_at < MIN_SILENCE_S:
        return False
    return _has_silent_probes(state, now) or _has_silent_call(state, now)


def _has_silent_probes(state: HostState, now: float) -> bool:
    """Return True if several owned servers leave probes unanswered."""
    silent = 0
    for service in state.services.values():
        for server in service.owned:
            since = server.unanswered_since
            silent += since > 0.0 and now - since >= MIN_SILENCE_S
    return silent >= MIN_FAILED_SERVERS


def _has_silent_call(state: HostState, now: float) -> bool:
    """Return True if a call waits for much longer than usual, and no server replies."""
    for active in state.calls.values():
        attempt = active.attempt
        if active.holder or active.stage is not Stage.SENT or attempt is None:
            continue
        service = state.services.get(active.call.service)
        if attempt.is_forward or service is None:
            continue
        silent_s = now - max(state.isolation.last_reply_at, attempt.started)
        usual_s = get_typical_run_s(service, active)
        if silent_s >= max(MIN_SILENCE_S, SILENCE_RUN_FACTOR * usual_s):
            return True
    return False


def _start_check(state: HostState, now: float, out: list[Effect]) -> None:
    probed = _probe_some(state, now, out)
    if len(probed) < MIN_KNOWN_SERVERS:
        return
    state.isolation.status = IsolationStatus.CHECKING
    state.isolation.checked_at = now
    fields: dict[str, object] = {
        "silent_s": round(now - state.isolation.last_reply_at, 3),
        "failed": len(state.isolation.failed_servers),
        "probed": ",".join(probed),
    }
    out.append(LogDecision(event="isolation-check", fields=fields))


def _continue_check(
    state: HostState, now: float, out: list[Effect], *, is_late: bool
) -> bool:
    isolation = state.isolation
    if isolation.last_reply_at > isolation.checked_at:
        isolation.status = IsolationStatus.CONNECTED
        return False
    if is_late:
        isolation.checked_at = now
    if now - isolation.checked_at < CHECK_TIMEOUT_S:
        return False
    isolation.status = IsolationStatus.ISOLATED
    if now - isolation.ended_at > EPISODE_MEMORY_S:
        isolation.episodes = 0
    isolation.episodes += 1
    isolation.isolated_at = now
    isolation.good_rounds = 0
    isolation.replying_servers.clear()
    _log_change(isolation, now, out)
    return True


def _run_round(state: HostState, now: float, out: list[Effect]) -> bool:
    """Evaluate the last round of probes and start the next when it is due."""
    isolation = state.isolation
    if now - isolation.checked_at < ROUND_INTERVAL_S:
        return False
    is_good = len(isolation.replying_servers) >= MIN_REPLYING_SERVERS
    isolation.good_rounds = isolation.good_rounds + 1 if is_good else 0
    isolation.replying_servers.clear()
    isolation.checked_at = now
    hold_s = min(MAX_ISOLATED_S, MIN_ISOLATED_S * 2.0 ** (isolation.episodes - 1))
    has_held = now - isolation.isolated_at >= hold_s
    if isolation.good_rounds >= RETURN_ROUNDS and has_held:
        isolation.status = IsolationStatus.CONNECTED
        isolation.ended_at = now
        _log_change(isolation, now, out)
        return True
    _probe_some(state, now, out)
    return False


def _probe_some(state: HostState, now: float, out: list[Effect]) -> list[str]:
    """Probe some servers, chosen at random; return their names, or [] if too few."""
    known = list(_list_probeable(state, now))
    if len(known) < MIN_KNOWN_SERVERS:
        return []
    chosen = state.rng.sample(known, CHECK_PROBES)
    for service, server in chosen:
        send_probe(service, server, now, out)
    return [server.intent.name for _, server in chosen]


def _list_probeable(
    state: HostState, now: float
) -> Iterator[tuple[ServiceRuntime, ServerRuntime]]:
    for service in state.services.values():
        for server in service.servers.values():
            if _is_probeable(server, now):
                yield service, server


def _is_probeable(server: ServerRuntime, now: float) -> bool:
    """Return True if probes of hosts that do not own the server harm nothing."""
    if is_draining(server) or server.rate_limit is not None:
        return False
    return server.warmup is None or not server.warmup.is_cold(now)


def _log_change(isolation: Isolation, now: float, out: list[Effect]) -> None:
    is_isolated = isolation.status is IsolationStatus.ISOLATED
    since = isolation.last_reply_at if is_isolated else isolation.isolated_at
    fields: dict[str, object] = {
        "isolated": is_isolated,
        "after_s": round(now - since, 3),
        "episode": isolation.episodes,
    }
    out.append(LogDecision(event="isolation", fields=fields))
