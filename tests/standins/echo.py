"""A backend app that returns a description of each request it receives."""

import asyncio
import base64
import hashlib
import json
from urllib.parse import parse_qs

from siskinpier.core.configuration.intents import (
    BackendServer,
    CallRule,
    RoutingIntents,
    ServiceIntent,
)
from tests.standins.process import Receive, Scope, Send

BLOCK = bytes(range(256)) * 256


async def serve_echo(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer with a JSON document that describes the request.

    Query parameters: `wait_s=1` delays the response, `status=204` sets the status and
    `bytes=9` sends a body of that size instead of the document.
    """
    query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
    status = int(query.get("status", "200"))
    digest = hashlib.sha256()
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
        digest.update(message.get("body", b""))
        size += len(message.get("body", b""))
        more = message.get("more_body", False)
    await asyncio.sleep(float(query.get("wait_s", "0")))
    document = {
        "method": scope["method"],
        "target": base64.b64encode(scope["raw_path"]).decode(),
        "query": scope["query_string"].decode("latin-1"),
        "path": scope["path"],
        "sha256": digest.hexdigest(),
        "size": size,
        "headers": [
            [k.decode("latin-1"), v.decode("latin-1")] for k, v in scope["headers"]
        ],
    }
    body = json.dumps(document).encode()
    if "bytes" in query:
        count = int(query["bytes"])
        body = (BLOCK * (count // len(BLOCK) + 1))[:count]
    headers = [
        (b"connection", b"x-private"),
        (b"x-private", b"1"),
        (b"x-public", b"1"),
        (b"x-public", b"2"),
    ]
    if status not in (204, 304):
        headers.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    is_empty = scope["method"] == "HEAD" or status in (204, 304)
    await send({"type": "http.response.body", "body": b"" if is_empty else body})


def make_echo_intents(address: str) -> RoutingIntents:
    """Return intents with the idempotent service `echo` on one backend server."""
    server = BackendServer(name="echo-1", address=address, failure_domain="a", slots=50)
    service = ServiceIntent(
        name="echo",
        deadline_s=10.0,
        servers=(server,),
        rules=(CallRule(idempotent=True),),
    )
    return RoutingIntents(services=(service,))
