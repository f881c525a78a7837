"""Header fields of calls: names, parsing, hop-by-hop rules and signed forwards."""

import hashlib
import hmac
import re
from collections.abc import Iterable
from dataclasses import dataclass
from math import isfinite
from typing import Final

Headers = list[tuple[bytes, bytes]]

VERDICT_HEADER: Final = b"siskinpier-verdict"
FORWARDED_HEADER: Final = b"siskinpier-forwarded"
CALL_ID_HEADER: Final = b"x-call-id"
TIMEOUT_HEADER: Final = b"request-timeout-ms"
IDEMPOTENCY_KEY_HEADER: Final = b"idempotency-key"
HOST_HEADER: Final = b"host"
LOAD_HEADER: Final = b"x-load"
DRAINING_HEADER: Final = b"x-draining"
RATE_LIMIT_HEADER: Final = b"x-rate-limit"

_HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        # The host has answered `Expect: 100-continue` itself by reading the body.
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_HOST_FIELDS: Final = frozenset(
    {VERDICT_HEADER, FORWARDED_HEADER, CALL_ID_HEADER, TIMEOUT_HEADER}
)
_FORWARD_FLAGS: Final = frozenset({"00", "01", "10", "11"})
# A forward field up to the digest of the caller's key.
_FORWARDED_KEY_PATTERN: Final = re.compile(rb"[0-9a-f]{64} [01]{2}:([0-9a-f]{32}) ")
_KEY_PATTERN: Final = re.compile(rb"[!-~]{1,255}")
# A decimal number, with an optional exponent.
_RATE_PATTERN: Final = re.compile(rb"[0-9]{1,32}(\.[0-9]{0,32})?([eE][+-]?[0-9]{1,3})?")
_URGENCY_PATTERN: Final = re.compile(rb"(?:^|[\s,])u=([0-7])(?:$|[\s,;])")


def get_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a field, or None; `name` must be in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Return the fields without hop-by-hop fields and those that hosts set."""
    connection_fields = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    excluded = _HOP_BY_HOP | _HOST_FIELDS | connection_fields
    return [(key, value) for key, value in headers if key not in excluded]


def parse_urgency(value: bytes | None) -> int | None:
    """Return the urgency of an RFC 9218 Priority field, or None."""
    if value is None:
        return None
    match = _URGENCY_PATTERN.search(value)
    return int(match.group(1)) if match else None


def parse_rate(value: bytes) -> float | None:
    """Return a finite rate of at least 0 a second, or None if the value is none."""
    text = value.strip()
    if _RATE_PATTERN.fullmatch(text) is None:
        return None
    rate = float(text)
    return rate if isfinite(rate) else None


def find_header_error(headers: Headers, http_version: str) -> str | None:
    """Return an error message if a field that the host uses is invalid, else None.

    An invalid Priority field is ignored, as RFC 9218 requires.
    """
    counts = {HOST_HEADER: 0, IDEMPOTENCY_KEY_HEADER: 0, TIMEOUT_HEADER: 0}
    for name, value in headers:
        if name not in counts:
            continue
        counts[name] += 1
        if name == IDEMPOTENCY_KEY_HEADER and not _KEY_PATTERN.fullmatch(value):
            return "Idempotency-Key must be 1 to 255 visible ASCII characters"
        if name == TIMEOUT_HEADER and parse_timeout_s(value) is None:
            return "Request-Timeout-Ms must be a number of 1 to 9 digits"
    for name, count in counts.items():
        if count > 1:
            return f"{name.decode()} is given {count} times"
    if counts[HOST_HEADER] == 0 and http_version == "1.1":
        return "Host is missing"
    return None


def parse_timeout_s(value: bytes | None) -> float | None:
    """Return a Request-Timeout-Ms field in seconds, or None if absent or invalid."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return int(value) / 1000.0


def make_caller_id(headers: Headers) -> str:
    """Return an id of the caller that does not reveal its credentials."""
    credentials = get_header(headers, b"authorization")
    if credentials is None:
        return "anonymous"
    return hashlib.sha256(credentials).hexdigest()[:32]


def make_fingerprint(caller: str, method: str, target: str, body: bytes) -> str:
    """Return the digest of a request to which its idempotency key is bound.

    The target is path and query, percent-encoded as received.
    """
    text = "\0".join((caller, method, target)).encode() + b"\0" + body
    return hashlib.sha256(text).hexdigest()[:32]


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """What a forwarding host states about a call.

    The signature covers the call's fingerprint, so it is valid for this request only.
    """

    host: str
    at_most_once: bool
    claimed: bool
    # Digest of the caller's key, which stays at the forwarding host.
    key_digest: str | None = None


def sign_forward(key: bytes, call_id: str, fingerprint: str, forward: Forward) -> bytes:
    """Return the signed field value that proves which host forwards a call."""
    flags = f"{int(forward.at_most_once)}{int(forward.claimed)}"
    if forward.key_digest is not None:
        flags += f":{forward.key_digest}"
    text = "\0".join(("forward", call_id, fingerprint, flags, forward.host))
    digest = hmac.digest(key, text.encode(), "sha256").hex()
    return f"{digest} {flags} {forward.host}".encode()


def read_forwarded_key(value: bytes) -> str | None:
    """Return the digest of the caller's key in a forward field, or None.

    It is trusted only once `parse_forward` has verified the field's signature.
    """
    match = _FORWARDED_KEY_PATTERN.match(value)
    return match[1].decode() if match is not None else None


def parse_forward(
    key: bytes, call_id: str, fingerprint: str, value: bytes | None
) -> Forward | None:
    """Return what a forwarding host states, or None if the signature is invalid."""
    parts = (value or b"").decode("utf-8", "replace").split(" ", 2)
    if value is None or len(parts) != 3:
        return None
    flags, _, key_digest = parts[1].partition(":")
    if flags not in _FORWARD_FLAGS:
        return None
    forward = Forward(
        host=parts[2],
        at_most_once=flags[0] == "1",
        claimed=flags[1] == "1",
        key_digest=key_digest or None,
    )
    expected = sign_forward(key, call_id, fingerprint, forward)
    return forward if hmac.compare_digest(expected, value) else None
