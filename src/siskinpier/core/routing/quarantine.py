"""Calls whose runs crash backend servers: recognised, stopped, released.

A call is known by its fingerprint (caller, method, target and body). A run
that ends as its server's connections break is a suspected crash; the host that
saw it tells all others at once, before it answers. The report goes straight to
each host, so it outruns a caller that hears of the failure and sends again.

The suspicion is dropped when a reply to an older run on the same server shows
that the server lives, and when the same call is answered anywhere. Nothing of
this is durable: a lost report costs another crash and never an answer.
"""

from dataclasses import dataclass
from typing import Final

from ..cluster.broadcast import tell_all
from ..cluster.members import Member
from ..effects import Effect, LogDecision, SendMessage
from ..events import AttemptFailed, ReleaseQuarantine, ReplyFinished
from ..messages import CrashReport, QuarantineRelease
from ..problems import make_quarantined
from ..state import HostState
from ..verdict import AttemptFailure, Problem, Verdict
from .calls import Call
from .suspects import Suspect

CRASHES_LIMIT: Final = 2
SUSPICION_S: Final = 300.0
QUARANTINE_S: Final = 900.0
SUSPECTS_LIMIT: Final = 2048
# When a call comes back that a host without contact to others refused, seconds: by
# then two heartbeats were due.
NO_CONTACT_S: Final = 1.0
DISPROOF_S: Final = 10.0

_BREAKS: Final = frozenset(
    {AttemptFailure.RESET, AttemptFailure.SEND_BROKEN, AttemptFailure.TRUNCATED}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Quarantined:
    """A call that is refused, as operators see it."""

    fingerprint: str
    service: str
    method: str
    path: str
    servers: tuple[str, ...]
    until: float


def is_quarantined(state: HostState, call: Call, now: float) -> bool:
    """Return True if the call must not be sent."""
    return _get_refused_for_s(state, call, now) > 0.0


def judge_quarantine(state: HostState, call: Call, now: float) -> Problem | None:
    """Return the refusal of a call that is quarantined, or None."""
    refused_for_s = _get_refused_for_s(state, call, now)
    if refused_for_s <= 0.0:
        return None
    is_keyed = call.key is not None and not call.claimed
    verdict = Verdict.MAY_HAVE_RUN if is_keyed else Verdict.NOT_RUN
    return make_quarantined(call.fingerprint, verdict, refused_for_s)


def _get_refused_for_s(state: HostState, call: Call, now: float) -> float:
    """Return for how long a call must not be sent; 0 if it may be.

    A host that hears no other does not know of crashes elsewhere, so one crash that
    it saw itself is enough.
    """
    suspect = state.quarantine.suspects.get(call.fingerprint)
    if suspect is None:
        return 0.0
    if suspect.until is not None:
        return max(0.0, suspect.until - now)
    return NO_CONTACT_S if is_without_contact(state) else 0.0


def is_without_contact(state: HostState) -> bool:
    """Return True if there are other hosts and none of them is heard."""
    members = state.members.values()
    return bool(members) and all(
        member.last_heard is None or member.silent_since is not None
        for member in members
    )


def list_quarantine(state: HostState, now: float) -> list[Quarantined]:
    """Return the calls that are refused now, by fingerprint."""
    return [
        Quarantined(
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


def note_break(state: HostState, event: AttemptFailed, out: list[Effect]) -> None:
    """Suspect the call of an attempt that broke, and tell all hosts."""
    active = state.calls.get(event.call_id)
    attempt = active.find_running_attempt(event.attempt) if active is not None else None
    if active is None or attempt is None:
        return
    call = active.call
    if attempt.is_forward or event.failure not in _BREAKS or not call.fingerprint:
        return
    report = CrashReport(
        fingerprint=call.fingerprint,
        service=call.service,
        method=call.method,
        path=call.path,
        server=attempt.target,
        at=event.now,
    )
    breaks = state.quarantine.breaks.setdefault(attempt.target, {})
    breaks[call.fingerprint] = event.now
    take_report(state, report, event.now, out)
    tell_all(state, report, out)


def note_answer(state: HostState, event: ReplyFinished, out: list[Effect]) -> None:
    """Drop suspicions that a whole reply disproves."""
    active = state.calls.get(event.call_id)
    attempt = active.attempt if active is not None else None
    if active is None or attempt is None or attempt.is_forward:
        return
    breaks = state.quarantine.breaks.get(attempt.target, {})
    disproved = [
        fingerprint for fingerprint, at in breaks.items() if at > attempt.started
    ]
    for fingerprint in disproved:
        suspect = state.quarantine.suspects.get(fingerprint)
        if suspect is not None and len(suspect.crashes) == 1:
            release(state, fingerprint, out)
    _forget_breaks(state, attempt.target, event.now)
    own = state.quarantine.suspects.get(active.call.fingerprint)
    if own is not None and own.until is None:
        release(state, active.call.fingerprint, out)


def take_report(
    state: HostState, report: CrashReport, now: float, out: list[Effect]
) -> None:
    """Count a suspected crash; at the limit, quarantine the call."""
    suspects = state.quarantine.suspects
    suspect = suspects.setdefault(
        report.fingerprint,
        Suspect(service=report.service, method=report.method, path=report.path),
    )
    suspect.crashes[report.server, report.at] = now
    suspect.crashes = {
        crash: seen
        for crash, seen in suspect.crashes.items()
        if now - seen < SUSPICION_S
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
    _forget_old(suspects, now)


def take_release(state: HostState, message: QuarantineRelease) -> None:
    """Forget a suspicion that another host found wrong, or an operator ended."""
    state.quarantine.suspects.pop(message.fingerprint, None)


def give_release(state: HostState, event: ReleaseQuarantine, out: list[Effect]) -> None:
    """End a quarantine everywhere, as an operator ordered."""
    release(state, event.fingerprint, out)


def release(state: HostState, fingerprint: str, out: list[Effect]) -> None:
    """Forget a suspicion here and on all other hosts."""
    if state.quarantine.suspects.pop(fingerprint, None) is None:
        return
    fields: dict[str, object] = {"fingerprint": fingerprint}
    out.append(LogDecision(event="quarantine-release", fields=fields))
    tell_all(state, QuarantineRelease(fingerprint=fingerprint), out)


def tell_crashes(state: HostState, member: Member, out: list[Effect]) -> None:
    """Tell a host that just started of the crashes that it missed."""
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


def _forget_breaks(state: HostState, server: str, now: float) -> None:
    """Forget breaks that no run of before can disprove any more."""
    breaks = state.quarantine.breaks.get(server)
    if breaks is None:
        return
    for fingerprint, at in list(breaks.items()):
        if now - at >= DISPROOF_S:
            del breaks[fingerprint]
    if not breaks:
        del state.quarantine.breaks[server]


def _forget_old(suspects: dict[str, Suspect], now: float) -> None:
    old = [
        fingerprint
        for fingerprint, suspect in suspects.items()
        if (suspect.until is not None and now >= suspect.until)
        or all(now - seen >= SUSPICION_S for seen in suspect.crashes.values())
        and suspect.until is None
    ]
    for fingerprint in old:
        del suspects[fingerprint]
    while len(suspects) > SUSPECTS_LIMIT:
        del suspects[next(iter(suspects))]
