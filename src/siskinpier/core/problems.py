"""Constructors of the problems sent to callers, each with its verdict."""

from .verdict import Problem, Verdict

RETRY_SOON_S = 1.0
KEY_NOT_ACCEPTED = "Key not accepted"
NOT_KNOWN_YET = "Not known yet"
# A relay reports every 0.3 s.
RETRY_EARLY_S = 0.3
# Status of a call beyond the quota of its workspace.
QUOTA_STATUS = 429


def make_unknown_service(service: str) -> Problem:
    """Return the problem for a call to a service that is not declared."""
    return Problem(
        status=404,
        title="Unknown service",
        detail=f"no routing intent declares the service {service!r}",
        verdict=Verdict.NOT_RUN,
    )


def make_unknown_route(virtual_host: str) -> Problem:
    """Return the problem for a call that matches no route."""
    return Problem(
        status=404,
        title="Unknown route",
        detail=f"no route of {virtual_host[:100]!r} matches the path",
        verdict=Verdict.NOT_RUN,
    )


def make_key_refused(detail: str, verdict: Verdict) -> Problem:
    """Return the problem for a call without the key of a workspace."""
    return Problem(status=401, title=KEY_NOT_ACCEPTED, detail=detail, verdict=verdict)


def make_not_known_yet(detail: str, verdict: Verdict) -> Problem:
    """Return the problem for a call that this host cannot judge now.

    It may not know the newest configuration; other hosts may.
    """
    return Problem(
        status=503,
        title=NOT_KNOWN_YET,
        detail=detail,
        verdict=verdict,
        retry_after_s=RETRY_EARLY_S,
    )


def make_route_suspended(virtual_host: str) -> Problem:
    """Return the problem for a call whose route is suspended."""
    return Problem(
        status=503,
        title="Route suspended",
        detail=f"the route of {virtual_host[:100]!r} is suspended",
        verdict=Verdict.NOT_RUN,
        retry_after_s=RETRY_SOON_S,
    )


def make_not_ready(detail: str, verdict: Verdict = Verdict.NOT_RUN) -> Problem:
    """Return the problem for a call to a host that cannot serve calls now."""
    return Problem(
        status=503,
        title="Host not ready",
        detail=detail,
        verdict=verdict,
        retry_after_s=RETRY_SOON_S,
    )


def make_no_server(service: str, verdict: Verdict) -> Problem:
    """Return the problem for a call that no backend server can accept."""
    return Problem(
        status=503,
        title="No backend server",
        detail=f"no backend server of {service!r} can take the call",
        verdict=verdict,
        retry_after_s=RETRY_SOON_S,
    )


def make_retry_budget_exhausted(service: str) -> Problem:
    """Return the problem for a call whose retry exceeds the retry budget."""
    return Problem(
        status=503,
        title="No retry left",
        detail=f"the retry budget of {service!r} is used up",
        verdict=Verdict.NOT_RUN,
        retry_after_s=RETRY_SOON_S,
    )


def make_servers_paused(
    service: str, retry_after_s: float, verdict: Verdict
) -> Problem:
    """Return the problem for a call whose servers all asked this host to pause."""
    return Problem(
        status=503,
        title="Backend servers paused",
        detail=f"all backend servers of {service!r} want no call from here now",
        verdict=verdict,
        retry_after_s=retry_after_s,
    )


def make_servers_limited(
    service: str, retry_after_s: float, verdict: Verdict
) -> Problem:
    """Return the problem for a call for which the servers' rate limits leave no room.

    `verdict` is the worst verdict of the attempts made so far.
    """
    return Problem(
        status=503,
        title="Backend servers limited",
        detail=f"the rate limits of the backend servers of {service!r} are used up",
        verdict=verdict,
        retry_after_s=retry_after_s,
    )


def make_quota_exceeded(retry_after_s: float) -> Problem:
    """Return the problem for a call beyond the quota of its workspace."""
    return Problem(
        status=QUOTA_STATUS,
        title="Quota exceeded",
        detail="the quota of the workspace is used up",
        verdict=Verdict.NOT_RUN,
        retry_after_s=retry_after_s,
    )


