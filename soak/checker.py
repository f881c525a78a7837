"""Judging the promises from what callers, backend servers and the operator saw.

Rules with a time bound are judged for hosts in touch only: no fault on the host, its
links or the platform for `SETTLED_S` before.
"""

from bisect import bisect_right
from dataclasses import dataclass, field
from math import inf
from typing import Final

from .callers import SAFE_ROUTES
from .history import (
    Configured,
    Drained,
    Ended,
    Ending,
    Entry,
    FaultBegan,
    FaultEnded,
    HostExited,
    RunBegan,
    RunEnded,
    Sent,
)

# The platform's bounds, seconds.
SETTLED_S: Final = 3.0
CONFIG_APPLY_S: Final = 2.0
ROLLBACK_SLACK_S: Final = 0.25
DRAIN_S: Final = 2.0
LOSS_SLACK_S: Final = 0.2
# Backend servers that one request may be sent to.
ATTEMPTS: Final = 2
# Statuses that promise that a request has not run and never will.
NOT_RUN: Final = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True, kw_only=True)
class Breach:
    """A promise that was broken."""

    rule: str
    at: float
    text: str


@dataclass(slots=True, kw_only=True)
class _Request:
    sent: Sent
    runs: list[RunBegan] = field(default_factory=list)
    ends: list[RunEnded] = field(default_factory=list)
    ended: Ended | None = None


@dataclass(slots=True, kw_only=True)
class _Fault:
    began: FaultBegan
    ended_at: float = inf


