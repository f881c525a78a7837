"""Verdicts: whether a request may have run, for each outcome of an attempt or call."""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class Verdict(StrEnum):
    """Whether a request may have run on a backend server."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@unique
class AttemptFailure(StrEnum):
    """How an attempt at a backend server failed."""

    CONNECT_REFUSED = "connect-refused"
    CONNECT_TIMEOUT = "connect-timeout"
    NO_CONNECTION_FREE = "no-connection-free"
    SEND_BROKEN = "send-broken"
    REPLY_TIMEOUT = "reply-timeout"
    RESET = "reset"
    BAD_REPLY = "bad-reply"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"
    CANCELLED_BEFORE_SEND = "cancelled-before-send"
    # The caller's body broke off while it was sent on, or was too large or too slow.
    BODY_BROKEN = "body-broken"
    # An unexpected error of this host, which says nothing about the server.
    INTERNAL = "internal"


_NOT_SENT_FAILURES = frozenset(
    {
        AttemptFailure.CONNECT_REFUSED,
        AttemptFailure.CONNECT_TIMEOUT,
        AttemptFailure.NO_CONNECTION_FREE,
        AttemptFailure.CANCELLED_BEFORE_SEND,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """An error response to the caller, sent as RFC 9457 problem JSON.

    `retry_after_s` is None if a retry would not help.
    """

    status: int
    title: str
    detail: str
    verdict: Verdict
    retry_after_s: float | None = None


def get_failure_verdict(failure: AttemptFailure) -> Verdict:
    """Return the verdict of a failed attempt.

    Only a failure before the first byte was written to a connection counts as not
    run, as a broken send may have delivered the complete request.
    """
    if failure in _NOT_SENT_FAILURES:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN


def get_reply_verdict(
    status: int, not_run_statuses: tuple[int, ...], peer_verdict: Verdict | None
) -> Verdict:
    """Return the verdict of a reply from its status.

    `peer_verdict` is the verdict of another entry host on a forwarded call, and None
    for a backend server's reply. An error status of a backend server shows neither
    that the call ran nor that it did not, unless the intent lists that status in
    `not_run_statuses`.
    """
    if peer_verdict is not None:
        return peer_verdict
    if status in not_run_statuses:
        return Verdict.NOT_RUN
    if status >= 400:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN


def is_retry_safe(verdict: Verdict, *, idempotent: bool) -> bool:
    """Return True if a retry cannot run a call twice that must run at most once."""
    return idempotent or verdict is Verdict.NOT_RUN
