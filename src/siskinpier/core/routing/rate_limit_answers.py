"""What answers of backend servers show about their rate limits.

A limit ends with a successful answer that names none, if its call was sent after the
limit was last heard: an older answer may arrive late. An answer to a probe ends it only
if answers to probes have named it before.
"""

from dataclasses import dataclass
from typing import Final

from ..cluster.rate_limit_notices import announce_rate_limit
from ..effects import Effect
from ..state import HostState, RateLimitKey, ServiceRuntime
from .balance import ServerRuntime
from .calls import RateLimitReport
from .queueing import dispatch_queued_calls, requeue_calls
from .rate_limit_tokens import RateLimit
from .rate_limits import end_rate_limit, set_rate_limit

SOURCE_ANSWER: Final = "answer"


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
    key = RateLimitKey(service=service.intent.name, server=server.intent.name)
    if answer.report is None:
        if _is_end_of_limit(server.rate_limit, answer):
            end_rate_limit(state, key, SOURCE_ANSWER, out)
            announce_rate_limit(state, service, server, now, out)
            dispatch_queued_calls(state, service, now, out)
        return
    if answer.report.per_s is None:
        return
    known = server.rate_limit
    is_lower = known is None or answer.report.per_s < known.per_s
    limit = set_rate_limit(state, key, answer.report.per_s, SOURCE_ANSWER, now, out)
    limit.is_first_hand = True
    limit.is_in_probes = limit.is_in_probes or answer.is_probe
    announce_rate_limit(state, service, server, now, out)
    if is_lower:
        requeue_calls(state, service, now, out)


def _is_end_of_limit(limit: RateLimit | None, answer: LimitAnswer) -> bool:
    if limit is None or not answer.is_success:
        return False
    if answer.is_probe and not limit.is_in_probes:
        return False
    return answer.sent_at > limit.heard_at
