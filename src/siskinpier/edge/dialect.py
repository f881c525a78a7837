"""What the call path says to backend servers, and how it reads their replies."""

from typing import Protocol

from ..core.effects import SendAttempt
from ..core.events import ReplyStarted
from ..core.routing.calls import Call, LoadReport
from ..core.verdict import Verdict
from .backends import BackendReply
from .exchange import Exchange
from .headers import (
    CALL_ID,
    DRAINING,
    FORWARDED,
    LOAD,
    TIMEOUT_MS,
    VERDICT,
    Forward,
    Headers,
    get_header,
    sign_forward,
    strip_hop_by_hop,
)


class Dialect(Protocol):
    """The header fields of one kind of deployment."""

    def make_request_headers(
        self, effect: SendAttempt, exchange: Exchange, call: Call
    ) -> Headers:
        """Return the fields of a request to a backend server or another host."""

    def read_reply(
        self, effect: SendAttempt, reply: BackendReply, now: float
    ) -> ReplyStarted:
        """Return what the head of a reply says."""

    def read_report(self, headers: Headers) -> LoadReport | None:
        """Return the load that a backend server reports, or None."""

    def is_leaving(self, headers: Headers) -> bool:
        """Return True if a backend server says that it leaves."""

    def read_pause(self, status: int, headers: Headers) -> float | None:
        """Return for how long a server wants nothing from this host, in seconds."""

    def is_other_server(self, headers: Headers, server: str) -> bool:
        """Return True if the answer to a probe names another server."""


class OwnDialect:
    """The header fields that the project defines itself."""

    def __init__(self, *, host: str, peer_key: bytes) -> None:
        self._host = host
        self._peer_key = peer_key

    def make_request_headers(
        self, effect: SendAttempt, exchange: Exchange, call: Call
    ) -> Headers:
        """Return the caller's fields with id and time left, signed for a forward."""
        headers = strip_hop_by_hop(exchange.headers)
        left_ms = max(1, int(effect.timeout_s * 1000))
        headers.append((CALL_ID, exchange.call_id.encode()))
        headers.append((TIMEOUT_MS, str(left_ms).encode()))
        if effect.is_forward:
            headers.append((FORWARDED, self._sign_forward(effect, call)))
        return headers

    def read_reply(
        self, effect: SendAttempt, reply: BackendReply, now: float
    ) -> ReplyStarted:
        """Return status, load and leaving mark, and a forward's verdict."""
        return ReplyStarted(
            now=now,
            call_id=effect.call_id,
            attempt=effect.attempt,
            status=reply.status,
            load=_parse_load(get_header(reply.headers, LOAD)),
            draining=self.is_leaving(reply.headers),
            verdict=_parse_verdict(reply.headers) if effect.is_forward else None,
        )

    def read_report(self, headers: Headers) -> LoadReport | None:
        """Return None: the load is a single number here."""
        return None

    def is_leaving(self, headers: Headers) -> bool:
        """Return True if a backend server says that it leaves."""
        return get_header(headers, DRAINING) == b"1"

    def read_pause(self, status: int, headers: Headers) -> float | None:
        """Return None: servers say nothing of the kind here."""
        return None

    def is_other_server(self, headers: Headers, server: str) -> bool:
        """Return False: answers to probes name no server."""
        return False

    def _sign_forward(self, effect: SendAttempt, call: Call) -> bytes:
        forward = Forward(
            host=self._host,
            at_most_once=effect.at_most_once,
            claimed=effect.claimed,
        )
        return sign_forward(self._peer_key, call.call_id, call.fingerprint, forward)


def _parse_load(value: bytes | None) -> int | None:
    count = (value or b"").partition(b"/")[0]
    return int(count) if count.isdigit() and len(count) < 7 else None


def _parse_verdict(headers: Headers) -> Verdict:
    """Return what another host said; without its word the call may have run."""
    value = get_header(headers, VERDICT)
    try:
        return Verdict((value or b"").decode("latin-1"))
    except ValueError:
        return Verdict.MAY_HAVE_RUN
