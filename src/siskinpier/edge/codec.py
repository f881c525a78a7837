"""CBOR on the wire between hosts; every message is validated when decoded."""

from dataclasses import asdict, dataclass, fields as dataclass_fields
from typing import Any, Final

import cbor2
from pydantic import TypeAdapter, ValidationError

from ..core.claims.messages import ClaimEnd, ClaimEndAck, ClaimReply, ClaimRequest
from ..core.messages import (
    CrashReport,
    Heartbeat,
    IntentsNotice,
    IntentsRequest,
    MembersNotice,
    Message,
    QuarantineRelease,
    RelayWord,
    ServerNotice,
    ServersNotice,
    ServersRequest,
    SlotEnd,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotRequest,
    SpareNotice,
)

PROTOCOL_VERSION: Final = 3
MESSAGE_LIMIT_BYTES: Final = 1_048_576

_ADAPTERS: Final[dict[str, TypeAdapter[Any]]] = {
    "heartbeat": TypeAdapter(Heartbeat),
    "intents": TypeAdapter(IntentsNotice),
    "intents?": TypeAdapter(IntentsRequest),
    "members": TypeAdapter(MembersNotice),
    "spare": TypeAdapter(SpareNotice),
    "claim?": TypeAdapter(ClaimRequest),
    "claim": TypeAdapter(ClaimReply),
    "claim-end": TypeAdapter(ClaimEnd),
    "claim-end-ack": TypeAdapter(ClaimEndAck),
    "crash": TypeAdapter(CrashReport),
    "release": TypeAdapter(QuarantineRelease),
    "server": TypeAdapter(ServerNotice),
    "servers": TypeAdapter(ServersNotice),
    "servers?": TypeAdapter(ServersRequest),
    "relay": TypeAdapter(RelayWord),
    "slot?": TypeAdapter(SlotRequest),
    "slot": TypeAdapter(SlotGrant),
    "slot-queued": TypeAdapter(SlotQueued),
    "slot-refused": TypeAdapter(SlotRefusal),
    "slot-end": TypeAdapter(SlotEnd),
}
_NAMES: Final[dict[type, str]] = {
    Heartbeat: "heartbeat",
    IntentsNotice: "intents",
    IntentsRequest: "intents?",
    MembersNotice: "members",
    SpareNotice: "spare",
    ClaimRequest: "claim?",
    ClaimReply: "claim",
    ClaimEnd: "claim-end",
    ClaimEndAck: "claim-end-ack",
    CrashReport: "crash",
    QuarantineRelease: "release",
    ServerNotice: "server",
    ServersNotice: "servers",
    ServersRequest: "servers?",
    RelayWord: "relay",
    SlotRequest: "slot?",
    SlotGrant: "slot",
    SlotQueued: "slot-queued",
    SlotRefusal: "slot-refused",
    SlotEnd: "slot-end",
}
_FIELDS: Final[dict[str, tuple[str, ...]]] = {
    name: tuple(field.name for field in dataclass_fields(kind))
    for kind, name in _NAMES.items()
}


@dataclass(frozen=True, slots=True, kw_only=True)
class CodecError:
    """The reason why bytes are not a message of this protocol."""

    reason: str


def encode_message(message: Message) -> bytes:
    """Return the message as CBOR: version, type name, values of the fields."""
    name = _NAMES[type(message)]
    values = [getattr(message, field) for field in _FIELDS[name]]
    return cbor2.dumps([PROTOCOL_VERSION, name, values], default=_encode_inner)


def _encode_inner(encoder: cbor2.CBOREncoder, value: Any) -> None:
    """Encode a data class within a message as its fields by name."""
    encoder.encode(asdict(value))


def decode_message(data: bytes) -> Message | CodecError:
    """Return the message, or why the bytes are none."""
    if len(data) > MESSAGE_LIMIT_BYTES:
        return CodecError(reason=f"{len(data)} bytes, at most {MESSAGE_LIMIT_BYTES}")
    try:
        decoded = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError, OverflowError) as exc:
        return CodecError(reason=f"not CBOR: {exc}")
    match decoded:
        case [int(version), str(name), list(values)]:
            return _validate(version, name, values)
        case _:
            return CodecError(reason="not a list of version, type and fields")


def _validate(version: int, name: str, values: list[Any]) -> Message | CodecError:
    if version != PROTOCOL_VERSION:
        return CodecError(reason=f"protocol version {version}")
    adapter = _ADAPTERS.get(name)
    if adapter is None:
        return CodecError(reason=f"unknown message type {name[:40]!r}")
    names = _FIELDS[name]
    if len(values) != len(names):
        return CodecError(reason=f"{len(values)} fields in {name}, not {len(names)}")
    fields = dict(zip(names, values, strict=True))
    try:
        message: Message = adapter.validate_python(fields)
    except ValidationError as exc:
        return CodecError(reason=f"{exc.error_count()} invalid fields in {name}")
    return message
