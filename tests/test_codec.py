"""Guards against messages between hosts that are lost, changed or wrongly accepted.

A field could be decoded to another value than the one encoded. A message of another
protocol version or a damaged one could raise an exception, or bring the core a value
out of range.
"""

from dataclasses import asdict, replace
from typing import Any

import cbor2
import pytest
from hypothesis import given, strategies as st

from bench.cluster_costs import make_intents
from siskinpier.core.messages import (
    Heartbeat,
    IntentsNotice,
    IntentsRequest,
    MemberRecord,
    MembersNotice,
    Message,
)
from siskinpier.edge.codec import (
    MESSAGE_LIMIT_BYTES,
    PROTOCOL_VERSION,
    CodecError,
    decode_message,
    encode_message,
)

RECORD = MemberRecord(
    host="host-1",
    incarnation=5,
    sequence=7,
    failure_domain="a",
    region="main",
    callers="10.0.0.1:80",
    peers="10.0.0.1:81",
    revision=3,
    leaving=False,
    is_silent=True,
)
HEARTBEAT = Heartbeat(
    **{key: value for key, value in asdict(RECORD).items() if key != "is_silent"},
    spare=(("search", -2),),
    digest=2**64 - 1,
    up_to_date=("host-2",),
)
REQUEST = IntentsRequest(host="host-1", revision=2)


class TestRoundTrip:
    """An encoded message is decoded to an equal one."""

    @pytest.mark.parametrize(
        "message",
        [
            HEARTBEAT,
            REQUEST,
            IntentsNotice(version="9", intents=make_intents()),
            MembersNotice(failure_domain="a", records=(RECORD, RECORD)),
        ],
    )
    def test_messages(self, message: Message) -> None:
        assert decode_message(encode_message(message)) == message


class TestRefusal:
    """Bytes that are no message of this protocol give an error, not an exception."""

    @pytest.mark.parametrize(
        ("decoded", "reason"),
        [
            ([PROTOCOL_VERSION + 1, "intents?", ["host-1", 2]], "protocol version"),
            ([PROTOCOL_VERSION, "unheard-of", []], "unknown message type"),
            ([PROTOCOL_VERSION, "intents?", ["host-1"]], "1 fields"),
            ([PROTOCOL_VERSION, "intents?", ["host-1", "x"]], "$.revision"),
            ([PROTOCOL_VERSION, "intents?", {"host": "host-1"}], "not a list"),
            ("text", "not a list"),
        ],
    )
    def test_malformed_message(self, decoded: Any, reason: str) -> None:
        result = decode_message(cbor2.dumps(decoded))
        assert isinstance(result, CodecError) and reason in result.reason

    def test_value_out_of_range(self) -> None:
        intents = make_intents()
        service = replace(intents.services[0], queue_limit=-1)
        notice = IntentsNotice(
            version="9", intents=replace(intents, services=(service,))
        )
        result = decode_message(encode_message(notice))
        assert result == CodecError(reason="a value out of its range in intents")

    def test_message_over_the_size_limit(self) -> None:
        message = replace(REQUEST, host="x" * MESSAGE_LIMIT_BYTES)
        result = decode_message(encode_message(message))
        assert isinstance(result, CodecError) and "at most" in result.reason

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, data: bytes) -> None:
        assert isinstance(decode_message(data), CodecError)

    @given(st.integers(0, 400), st.integers(1, 255))
    def test_damaged_heartbeat_raises_nothing(self, position: int, flip: int) -> None:
        data = bytearray(encode_message(HEARTBEAT))
        data[position % len(data)] ^= flip
        assert isinstance(decode_message(bytes(data)), Heartbeat | CodecError)
