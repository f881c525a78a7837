"""Faults planted in the product, to show that the soak finds them."""

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

# One request of so many gets another's answer.
ONE_IN: Final = 40
# Steps of a relay, three a second, after which a configuration is taken back.
BEATS_BETWEEN: Final = 12


def plant(name: str) -> None:
    """Plant a fault by its name; an empty name plants none."""
    if name:
        FAULTS[name]()


def _replace(module: ModuleType, name: str, function: Callable[..., Any]) -> None:
    assert hasattr(module, name)
    setattr(module, name, function)


def _send_twice() -> None:
    """Send requests again whose run is in doubt, unsafe ones too."""
    _replace(retrying, "is_retry_safe", lambda verdict, *, idempotent: True)


def _take_back_configuration() -> None:
    """Go back to the configuration before, now and then."""
    take_newer: Any = reducer.__dict__["apply_intents"]
    step: Any = reducer.__dict__["run_relay"]
    taken: list[tuple[RoutingIntents, str]] = []
    beats = count(1)

    def take(
        state: HostState,
        intents: RoutingIntents,
        version: str,
        now: float,
        out: list[Effect],
    ) -> None:
        if intents.revision > state.intents.revision:
            taken.append((intents, version))
        take_newer(state, intents, version, now, out)

    def step_back(state: HostState, now: float, out: list[Effect]) -> None:
        if len(taken) > 1 and next(beats) % BEATS_BETWEEN == 0:
            state.intents = replace(state.intents, revision=-1)
            take_newer(state, *taken[-2], now, out)
        step(state, now, out)

    _replace(reducer, "apply_intents", take)
    _replace(reducer, "run_relay", step_back)


def _swap_answers() -> None:
    """Give one request of many the answer to the one before it."""
    send = BackendClient.send
    numbers = count(1)
    last: list[bytes] = []

    async def swap(self: BackendClient, **values: Any) -> BackendReply:
        headers: Headers = values["headers"]
        own = dict(headers).get(REQUEST_ID_HEADER, b"")
        if last and next(numbers) % ONE_IN == 0:
            values["headers"] = [
                (key, last[0] if key == REQUEST_ID_HEADER else value)
                for key, value in headers
            ]
        last[:] = [own]
        return await send(self, **values)

    BackendClient.send = swap  # type: ignore[method-assign]


def _ignore_drains() -> None:
    """Take no notice of servers that leave."""
    make = registry._make_server

    def make_active(
        server: RegisteredServer, intent: ServiceIntent, *, is_leaving: bool
    ) -> BackendServer:
        made = make(server, intent, is_leaving=is_leaving)
        return replace(made, state=ServerState.ACTIVE)

    registry._make_server = make_active


FAULTS: Final[dict[str, Callable[[], None]]] = {
    "second-send": _send_twice,
    "old-configuration": _take_back_configuration,
    "swapped-answer": _swap_answers,
    "ignored-drain": _ignore_drains,
}
