"""The callers' interface on the platform: requests, addresses, readiness."""

import json
from typing import Final
from urllib.parse import parse_qs

from ..core.routing.address_choice import choose_addresses
from ..core.routing.calls import Call
from ..core.state import Lifecycle
from ..core.verdict import Problem, Verdict
from ..edge.bodies import CallerDisconnectedError, read_body
from ..edge.callers import CallerApp
from ..edge.exchange import Exchange
from ..edge.headers import (
    HOST_HEADER,
    Headers,
    find_header_error,
    get_header,
    make_caller_id,
    make_fingerprint,
)
from ..edge.responses import (
    Receive,
    Scope,
    Send,
    make_closing_send,
    send_bytes,
    send_json,
)
from ..edge.shell import Shell
from .fields import DEADLINE_MS, REQUEST_ID, RETRY_AFTER

# Time for a request that names no deadline, and the longest that is taken, seconds.
DEFAULT_DEADLINE_S: Final = 10.0
LONGEST_DEADLINE_S: Final = 600.0
# The statuses that promise callers that a request has not run and never will.
PROMISES: Final = frozenset({408, 421, 429, 503})
SHORTEST_RETRY_AFTER_S: Final = 0.02
RETRY_AFTER_S: Final = 0.1
READINESS_PATH: Final = "/api/readiness"
ADDRESSES_PATH: Final = "/api/resolution"
METRICS_PATH: Final = "/metrics"
# Callers take no more addresses of one answer.
ADDRESSES_LIMIT: Final = 64


class FrontApp(CallerApp):
    """Requests of callers, led by virtual host and path."""

    def __init__(self, *, shell: Shell) -> None:
        super().__init__(shell=shell)
        self._sequence = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if self._shell.state.lifecycle not in (Lifecycle.READY, Lifecycle.STARTING):
            send = make_closing_send(send)
        headers: Headers = list(scope["headers"])
        fault = find_header_error(headers, scope["http_version"]) or _find_fault(
            headers
        )
        if fault is not None:
            await _send_refusal(make_closing_send(send), 400, fault)
            return
        try:
            body = await read_body(headers, receive, self._shell.settings.limits)
        except CallerDisconnectedError:
            return
        if isinstance(body, Problem):
            await _send_refusal(make_closing_send(send), body.status, body.detail)
            return
        target = _get_target(scope)
        caller = make_caller_id(headers)
        whole = body if isinstance(body, bytes) else b""
        virtual_host = _get_virtual_host(headers)
        now = self._shell.clock()
        call = Call(
            call_id=self._make_call_id(headers),
            service="",
            method=scope["method"],
            path=target.partition("?")[0],
            caller=caller,
            deadline=now + _get_deadline_s(headers),
            fingerprint=make_fingerprint(
                caller, scope["method"], virtual_host + target, whole
            ),
            replayable=isinstance(body, bytes),
            virtual_host=virtual_host,
            size=len(whole),
        )
        exchange = Exchange(
            call_id=call.call_id,
            method=scope["method"],
            target=target,
            headers=headers,
            body=body,
        )
        await self._run_call(call, exchange, scope["state"]["connection"], send)

    def _make_call_id(self, headers: Headers) -> str:
        """Return the caller's id, made unique where another call has it here."""
        named = (get_header(headers, REQUEST_ID) or b"").decode("latin-1")[:100]
        self._sequence += 1
        if not named or "/" in named or named in self._shell.exchanges:
            return f"{named.replace('/', '_')}#{self._sequence}"
        return named

    async def _send_refusal(
        self, send: Send, problem: Problem, exchange: Exchange
    ) -> None:
        await _send_refusal(
            send,
            get_status(problem),
            f"{problem.title}: {problem.detail}",
            retry_after_s=problem.retry_after_s,
        )

    def _find_reply_refusal(
        self, exchange: Exchange, number: int, verdict: Verdict
    ) -> Problem | None:
        """Keep a backend server's status from promising more than is known."""
        status = exchange.replies[number].status
        if verdict is Verdict.NOT_RUN:
            return Problem(
                status=503,
                title="Rejected by the backend server",
                detail=f"status {status}",
                verdict=verdict,
                retry_after_s=RETRY_AFTER_S,
            )
        if status in PROMISES:
            return Problem(
                status=502,
                title="The backend server failed",
                detail=f"status {status}",
                verdict=verdict,
            )
        return None

    def _add_reply_headers(
        self, headers: Headers, exchange: Exchange, verdict: Verdict
    ) -> None:
        """Add nothing: callers get the backend server's own fields."""


class SideApp:
    """Readiness, the addresses that callers ask for, and metrics."""

    def __init__(self, *, shell: Shell) -> None:
        self._shell = shell

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        match scope["path"]:
            case path if path == READINESS_PATH:
                is_ready = self._shell.state.lifecycle is Lifecycle.READY
                await send_bytes(send, 200 if is_ready else 503, [], b"")
            case path if path == ADDRESSES_PATH:
                await self._send_addresses(scope, send)
            case path if path == METRICS_PATH:
                content_type = (b"content-type", b"text/plain; version=0.0.4")
                body = self._shell.metrics.render()
                await send_bytes(send, 200, [content_type], body)
            case _:
                await _send_refusal(send, 404, "unknown path")

    async def _send_addresses(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        answer = choose_addresses(
            self._shell.state,
            virtual_host=query.get("name", [""])[0].lower(),
            now=self._shell.clock(),
            limit=ADDRESSES_LIMIT,
        )
        if answer is None:
            await _send_refusal(send, 503, "no address is known yet", retry_after_s=0.2)
            return
        document = {"addresses": list(answer.addresses), "ttlS": answer.keep_s}
        await send_json(send, 200, document)


def get_status(problem: Problem) -> int:
    """Return the status of a refusal that promises just what its verdict says."""
    if problem.verdict is Verdict.NOT_RUN:
        return 503 if problem.status >= 500 else problem.status
    return 502 if problem.status in PROMISES else problem.status


async def _send_refusal(
    send: Send, status: int, detail: str, *, retry_after_s: float | None = None
) -> None:
    headers: Headers = [(b"content-type", b"application/json")]
    if status in PROMISES:
        wait_s = max(SHORTEST_RETRY_AFTER_S, retry_after_s or RETRY_AFTER_S)
        headers.append((RETRY_AFTER, f"{wait_s:.3f}".encode()))
    await send_bytes(send, status, headers, json.dumps({"error": detail}).encode())


def _find_fault(headers: Headers) -> str | None:
    for name in (DEADLINE_MS, REQUEST_ID):
        values = [value for key, value in headers if key == name]
        if len(values) > 1:
            return f"{name.decode()} is given {len(values)} times"
        if name == DEADLINE_MS and values and not values[0].isdigit():
            return f"{name.decode()} is not a number of milliseconds"
    return None


def _get_deadline_s(headers: Headers) -> float:
    value = get_header(headers, DEADLINE_MS)
    if value is None or len(value) > 9:
        return DEFAULT_DEADLINE_S
    return min(LONGEST_DEADLINE_S, int(value) / 1000.0)


def _get_virtual_host(headers: Headers) -> str:
    host = (get_header(headers, HOST_HEADER) or b"").decode("latin-1").lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _get_target(scope: Scope) -> str:
    """Return path and query as the caller encoded them."""
    raw: bytes = scope.get("raw_path") or scope["path"].encode()
    target = raw.partition(b"?")[0].decode("latin-1")
    query: bytes = scope["query_string"]
    return target + (f"?{query.decode('latin-1')}" if query else "")