class Checker:
    """Takes entries as they come; `breaches` grows.

    With `is_timed` False the rules that bound a time are left out, for machines whose
    load is not known.
    """

    def __init__(self, *, is_timed: bool = True) -> None:
        self.breaches: list[Breach] = []
        self.served = 0
        self._is_timed = is_timed
        self._requests: dict[str, _Request] = {}
        self._early: dict[str, list[RunBegan]] = {}
        self._configured: list[Configured] = []
        self._drained: dict[str, float] = {}
        self._faults: dict[int, _Fault] = {}
        # The least version that a host was seen to have, and since when.
        self._floors: dict[tuple[str, int], tuple[int, float]] = {}

    def take(self, entry: Entry) -> None:
        """Judge one more entry."""
        match entry:
            case Sent():
                self._requests[entry.request] = _Request(sent=entry)
                for run in self._early.pop(entry.request, []):
                    self._take_run(run)
            case Ended():
                self._take_end(entry)
            case RunBegan():
                self._take_run(entry)
            case RunEnded():
                if entry.request in self._requests:
                    self._requests[entry.request].ends.append(entry)
            case Configured():
                self._configured.append(entry)
            case Drained(at=at, server=server):
                self._drained.setdefault(server, at)
            case FaultBegan(number=number):
                self._faults[number] = _Fault(began=entry)
            case FaultEnded(at=at, number=number):
                self._faults[number].ended_at = at
            case HostExited():
                self._take_exit(entry)

    def finish(self) -> list[Breach]:
        """Judge what needs the whole history; return all breaches."""
        for request in self._requests.values():
            self._judge_answer(request)
            if self._is_timed:
                self._judge_loss(request)
        for runs in self._early.values():
            self._note("unasked", runs[0].at, f"{runs[0].request} was never sent")
        return self.breaches

    def _note(self, rule: str, at: float, text: str) -> None:
        self.breaches.append(Breach(rule=rule, at=at, text=text))

    def _take_exit(self, entry: HostExited) -> None:
        if not entry.expected:
            self._note("ended", entry.at, f"{entry.host} exited with {entry.code}")

    def _take_end(self, entry: Ended) -> None:
        request = self._requests[entry.request]
        request.ended = entry
        if entry.ending is Ending.ANSWERED and entry.status < 300:
            self.served += 1
        if request.runs:
            self._judge_not_run(request, entry.at)

    def _take_run(self, run: RunBegan) -> None:
        request = self._requests.get(run.request)
        if request is None:
            # The journals of callers and servers are read one after the other.
            self._early.setdefault(run.request, []).append(run)
            return
        request.runs.append(run)
        sent = request.sent
        if run.path != sent.path or run.body_digest != sent.body_digest:
            self._note(
                "changed", run.at, f"{run.request} ran with another path or body"
            )
        is_safe = sent.route in SAFE_ROUTES
        if not is_safe and len(request.runs) > 1:
            servers = [r.server for r in request.runs]
            self._note("twice", run.at, f"{run.request} ran on {servers}")
        if len({r.server for r in request.runs}) > ATTEMPTS:
            self._note("attempts", run.at, f"{run.request} ran on too many servers")
        self._judge_not_run(request, run.at)
        self._judge_route(request, run)
        self._judge_drain(request, run)

    def _judge_not_run(self, request: _Request, at: float) -> None:
        ended, sent = request.ended, request.sent
        if ended is None or sent.route in SAFE_ROUTES or ended.status not in NOT_RUN:
            return
        text = f"{sent.request} was answered {ended.status} and ran"
        self._note("refused", at, text)

    def _judge_route(self, request: _Request, run: RunBegan) -> None:
        """Check that a configuration allows the run, and which ones it fits."""
        sent = request.sent
        known = [c for c in self._configured if c.at <= run.at]
        fitting = [c for c in known if c.services.get(sent.route) == run.service]
        if not fitting:
            self._note("route", run.at, f"{run.request} ran at {run.service}")
            return
        newest = fitting[-1].version
        self._judge_regress(sent, run, [c.version for c in fitting])
        due = [c for c in known if c.at + CONFIG_APPLY_S < sent.at]
        if not self._is_timed or not due or newest >= due[-1].version:
            return
        if self._is_in_touch(sent.host, due[-1].at, run.at):
            text = f"{run.request} at {sent.host}: {newest} < {due[-1].version}"
            self._note("config", run.at, text)

    def _judge_regress(self, sent: Sent, run: RunBegan, versions: list[int]) -> None:
        key = (sent.host, sent.life)
        floor, since = self._floors.get(key, (0, 0.0))
        index = bisect_right(versions, floor - 1)
        if index < len(versions):
            if versions[index] > floor:
                self._floors[key] = (versions[index], run.at)
            return
        if sent.at > since + ROLLBACK_SLACK_S and self._is_calm(sent.host, since):
            text = f"{run.request} at {sent.host}: {versions[-1]} after {floor}"
            self._note("regress", run.at, text)

    def _judge_drain(self, request: _Request, run: RunBegan) -> None:
        drained_at = self._drained.get(run.server, inf)
        is_late = run.at > drained_at + DRAIN_S
        if not self._is_timed or not is_late:
            return
        if self._is_in_touch(request.sent.host, drained_at, run.at):
            late_s = round(run.at - drained_at, 2)
            text = f"{run.request} by {request.sent.host} to {run.server}, {late_s} s"
            self._note("drain", run.at, text)

    def _judge_answer(self, request: _Request) -> None:
        """Check that a success is the whole answer of a run of this request."""
        ended = request.ended
        if ended is None or ended.ending is not Ending.ANSWERED:
            return
        name = request.sent.request
        if ended.status >= 300:
            return
        made = [f"{r.server}.{name}" for r in request.ends if r.status == ended.status]
        if ended.told_request != name or ended.signature not in made:
            text = f"{name} got the answer of {ended.told_request or 'nobody'}"
            self._note("mixed", ended.at, f"{text}, {ended.signature!r}")

    def _judge_loss(self, request: _Request) -> None:
        """Check that planned work alone cuts off no request."""
        ended, sent = request.ended, request.sent
        if ended is None or ended.ending is not Ending.BROKEN:
            return
        has_run = bool(request.runs)
        if not has_run and ended.at <= sent.at + LOSS_SLACK_S:
            return
        planned, unplanned = self._list_faults(sent.at - SETTLED_S, ended.at)
        on_host = [f for f in planned if f.began.target == sent.host]
        if on_host and not unplanned:
            text = f"{sent.request} at {sent.host}: {ended.detail}"
            self._note("lost", ended.at, text)

    def _list_faults(
        self, since: float, until: float
    ) -> tuple[list[_Fault], list[_Fault]]:
        hits = [
            f
            for f in self._faults.values()
            if f.began.at <= until and f.ended_at >= since
        ]
        planned = [f for f in hits if f.began.planned]
        return planned, [f for f in hits if not f.began.planned]

    def _is_in_touch(self, host: str, since: float, until: float) -> bool:
        """Return True if no fault touched a host or the platform since a time."""
        own = {host, f"peers/{host}", f"store/{host}"}
        planned, unplanned = self._list_faults(since - SETTLED_S, until)
        touched = [f for f in planned + unplanned if f.began.target in own]
        stores = [f for f in unplanned if f.began.target == "store"]
        return not touched and not stores

    def _is_calm(self, host: str, since: float) -> bool:
        """Return True if a host was not slowed since a time."""
        faults = [f for f in self._faults.values() if f.began.target == host]
        return all(f.ended_at < since or f.began.kind != "host-pause" for f in faults)
