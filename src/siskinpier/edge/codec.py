"""CBOR encoding of the messages between hosts; decoded messages are validated.

How messages may change is described in docs/design/protocol.md.
"""

from dataclasses import (
    MISSING,
    Field,
    asdict,
    dataclass,
    fields as dataclass_fields,
    replace,
)
from typing import Any, Final

import cbor2
import msgspec

from ..constraints import is_within_constraints
from ..core.claims.messages import ClaimEnd, ClaimEndAck, ClaimReply, ClaimRequest
from ..core.messages import (
    PROTOCOL_VERSION,
    CrashReport,
    CreditGrant,
    CreditRequest,
    EvacuationsNotice,
    Heartbeat,
    IntentsNotice,
    IntentsRequest,
    MembersNotice,
    Message,
    QuarantineRelease,
    RateLimitNotice,
    RelayReport,
    ServerNotice,
    ServersNotice,
    ServersRequest,
    SlotEnd,
    SlotGrant,
    SlotQueued,
    SlotRefusal,
    SlotRequest,
    SpareNotice,
    WarmupNotice,
)
from . import protocol_8

# Longer names of unknown kinds are cut in logs.
MAX_LOGGED_KIND: Final = 40
# The largest configuration has 1 MiB of JSON, and takes more as a message.
MESSAGE_LIMIT_BYTES: Final = 4_194_304
# Hosts of protocol version 8 close the connection at a longer message.
VERSION_8_LIMIT_BYTES: Final = 1_048_576

_MESSAGE_TYPES: Final[dict[str, type[Any]]] = {
    "heartbeat": Heartbeat,
    "intents": IntentsNotice,
    "intents?": IntentsRequest,
    "members": MembersNotice,
    "spare": SpareNotice,
    "claim?": ClaimRequest,
    "claim": ClaimReply,
    "claim-end": ClaimEnd,
    "claim-end-ack": ClaimEndAck,
    "crash": CrashReport,
    "release": QuarantineRelease,
    "server": ServerNotice,
    "rate-limit": RateLimitNotice,
    "warm-up": WarmupNotice,
    "servers": ServersNotice,
    "servers?": ServersRequest,
    "relay": RelayReport,
    "evacuations": EvacuationsNotice,
    "slot?": SlotRequest,
    "slot": SlotGrant,
    "slot-queued": SlotQueued,
    "slot-refused": SlotRefusal,
    "slot-end": SlotEnd,
    "credit?": CreditRequest,
    "credit": CreditGrant,
}
_TYPE_NAMES: Final[dict[type, str]] = {
    message_type: name for name, message_type in _MESSAGE_TYPES.items()
}
_FIELDS: Final[dict[str, tuple[str, ...]]] = {
    name: tuple(field.name for field in dataclass_fields(message_type))
    for name, message_type in _MESSAGE_TYPES.items()
}


def _get_default(field: Field[Any]) -> Any:
    """Return the default of a field, or MISSING."""
    if field.default_factory is not MISSING:
        return field.default_factory()
    return field.default


# Default of each field of a kind of message, or MISSING.
_DEFAULTS: Final[dict[str, tuple[Any, ...]]] = {
    name: tuple(_get_default(field) for field in dataclass_fields(message_type))
    for name, message_type in _MESSAGE_TYPES.items()
}


@dataclass(frozen=True, slots=True, kw_only=True)
class CodecError:
    """Why some bytes are not a message of this protocol.

    `unknown_kind` is set if they are a message of a kind that this build does not know.
    """

    reason: str
    unknown_kind: str = ""


def encode_message(message: Message, version: int = PROTOCOL_VERSION) -> bytes:
    """Return the message as CBOR: protocol version, type name, field values.

    `version` is 9 or later; hosts of these versions pass over what they do not know.
    Values at the end that equal the default of their field are left out. In a message
    with routing intents, a text that stands more than once, such as the name of a
    field, is replaced by a CBOR string reference, which decoders resolve.
    """
    name = _TYPE_NAMES[type(message)]
    values = [getattr(message, field) for field in _FIELDS[name]]
    for default in reversed(_DEFAULTS[name]):
        if default is MISSING or values[-1] != default:
            break
        values.pop()
    return cbor2.dumps(
        [version, name, values],
        default=_encode_inner,
        string_referencing=isinstance(message, IntentsNotice),
    )


def encode_for_version_8(message: Message) -> bytes | None:
    """Return the message in the form of version 8, or None if that has no such kind."""
    name = _TYPE_NAMES[type(message)]
    names = protocol_8.MESSAGE_FIELDS.get(name)
    if names is None:
        return None
    return cbor2.dumps(
        [protocol_8.VERSION, name, [getattr(message, field) for field in names]],
        default=_encode_inner_for_version_8,
        string_referencing=isinstance(message, IntentsNotice),
    )


def _encode_inner(encoder: cbor2.CBOREncoder, value: Any) -> None:
    """Encode a data class within a message as a map of its fields."""
    encoder.encode(asdict(value))


def _encode_inner_for_version_8(encoder: cbor2.CBOREncoder, value: Any) -> None:
    encoder.encode(protocol_8.make_inner_map(value))


def decode_message(data: bytes) -> Message | CodecError:
    """Return the message, or a `CodecError` if the bytes are not one.

    Fields that the sender does not know get their defaults, and fields that only the
    sender knows are ignored.
    """
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
    if not protocol_8.VERSION <= version <= PROTOCOL_VERSION:
        return CodecError(reason=f"protocol version {version}")
    message_type = _MESSAGE_TYPES.get(name)
    if message_type is None:
        kind = name[:MAX_LOGGED_KIND]
        return CodecError(reason=f"unknown message type {kind!r}", unknown_kind=kind)
    needed = sum(default is MISSING for default in _DEFAULTS[name])
    if len(values) < needed:
        return CodecError(
            reason=f"{len(values)} fields in {name}, at least {needed} are needed"
        )
    fields = dict(zip(_FIELDS[name], values, strict=False))
    try:
        message: Message = msgspec.convert(fields, message_type, builtin_types=(bytes,))
    except msgspec.ValidationError as exc:
        return CodecError(reason=f"invalid field in {name}: {exc}")
    if isinstance(message, IntentsNotice):
        if not is_within_constraints(message, IntentsNotice):
            return CodecError(reason=f"a value out of its range in {name}")
        if version == protocol_8.VERSION:
            return replace(message, is_reduced=True)
    return message
