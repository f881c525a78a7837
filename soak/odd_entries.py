"""Entries of the store and settings that cannot be used."""

import json
from random import Random
from typing import Any, Final

from tests.standins.metadata_store import MetadataStore

KINDS: Final = ("servers", "siskinpier-hosts", "config")
# Text that stands for a value of an entry. Most are JSON, some cannot be read at all.
ODD_VALUES: Final = (
    b"",
    b"null",
    b"[[]]",
    b"-1",
    b"1e999",
    b"NaN",
    b"9" * 5000,
    b"[" * 100_000 + b"]" * 100_000,
    b'{"a":' * 2000 + b"1" + b"}" * 2000,
    b'"127.0.0.1:99999"',
    b'"127.0.0.1:0"',
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'"a\x00b',
    b"}]",
    b'"' + b"x" * 1_000_000 + b'"',
    b'{"service":"films","service":7}',
)
ODD_FIELDS: Final = ("", "x", "-1", "0", "nan", "1e400", "9" * 30, "1,", "[]")


def put_odd_entry(store: MetadataStore, rng: Random, name: str) -> str:
    """Put an odd copy of an object beside it, under a new name; return its kind."""
    kind = rng.choice(KINDS)
    objects = list(store.objects.items())
    copied = [item["spec"] for (k, _), item in objects if k == kind]
    spec = json.loads(json.dumps(rng.choice(copied))) if copied else {}
    placeholder = f"@{name}@"
    store.replacements[json.dumps(placeholder).encode()] = rng.choice(ODD_VALUES)
    store.put(kind, name, _replace_value(spec, placeholder, rng))
    return kind


def _replace_value(value: Any, placeholder: str, rng: Random) -> Any:
    """Replace the whole or one value within, at any depth."""
    items = list(enumerate(value)) if isinstance(value, list) else []
    items = list(value.items()) if isinstance(value, dict) else items
    if not items or rng.random() < 1 / 3:
        return placeholder
    key, inner = rng.choice(items)
    value[key] = _replace_value(inner, placeholder, rng)
    return value


def make_odd_settings(text: str, names: list[str], rng: Random) -> str:
    """Return settings in which one of the named fields is odd or empty."""
    odd = rng.choice(names)
    return "\n".join(
        f"{odd}={rng.choice(ODD_FIELDS)}" if line.startswith(f"{odd}=") else line
        for line in text.splitlines()
    )
