"""Quarantine of calls that crash backend servers.

A call is identified by its fingerprint (caller, method, target and body). An
attempt that ends because its connection breaks is a suspected crash. The host
that observed it sends a report to all other hosts before it answers. The report
goes directly to each host, so it arrives before the retry of a caller that
learned of the failure.

A suspicion is removed when a reply to an older attempt on the same server shows
that the server is still running, and when the same call is answered anywhere.
None of this is durable: a lost report costs another crash, never a reply.
"""

from dataclasses import dataclass
from typing import Final

from ..cluster.broadcast import send_to_all
from ..cluster.members import Member
from ..effects import Effect, LogDecision, SendMessage
from ..events import AttemptFailed, ReleaseQuarantine, ReplyFinished
from ..messages import CrashReport, QuarantineRelease
from ..problems import make_quarantined
from ..state import HostState, IsolationStatus
from ..verdict import AttemptFailure, Problem, Verdict
from .calls import Call
from .suspects import SuspectedCall

# Suspected crashes at which a call is quarantined.
CRASHES_LIMIT: Final = 2
SUSPICION_TTL_S: Final = 300.0
QUARANTINE_S: Final = 900.0
SUSPECTS_LIMIT: Final = 2048
# How long a host without contact to other hosts refuses a suspected call, in seconds:
# two heartbeats are due in that time.
NO_CONTACT_RETRY_AFTER_S: Final = 1.0
# How long a reply to an earlier attempt can disprove that a connection broke because of
# a crash, in seconds.
BREAK_TTL_S: Final = 10.0

