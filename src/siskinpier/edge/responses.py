"""Complete ASGI responses: JSON documents and RFC 9457 problems."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from math import ceil
from typing import Any

from ..core.verdict import Problem
from .headers import VERDICT_HEADER, Headers

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


def make_closing_send(send: Send) -> Send:
    """Return a `send` that adds `Connection: close` to the response."""

    async def send_closing(message: MutableMapping[str, Any]) -> None:
        if message["type"] == "http.response.start":
            message["headers"] = [*message["headers"], (b"connection", b"close")]
        await send(message)

    return send_closing


async def send_bytes(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a complete response."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, document: object) -> None:
    """Send a JSON document as a complete response."""
    body = json.dumps(document).encode()
    await send_bytes(send, status, [(b"content-type", b"application/json")], body)


async def send_problem(send: Send, problem: Problem, call_id: str) -> None:
    """Send a problem with its verdict and, if it is set, Retry-After."""
    headers, body = _encode_problem(problem, call_id)
    await send_bytes(send, problem.status, headers, body)


def make_problem_response(problem: Problem) -> bytes:
    """Return a problem as an HTTP/1.1 response that announces `Connection: close`."""
    headers, body = _encode_problem(problem, "")
    headers.append((b"content-length", str(len(body)).encode()))
    headers.append((b"connection", b"close"))
    status = HTTPStatus(problem.status)
    lines = [f"HTTP/1.1 {status} {status.phrase}".encode()]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _encode_problem(problem: Problem, call_id: str) -> tuple[Headers, bytes]:
    document: dict[str, object] = {
        "type": "about:blank",
        "title": problem.title,
        "status": problem.status,
        "detail": problem.detail,
        "verdict": problem.verdict,
        "call": call_id,
    }
    headers: Headers = [
        (b"content-type", b"application/problem+json"),
        (VERDICT_HEADER, problem.verdict.encode()),
    ]
    if problem.retry_after_s is not None:
        document["retry_after_ms"] = ceil(problem.retry_after_s * 1000)
        # Retry-After holds whole seconds only (RFC 9110, section 10.2.3).
        headers.append((b"retry-after", str(ceil(problem.retry_after_s)).encode()))
    return headers, json.dumps(document).encode()
