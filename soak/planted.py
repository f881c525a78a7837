"""Bugs planted in the load balancer, to verify that the checker finds them."""

import os
import signal
import sys
import threading
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count
from math import inf
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
from siskinpier.core.routing import balance, isolation, retrying
from siskinpier.core.state import HostState
from siskinpier.edge.backends import BackendClient, BackendReply
from siskinpier.edge.headers import Headers
from siskinpier.platform.headers import REQUEST_ID_HEADER
from siskinpier.platform.reload import SettingsWatcher

from .host_environment import MEMORY_LIMIT_BYTES

# One request in this many receives the response to another one.
SWAP_INTERVAL: Final = 40
# The configuration is rolled back in every n-th relay pass; there are three a second.
ROLLBACK_INTERVAL: Final = 12
# Bugs that appear while a host runs do so this long after its start, seconds.
PLANTED_AFTER_S: Final = 10.0
_held: list[bytes] = []


def plant(name: str) -> None:
    """Plant the bug with this name; an empty name plants none."""
    if name:
        BUGS[name][0]()


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


def _ignore_limits() -> None:
    """Send to servers without regard to the rate limits that they name."""
    balance.has_token = lambda limit, now: True  # type: ignore[attr-defined]


def _keep_calls() -> None:
    """Let isolated hosts forward no call, and stay homes."""
    isolation.CHECK_TIMEOUT_S = inf  # type: ignore[misc]


def _end_later() -> None:
    """End by itself after `PLANTED_AFTER_S`."""
    _run_later(partial(os._exit, 3))


def _hold_memory() -> None:
    """Hold more memory than a host may after `PLANTED_AFTER_S`."""
    _run_later(lambda: _held.append(b"x" * MEMORY_LIMIT_BYTES))


def _run_later(function: Callable[[], None]) -> None:
    timer = threading.Timer(PLANTED_AFTER_S, function)
    timer.daemon = True
    timer.start()


def _hang() -> None:
    """Answer nobody any more after `PLANTED_AFTER_S`."""
    _run_later(lambda: os.kill(os.getpid(), signal.SIGSTOP))


def _end_at_reload() -> None:
    """End at SIGHUP."""
    SettingsWatcher.reload_settings = (  # type: ignore[method-assign]
        lambda self: sys.exit(1)
    )


# Each bug with the rules of which one has to find it.
BUGS: Final[dict[str, tuple[Callable[[], None], set[str]]]] = {
    "second-send": (_retry_unsafe, {"twice", "refused"}),
    "old-configuration": (_roll_back_configuration, {"regress", "config"}),
    "swapped-answer": (_swap_responses, {"mixed", "unasked", "twice", "changed"}),
    "ignored-drain": (_ignore_drains, {"drain"}),
    "ignored-limit": (_ignore_limits, {"limit"}),
    "kept-calls": (_keep_calls, {"isolated"}),
    "self-ended": (_end_later, {"ended"}),
    "ended-by-reload": (_end_at_reload, {"ended"}),
    "hung": (_hang, {"unready"}),
    "held-memory": (_hold_memory, {"memory"}),
}
