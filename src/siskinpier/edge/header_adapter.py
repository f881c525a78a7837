"""Header fields of requests to backend servers and of their replies."""

from typing import Protocol

from ..core.effects import SendAttempt
from ..core.events import ReplyStarted
from ..core.routing.calls import Call, LoadReport, RateLimitReport
from ..core.verdict import Verdict
from ..logs import log_warning
from .backends import BackendReply
from .exchange import Exchange
from .headers import (
    CALL_ID_HEADER,
    DRAINING_HEADER,
    FORWARDED_HEADER,
    LOAD_HEADER,
    RATE_LIMIT_HEADER,
    TIMEOUT_HEADER,
    VERDICT_HEADER,
    Forward,
    Headers,
    get_header,
    parse_rate,
    sign_forward,
    strip_hop_by_hop,
)


class HeaderAdapter(Protocol):
    """Builds and parses the header fields of one kind of deployment."""

    def make_request_headers(
        self, effect: SendAttempt, exchange: Exchange, call: Call
    ) -> Headers:
        """Return the header fields of a request to a backend server or another host."""

    def make_target(self, effect: SendAttempt, exchange: Exchange, call: Call) -> str:
        """Return path and query of a request to a backend server or another host."""

    def read_reply(
        self, effect: SendAttempt, reply: BackendReply, now: float
    ) -> ReplyStarted:
        """Return the event for the head of a reply."""

    def read_report(self, headers: Headers) -> LoadReport | None:
        """Return the load report of a backend server, or None."""

    def is_leaving(self, headers: Headers) -> bool:
        """Return True if a backend server reports that it is leaving."""

    def read_pause(self, status: int, headers: Headers) -> float | None:
        """Return the pause that a server requests of this host, in seconds, or None."""

    def read_rate_limit(self, headers: Headers) -> RateLimitReport | None:
        """Return the rate limit that a server names, or None if it names none."""

    def read_warmup(self, headers: Headers) -> float | None:
        """Return how long a server is still warming up, in seconds, or None."""

    def is_other_server(self, headers: Headers, server: str) -> bool:
        """Return True if the response to a probe names another server."""


class DefaultHeaderAdapter:
    """Builds and parses the header fields that the project itself defines."""

    def __init__(self, *, host: str, peer_key: bytes) -> None:
        self._host = host
        self._peer_key = peer_key

    def make_request_headers(
        self, effect: SendAttempt, exchange: Exchange, call: Call
    ) -> Headers:
        """Return the caller's fields, call id and time left; a forward is signed."""
        headers = strip_hop_by_hop(exchange.headers)
        left_ms = max(1, int(effect.timeout_s * 1000))
        headers.append((CALL_ID_HEADER, exchange.call_id.encode()))
        headers.append((TIMEOUT_HEADER, str(left_ms).encode()))
        if effect.is_forward:
            headers.append((FORWARDED_HEADER, self._sign_forward(effect, call)))
        return headers

    def make_target(self, effect: SendAttempt, exchange: Exchange, call: Call) -> str:
        """Return the caller's path and query; that of a forward names the service."""
        if not effect.is_forward:
            return exchange.target
        return f"/call/{call.service}{exchange.target}"

    def read_reply(
        self, effect: SendAttempt, reply: BackendReply, now: float
    ) -> ReplyStarted:
        """Return status, load, leaving flag and, for a forward, the verdict."""
        return ReplyStarted(
            now=now,
            call_id=effect.call_id,
            attempt=effect.attempt,
            status=reply.status,
            load=_parse_load(get_header(reply.headers, LOAD_HEADER)),
            draining=self.is_leaving(reply.headers),
            verdict=parse_verdict(reply.headers) if effect.is_forward else None,
            rate_limit=(
                None if effect.is_forward else self.read_rate_limit(reply.headers)
            ),
        )

    def read_report(self, headers: Headers) -> LoadReport | None:
        """Return None: these servers report their load as a single number."""
        return None

    def is_leaving(self, headers: Headers) -> bool:
        """Return True if a backend server reports that it is leaving."""
        return get_header(headers, DRAINING_HEADER) == b"1"

    def read_pause(self, status: int, headers: Headers) -> float | None:
        """Return None: these servers request no pauses."""
        return None

    def read_rate_limit(self, headers: Headers) -> RateLimitReport | None:
        """Return the rate limit that a server names, or None if it names none."""
        return make_rate_limit_report(get_header(headers, RATE_LIMIT_HEADER))

    def read_warmup(self, headers: Headers) -> float | None:
        """Return None: these servers do not tell of their warm-up."""
        return None

    def is_other_server(self, headers: Headers, server: str) -> bool:
        """Return False: responses to probes do not name their server."""
        return False

    def _sign_forward(self, effect: SendAttempt, call: Call) -> bytes:
        forward = make_forward(effect, call, self._host)
        return sign_forward(self._peer_key, call.call_id, call.fingerprint, forward)


def make_rate_limit_report(value: bytes | None) -> RateLimitReport | None:
    """Return the report of a rate limit field, or None without a field."""
    if value is None:
        return None
    per_s = parse_rate(value)
    if per_s is None:
        log_warning("rate-limit-unreadable", value=value[:40].decode("latin-1"))
    return RateLimitReport(per_s=per_s)


def _parse_load(value: bytes | None) -> int | None:
    """Return the running calls in a load field `RUNNING/SLOTS`, or None."""
    count = (value or b"").partition(b"/")[0]
    return int(count) if count.isdigit() and len(count) < 7 else None


def make_forward(effect: SendAttempt, call: Call, host: str) -> Forward:
    """Return what this host states about a call that it forwards."""
    return Forward(
        host=host,
        at_most_once=effect.at_most_once,
        claimed=effect.claimed,
        key_digest=call.key_digest,
    )


def parse_verdict(headers: Headers) -> Verdict:
    """Return another host's verdict; without a valid one the call may have run."""
    value = get_header(headers, VERDICT_HEADER)
    try:
        return Verdict((value or b"").decode("latin-1"))
    except ValueError:
        return Verdict.MAY_HAVE_RUN
