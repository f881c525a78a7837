"""Loading of settings and routing intents from JSON with comments.

Documents are validated directly into the data classes. Instead of raising, the
functions return `Rejected`, which lists all errors of a document.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final, Generic, NoReturn, TypeVar, cast

import json5
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

from ..core.configuration.intents import RoutingIntents
from .checks import LISTEN_FIELDS, check_intents, check_settings
from .errors import HIDDEN, DocumentError, describe_type, format_value, join_path
from .host import HostSettings

MAX_DOCUMENT_CHARS: Final = 1_048_576
SECRET_FIELDS: Final = frozenset(
    {"token", "operator_token", "operator_tokens", "peer_key"}
)
INTENT_FIELDS: Final = frozenset({"services", "leaving_hosts", "revision"})
SETTINGS_FIELDS: Final = frozenset(
    {"platform", "security", "failure_domain", *LISTEN_FIELDS}
)
# The parser reports "<string>:LINE Unexpected ... at column COLUMN".
SYNTAX_ERROR: Final = re.compile(
    r"<string>:(?P<line>\d+) (?P<what>.*?)(?: at column (?P<column>\d+))?$", re.DOTALL
)

_T = TypeVar("_T")
_SETTINGS: Final = TypeAdapter(HostSettings)
_INTENTS: Final = TypeAdapter(RoutingIntents)


class DocumentKind(StrEnum):
    """The kinds of documents that operators write."""

    SETTINGS = "settings"
    INTENTS = "intents"


@dataclass(frozen=True, slots=True, kw_only=True)
class Loaded(Generic[_T]):
    """A document that was accepted."""

    value: _T


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """A document that was not accepted, with all its errors."""

    errors: tuple[DocumentError, ...]


def load_settings(text: str) -> Loaded[HostSettings] | Rejected:
    """Load the settings of a host from JSON with comments."""
    match parse_document(text):
        case Loaded(value=document):
            return parse_settings(document)
        case Rejected() as rejected:
            return rejected


def load_intents(text: str) -> Loaded[RoutingIntents] | Rejected:
    """Load routing intents from JSON with comments."""
    match parse_document(text):
        case Loaded(value=document):
            return parse_intents(document)
        case Rejected() as rejected:
            return rejected


def parse_settings(document: dict[str, Any]) -> Loaded[HostSettings] | Rejected:
    """Validate a parsed document as the settings of a host."""
    return _validate(_SETTINGS, document, check_settings(document))


def parse_intents(document: dict[str, Any]) -> Loaded[RoutingIntents] | Rejected:
    """Validate a parsed document, or the spec of an object, as routing intents."""
    return _validate(_INTENTS, document, check_intents(document))


def validate(
    adapter: TypeAdapter[_T], document: dict[str, Any]
) -> Loaded[_T] | Rejected:
    """Validate a parsed document of any other kind."""
    return _validate(adapter, document, iter(()))


def dump_intents(intents: RoutingIntents) -> dict[str, Any]:
    """Return routing intents as JSON types."""
    return cast(dict[str, Any], _INTENTS.dump_python(intents, mode="json"))


def detect_kind(document: dict[str, Any]) -> DocumentKind | None:
    """Return the kind that most fields of a document belong to, or None for a tie."""
    fields = document.keys()
    settings_count = len(fields & SETTINGS_FIELDS)
    intents_count = len(fields & INTENT_FIELDS)
    if settings_count == intents_count:
        return None
    if settings_count > intents_count:
        return DocumentKind.SETTINGS
    return DocumentKind.INTENTS


def parse_document(text: str) -> Loaded[dict[str, Any]] | Rejected:
    """Parse JSON with comments whose top level is an object."""
    if len(text) > MAX_DOCUMENT_CHARS:
        return _reject("$", f"{len(text)} characters", f"up to {MAX_DOCUMENT_CHARS}")
    try:
        document = json5.loads(
            text, allow_duplicate_keys=False, parse_constant=_reject_constant
        )
    except RecursionError:
        return _reject("$", "values nested too deeply", "fewer levels")
    except ValueError as exc:
        return Rejected(errors=(_describe_syntax(str(exc)),))
    if not isinstance(document, dict):
        return _reject("$", describe_type(document), "an object")
    return Loaded(value=document)


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a finite number")


def _reject(path: str, found: str, allowed: str) -> Rejected:
    return Rejected(errors=(DocumentError(path=path, found=found, allowed=allowed),))


def _describe_syntax(message: str) -> DocumentError:
    parts = SYNTAX_ERROR.match(message)
    if parts is None:
        return DocumentError(path="$", found=message, allowed="JSON with comments")
    column = parts["column"] or "1"
    return DocumentError(
        path=f"line {parts['line']}, column {column}",
        found=parts["what"],
        allowed="JSON with comments",
    )


def _validate(
    adapter: TypeAdapter[_T],
    document: dict[str, Any],
    semantic_errors: Iterator[DocumentError],
) -> Loaded[_T] | Rejected:
    # Strict mode on JSON still accepts lists for tuples and strings for enums.
    try:
        text = json.dumps(document, allow_nan=False)
    except (TypeError, ValueError, RecursionError) as exc:
        return _reject("$", str(exc), "JSON types and finite numbers")
    try:
        value = adapter.validate_json(text, strict=True)
    except ValidationError as exc:
        type_errors = tuple(_describe(details) for details in exc.errors())
        return Rejected(errors=type_errors + tuple(semantic_errors))
    errors = tuple(semantic_errors)
    return Rejected(errors=errors) if errors else Loaded(value=value)


def _describe(details: ErrorDetails) -> DocumentError:
    path = join_path(*details["loc"])
    match details["type"]:
        case "missing":
            return DocumentError(path=path, found="nothing", allowed="a value")
        case "extra_forbidden" | "unexpected_keyword_argument":
            # The value is hidden: it may be a secret under a misspelled name.
            return DocumentError(path=path, found="an unknown field", allowed="none")
        case "json_invalid":
            return DocumentError(path=path, found="invalid text", allowed="Unicode")
        case "dataclass_type":
            # A scalar in place of an object may be a secret, so only its type is shown.
            shown = describe_type(details["input"])
            return DocumentError(path=path, found=shown, allowed="an object")
    is_secret = not SECRET_FIELDS.isdisjoint(details["loc"])
    shown = HIDDEN if is_secret else format_value(details["input"])
    return DocumentError(path=path, found=shown, allowed=details["msg"])
