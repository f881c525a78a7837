"""Conversion of decoded documents into typed values, with one-line errors."""

import re
from typing import Any, Final

import msgspec

# Messages of `msgspec`: the error, and the path of the field.
_ERROR: Final = re.compile(r"(?P<what>.*?)(?: - at `\$\.?(?P<path>.*)`)?")
_MISSING: Final = re.compile(r"Object missing required field `(?P<name>.*)`")
UNREADABLE_TEXT: Final = "text that is not valid Unicode"
TOO_DEEP: Final = "values nested too deeply"
UNREADABLE: Final = f"{UNREADABLE_TEXT}, or {TOO_DEEP}"


class InvalidValueError(Exception):
    """A value is not of the expected type; the message names the field."""


def convert(value: Any, kind: Any, *, strict: bool = True) -> Any:
    """Return a value converted to a `msgspec` type, or raise `InvalidValueError`.

    JSON can hold lone surrogates, which no encoder accepts: a text with one is invalid.
    So is a value that is nested too deeply.
    """
    try:
        converted = msgspec.convert(value, kind, strict=strict)
        if isinstance(converted, str):
            converted.encode()
    except msgspec.ValidationError as exc:
        raise InvalidValueError(_describe_error(exc)) from exc
    except UnicodeEncodeError as exc:
        raise InvalidValueError(UNREADABLE_TEXT) from exc
    except RecursionError as exc:
        raise InvalidValueError(TOO_DEEP) from exc
    return converted


def is_readable(document: Any) -> bool:
    """Return True if a document can be encoded.

    It cannot if a text or a key in it is not valid Unicode, or if its values are nested
    too deeply.
    """
    try:
        msgspec.json.encode(document)
    except (UnicodeEncodeError, RecursionError):
        return False
    return True


def _describe_error(exc: msgspec.ValidationError) -> str:
    """Return the path of the field and the error on one line."""
    error = _ERROR.fullmatch(str(exc))
    if error is None:
        return str(exc)
    path, what = error["path"] or "", error["what"]
    missing = _MISSING.fullmatch(what)
    if missing is not None:
        path = f"{path}.{missing['name']}".removeprefix(".")
        what = "missing"
    return f"{path}: {what}" if path else what
