"""Callers' keys on the platform: reading, digesting, and the fields that replace them.

Only digests of keys leave this module. Backend servers get the name of the workspace
in place of the key, in a field that only hosts set.
"""

import hashlib
import re
from typing import Final

from ..edge.headers import Headers

AUTHORIZATION_HEADER: Final = b"authorization"
WORKSPACE_HEADER: Final = b"x-tenant-id"
MAX_KEY_CHARS: Final = 256
KEY_PATTERN: Final = rf"[!-~]{{1,{MAX_KEY_CHARS}}}"
DIGEST_CHARS: Final = 32

_CREDENTIALS: Final = re.compile(rf"[Bb][Ee][Aa][Rr][Ee][Rr] +({KEY_PATTERN})".encode())
# Servers that map field names to variables read any of these spellings as that field.
_WORKSPACE_FIELD: Final = re.compile(
    rb"\s*x[^a-z0-9]+tenant[^a-z0-9]+id\s*", re.IGNORECASE
)


def make_key_digest(key: str) -> str:
    """Return the digest by which hosts know a key.

    It is the id that `make_caller_id` gives to the usual spelling of the credentials,
    so that hosts that forward a call without its key agree on its caller.
    """
    digest = hashlib.sha256(f"Bearer {key}".encode()).hexdigest()
    return digest[:DIGEST_CHARS]


def read_key_digest(headers: Headers) -> str | None:
    """Return the digest of the key that a request bears, or None.

    A request with two credentials, or with credentials in another form, bears no key.
    """
    values = [value for name, value in headers if name == AUTHORIZATION_HEADER]
    if len(values) != 1:
        return None
    match = _CREDENTIALS.fullmatch(values[0])
    return make_key_digest(match[1].decode()) if match is not None else None


def hide_credentials(headers: Headers) -> Headers:
    """Return the fields without credentials and without the name of a workspace."""
    return [
        field
        for field in headers
        if field[0].strip().lower() != AUTHORIZATION_HEADER
        and _WORKSPACE_FIELD.fullmatch(field[0]) is None
    ]
