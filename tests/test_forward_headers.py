"""Tests of the header fields of calls that hosts on the platform forward."""

from dataclasses import replace
from typing import Any

import pytest

from siskinpier.core.effects import SendAttempt
from siskinpier.core.verdict import Verdict
from siskinpier.edge.backends import BackendReply
from siskinpier.edge.exchange import Exchange
from siskinpier.edge.headers import (
    FORWARDED_HEADER,
    VERDICT_HEADER,
    Headers,
    get_header,
    parse_forward,
)
from siskinpier.platform.headers import (
    DEADLINE_HEADER,
    EXPECTED_SERVER_HEADER,
    REQUEST_ID_HEADER,
    PlatformHeaderAdapter,
)
from tests.standins.slot_world import make_call

KEY = b"key-of-the-hosts"
ADAPTER = PlatformHeaderAdapter(host="h1", peer_key=KEY)
ATTEMPT = SendAttempt(
    call_id="r1#7",
    attempt=0,
    target="h2",
    address="127.0.0.1:1",
    is_forward=True,
    timeout_s=1.5,
    at_most_once=True,
)


def make_exchange(*more: tuple[bytes, bytes]) -> Exchange:
    """Return the exchange of a request with the id r1."""
    headers: Headers = [(b"host", b"films.example"), (REQUEST_ID_HEADER, b"r1"), *more]
    return Exchange(
        call_id="r1#7", method="GET", target="/a/b?c=d", headers=headers, body=b""
    )


def make_reply(status: int, *headers: tuple[bytes, bytes]) -> BackendReply:
    """Return the head of a reply."""
    response: Any = None
    return BackendReply(status=status, headers=list(headers), response=response)


class TestRequest:
    """A forward names the host that sends it, and no server."""

    def make_headers(self, *more: tuple[bytes, bytes]) -> Headers:
        call = make_call("r1#7", 10.0)
        return ADAPTER.make_request_headers(ATTEMPT, make_exchange(*more), call)

    def test_other_host_recognizes_it(self) -> None:
        headers = self.make_headers()
        fingerprint = make_call("r1#7", 10.0).fingerprint
        value = get_header(headers, FORWARDED_HEADER)
        forward = parse_forward(KEY, "r1", fingerprint, value)
        assert forward is not None
        assert (forward.host, forward.at_most_once) == ("h1", True)
        assert parse_forward(b"another-key", "r1", fingerprint, value) is None
        assert parse_forward(KEY, "r2", fingerprint, value) is None

    def test_names_no_server(self) -> None:
        headers = self.make_headers((EXPECTED_SERVER_HEADER, b"i-1"))
        assert get_header(headers, EXPECTED_SERVER_HEADER) is None

    def test_remaining_time(self) -> None:
        headers = self.make_headers((DEADLINE_HEADER, b"9000"))
        values = [value for key, value in headers if key == DEADLINE_HEADER]
        assert values == [b"1500"]

    def test_field_of_a_caller_is_dropped(self) -> None:
        headers = self.make_headers((FORWARDED_HEADER, b"forged"))
        values = [value for key, value in headers if key == FORWARDED_HEADER]
        assert len(values) == 1 and values != [b"forged"]

    def test_attempt_at_a_server_bears_no_field(self) -> None:
        attempt = replace(ATTEMPT, is_forward=False, target="i-1")
        exchange = make_exchange((FORWARDED_HEADER, b"from-another-host"))
        call = make_call("r1#7", 10.0)
        headers = ADAPTER.make_request_headers(attempt, exchange, call)
        assert get_header(headers, FORWARDED_HEADER) is None
        assert get_header(headers, EXPECTED_SERVER_HEADER) == b"i-1"

    def test_target_is_the_callers(self) -> None:
        call = make_call("r1#7", 10.0)
        assert ADAPTER.make_target(ATTEMPT, make_exchange(), call) == "/a/b?c=d"


class TestReply:
    """The verdict of the other host counts, and no field of the server behind it."""

    @pytest.mark.parametrize("verdict", list(Verdict))
    def test_verdict(self, verdict: Verdict) -> None:
        reply = make_reply(503, (VERDICT_HEADER, verdict.encode()))
        event = ADAPTER.read_reply(ATTEMPT, reply, 1.0)
        assert (event.status, event.verdict) == (503, verdict)

    def test_without_verdict_it_may_have_run(self) -> None:
        event = ADAPTER.read_reply(ATTEMPT, make_reply(503), 1.0)
        assert event.verdict is Verdict.MAY_HAVE_RUN

    def test_words_of_the_server_are_not_read(self) -> None:
        reply = make_reply(
            200,
            (VERDICT_HEADER, b"ran"),
            (b"server-limit", b"1"),
            (b"server-leaving", b"1"),
            (b"x-server-load", b"1,0,4,700"),
        )
        event = ADAPTER.read_reply(ATTEMPT, reply, 1.0)
        assert event.rate_limit is None and event.report is None
        assert not event.draining
