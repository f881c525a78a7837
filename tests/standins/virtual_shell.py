"""A shell for tests of the operator API, backed by a core in virtual time."""

import json
from typing import Any

import anyio
import httpx

from bench.virtual.deployment import make_deployment
from siskinpier.core.configuration.intents import RoutingIntents
from siskinpier.core.configuration.orders import Order, OrderResult
from siskinpier.edge.operators import OperatorApp
from siskinpier.metrics import HostMetrics
from siskinpier.settings.host import SecuritySettings


class VirtualShell:
    """The part of a shell that the operator API uses, on a core in virtual time."""

    def __init__(
        self, *, intents: RoutingIntents, hosts: int, security: SecuritySettings
    ) -> None:
        self.world = make_deployment(intents=intents, hosts=hosts, seed=1)
        self.host = self.world.hosts["host-0"]
        self.settings = self
        self.security = security
        self.metrics = HostMetrics()
        self.operators: list[str] = []

    @property
    def state(self) -> Any:
        """Return the state of the host's core."""
        return self.host.state

    def clock(self) -> float:
        """Advance virtual time by 100 ms and return it."""
        self.world.run_for(0.1)
        return self.world.now

    async def give_order(
        self, order: Order, operator: str, update_id: str | None = None
    ) -> OrderResult:
        """Submit an order and advance time until it is answered."""
        self.operators.append(operator)
        results: list[OrderResult] = []
        self.host.give_order(order, operator, results.append, update_id)
        while not results:
            self.world.run_for(0.01)
        return results[0]


def send_request(shell: VirtualShell, path: str, body: Any, token: str) -> Any:
    """Send a request to the operator API and return the response.

    It is a GET request if `body` is None. Otherwise it is a POST request, with `body`
    encoded as JSON unless it is bytes.
    """

    async def post() -> httpx.Response:
        app: Any = OperatorApp(shell=shell)  # type: ignore[arg-type]
        transport = httpx.ASGITransport(app=app)
        headers = {b"authorization": b"Bearer " + token.encode()} if token else {}
        async with httpx.AsyncClient(transport=transport) as client:
            url = f"http://host{path}"
            if body is None:
                return await client.get(url)
            content = body if isinstance(body, bytes) else json.dumps(body).encode()
            return await client.post(url, content=content, headers=headers)

    return anyio.run(post)