def make_quota_unknown(retry_after_s: float) -> Problem:
    """Return the problem for a call whose quota no host keeps count of now."""
    return Problem(
        status=503,
        title=NOT_KNOWN_YET,
        detail="no host counts the calls of the workspace now",
        verdict=Verdict.NOT_RUN,
        retry_after_s=retry_after_s,
    )


def make_overloaded(
    service: str, retry_after_s: float, verdict: Verdict = Verdict.NOT_RUN
) -> Problem:
    """Return the problem for a call that cannot be answered before its deadline.

    `verdict` is the worst verdict of the attempts made so far.
    """
    return Problem(
        status=503,
        title="Overloaded",
        detail=f"the queue of {service!r} is too long for the call's deadline",
        verdict=verdict,
        retry_after_s=retry_after_s,
    )


def make_deadline_passed(verdict: Verdict) -> Problem:
    """Return the problem for a call whose deadline passed."""
    return Problem(
        status=504,
        title="Deadline passed",
        detail="no answer came before the call's deadline",
        verdict=verdict,
        retry_after_s=RETRY_SOON_S,
    )


def make_attempt_failed(reason: str, verdict: Verdict) -> Problem:
    """Return the problem for a call whose last attempt failed with `reason`."""
    return Problem(
        status=502 if verdict is not Verdict.NOT_RUN else 503,
        title="Backend server failed",
        detail=f"the last attempt ended with {reason}",
        verdict=verdict,
        retry_after_s=RETRY_SOON_S,
    )


def make_key_mismatch() -> Problem:
    """Return the problem for a key that was used before for a different request."""
    return Problem(
        status=422,
        title="Idempotency-Key reused",
        detail="the key was used with another method, path or body",
        verdict=Verdict.NOT_RUN,
    )


def make_key_invalid() -> Problem:
    """Return the problem for a key that is empty or too long."""
    return Problem(
        status=400,
        title="Invalid Idempotency-Key",
        detail="the key must have 1 to 255 characters",
        verdict=Verdict.NOT_RUN,
    )


def make_claim_unavailable(detail: str, retry_after_s: float) -> Problem:
    """Return the problem for a call whose claim cannot be written now."""
    return Problem(
        status=503,
        title="No claim possible",
        detail=detail,
        verdict=Verdict.NOT_RUN,
        retry_after_s=retry_after_s,
    )


def make_not_run_again(verdict: Verdict) -> Problem:
    """Return the problem for a key whose earlier call is not run again."""
    return Problem(
        status=409,
        title="Not run again",
        detail="an earlier call with this key ran or may have run",
        verdict=verdict,
    )


def make_claim_unanswered() -> Problem:
    """Return the problem for a call whose claim request no owner answered."""
    return Problem(
        status=503,
        title="Claim not answered",
        detail="this call was not sent; an earlier call with its key may have run",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_s=RETRY_SOON_S,
    )


def make_host_stopped(verdict: Verdict) -> Problem:
    """Return the problem for a call that was in flight when its host was stopped."""
    return Problem(
        status=503,
        title="Host ended",
        detail="the host ended before the call was answered",
        verdict=verdict,
        retry_after_s=RETRY_SOON_S,
    )


def make_internal_error(verdict: Verdict) -> Problem:
    """Return the problem for a call that met an unexpected error of its host."""
    return Problem(
        status=503 if verdict is Verdict.NOT_RUN else 502,
        title="Internal error",
        detail="an unexpected error of the host ended the call",
        verdict=verdict,
        retry_after_s=RETRY_SOON_S,
    )


def make_quarantined(
    fingerprint: str, verdict: Verdict, retry_after_s: float
) -> Problem:
    """Return the problem for a call whose earlier runs crashed backend servers."""
    return Problem(
        status=503,
        title="Quarantined",
        detail=f"runs of this call crashed backend servers; fingerprint {fingerprint}",
        verdict=verdict,
        retry_after_s=retry_after_s,
    )
