"""Measure time and memory of a routing decision by the number of owned servers.

`python -m bench.decision_cost` prints a table with the time for handling the
arrival of a call, and for choosing its backend server alone.
"""

import time
import tracemalloc
from typing import Final

import numpy as np

from bench.virtual.deployment import make_deployment
from siskinpier.core.configuration.intents import (
    BackendServer,
    CallRule,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.events import CallArrived, CallCancelled
from siskinpier.core.reducer import reduce
from siskinpier.core.routing.calls import ActiveCall, Call
from siskinpier.core.routing.candidates import choose_owned_server
from siskinpier.core.state import HostState

SERVER_COUNTS: Final = (20, 100, 400, 1300)
DECISION_COUNT: Final = 400
REPEAT_COUNT: Final = 5
SEED: Final = 1
NOW: Final = 3_000_000.0


def make_home(servers: int) -> HostState:
    """Return the state of a single host that uses half of its slots."""
    service = ServiceIntent(
        name="s",
        rules=(CallRule(idempotent=True),),
        servers=tuple(
            BackendServer(
                name=f"s{index}",
                address=f"127.0.3.1:{index + 1}",
                failure_domain="d",
            )
            for index in range(servers)
        ),
    )
    intents = RoutingIntents(revision=1, services=(service,))
    world = make_deployment(intents=intents, hosts=1, seed=SEED)
    [host] = world.hosts.values()
    state: HostState = host.state
    for server in state.services["s"].servers.values():
        server.latency_s = server.steady_latency_s = 0.01
        server.in_flight = 2
    return state


def measure_arrival_us(state: HostState) -> float:
    """Return the microseconds for an arrival: the lowest mean of several repeats."""
    best_s = float("inf")
    for repeat in range(REPEAT_COUNT):
        spent_s = 0.0
        for number in range(DECISION_COUNT):
            call = _make_call(f"{repeat}-{number}")
            started = time.perf_counter()
            reduce(state, CallArrived(now=NOW, call=call))
            spent_s += time.perf_counter() - started
            reduce(state, CallCancelled(now=NOW, call_id=call.call_id))
        best_s = min(best_s, spent_s / DECISION_COUNT)
    return best_s * 1e6


def measure_choice_us(state: HostState) -> float:
    """Return the microseconds for the choice: the lowest mean of several repeats."""
    service = state.services["s"]
    active = ActiveCall(
        call=_make_call("choice"), urgency=3, idempotent=True, arrived=NOW
    )
    best_s = float("inf")
    for _ in range(REPEAT_COUNT):
        started = time.perf_counter()
        for _ in range(DECISION_COUNT):
            choose_owned_server(service, active, NOW)
        best_s = min(best_s, (time.perf_counter() - started) / DECISION_COUNT)
    return best_s * 1e6


def measure_peak_bytes(state: HostState) -> float:
    """Return the peak of the bytes allocated while an arrival is handled."""
    call = _make_call("traced")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    reduce(state, CallArrived(now=NOW, call=call))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    reduce(state, CallCancelled(now=NOW, call_id="traced"))
    return peak - before


def make_table() -> str:
    """Return the costs for each number of servers, and their slope, in Markdown."""
    lines = [
        "| owned servers | arrival, µs | choice, µs | bytes per arrival |",
        "|---|---|---|---|",
    ]
    choices = []
    for size in SERVER_COUNTS:
        state = make_home(size)
        choice_us = measure_choice_us(state)
        choices.append(choice_us)
        cells = (measure_arrival_us(state), choice_us, measure_peak_bytes(state))
        lines.append(f"| {size} | {cells[0]:.0f} | {cells[1]:.1f} | {cells[2]:.0f} |")
    slope = float(np.polyfit(SERVER_COUNTS, choices, 1)[0])
    lines += ["", f"Slope of the choice: {slope:.3f} µs for each owned server."]
    return "\n".join(lines)


def _make_call(call_id: str) -> Call:
    return Call(
        call_id=call_id,
        service="s",
        method="GET",
        path="/",
        caller="caller",
        deadline=NOW + 1.0,
    )


if __name__ == "__main__":
    print(make_table())
