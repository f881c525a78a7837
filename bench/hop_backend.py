"""A minimal backend server that answers each call at once with two bytes."""

from typing import Final

from tests.standins.process import Receive, Scope, Send, serve_app

BODY: Final = b"ok"
HEADERS: Final = [(b"content-length", b"2"), (b"content-type", b"text/plain")]


async def handle_request(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer a request without reading its body."""
    await send({"type": "http.response.start", "status": 200, "headers": HEADERS})
    await send({"type": "http.response.body", "body": BODY})


if __name__ == "__main__":
    serve_app(handle_request, port=0)
