"""The header fields of requests and replies on the platform."""

import re
from http import HTTPStatus
from typing import Final

from ..core.effects import SendAttempt
from ..core.events import ReplyStarted
from ..core.routing.calls import Call, LoadReport, RateLimitReport
from ..core.verdict import Verdict
from ..edge.backends import BackendReply
from ..edge.exchange import Exchange
from ..edge.header_adapter import (
    make_forward,
    make_rate_limit_report,
    parse_verdict,
)
from ..edge.headers import (
    FORWARDED_HEADER,
    Headers,
    get_header,
    sign_forward,
    strip_hop_by_hop,
)
from ..logs import log_warning
from .keys import WORKSPACE_HEADER, hide_credentials

REQUEST_ID_HEADER: Final = b"x-request-id"
# Milliseconds until the caller's deadline.
DEADLINE_HEADER: Final = b"x-deadline-ms"
# The only backend server that may run the request.
EXPECTED_SERVER_HEADER: Final = b"x-expected-instance"
# The server that answered a probe.
SERVER_ID_HEADER: Final = b"x-instance-id"
# Present if the backend server did not run the request.
NOT_RUN_HEADER: Final = b"x-not-executed"
# Running requests, waiting requests, slots, and run time in percent of normal.
LOAD_HEADER: Final = b"x-server-load"
SIGNATURE_HEADER: Final = b"x-response-signature"
RETRY_AFTER_HEADER: Final = b"retry-after"
# `1` in all replies of a backend server that is leaving.
LEAVING_HEADER: Final = b"server-leaving"
# Requests a second that a backend server in need takes from all hosts together.
RATE_LIMIT_HEADER: Final = b"server-limit"
# Milliseconds for which a backend server is still warming up, in answers to probes.
WARMUP_HEADER: Final = b"x-warmup-ms"
# Milliseconds of at most a week, with an optional fraction.
_MILLISECONDS_PATTERN: Final = re.compile(rb"\d{1,9}(\.\d{1,9})?")
MAX_WARMUP_S: Final = 604_800.0
# Seconds with an optional fraction, of at most 9 digits each.
_SECONDS_PATTERN: Final = re.compile(rb"\d{1,9}(\.\d{1,9})?")
MISDIRECTED: Final = 421
NORMAL_SLOWDOWN_PERCENT: Final = 100.0

_OVERRIDDEN_FIELDS: Final = frozenset({DEADLINE_HEADER, EXPECTED_SERVER_HEADER})


class PlatformHeaderAdapter:
    """Writes and reads the header fields that the platform defines.

    A call that is forwarded to another host bears a signed field of our own.
    """

    def __init__(self, *, host: str, peer_key: bytes) -> None:
        self._host = host
        self._peer_key = peer_key

    def make_request_headers(
        self, effect: SendAttempt, exchange: Exchange, call: Call
    ) -> Headers:
        """Return the caller's fields with the remaining time and the chosen server.

        A forward bears the signed statement of this host in place of the server. Where
        keys are required, the name of the workspace takes the place of the key.
        """
        headers = [
            field
            for field in strip_hop_by_hop(exchange.headers)
            if field[0] not in _OVERRIDDEN_FIELDS
        ]
        if effect.workspace is not None:
            headers = hide_credentials(headers)
        remaining_ms = max(1, int(effect.timeout_s * 1000))
        headers.append((DEADLINE_HEADER, str(remaining_ms).encode()))
        if effect.is_forward:
            request_id = get_request_id(exchange.headers)
            forward = make_forward(effect, call, self._host)
            value = sign_forward(self._peer_key, request_id, call.fingerprint, forward)
            headers.append((FORWARDED_HEADER, value))
        else:
            headers.append((EXPECTED_SERVER_HEADER, effect.target.encode()))
            if effect.workspace:
                headers.append((WORKSPACE_HEADER, effect.workspace.encode()))
        return headers

    def make_target(self, effect: SendAttempt, exchange: Exchange, call: Call) -> str:
        """Return the caller's path and query."""
        return exchange.target

    def read_reply(
        self, effect: SendAttempt, reply: BackendReply, now: float
    ) -> ReplyStarted:
        """Return the event for the status and header fields of a reply.

        What a forwarded call's reply tells of its server is for the other host.
        """
        if effect.is_forward:
            return ReplyStarted(
                now=now,
                call_id=effect.call_id,
                attempt=effect.attempt,
                status=reply.status,
                verdict=parse_verdict(reply.headers),
            )
        is_not_run = (
            get_header(reply.headers, NOT_RUN_HEADER) is not None
            or reply.status == MISDIRECTED
        )
        return ReplyStarted(
            now=now,
            call_id=effect.call_id,
            attempt=effect.attempt,
            status=reply.status,
            report=self.read_report(reply.headers),
            draining=self.is_leaving(reply.headers),
            pause_s=self.read_pause(reply.status, reply.headers),
            rate_limit=self.read_rate_limit(reply.headers),
            is_other_server=reply.status == MISDIRECTED,
            verdict=Verdict.NOT_RUN if is_not_run else None,
        )

    def read_report(self, headers: Headers) -> LoadReport | None:
        """Return the load report of a backend server, or None."""
        return parse_load(get_header(headers, LOAD_HEADER))

    def is_leaving(self, headers: Headers) -> bool:
        """Return True if a backend server reports that it is leaving."""
        return get_header(headers, LEAVING_HEADER) == b"1"

    def read_pause(self, status: int, headers: Headers) -> float | None:
        """Return the Retry-After of a 503 response, in seconds, or None.

        The server wants no requests from this host for that time.
        """
        value = get_header(headers, RETRY_AFTER_HEADER)
        if value is None or status != HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        if _SECONDS_PATTERN.fullmatch(value.strip()) is None:
            log_warning("pause-unreadable", value=value[:40].decode("latin-1"))
            return None
        return float(value)

    def read_rate_limit(self, headers: Headers) -> RateLimitReport | None:
        """Return the rate limit that a server names, or None if it names none."""
        return make_rate_limit_report(get_header(headers, RATE_LIMIT_HEADER))

    def read_warmup(self, headers: Headers) -> float | None:
        """Return how long a server is still warming up, in seconds, or None."""
        value = get_header(headers, WARMUP_HEADER)
        if value is None:
            return None
        if _MILLISECONDS_PATTERN.fullmatch(value.strip()) is None:
            log_warning("warm-up-unreadable", value=value[:40].decode("latin-1"))
            return None
        return min(MAX_WARMUP_S, float(value) / 1_000.0)

    def is_other_server(self, headers: Headers, server: str) -> bool:
        """Return True if a probe was answered by a server other than the one meant."""
        answering = get_header(headers, SERVER_ID_HEADER)
        return answering is not None and answering != server.encode()


def get_request_id(headers: Headers) -> str:
    """Return the caller's id of a request, empty if it has none."""
    return (get_header(headers, REQUEST_ID_HEADER) or b"").decode("latin-1")


def parse_load(value: bytes | None) -> LoadReport | None:
    """Return the load report in a header field, or None if it is malformed."""
    parts = (value or b"").split(b",")
    if len(parts) not in (3, 4) or not all(_is_count(part) for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    percent = float(parts[3]) if len(parts) == 4 else NORMAL_SLOWDOWN_PERCENT
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=percent / NORMAL_SLOWDOWN_PERCENT,
    )


def _is_count(part: bytes) -> bool:
    text = part.strip()
    return text.isdigit() and len(text) < 7
