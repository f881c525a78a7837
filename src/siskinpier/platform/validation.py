"""What is wrong with a document, as one line that names the field."""

import re
from typing import Final

import msgspec

# The library's text: what is wrong, and at which path.
_ERROR: Final = re.compile(r"(?P<what>.*?)(?: - at `\$\.?(?P<path>.*)`)?")
_MISSING: Final = re.compile(r"Object missing required field `(?P<name>.*)`")


def describe(exc: msgspec.ValidationError) -> str:
    """Return the path of the field, and what is wrong with it."""
    error = _ERROR.fullmatch(str(exc))
    if error is None:
        return str(exc)
    path, what = error["path"] or "", error["what"]
    missing = _MISSING.fullmatch(what)
    if missing is not None:
        path = f"{path}.{missing['name']}".removeprefix(".")
        what = "missing"
    return f"{path}: {what}" if path else what
