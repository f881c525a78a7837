"""The header fields of calls on the platform."""

import re
from http import HTTPStatus
from typing import Final

from ..core.effects import SendAttempt
from ..core.events import ReplyStarted
from ..core.routing.calls import Call, LoadReport
from ..core.verdict import Verdict
from ..edge.backends import BackendReply
from ..edge.exchange import Exchange
from ..edge.headers import Headers, get_header, strip_hop_by_hop
from ..logs import log_warning

REQUEST_ID: Final = b"x-request-id"
# Milliseconds that the caller waits.
DEADLINE_MS: Final = b"x-deadline-ms"
# The backend server that alone may run the request.
EXPECTED_SERVER: Final = b"x-expected-instance"
# The server that answers a probe.
ANSWERING_SERVER: Final = b"x-instance-id"
# Present where the backend server did not run the request.
NOT_RUN: Final = b"x-not-executed"
# Requests running, waiting, slots, and the time that work takes in percent.
LOAD: Final = b"x-server-load"
SIGNATURE: Final = b"x-response-signature"
RETRY_AFTER: Final = b"retry-after"
# Present, as `1`, in all answers of a backend server that leaves.
LEAVING: Final = b"server-leaving"
# Seconds with a fraction; a longer text is not one.
_SECONDS: Final = re.compile(rb"\d{1,9}(\.\d{1,9})?")
MISDIRECTED: Final = 421
USUAL_PERCENT: Final = 100.0

_SET_HERE: Final = frozenset({DEADLINE_MS, EXPECTED_SERVER})


class PlatformDialect:
    """What backend servers on the platform are told, and what they say."""

    def make_request_headers(
        self, effect: SendAttempt, exchange: Exchange, call: Call
    ) -> Headers:
        """Return the caller's fields with the time left and the server meant."""
        headers = [
            field
            for field in strip_hop_by_hop(exchange.headers)
            if field[0] not in _SET_HERE
        ]
        left_ms = max(1, int(effect.timeout_s * 1000))
        headers.append((DEADLINE_MS, str(left_ms).encode()))
        headers.append((EXPECTED_SERVER, effect.target.encode()))
        return headers

    def read_reply(
        self, effect: SendAttempt, reply: BackendReply, now: float
    ) -> ReplyStarted:
        """Return what the head of a reply says."""
        is_not_run = (
            get_header(reply.headers, NOT_RUN) is not None
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
            is_other_server=reply.status == MISDIRECTED,
            verdict=Verdict.NOT_RUN if is_not_run else None,
        )

    def read_report(self, headers: Headers) -> LoadReport | None:
        """Return the load that a backend server reports, or None."""
        return parse_load(get_header(headers, LOAD))

    def is_leaving(self, headers: Headers) -> bool:
        """Return True if a backend server says that it leaves."""
        return get_header(headers, LEAVING) == b"1"

    def read_pause(self, status: int, headers: Headers) -> float | None:
        """Return for how long a server that turned a request away wants no other."""
        value = get_header(headers, RETRY_AFTER)
        if value is None or status != HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        if _SECONDS.fullmatch(value.strip()) is None:
            log_warning("pause-unreadable", value=value[:40].decode("latin-1"))
            return None
        return float(value)

    def is_other_server(self, headers: Headers, server: str) -> bool:
        """Return True if the answer to a probe names another server."""
        named = get_header(headers, ANSWERING_SERVER)
        return named is not None and named != server.encode()


def parse_load(value: bytes | None) -> LoadReport | None:
    """Return a load field's figures, or None where they cannot be read."""
    parts = (value or b"").split(b",")
    if len(parts) not in (3, 4) or not all(_is_count(part) for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    percent = float(parts[3]) if len(parts) == 4 else USUAL_PERCENT
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=percent / USUAL_PERCENT,
    )


def _is_count(part: bytes) -> bool:
    text = part.strip()
    return text.isdigit() and len(text) < 7
