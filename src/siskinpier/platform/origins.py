"""Who sends a request: a caller with a key, or a host that forwards a call."""

from collections.abc import Callable
from dataclasses import dataclass

from ..edge.headers import (
    FORWARDED_HEADER,
    Forward,
    Headers,
    get_header,
    make_caller_id,
    parse_forward,
    read_forwarded_key,
)
from .headers import get_request_id
from .keys import read_key_digest


@dataclass(frozen=True, slots=True, kw_only=True)
class Origin:
    """The caller of a request, the digest of its key, and the forward, if any."""

    caller: str
    fingerprint: str
    key_digest: str | None
    forward: Forward | None


def read_origin(
    headers: Headers,
    make_fingerprint: Callable[[str], str],
    peer_key: bytes,
    *,
    requires_keys: bool,
) -> Origin:
    """Return who sends a request; its key is read only if keys are required.

    A forward with a digest bears no key, so the digest stands for its caller. One
    without is of a host that knew no workspaces and passed on the caller's fields.
    """
    value = get_header(headers, FORWARDED_HEADER)
    key_digest = None if value is None else read_forwarded_key(value)
    if key_digest is not None:
        fingerprint = make_fingerprint(key_digest)
        forward = parse_forward(peer_key, get_request_id(headers), fingerprint, value)
        if forward is not None:
            return Origin(
                caller=key_digest,
                fingerprint=fingerprint,
                key_digest=key_digest,
                forward=forward,
            )
    key_digest = read_key_digest(headers) if requires_keys else None
    if value is not None or not requires_keys:
        caller = make_caller_id(headers)
    else:
        # Credentials are not sent on, so only a key can tell the next host the caller.
        caller = key_digest or make_caller_id([])
    fingerprint = make_fingerprint(caller)
    return Origin(
        caller=caller,
        fingerprint=fingerprint,
        key_digest=key_digest,
        forward=parse_forward(peer_key, get_request_id(headers), fingerprint, value),
    )
