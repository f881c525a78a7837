"""HTTP interface for callers: calls to services, and addresses of services."""

import secrets
from functools import partial
from typing import Final
from urllib.parse import parse_qs

from ..core.claims.messages import KeptReply
from ..core.configuration.intents import get_service
from ..core.effects import RefuseCall, RelayReply, ReplayReply, SendAttempt
from ..core.events import AttemptFailed, CallArrived, CallCancelled, ReplyFinished
from ..core.problems import make_not_ready
from ..core.routing.calls import Call
from ..core.state import Lifecycle
from ..core.verdict import Problem, Verdict, get_reply_verdict
from ..logs import log_event
from .backends import AttemptError, clean_reply_headers
from .bodies import (
    Body,
    CallerDisconnectedError,
    StreamedBody,
    make_no_room_problem,
    must_close,
    read_body,
)
from .caller_connections import CallerConnection
from .exchange import AbortReply, Exchange, ReplyCopy
from .headers import (
    CALL_ID_HEADER,
    FORWARDED_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    TIMEOUT_HEADER,
    VERDICT_HEADER,
    Headers,
    find_header_error,
    get_header,
    make_caller_id,
    make_fingerprint,
    parse_forward,
    parse_timeout_s,
    parse_urgency,
)
from .request_memory import RequestShare
from .responses import (
    Receive,
    Scope,
    Send,
    make_closing_send,
    send_bytes,
    send_json,
    send_problem,
)
from .shell import Shell

CALL_PREFIX: Final = "/call/"
MAX_DEADLINE_S: Final = 600.0


class ReplyAbortedError(Exception):
    """A reply broke off; the connection must be reset, or it would look complete."""


