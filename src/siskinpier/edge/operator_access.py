"""Authentication of operators by bearer token."""

import hmac
from typing import Final

from ..settings.host import SecuritySettings
from .headers import Headers, get_header

DEFAULT_OPERATOR: Final = "operator"
BEARER_PREFIX: Final = b"bearer "


def find_operator(security: SecuritySettings, headers: Headers) -> str | None:
    """Return the name of the operator whose token a request carries, or None.

    Every token is compared, each in constant time, so that response times reveal
    nothing about any of them.
    """
    value = get_header(headers, b"authorization") or b""
    is_bearer = value[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX
    presented = value[len(BEARER_PREFIX) :].strip()
    found: str | None = None
    named_tokens = security.operator_tokens.items()
    for name, token in ((DEFAULT_OPERATOR, security.operator_token), *named_tokens):
        if hmac.compare_digest(presented, token.encode()) and is_bearer:
            found = name
    return found
