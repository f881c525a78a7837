"""HTTP apps for callers on the platform: requests, addresses, readiness, metrics."""

import json
from functools import partial
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qs

from ..core.problems import make_not_known_yet
from ..core.routing.address_choice import choose_addresses
from ..core.routing.calls import Call
from ..core.routing.workspaces import find_early_refusal
from ..core.state import Lifecycle
from ..core.verdict import Problem, Verdict
from ..edge.bodies import (
    CallerDisconnectedError,
    make_no_room_problem,
    must_close,
    read_body,
)
from ..edge.callers import CallerApp
from ..edge.exchange import Exchange
from ..edge.headers import (
    FORWARDED_HEADER,
    HOST_HEADER,
    VERDICT_HEADER,
    Headers,
    find_header_error,
    get_header,
    make_fingerprint,
)
from ..edge.request_memory import RequestShare
from ..edge.responses import (
    Receive,
    Scope,
    Send,
    make_closing_send,
    send_bytes,
    send_json,
)
from ..edge.shell import Shell
from .headers import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    SIGNATURE_HEADER,
    get_request_id,
)
from .keys import read_key_digest
from .metrics_page import MetricsPage
from .origins import read_origin

# Deadline of a request that sets none, and the longest deadline accepted, seconds.
DEFAULT_DEADLINE_S: Final = 10.0
MAX_DEADLINE_S: Final = 600.0
# Statuses that guarantee to callers that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
SUCCESS_STATUSES: Final = range(200, 300)
MIN_RETRY_AFTER_S: Final = 0.02
DEFAULT_RETRY_AFTER_S: Final = 0.1
READINESS_PATH: Final = "/api/readiness"
ADDRESSES_PATH: Final = "/api/resolution"
METRICS_PATH: Final = "/metrics"
# Callers ignore further addresses of one answer.
MAX_ADDRESSES: Final = 64


