"""Checks the guarantees of the load balancer against the history of a run.

Rules with a time limit apply only to connected hosts: hosts with no fault on the host,
its links or the store for `FAULT_SETTLE_S` before.
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
    HostGrown,
    HostsIsolated,
    HostUnready,
    LimitNamed,
    RunBegan,
    RunEnded,
    Sent,
)
from .host_environment import MEMORY_LIMIT_BYTES
from .isolation_rule import IsolationRule
from .limit_rule import LimitRule
from .schedule import ALL_HOSTS

# Times that the platform sets, seconds, up to `LOSS_SLACK_S`.
# A host counts as connected from this long after the end of a fault.
FAULT_SETTLE_S: Final = 3.0
# A host must apply a configuration within this time.
CONFIG_APPLY_LIMIT_S: Final = 2.0
# Requests sent this soon after a run with a newer configuration may use an older one.
ROLLBACK_SLACK_S: Final = 0.25
# A draining server must get no requests from this long after its entry said so.
DRAIN_LIMIT_S: Final = 2.0
# A request that breaks this soon after it was sent, without a run, is not lost.
LOSS_SLACK_S: Final = 0.2
# A host without a fault for this long is ready.
READY_LIMIT_S: Final = 15.0
# Number of backend servers that one request may be sent to.
MAX_SERVERS_PER_REQUEST: Final = 2
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A guarantee that was violated; `rule` names it."""

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
    """Checks history entries one by one and collects violations.

    Without `has_time_limits`, the rules with a time limit are not checked, for use on
    machines with unknown load.
    """

    def __init__(self, *, has_time_limits: bool = True) -> None:
        self.violations: list[Violation] = []
        self.served_count = 0
        self._has_time_limits = has_time_limits
        self._requests: dict[str, _Request] = {}
        self._early_runs: dict[str, list[RunBegan]] = {}
        self._configured: list[Configured] = []
        self._drained: dict[str, float] = {}
        self._faults: dict[int, _Fault] = {}
        # Lowest configuration version that a host may use, and the time of the run that
        # showed it, by host and its number of starts.
        self._min_versions: dict[tuple[str, int], tuple[int, float]] = {}
        self._limit_rule = LimitRule()
        self._isolation_rule = IsolationRule()

    def check_entry(self, entry: Entry) -> None:
        """Check one more entry of the history."""
        match entry:
            case Sent():
                self._requests[entry.request] = _Request(sent=entry)
                for run in self._early_runs.pop(entry.request, []):
                    self._handle_run(run)
            case Ended():
                self._handle_end(entry)
            case RunBegan():
                self._handle_run(entry)
            case RunEnded():
                if entry.request in self._requests:
                    self._requests[entry.request].ends.append(entry)
            case Configured():
                self._configured.append(entry)
            case Drained(at=at, server=server):
                self._drained.setdefault(server, at)
            case HostsIsolated():
                self._isolation_rule.record_isolation(entry)
            case LimitNamed():
                self._limit_rule.record_limit(entry)
            case FaultBegan(number=number):
                self._faults[number] = _Fault(began=entry)
            case FaultEnded(at=at, number=number):
                self._faults[number].ended_at = at
            case HostExited():
                self._check_exit(entry)
            case HostUnready():
                self._check_readiness(entry)
            case HostGrown(at=at, host=host, peak_bytes=peak):
                if peak > MEMORY_LIMIT_BYTES:
                    self._add_violation("memory", at, f"{host} held {peak} bytes")

    def finish(self) -> list[Violation]:
        """Check the rules that need the whole history, and return all violations."""
        for request in self._requests.values():
            self._check_answer(request)
            if self._has_time_limits:
                self._check_loss(request)
        if self._has_time_limits:
            for rule, found in (
                ("limit", self._limit_rule.find_violations(self._is_connected)),
                ("isolated", self._isolation_rule.find_violations(self._is_connected)),
            ):
                for at, text in found:
                    self._add_violation(rule, at, text)
        for runs in self._early_runs.values():
            self._add_violation(
                "unasked", runs[0].at, f"{runs[0].request} was never sent"
            )
        return self.violations

    def _add_violation(self, rule: str, at: float, text: str) -> None:
        self.violations.append(Violation(rule=rule, at=at, text=text))

    def _check_exit(self, entry: HostExited) -> None:
        if not entry.expected:
            self._add_violation(
                "ended",
                entry.at,
                f"{entry.host} exited with code {entry.code}: {entry.log}",
            )

    def _check_readiness(self, entry: HostUnready) -> None:
        since = entry.at - READY_LIMIT_S
        is_due = self._has_time_limits and entry.since < since
        if is_due and self._is_connected(entry.host, since, entry.at):
            text = f"{entry.host} has not become ready or is not any more"
            self._add_violation("unready", entry.at, f"{text}: {entry.log}")

    def _handle_end(self, entry: Ended) -> None:
        request = self._requests[entry.request]
        request.ended = entry
        self._isolation_rule.record_end(request.sent, entry)
        if entry.ending is Ending.ANSWERED:
            self._limit_rule.record_answer(entry, request.sent.host)
        if entry.ending is Ending.ANSWERED and entry.status < 300:
            self.served_count += 1
        if request.runs:
            self._check_not_run(request, entry.at)

    def _handle_run(self, run: RunBegan) -> None:
        request = self._requests.get(run.request)
        if request is None:
            # Journals of servers are read in batches, so a run may be seen before the
            # request was recorded.
            self._early_runs.setdefault(run.request, []).append(run)
            return
        request.runs.append(run)
        sent = request.sent
        self._limit_rule.record_run(run, sent.host)
        if run.path != sent.path or run.body_digest != sent.body_digest:
            self._add_violation(
                "changed", run.at, f"{run.request} ran with another path or body"
            )
        is_safe = sent.route in SAFE_ROUTES
        if not is_safe and len(request.runs) > 1:
            servers = [r.server for r in request.runs]
            self._add_violation("twice", run.at, f"{run.request} ran on {servers}")
        if len({r.server for r in request.runs}) > MAX_SERVERS_PER_REQUEST:
            self._add_violation(
                "attempts", run.at, f"{run.request} ran on too many servers"
            )
        self._check_not_run(request, run.at)
        self._check_route(request, run)
        self._check_drain(request, run)

    def _check_not_run(self, request: _Request, at: float) -> None:
        """Check that no unsafe request ran whose status guarantees that it did not."""
        ended, sent = request.ended, request.sent
        if (
            ended is None
            or sent.route in SAFE_ROUTES
            or ended.status not in NOT_RUN_STATUSES
        ):
            return
        text = f"{sent.request} was answered {ended.status} and ran"
        self._add_violation("refused", at, text)

    def _check_route(self, request: _Request, run: RunBegan) -> None:
        """Check that the run fits a configuration that its host may use by then."""
        sent = request.sent
        known = [c for c in self._configured if c.at <= run.at]
        fitting = [c for c in known if c.services.get(sent.route) == run.service]
        if not fitting:
            self._add_violation("route", run.at, f"{run.request} ran at {run.service}")
            return
        newest = fitting[-1].version
        self._check_regress(sent, run, [c.version for c in fitting])
        due = [c for c in known if c.at + CONFIG_APPLY_LIMIT_S < sent.at]
        if not self._has_time_limits or not due or newest >= due[-1].version:
            return
        if self._is_connected(sent.host, due[-1].at, run.at):
            text = f"{run.request} at {sent.host}: {newest} < {due[-1].version}"
            self._add_violation("config", run.at, text)

    def _check_regress(self, sent: Sent, run: RunBegan, versions: list[int]) -> None:
        """Check that a host does not return to an older configuration.

        `versions` are those that the run fits, in increasing order.
        """
        key = (sent.host, sent.life)
        min_version, since = self._min_versions.get(key, (0, 0.0))
        index = bisect_right(versions, min_version - 1)
        if index < len(versions):
            if versions[index] > min_version:
                self._min_versions[key] = (versions[index], run.at)
            return
        if sent.at > since + ROLLBACK_SLACK_S and self._was_unpaused(sent.host, since):
            text = f"{run.request} at {sent.host}: {versions[-1]} after {min_version}"
            self._add_violation("regress", run.at, text)

    def _check_drain(self, request: _Request, run: RunBegan) -> None:
        """Check that a draining server gets no requests after `DRAIN_LIMIT_S`."""
        drained_at = self._drained.get(run.server, inf)
        is_late = run.at > drained_at + DRAIN_LIMIT_S
        if not self._has_time_limits or not is_late:
            return
        if self._is_connected(request.sent.host, drained_at, run.at):
            late_s = round(run.at - drained_at, 2)
            text = f"{run.request} by {request.sent.host} to {run.server}, {late_s} s"
            self._add_violation("drain", run.at, text)

    def _check_answer(self, request: _Request) -> None:
        """Check that a successful response was made by a run of this request."""
        ended = request.ended
        if ended is None or ended.ending is not Ending.ANSWERED:
            return
        name = request.sent.request
        if ended.status >= 300:
            return
        signatures = [
            f"{r.server}.{name}" for r in request.ends if r.status == ended.status
        ]
        if ended.told_request != name or ended.signature not in signatures:
            text = f"{name} got the answer of {ended.told_request or 'nobody'}"
            self._add_violation("mixed", ended.at, f"{text}, {ended.signature!r}")

    def _check_loss(self, request: _Request) -> None:
        """Check that planned operations alone do not break a connection."""
        ended, sent = request.ended, request.sent
        if ended is None or ended.ending is not Ending.BROKEN:
            return
        has_run = bool(request.runs)
        if not has_run and ended.at <= sent.at + LOSS_SLACK_S:
            return
        planned, unplanned = self._list_faults(sent.at - FAULT_SETTLE_S, ended.at)
        on_host = [f for f in planned if f.began.target == sent.host]
        if on_host and not unplanned:
            text = f"{sent.request} at {sent.host}: {ended.detail}"
            self._add_violation("lost", ended.at, text)

    def _list_faults(
        self, since: float, until: float
    ) -> tuple[list[_Fault], list[_Fault]]:
        faults = [
            f
            for f in self._faults.values()
            if f.began.at <= until and f.ended_at >= since
        ]
        planned = [f for f in faults if f.began.planned]
        return planned, [f for f in faults if not f.began.planned]

    def _is_connected(self, host: str, since: float, until: float) -> bool:
        """Return True if no fault affected a host, its links or the store in a period.

        The last `FAULT_SETTLE_S` before the period count too.
        """
        host_targets = {host, f"peers/{host}", f"store/{host}", ALL_HOSTS}
        planned, unplanned = self._list_faults(since - FAULT_SETTLE_S, until)
        host_faults = [f for f in planned + unplanned if f.began.target in host_targets]
        store_faults = [f for f in unplanned if f.began.target == "store"]
        return not host_faults and not store_faults

    def _was_unpaused(self, host: str, since: float) -> bool:
        """Return True if a host was never paused after the time `since`."""
        faults = [f for f in self._faults.values() if f.began.target == host]
        return all(f.ended_at < since or f.began.kind != "host-pause" for f in faults)
