"""Decoding of JSON documents in which single values may be unreadable."""

import json
import re
from typing import Any, Final

# Deeper tables and lists are replaced by null if the document cannot be decoded as it
# is; known documents have up to 10 levels.
MAX_DEPTH: Final = 100
# A text, or a bracket outside texts.
_TOKEN: Final = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def decode_json(content: bytes) -> Any:
    """Return the decoded document; raise `ValueError` if it is not JSON.

    A value that cannot be decoded does not affect the others: bytes that are not UTF-8
    become lone surrogates, and values that are nested too deeply and integers that are
    too long become null.
    """
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        text = content.decode("utf-8", "surrogateescape")
        return json.loads(_remove_deep_values(text), parse_int=_parse_integer)


def _remove_deep_values(text: str) -> str:
    """Replace tables and lists below `MAX_DEPTH` levels by null."""
    parts: list[str] = []
    depth = kept_from = removed_from = 0
    for token in _TOKEN.finditer(text):
        match token[0]:
            case "[" | "{":
                depth += 1
                if depth == MAX_DEPTH + 1:
                    removed_from = token.start()
            case "]" | "}":
                if depth == MAX_DEPTH + 1:
                    parts += [text[kept_from:removed_from], "null"]
                    kept_from = token.end()
                depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("a deeply nested value does not end")
    return "".join((*parts, text[kept_from:]))


def _parse_integer(digits: str) -> int | None:
    try:
        return int(digits)
    except ValueError:
        return None  # Python limits the number of digits.
