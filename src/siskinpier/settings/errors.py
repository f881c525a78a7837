"""Errors in documents, worded for operators."""

import json
from dataclasses import dataclass
from typing import Final

MAX_SHOWN_CHARS: Final = 80
HIDDEN: Final = "(hidden)"


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentError:
    """An error in a document: its path, the value found, and what is allowed."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the error on one line."""
        return f"{self.path}: found {self.found}; allowed: {self.allowed}"


def join_path(*parts: str | int) -> str:
    """Return the path of a field, such as `$.services[0].name`."""
    path = "$"
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path


def format_value(value: object) -> str:
    """Return a value as JSON, truncated if it is long."""
    if isinstance(value, dict | list):
        return describe_type(value)
    shown = json.dumps(value, default=repr)
    if len(shown) > MAX_SHOWN_CHARS:
        return shown[:MAX_SHOWN_CHARS] + "..."
    return shown


def describe_type(value: object) -> str:
    """Return the JSON type of a value in words."""
    match value:
        case None:
            return "null"
        case bool():
            return "a boolean"
        case dict():
            return "an object"
        case list():
            return "a list"
        case str():
            return "a string"
        case _:
            return "a number"
