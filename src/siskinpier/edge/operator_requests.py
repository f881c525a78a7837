"""Bodies of operators' requests: reading within limits, and validation."""

import json
from dataclasses import asdict, dataclass, field
from typing import Annotated, Any, ClassVar, Final

import anyio
from annotated_types import Ge
from pydantic import StringConstraints, TypeAdapter

from ..core.configuration.intents import FORBID_EXTRA
from ..settings.documents import Rejected, validate
from .responses import Receive

BODY_LIMIT_BYTES: Final = 1_048_576
BODY_TIMEOUT_S: Final = 10.0

UpdateId = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{8,64}$")]


@dataclass(frozen=True, slots=True, kw_only=True)
class TextRequest:
    """The body of `/ask` and `/order`."""

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    text: str
    update_id: UpdateId | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyRequest:
    """The body of `/apply`.

    `base_revision` is the revision against which the operator saw the difference.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = FORBID_EXTRA

    document: dict[str, Any]
    dry_run: bool = False
    undo_orders: bool = False
    base_revision: Annotated[int, Ge(0)] | None = None
    update_id: UpdateId | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a request is refused; `status` is the HTTP status of the response."""

    status: int
    reason: str
    data: dict[str, object] = field(default_factory=dict)


_TEXT_REQUEST: Final[TypeAdapter[Any]] = TypeAdapter(TextRequest)
_REQUESTS: Final[dict[str, TypeAdapter[Any]]] = {
    "/ask": _TEXT_REQUEST,
    "/order": _TEXT_REQUEST,
    "/apply": TypeAdapter(ApplyRequest),
}


def parse_request(
    path: str, document: dict[str, Any]
) -> TextRequest | ApplyRequest | Refusal:
    """Return the validated body of a request to a path, or its refusal."""
    parsed = validate(_REQUESTS[path], document)
    if isinstance(parsed, Rejected):
        return make_document_refusal(parsed)
    request: TextRequest | ApplyRequest = parsed.value
    return request


def make_document_refusal(rejected: Rejected) -> Refusal:
    """Return the refusal of an invalid document, with all its errors."""
    reason = "; ".join(str(error) for error in rejected.errors)
    errors = [asdict(error) for error in rejected.errors]
    return Refusal(status=400, reason=reason, data={"errors": errors})


async def read_document(receive: Receive) -> dict[str, Any] | Refusal:
    """Read a body as a JSON object, within limits of size and time."""
    body: bytes | Refusal = Refusal(status=408, reason="the body came too slowly")
    with anyio.move_on_after(BODY_TIMEOUT_S):
        body = await _read_body(receive)
    if isinstance(body, Refusal):
        return body
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return Refusal(status=400, reason="the body is not JSON")
    if not isinstance(document, dict):
        return Refusal(status=400, reason="the body is not a JSON object")
    return document


async def _read_body(receive: Receive) -> bytes | Refusal:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Refusal(status=400, reason="the body ended early")
        body += message.get("body", b"")
        if len(body) > BODY_LIMIT_BYTES:
            reason = f"the body is larger than {BODY_LIMIT_BYTES} bytes"
            return Refusal(status=413, reason=reason)
        if not message.get("more_body", False):
            return bytes(body)
