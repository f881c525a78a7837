"""Rate limits that backend servers name for the calls of all hosts together.

A server in need names in its answers how many calls a second it takes. The limit ends
with a successful answer, to a call that was sent after the limit was last heard, that
names none. An answer to a probe ends it only if probes have named it before.
"""

from dataclasses import dataclass

from ..effects import Effect, LogDecision
from ..state import HostState, ServiceRuntime
from .balance import RateLimit, ServerRuntime
from .calls import RateLimitReport


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitAnswer:
    """What an answer of a backend server shows about its rate limit.

    `sent_at` is when the call or probe was sent or granted its slot, in seconds. Only
    an answer with `is_success` shows by a missing report that the limit has ended.
    """

    report: RateLimitReport | None
    sent_at: float
    is_success: bool
    is_probe: bool = False


def handle_limit_answer(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    answer: LimitAnswer,
    now: float,
    out: list[Effect],
) -> None:
    """Record the rate limit that an answer names, or the end of an earlier one."""
    if answer.report is None:
        if _is_end_of_limit(server.rate_limit, answer):
            end_rate_limit(service, server, "answer", out)
        return
    if answer.report.per_s is None:
        return
    limit = set_rate_limit(
        state, service, server, answer.report.per_s, "answer", now, out
    )
    limit.is_in_probes = limit.is_in_probes or answer.is_probe


def set_rate_limit(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    per_s: float,
    source: str,
    now: float,
    out: list[Effect],
) -> RateLimit:
    """Set the limit of a server and return it; `source` is logged if it changes."""
    limit = server.rate_limit
    if limit is None or limit.per_s != per_s:
        _log_limit(service, server, str(per_s), source, out)
    if limit is None:
        limit = server.rate_limit = RateLimit(per_s=per_s, heard_at=now)
    limit.per_s = per_s
    limit.heard_at = now
    return limit


def end_rate_limit(
    service: ServiceRuntime, server: ServerRuntime, source: str, out: list[Effect]
) -> None:
    """Remove the limit of a server."""
    server.rate_limit = None
    _log_limit(service, server, "none", source, out)


def _is_end_of_limit(limit: RateLimit | None, answer: LimitAnswer) -> bool:
    if limit is None or not answer.is_success:
        return False
    if answer.is_probe and not limit.is_in_probes:
        return False
    return answer.sent_at > limit.heard_at


def _log_limit(
    service: ServiceRuntime,
    server: ServerRuntime,
    per_s: str,
    source: str,
    out: list[Effect],
) -> None:
    fields: dict[str, object] = {
        "service": service.intent.name,
        "server": server.intent.name,
        "per_s": per_s,
        "told_by": source,
    }
    out.append(LogDecision(event="rate-limit", fields=fields))
