"""Just enough HTTP/1.1 for the stand-ins: reading a message and writing one."""

import asyncio
from dataclasses import dataclass

Fields = list[tuple[str, str]]


@dataclass
class Message:
    """A request or a response; `first` holds the three parts of its first line."""

    first: list[str]
    fields: Fields
    body: bytes = b""
    # False if the connection ended before the message did.
    complete: bool = True

    def get(self, name: str) -> str | None:
        """Return the first value of a field, or None."""
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return None


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Return the next message, or None if the connection ended before its head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            fields.append((key.strip(), value.strip()))
    message = Message(first=lines[0].split(" ", 2), fields=fields)
    try:
        await _read_body(reader, message, is_response=is_response)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    return message


async def _read_body(
    reader: asyncio.StreamReader, message: Message, *, is_response: bool
) -> None:
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            message.body += chunk[:size]
            if size == 0:
                return
    length = message.get("content-length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    elif is_response and message.first[1] not in ("204", "304"):
        message.body = await reader.read()


def make_response(status: int, fields: Fields, body: bytes = b"") -> bytes:
    """Return a response with a length."""
    rows = [f"HTTP/1.1 {status} X", *(f"{key}: {value}" for key, value in fields)]
    rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + body


def make_request(method: str, path: str, fields: Fields, body: bytes = b"") -> bytes:
    """Return a request; one that may have a body gets a length."""
    rows = [f"{method} {path} HTTP/1.1", *(f"{key}: {value}" for key, value in fields)]
    if body or method in ("POST", "PUT"):
        rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + body
