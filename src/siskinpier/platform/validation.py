"""One-line descriptions of validation errors."""

import re
from typing import Final

import msgspec

# Messages of `msgspec`: the error, and the path of the field.
_ERROR: Final = re.compile(r"(?P<what>.*?)(?: - at `\$\.?(?P<path>.*)`)?")
_MISSING: Final = re.compile(r"Object missing required field `(?P<name>.*)`")


def describe_error(exc: msgspec.ValidationError) -> str:
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
