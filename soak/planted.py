"""Bugs planted in the load balancer, to verify that the checker finds them."""

from collections.abc import Callable
from dataclasses import replace
from itertools import count
from types import ModuleType
from typing import Any, Final

from siskinpier.core import reducer
from siskinpier.core.cluster import registry
from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServerState,
    ServiceIntent,
)
from siskinpier.core.effects import Effect
from siskinpier.core.messages import RegisteredServer
from siskinpier.core.routing import retrying
from siskinpier.core.state import HostState
from siskinpier.edge.backends import BackendClient, BackendReply
from siskinpier.edge.headers import Headers
from siskinpier.platform.headers import REQUEST_ID_HEADER

# One request in this many receives the response to another one.
SWAP_INTERVAL: Final = 40
# The configuration is rolled back in every n-th relay pass; there are three a second.
ROLLBACK_INTERVAL: Final = 12


def plant(name: str) -> None:
    """Plant the bug with this name; an empty name plants none."""
    if name:
        BUGS[name]()


def _replace(module: ModuleType, name: str, function: Callable[..., Any]) -> None:
    assert hasattr(module, name)
    setattr(module, name, function)


def _retry_unsafe() -> None:
    """Retry requests that may have run, even unsafe ones."""
    _replace(retrying, "is_retry_safe", lambda verdict, *, idempotent: True)


def _roll_back_configuration() -> None:
    """Roll back to the previous configuration from time to time."""
    apply_newer: Any = reducer.__dict__["apply_intents"]
    run_pass: Any = reducer.__dict__["run_relay"]
    applied: list[tuple[RoutingIntents, str]] = []
    passes = count(1)

    def record_and_apply(
        state: HostState,
        intents: RoutingIntents,
        version: str,
        now: float,
        out: list[Effect],
    ) -> None:
        if intents.revision > state.intents.revision:
            applied.append((intents, version))
        apply_newer(state, intents, version, now, out)

    def roll_back_and_run(state: HostState, now: float, out: list[Effect]) -> None:
        if len(applied) > 1 and next(passes) % ROLLBACK_INTERVAL == 0:
            state.intents = replace(state.intents, revision=-1)
            apply_newer(state, *applied[-2], now, out)
        run_pass(state, now, out)

    _replace(reducer, "apply_intents", record_and_apply)
    _replace(reducer, "run_relay", roll_back_and_run)


def _swap_responses() -> None:
    """Send one request in `SWAP_INTERVAL` with the id of the previous one.

    The backend server then names the previous request in its response.
    """
    send = BackendClient.send
    numbers = count(1)
    last: list[bytes] = []

    async def swap(self: BackendClient, **values: Any) -> BackendReply:
        headers: Headers = values["headers"]
        own = dict(headers).get(REQUEST_ID_HEADER, b"")
        if last and next(numbers) % SWAP_INTERVAL == 0:
            values["headers"] = [
                (key, last[0] if key == REQUEST_ID_HEADER else value)
                for key, value in headers
            ]
        last[:] = [own]
        return await send(self, **values)

    BackendClient.send = swap  # type: ignore[method-assign]


def _ignore_drains() -> None:
    """Treat servers that drain as active."""
    make = registry._make_server

    def make_active(
        server: RegisteredServer, intent: ServiceIntent, *, is_leaving: bool
    ) -> BackendServer:
        made = make(server, intent, is_leaving=is_leaving)
        return replace(made, state=ServerState.ACTIVE)

    registry._make_server = make_active


BUGS: Final[dict[str, Callable[[], None]]] = {
    "second-send": _retry_unsafe,
    "old-configuration": _roll_back_configuration,
    "swapped-answer": _swap_responses,
    "ignored-drain": _ignore_drains,
}