_CRASH_FAILURES: Final = frozenset(
    {AttemptFailure.RESET, AttemptFailure.SEND_BROKEN, AttemptFailure.TRUNCATED}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantinedCall:
    """A quarantined call, as shown to operators."""

    fingerprint: str
    service: str
    method: str
    path: str
    servers: tuple[str, ...]
    until: float


def is_quarantined(state: HostState, call: Call, now: float) -> bool:
    """Return True if the call must not be sent."""
    return _get_refused_for_s(state, call, now) > 0.0


def find_quarantine_refusal(state: HostState, call: Call, now: float) -> Problem | None:
    """Return the refusal of a quarantined call, or None if the call may be sent."""
    refused_for_s = _get_refused_for_s(state, call, now)
    if refused_for_s <= 0.0:
        return None
    is_keyed = call.key is not None and not call.claimed
    verdict = Verdict.MAY_HAVE_RUN if is_keyed else Verdict.NOT_RUN
    return make_quarantined(call.fingerprint, verdict, refused_for_s)


def _get_refused_for_s(state: HostState, call: Call, now: float) -> float:
    """Return how long a call must not be sent, in seconds; 0 if it may be sent.

    A host without contact to other hosts does not learn of crashes elsewhere, so a
    single crash that it observed itself is enough.
    """
    suspect = state.quarantine.suspects.get(call.fingerprint)
    if suspect is None:
        return 0.0
    if suspect.until is not None:
        return max(0.0, suspect.until - now)
    return NO_CONTACT_RETRY_AFTER_S if has_no_contact(state) else 0.0


def has_no_contact(state: HostState) -> bool:
    """Return True if other hosts are known and no message arrives from any."""
    members = state.members.values()
    return bool(members) and all(
        member.last_heard is None or member.silent_since is not None
        for member in members
    )


def list_quarantine(state: HostState, now: float) -> list[QuarantinedCall]:
    """Return the calls that are quarantined now, ordered by fingerprint."""
    return [
        QuarantinedCall(
            fingerprint=fingerprint,
            service=suspect.service,
            method=suspect.method,
            path=suspect.path,
            servers=tuple(sorted({server for server, _ in suspect.crashes})),
            until=suspect.until,
        )
        for fingerprint, suspect in sorted(state.quarantine.suspects.items())
        if suspect.until is not None and now < suspect.until
    ]


def suspect_crash(state: HostState, event: AttemptFailed, out: list[Effect]) -> None:
    """Suspect the call of an attempt that broke off, and report it to all hosts."""
    active = state.calls.get(event.call_id)
    attempt = active.find_running_attempt(event.attempt) if active is not None else None
    if active is None or attempt is None:
        return
    call = active.call
    if (
        attempt.is_forward
        or state.isolation.status is IsolationStatus.ISOLATED
        or event.failure not in _CRASH_FAILURES
        or not call.fingerprint
    ):
        return
    report = CrashReport(
        fingerprint=call.fingerprint,
        service=call.service,
        method=call.method,
        path=call.path,
        server=attempt.target,
        at=event.now,
    )
    connection_breaks = state.quarantine.connection_breaks.setdefault(
        attempt.target, {}
    )
    connection_breaks[call.fingerprint] = event.now
    handle_crash_report(state, report, event.now, out)
    send_to_all(state, report, out)


def retract_suspicions(state: HostState, since: float, out: list[Effect]) -> None:
    """Remove the suspicions of calls whose connections broke after `since`.

    This host has lost its path to the servers, so the breaks show no crash.
    """
    broken = {
        fingerprint
        for breaks in state.quarantine.connection_breaks.values()
        for fingerprint, at in breaks.items()
        if at > since
    }
    for fingerprint in sorted(broken):
        clear_suspicion(state, fingerprint, out)


def clear_disproved_suspicions(
    state: HostState, event: ReplyFinished, out: list[Effect]
) -> None:
    """Remove suspicions that a complete reply disproves."""
    active = state.calls.get(event.call_id)
    attempt = active.attempt if active is not None else None
    if active is None or attempt is None or attempt.is_forward:
        return
    connection_breaks = state.quarantine.connection_breaks.get(attempt.target, {})
    disproved = [
        fingerprint
        for fingerprint, at in connection_breaks.items()
        if at > attempt.started
    ]
    for fingerprint in disproved:
        suspect = state.quarantine.suspects.get(fingerprint)
        if suspect is not None and len(suspect.crashes) == 1:
            clear_suspicion(state, fingerprint, out)
    _expire_breaks(state, attempt.target, event.now)
    own = state.quarantine.suspects.get(active.call.fingerprint)
    if own is not None and own.until is None:
        clear_suspicion(state, active.call.fingerprint, out)


def handle_crash_report(
    state: HostState, report: CrashReport, now: float, out: list[Effect]
) -> None:
    """Record a suspected crash, and quarantine the call at the limit."""
    suspects = state.quarantine.suspects
    suspect = suspects.setdefault(
        report.fingerprint,
        SuspectedCall(service=report.service, method=report.method, path=report.path),
    )
    suspect.crashes[report.server, report.at] = now
    suspect.crashes = {
        crash: seen
        for crash, seen in suspect.crashes.items()
        if now - seen < SUSPICION_TTL_S
    }
    if len(suspect.crashes) >= CRASHES_LIMIT and suspect.until is None:
        suspect.until = now + QUARANTINE_S
        fields: dict[str, object] = {
            "fingerprint": report.fingerprint,
            "service": report.service,
            "path": report.path,
            "server": report.server,
        }
        out.append(LogDecision(event="quarantine", fields=fields))
    _expire_suspects(suspects, now)


def handle_quarantine_release(state: HostState, message: QuarantineRelease) -> None:
    """Remove a suspicion that another host disproved or an operator released."""
    state.quarantine.suspects.pop(message.fingerprint, None)


def handle_release_order(
    state: HostState, event: ReleaseQuarantine, out: list[Effect]
) -> None:
    """Release a call from quarantine on all hosts, as ordered by an operator."""
    clear_suspicion(state, event.fingerprint, out)


def clear_suspicion(state: HostState, fingerprint: str, out: list[Effect]) -> None:
    """Remove a suspicion on this host and on all others."""
    if state.quarantine.suspects.pop(fingerprint, None) is None:
        return
    fields: dict[str, object] = {"fingerprint": fingerprint}
    out.append(LogDecision(event="quarantine-release", fields=fields))
    send_to_all(state, QuarantineRelease(fingerprint=fingerprint), out)


def send_crash_reports(state: HostState, member: Member, out: list[Effect]) -> None:
    """Send a host that just started the crash reports that it missed."""
    for fingerprint, suspect in state.quarantine.suspects.items():
        for server, at in suspect.crashes:
            report = CrashReport(
                fingerprint=fingerprint,
                service=suspect.service,
                method=suspect.method,
                path=suspect.path,
                server=server,
                at=at,
            )
            out.append(
                SendMessage(host=member.name, address=member.peers, message=report)
            )


def _expire_breaks(state: HostState, server: str, now: float) -> None:
    """Remove breaks that are too old to be disproved by an earlier attempt."""
    connection_breaks = state.quarantine.connection_breaks.get(server)
    if connection_breaks is None:
        return
    for fingerprint, at in list(connection_breaks.items()):
        if now - at >= BREAK_TTL_S:
            del connection_breaks[fingerprint]
    if not connection_breaks:
        del state.quarantine.connection_breaks[server]


def _expire_suspects(suspects: dict[str, SuspectedCall], now: float) -> None:
    expired = [
        fingerprint
        for fingerprint, suspect in suspects.items()
        if (suspect.until is not None and now >= suspect.until)
        or all(now - seen >= SUSPICION_TTL_S for seen in suspect.crashes.values())
        and suspect.until is None
    ]
    for fingerprint in expired:
        del suspects[fingerprint]
    while len(suspects) > SUSPECTS_LIMIT:
        del suspects[next(iter(suspects))]
