"""An entry host that handles calls with hypercorn and httpx.

`python -m bench.hypercorn_host serve SETTINGS` runs the same core and shell as
`siskinpier serve`, with another server for callers and another backend client.
It exists to compare their cost and is not part of the product.
"""

import socket
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import anyio
import httpx
from hypercorn.asyncio import serve as serve_hypercorn
from hypercorn.config import Config

from siskinpier import cli
from siskinpier.core.verdict import AttemptFailure
from siskinpier.edge import host
from siskinpier.edge.backends import AttemptError, BackendReply
from siskinpier.edge.callers import CallerApp
from siskinpier.edge.headers import Headers
from siskinpier.edge.shell import Shell

CONNECT_TIMEOUT_S: Final = 0.5


class HttpxReply(BackendReply):
    """A reply streamed by httpx."""

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body without decoding its content encoding."""
        response: Any = self.response
        async for chunk in response.aiter_raw():
            yield chunk
        await response.aclose()

    def is_fully_read(self) -> bool:
        """Return False: httpx reports the end of the body by ending the iteration."""
        return False

    def close(self) -> None:
        """Do nothing: `iterate` closes the response."""


class HttpxClient:
    """Backend client on httpx that replaces `BackendClient`."""

    def __init__(self, **_: object) -> None:
        self._client = httpx.AsyncClient(
            trust_env=False,
            timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=500),
        )

    async def open(self) -> None:
        """Do nothing: the client needs no preparation."""

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def send(
        self,
        *,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        **_: object,
    ) -> BackendReply:
        """Send a request and return the reply once its headers have arrived."""
        req = self._client.build_request(
            method, f"http://{address}{target}", headers=headers, content=body or None
        )
        try:
            response = await self._client.send(req, stream=True)
        except httpx.HTTPError as exc:
            raise AttemptError(AttemptFailure.RESET) from exc
        fields = [(key.lower(), val) for key, val in response.headers.raw]
        make_reply: Any = HttpxReply
        result: BackendReply = make_reply(
            status=response.status_code, headers=fields, response=response
        )
        return result


class WatchedConnection:
    """Connection of one request, in the form that `CallerApp` expects."""

    on_lost: Callable[[], None] | None = None

    def reset_connection(self) -> None:
        """Raise ConnectionAbortedError, so that the server closes the connection."""
        raise ConnectionAbortedError


class WatchedApp:
    """Detect disconnected callers, which hypercorn reports through `receive` only."""

    def __init__(self, *, app: CallerApp) -> None:
        self._app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request; request bodies of several parts are not supported."""
        if scope["type"] != "http":
            return
        connection = WatchedConnection()
        scope["state"] = {"connection": connection}
        request_message = await receive()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_for_disconnect, receive, connection)

            async def replay() -> Any:
                return request_message

            await self._app(scope, replay, send)
            tasks.cancel_scope.cancel()

    async def _watch_for_disconnect(
        self, receive: Any, connection: WatchedConnection
    ) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        if connection.on_lost is not None:
            connection.on_lost()


class HypercornServer:
    """Server for callers on hypercorn that replaces `CallerServer`."""

    def __init__(self, *, shell: Shell) -> None:
        self._shell = shell
        self.should_exit = False

    async def serve(self, sockets: list[socket.socket]) -> None:
        """Serve until `should_exit` is set."""
        cfg = Config()
        cfg.bind = [f"fd://{sockets[0].fileno()}"]
        cfg.accesslog = None
        cfg.errorlog = None
        # By default hypercorn closes a persistent connection after 1,000 requests.
        cfg.keep_alive_max_requests = 1_000_000_000
        app: Any = WatchedApp(app=CallerApp(shell=self._shell))
        await serve_hypercorn(app, cfg, shutdown_trigger=self._wait_for_exit)

    async def _wait_for_exit(self) -> None:
        while not self.should_exit:
            await anyio.sleep(0.05)


def main() -> None:
    """Replace server and client in `edge.host`, and run the command line."""
    host_module: Any = host
    host_module.BackendClient = HttpxClient
    host_module._make_caller_server = lambda shell, _: HypercornServer(shell=shell)
    cli.main()


if __name__ == "__main__":
    main()