class PlatformCallerApp(CallerApp):
    """ASGI app for callers' requests, which are routed by virtual host and path."""

    def __init__(self, *, shell: Shell) -> None:
        super().__init__(shell=shell)
        self._sequence = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        try:
            await self._serve_request(scope, receive, send)
        except Exception as exc:
            # Where it happened is not known, so nothing is promised.
            self._shell.failures.record("task/request", exc)
            await _send_refusal(make_closing_send(send), 502, "internal error")

    async def _serve_request(self, scope: Scope, receive: Receive, send: Send) -> None:
        if self._shell.state.lifecycle not in (Lifecycle.READY, Lifecycle.STARTING):
            send = make_closing_send(send)
        headers: Headers = list(scope["headers"])
        if not scope["state"].get("has_room", True):
            await self._refuse_unread(send, headers, make_no_room_problem())
            return
        fault = find_header_error(headers, scope["http_version"]) or _find_field_error(
            headers
        )
        if fault is not None:
            await _send_refusal(make_closing_send(send), 400, fault)
            return
        with self._shell.request_memory.share() as share:
            await self._serve_admitted(scope, receive, send, headers, share)

    async def _serve_admitted(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        headers: Headers,
        share: RequestShare,
    ) -> None:
        if self._shell.state.intents.requires_keys and _announces_body(headers):
            problem = self._find_early_refusal(scope, headers)
            if problem is not None:
                await self._refuse_unread(send, headers, problem)
                return
        try:
            body = await read_body(headers, receive, self._shell.settings.limits, share)
        except CallerDisconnectedError:
            return
        if isinstance(body, Problem):
            problem = body
            is_denied = problem.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            if is_denied and not self._shell.knows_caller_limits():
                detail = "the limit on bodies is not known"
                problem = make_not_known_yet(detail, problem.verdict)
            await self._refuse_unread(send, headers, problem)
            return
        target = _get_target(scope)
        buffered = body if isinstance(body, bytes) else b""
        virtual_host = _get_virtual_host(headers)
        origin = read_origin(
            headers,
            partial(
                make_fingerprint,
                method=scope["method"],
                target=virtual_host + target,
                body=buffered,
            ),
            self._shell.peer_key,
            requires_keys=self._shell.state.intents.requires_keys,
        )
        forward = origin.forward
        now = self._shell.clock()
        call = Call(
            call_id=self._make_call_id(headers),
            service="",
            method=scope["method"],
            path=target.partition("?")[0],
            caller=origin.caller,
            deadline=now + _get_deadline_s(headers),
            fingerprint=origin.fingerprint,
            hops=0 if forward is None else 1,
            at_most_once=forward is not None and forward.at_most_once,
            replayable=isinstance(body, bytes),
            virtual_host=virtual_host,
            size=len(buffered),
            key_digest=origin.key_digest,
        )
        exchange = Exchange(
            call_id=call.call_id,
            method=scope["method"],
            target=target,
            headers=headers,
            body=body,
        )
        await self._run_call(call, exchange, scope["state"]["connection"], send)

    async def _refuse_unread(
        self, send: Send, headers: Headers, problem: Problem
    ) -> None:
        """Refuse a request whose body is not read."""
        self._log_unread(problem, get_request_id(headers))
        if must_close(problem, headers):
            send = make_closing_send(send)
        await _send_refusal(
            send,
            problem.status,
            problem.detail,
            retry_after_s=problem.retry_after_s,
            extra=_make_forward_reply_headers(headers, problem.verdict),
        )

    def _find_early_refusal(self, scope: Scope, headers: Headers) -> Problem | None:
        """Return the refusal of a request without a valid key, or None.

        A forward is signed with its body, so it is checked when the body was read.
        """
        if get_header(headers, FORWARDED_HEADER) is not None:
            return None
        now = self._shell.clock()
        call = Call(
            call_id=get_request_id(headers),
            service="",
            method=scope["method"],
            path=_get_target(scope).partition("?")[0],
            caller="",
            deadline=now,
            virtual_host=_get_virtual_host(headers),
            key_digest=read_key_digest(headers),
        )
        return find_early_refusal(self._shell.state, call, now)

    def _make_call_id(self, headers: Headers) -> str:
        """Return the caller's request id, with a suffix if it is not unique here.

        An id that is missing or holds a slash gets a suffix too.
        """
        request_id = get_request_id(headers)[:100]
        self._sequence += 1
        if not request_id or "/" in request_id or request_id in self._shell.exchanges:
            return f"{request_id.replace('/', '_')}#{self._sequence}"
        return request_id

    async def _send_refusal(
        self, send: Send, problem: Problem, exchange: Exchange
    ) -> None:
        await _send_refusal(
            send,
            choose_refusal_status(problem),
            f"{problem.title}: {problem.detail}",
            retry_after_s=problem.retry_after_s,
            extra=_make_forward_reply_headers(exchange.headers, problem.verdict),
        )

    def _find_reply_refusal(
        self, exchange: Exchange, number: int, verdict: Verdict
    ) -> Problem | None:
        """Return the refusal to send in place of a reply, or None.

        A backend server's status must not guarantee to the caller that a request has
        not run when that is unknown. Callers accept no success without the signature
        of the server.
        """
        reply = exchange.replies[number]
        status = reply.status
        is_forwarded = get_header(reply.headers, VERDICT_HEADER) is not None
        if verdict is Verdict.NOT_RUN and is_forwarded:
            return Problem(
                status=503,
                title="Refused by another host",
                detail=f"status {status}",
                verdict=verdict,
                retry_after_s=_parse_retry_after_s(reply.headers),
            )
        if verdict is Verdict.NOT_RUN:
            return Problem(
                status=503,
                title="Rejected by the backend server",
                detail=f"status {status}",
                verdict=verdict,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        if status in NOT_RUN_STATUSES:
            return _make_server_failed(f"status {status}", verdict)
        is_signed = get_header(reply.headers, SIGNATURE_HEADER) is not None
        if status in SUCCESS_STATUSES and not is_signed:
            return _make_server_failed(f"status {status} without signature", verdict)
        return None

    def _add_reply_headers(
        self, headers: Headers, exchange: Exchange, verdict: Verdict
    ) -> None:
        """Add the verdict for another host; callers get the server's fields only."""
        if get_header(exchange.headers, FORWARDED_HEADER) is not None:
            headers.append((VERDICT_HEADER, verdict.encode()))


class StatusApp:
    """ASGI app for readiness checks, callers' address look-ups, and metrics."""

    def __init__(self, *, shell: Shell) -> None:
        self._shell = shell
        self._metrics = MetricsPage(metrics=shell.metrics, clock=shell.clock)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        match scope["path"]:
            case path if path == READINESS_PATH:
                is_ready = self._shell.is_ready()
                await send_bytes(send, 200 if is_ready else 503, [], b"")
            case path if path == ADDRESSES_PATH:
                await self._send_addresses(scope, send)
            case path if path == METRICS_PATH:
                await self._metrics.send(send)
            case _:
                await _send_refusal(send, 404, "unknown path")

    async def _send_addresses(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        answer = choose_addresses(
            self._shell.state,
            virtual_host=query.get("name", [""])[0].lower(),
            now=self._shell.clock(),
            limit=MAX_ADDRESSES,
        )
        if answer is None:
            await _send_refusal(send, 503, "no address is known yet", retry_after_s=0.2)
            return
        document = {"addresses": list(answer.addresses), "ttlS": answer.keep_s}
        await send_json(send, 200, document)


def _make_server_failed(detail: str, verdict: Verdict) -> Problem:
    return Problem(
        status=502, title="The backend server failed", detail=detail, verdict=verdict
    )


def choose_refusal_status(problem: Problem) -> int:
    """Return the status of a refusal, which guarantees no more than its verdict."""
    if problem.verdict is Verdict.NOT_RUN:
        return 503 if problem.status >= 500 else problem.status
    return 502 if problem.status in NOT_RUN_STATUSES else problem.status


def _make_forward_reply_headers(request: Headers, verdict: Verdict) -> Headers:
    """Return the fields by which a host knows the refusal of a call it forwarded."""
    if get_header(request, FORWARDED_HEADER) is None:
        return []
    request_id = get_request_id(request).encode("latin-1")
    return [(REQUEST_ID_HEADER, request_id), (VERDICT_HEADER, verdict.encode())]


def _parse_retry_after_s(headers: Headers) -> float:
    value = get_header(headers, RETRY_AFTER_HEADER) or b""
    try:
        return float(value)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


async def _send_refusal(
    send: Send,
    status: int,
    detail: str,
    *,
    retry_after_s: float | None = None,
    extra: Headers | None = None,
) -> None:
    headers: Headers = [(b"content-type", b"application/json"), *(extra or [])]
    if status in NOT_RUN_STATUSES:
        delay_s = max(MIN_RETRY_AFTER_S, retry_after_s or DEFAULT_RETRY_AFTER_S)
        headers.append((RETRY_AFTER_HEADER, f"{delay_s:.3f}".encode()))
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    await send_bytes(send, status, headers, json.dumps({"error": detail}).encode())


def _find_field_error(headers: Headers) -> str | None:
    """Return what is wrong with a header field of the platform, or None."""
    for name in (DEADLINE_HEADER, REQUEST_ID_HEADER):
        values = [value for key, value in headers if key == name]
        if len(values) > 1:
            return f"{name.decode()} is given {len(values)} times"
        if name == REQUEST_ID_HEADER and not (values and values[0].strip()):
            # Nothing would tell its reply from a late one to a probe.
            return f"{name.decode()} is missing"
        if name == DEADLINE_HEADER and values and not values[0].isdigit():
            return f"{name.decode()} is not a number of milliseconds"
    return None


def _announces_body(headers: Headers) -> bool:
    """Return True if the header of a request announces a body."""
    length = get_header(headers, b"content-length")
    if length is not None and length != b"0":
        return True
    return get_header(headers, b"transfer-encoding") is not None


def _get_deadline_s(headers: Headers) -> float:
    """Return the seconds until the caller's deadline."""
    value = get_header(headers, DEADLINE_HEADER)
    if value is None or len(value) > 9:
        return DEFAULT_DEADLINE_S
    return min(MAX_DEADLINE_S, int(value) / 1000.0)


def _get_virtual_host(headers: Headers) -> str:
    """Return the Host field in lower case, without its port."""
    host = (get_header(headers, HOST_HEADER) or b"").decode("latin-1").lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _get_target(scope: Scope) -> str:
    """Return path and query, percent-encoded as received."""
    raw: bytes = scope.get("raw_path") or scope["path"].encode()
    target = raw.partition(b"?")[0].decode("latin-1")
    query: bytes = scope["query_string"]
    return target + (f"?{query.decode('latin-1')}" if query else "")