class CallerApp:
    """The ASGI application that callers and forwarding hosts connect to."""

    def __init__(self, *, shell: Shell) -> None:
        self._shell = shell

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if self._shell.state.lifecycle in (Lifecycle.CLOSING, Lifecycle.STOPPED):
            send = make_closing_send(send)
        if not scope["state"].get("has_room", True):
            problem = make_no_room_problem()
            await self._refuse_unread(send, list(scope["headers"]), problem)
            return
        path: str = scope["path"]
        if path.startswith(CALL_PREFIX):
            with self._shell.request_memory.share() as share:
                await self._serve_call(scope, receive, send, share)
        elif path == "/addresses":
            await self._serve_addresses(scope, send)
        else:
            await send_problem(send, _make_not_found(path), "")

    async def _serve_addresses(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        service = query.get("service", [""])[0]
        domain = query.get("failure_domain", [""])[0]
        client = scope.get("client") or ("", 0)
        document = self._shell.get_addresses(
            service, domain, f"{client[0]}:{client[1]}"
        )
        if document is None and not self._shell.state.is_informed:
            # It may be declared in what this host does not know yet.
            problem = make_not_ready("this host was never ready")
            await send_problem(send, problem, "")
            return
        if document is None:
            await send_problem(send, _make_not_found(service), "")
            return
        await send_json(send, 200, document)

    async def _serve_call(
        self, scope: Scope, receive: Receive, send: Send, share: RequestShare
    ) -> None:
        headers: Headers = list(scope["headers"])
        service, _, rest = scope["path"][len(CALL_PREFIX) :].partition("/")
        fault = find_header_error(headers, scope["http_version"])
        if fault is not None:
            await send_problem(make_closing_send(send), _make_bad_request(fault), "")
            return
        try:
            body = await read_body(headers, receive, self._shell.settings.limits, share)
        except CallerDisconnectedError:
            return
        if isinstance(body, Problem):
            await self._refuse_unread(send, headers, body)
            return
        call = self._make_call(service, "/" + rest, scope, headers, body)
        exchange = Exchange(
            call_id=call.call_id,
            method=scope["method"],
            target=_get_target(scope, service),
            headers=headers,
            body=body,
        )
        await self._run_call(call, exchange, scope["state"]["connection"], send)

    async def _refuse_unread(
        self, send: Send, headers: Headers, problem: Problem
    ) -> None:
        """Refuse a request whose body is not read."""
        self._log_unread(problem, "")
        if must_close(problem, headers):
            send = make_closing_send(send)
        await send_problem(send, problem, "")

    def _log_unread(self, problem: Problem, call_id: str) -> None:
        """Log and count a refusal that the core does not know of."""
        fields: dict[str, object] = {
            "call": call_id,
            "service": "",
            "status": problem.status,
            "verdict": problem.verdict,
            "reason": problem.title,
            "detail": problem.detail,
            "retry_after_s": problem.retry_after_s,
        }
        self._shell.metrics.count_decision("refuse", fields)
        log_event("refuse", **fields)

    async def _run_call(
        self, call: Call, exchange: Exchange, connection: CallerConnection, send: Send
    ) -> None:
        shell = self._shell
        shell.exchanges[call.call_id] = exchange
        connection.on_lost = partial(self._cancel_call, call.call_id)
        try:
            shell.handle(CallArrived(now=shell.clock(), call=call))
            await self._run_instructions(exchange, connection, send)
        except ReplyAbortedError:
            connection.reset_connection()
        except Exception as exc:
            await self._end_failed_call(exchange, connection, send, exc)
        finally:
            connection.on_lost = None
            del shell.exchanges[call.call_id]

    async def _end_failed_call(
        self,
        exchange: Exchange,
        connection: CallerConnection,
        send: Send,
        exc: Exception,
    ) -> None:
        """Give a call its final answer after an unexpected error of its task."""
        shell = self._shell
        has_answer = exchange.instruction is not None
        shell.fail_call(exchange.call_id, exc)
        instruction = exchange.instruction
        if has_answer or not isinstance(instruction, RefuseCall):
            # Part of an answer may have been sent.
            connection.reset_connection()
            return
        try:
            await self._send_refusal(send, instruction.problem, exchange)
        except Exception as failed:
            shell.failures.record("task/refusal", failed)
            connection.reset_connection()

    def _cancel_call(self, call_id: str) -> None:
        """Cancel a call whose caller disconnected."""
        shell = self._shell
        shell.handle(CallCancelled(now=shell.clock(), call_id=call_id))
        exchange = shell.exchanges.get(call_id)
        if exchange is not None:
            exchange.set_instruction(AbortReply())

    async def _run_instructions(
        self, exchange: Exchange, connection: CallerConnection, send: Send
    ) -> None:
        while True:
            match await exchange.wait():
                case SendAttempt() as attempt:
                    exchange.is_attempting = True
                    await self._shell.run_attempt(attempt)
                    exchange.is_attempting = False
                case RefuseCall(problem=problem):
                    await self._send_refusal(send, problem, exchange)
                    return
                case ReplayReply(kept=kept):
                    await self._replay_reply(exchange, kept, send)
                    return
                case RelayReply(attempt=number, verdict=verdict):
                    refusal = self._find_reply_refusal(exchange, number, verdict)
                    if refusal is not None:
                        await self._replace_reply(exchange, number, refusal, send)
                        return
                    exchange.break_connection = connection.reset_connection
                    await self._relay_reply(exchange, number, verdict, send)
                    return
                case AbortReply():
                    raise ReplyAbortedError

    async def _send_refusal(
        self, send: Send, problem: Problem, exchange: Exchange
    ) -> None:
        """Send the core's refusal to the caller."""
        await send_problem(send, problem, exchange.call_id)

    def _find_reply_refusal(
        self, exchange: Exchange, number: int, verdict: Verdict
    ) -> Problem | None:
        """Return a refusal to send instead of a backend server's reply, or None."""
        return None

    def _add_reply_headers(
        self, headers: Headers, exchange: Exchange, verdict: Verdict
    ) -> None:
        """Append the header fields that the host adds to a backend server's reply."""
        headers.append((VERDICT_HEADER, verdict.encode()))
        headers.append((CALL_ID_HEADER, exchange.call_id.encode()))

    async def _replace_reply(
        self, exchange: Exchange, number: int, problem: Problem, send: Send
    ) -> None:
        shell = self._shell
        reply = exchange.replies[number]
        try:
            async for _ in reply.iterate():
                pass
        except AttemptError:
            pass  # No part of this reply is passed on.
        finally:
            reply.close()
        shell.handle(
            ReplyFinished(
                now=shell.clock(), call_id=exchange.call_id, attempt=number, kept=None
            )
        )
        await self._send_refusal(send, problem, exchange)

    async def _replay_reply(
        self, exchange: Exchange, kept: KeptReply, send: Send
    ) -> None:
        headers = [item for item in kept.headers if item[0] != b"content-length"]
        verdict = get_reply_verdict(kept.status, (), None)
        headers.append((VERDICT_HEADER, verdict.encode()))
        headers.append((CALL_ID_HEADER, exchange.call_id.encode()))
        await send_bytes(send, kept.status, headers, kept.body)

    async def _relay_reply(
        self, exchange: Exchange, number: int, verdict: Verdict, send: Send
    ) -> None:
        reply = exchange.replies[number]
        shell = self._shell
        headers = clean_reply_headers(reply.headers)
        copy = ReplyCopy(
            status=reply.status,
            headers=tuple(headers),
            is_kept=get_header(exchange.headers, IDEMPOTENCY_KEY_HEADER) is not None,
        )
        self._add_reply_headers(headers, exchange, verdict)
        last_chunk = b""
        size = 0
        try:
            await send(
                {
                    "type": "http.response.start",
                    "status": reply.status,
                    "headers": headers,
                }
            )
            async for chunk in reply.iterate():
                copy.add(chunk)
                size += len(chunk)
                if reply.is_fully_read():
                    last_chunk = chunk
                    break
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": True}
                )
                if isinstance(exchange.instruction, AbortReply):
                    raise ReplyAbortedError
        except AttemptError as exc:
            shell.handle(
                AttemptFailed(
                    now=shell.clock(),
                    call_id=exchange.call_id,
                    attempt=number,
                    failure=exc.failure,
                )
            )
            raise ReplyAbortedError from exc
        finally:
            reply.close()
        # Report to the core first, so that the slot is free when the caller is done.
        shell.handle(
            ReplyFinished(
                now=shell.clock(),
                call_id=exchange.call_id,
                attempt=number,
                kept=copy.make_kept_reply(),
                size=size,
            )
        )
        if isinstance(exchange.body, StreamedBody) and reply.is_request_open():
            # The rest of the body can be received only until the response ends.
            await send(
                {"type": "http.response.body", "body": last_chunk, "more_body": True}
            )
            last_chunk = b""
            await reply.wait_until_request_sent()
        await send({"type": "http.response.body", "body": last_chunk})

    def _make_call(
        self,
        service: str,
        path: str,
        scope: Scope,
        headers: Headers,
        body: Body,
    ) -> Call:
        now = self._shell.clock()
        intent = get_service(self._shell.state.intents, service)
        limit_s = intent.deadline_s if intent is not None else MAX_DEADLINE_S
        requested_s = parse_timeout_s(get_header(headers, TIMEOUT_HEADER))
        caller = make_caller_id(headers)
        key = get_header(headers, IDEMPOTENCY_KEY_HEADER)
        target = _get_target(scope, service)
        # A streamed body is not in the fingerprint: its call has no idempotency key.
        complete_body = body if isinstance(body, bytes) else b""
        fingerprint = make_fingerprint(caller, scope["method"], target, complete_body)
        call_id = (get_header(headers, CALL_ID_HEADER) or b"").decode("latin-1")
        forward = parse_forward(
            self._shell.peer_key,
            call_id,
            fingerprint,
            get_header(headers, FORWARDED_HEADER),
        )
        # Accept a call id only from another host, never from a caller.
        call_id = call_id if forward is not None else secrets.token_hex(8)
        return Call(
            call_id=call_id,
            service=service,
            method=scope["method"],
            path=path,
            caller=caller,
            deadline=now
            + min(limit_s, requested_s if requested_s is not None else limit_s),
            urgency=parse_urgency(get_header(headers, b"priority")),
            key=key.decode("latin-1") if key is not None else None,
            fingerprint=fingerprint,
            replayable=isinstance(body, bytes),
            hops=0 if forward is None else 1,
            at_most_once=forward is not None and forward.at_most_once,
            claimed=forward is not None and forward.claimed,
        )


def _get_target(scope: Scope, service: str) -> str:
    """Return path and query for the backend server, percent-encoded as received."""
    raw: bytes = scope.get("raw_path") or scope["path"].encode()
    raw = raw.partition(b"?")[0]
    target = raw[len(CALL_PREFIX) :].partition(b"/")[2].decode("latin-1")
    query: bytes = scope["query_string"]
    return f"/{target}" + (f"?{query.decode('latin-1')}" if query else "")


def _make_not_found(what: str) -> Problem:
    return Problem(
        status=404,
        title="Not found",
        detail=f"nothing is served under {what[:100]!r}",
        verdict=Verdict.NOT_RUN,
    )


def _make_bad_request(fault: str) -> Problem:
    return Problem(
        status=400, title="Bad request", detail=fault, verdict=Verdict.NOT_RUN
    )
