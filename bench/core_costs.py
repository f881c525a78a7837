"""Measure one core by size: calls, heartbeats, configuration and memory.

`python -m bench.core_costs` prints the table.
"""

import statistics
import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Final

from siskinpier.core.configuration.intents import (
    BackendServer,
    CallRule,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.events import (
    CallArrived,
    HostStarted,
    IntentsSeen,
    MessageReceived,
    ReplyFinished,
    ReplyStarted,
)
from siskinpier.core.messages import Heartbeat, IntentsNotice
from siskinpier.core.reducer import reduce
from siskinpier.core.routing.calls import Call
from siskinpier.core.state import CoreSettings, HostIdentity, HostState, make_state
from siskinpier.edge.codec import decode_message, encode_message
from siskinpier.settings.documents import Rejected, parse_intents

from .slopes import Slope, fit_slope, measure_bytes, measure_cpu_us, render_table

COMMAND: Final = "python -m bench.core_costs"
SERVER_COUNTS: Final = (20, 200, 1_300)
HOST_COUNTS: Final = (6, 18, 54, 162)
SERVERS_PER_SERVICE: Final = 27
CALL_COUNT: Final = 2_000
HEARTBEAT_COUNT: Final = 1_000
CHANGE_COUNT: Final = 5
START_TIME_S: Final = 1_000.0


def make_host(name: str = "host-0") -> HostState:
    """Return the state of a host that knows no other host."""
    return make_state(
        identity=HostIdentity(
            name=name,
            incarnation=1,
            failure_domain="a",
            region="main",
            callers="127.0.0.1:1",
            peers="127.0.0.1:2",
        ),
        settings=CoreSettings(),
        parse_intents=_parse,
        seed=1,
    )


def make_intents(servers: int, per_service: int, revision: int = 1) -> RoutingIntents:
    """Return intents with `servers` backend servers, `per_service` in a service."""
    services = []
    for start in range(0, servers, per_service):
        count = min(per_service, servers - start)
        services.append(_make_service(start, count))
    return RoutingIntents(revision=revision, services=tuple(services))


def measure_call(servers: int) -> float:
    """Return the microseconds for one call at a home that owns all servers."""
    state = make_host()
    now = START_TIME_S
    intents = make_intents(servers, servers)
    reduce(state, HostStarted(now=now))
    reduce(state, IntentsSeen(now=now, version="1", intents=intents))

    def run() -> int:
        nonlocal now
        for number in range(CALL_COUNT):
            now += 0.001
            _run_call(state, f"{now}-{number}", now)
        return CALL_COUNT

    return measure_cpu_us(run)


def measure_heartbeat(members: int) -> float:
    """Return the microseconds for one heartbeat with encoding and decoding."""
    state = make_host()
    reduce(state, HostStarted(now=START_TIME_S))
    intents = make_intents(1_300, SERVERS_PER_SERVICE)
    reduce(state, IntentsSeen(now=START_TIME_S, version="1", intents=intents))
    sequence = 0

    def run() -> int:
        nonlocal sequence
        for _ in range(HEARTBEAT_COUNT // members + 1):
            sequence += 1
            for index in range(1, members):
                data = encode_message(_make_heartbeat(index, sequence))
                message = decode_message(data)
                assert isinstance(message, Heartbeat)
                now = START_TIME_S + sequence * 0.5
                event = MessageReceived(now=now, sender=message.host, message=message)
                reduce(state, event)
        return (HEARTBEAT_COUNT // members + 1) * (members - 1)

    return measure_cpu_us(run)


def measure_change(servers: int) -> float:
    """Return the microseconds for validating and applying a configuration."""
    state = make_host()
    reduce(state, HostStarted(now=START_TIME_S))
    samples = []
    for revision in range(1, CHANGE_COUNT + 1):
        spec = asdict(make_intents(servers, SERVERS_PER_SERVICE, revision))
        started = time.process_time()
        parsed = _parse(spec)
        assert parsed is not None
        event = IntentsSeen(now=START_TIME_S, version=str(revision), intents=parsed)
        reduce(state, event)
        samples.append((time.process_time() - started) * 1e6)
    return statistics.median(samples)


def measure_notice_bytes(servers: int) -> float:
    """Return the encoded size of a complete configuration notice, in bytes."""
    intents = make_intents(servers, SERVERS_PER_SERVICE)
    return float(len(encode_message(IntentsNotice(version="1", intents=intents))))


def measure_state_bytes(servers: int) -> float:
    """Return the memory of a core that knows this many backend servers, in bytes."""

    def make() -> HostState:
        state = make_host()
        intents = make_intents(servers, SERVERS_PER_SERVICE)
        reduce(state, HostStarted(now=START_TIME_S))
        reduce(state, IntentsSeen(now=START_TIME_S, version="1", intents=intents))
        return state

    return measure_bytes(make)


def measure_member_bytes(members: int) -> float:
    """Return the memory of a core that knows this many hosts, in bytes."""

    def make() -> HostState:
        state = make_host()
        reduce(state, HostStarted(now=START_TIME_S))
        for index in range(1, members):
            heartbeat = _make_heartbeat(index, 1)
            event = MessageReceived(
                now=START_TIME_S, sender=heartbeat.host, message=heartbeat
            )
            reduce(state, event)
        return state

    return measure_bytes(make)


def measure_all() -> list[Slope]:
    """Run all measurements of the core and return their slopes."""
    return [
        _measure_slope(
            "core time per call", "servers", "us", SERVER_COUNTS, measure_call
        ),
        _measure_slope(
            "core time per heartbeat", "hosts", "us", HOST_COUNTS, measure_heartbeat
        ),
        _measure_slope(
            "core time per change", "servers", "us", SERVER_COUNTS, measure_change
        ),
        _measure_slope(
            "complete notice", "servers", "bytes", SERVER_COUNTS, measure_notice_bytes
        ),
        _measure_slope(
            "core memory", "servers", "bytes", SERVER_COUNTS, measure_state_bytes
        ),
        _measure_slope(
            "core memory", "hosts", "bytes", HOST_COUNTS, measure_member_bytes
        ),
    ]


def _measure_slope(
    name: str,
    size_name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    points = [(float(size), measure(size)) for size in sizes]
    return fit_slope(
        name=name, size_name=size_name, unit=unit, points=points, command=COMMAND
    )


def _run_call(state: HostState, call_id: str, now: float) -> None:
    call = Call(
        call_id=call_id,
        service="service-0",
        method="GET",
        path="/",
        caller="caller",
        deadline=now + 2.0,
    )
    reduce(state, CallArrived(now=now, call=call))
    now += 0.0005
    reduce(state, ReplyStarted(now=now, call_id=call_id, attempt=0, status=200))
    reduce(state, ReplyFinished(now=now, call_id=call_id, attempt=0))


def _make_service(start: int, count: int) -> ServiceIntent:
    servers = tuple(
        BackendServer(
            name=f"server-{start + index}",
            address=f"10.0.{(start + index) // 250}.{(start + index) % 250}:8000",
            failure_domain="abc"[index % 3],
        )
        for index in range(count)
    )
    rule = CallRule(methods=("GET",), idempotent=True)
    return ServiceIntent(name=f"service-{start}", servers=servers, rules=(rule,))


def _make_heartbeat(index: int, sequence: int) -> Heartbeat:
    return Heartbeat(
        host=f"host-{index}",
        incarnation=1,
        sequence=sequence,
        failure_domain="abc"[index % 3],
        region="main",
        callers=f"127.0.0.1:{index}",
        peers=f"127.0.0.1:{index + 10_000}",
        revision=1,
        leaving=False,
        spare=tuple((f"service-{number}", 10) for number in range(0, 81, 27)),
    )


def _parse(spec: dict[str, object]) -> RoutingIntents | None:
    parsed = parse_intents(spec)
    return None if isinstance(parsed, Rejected) else parsed.value


if __name__ == "__main__":
    print(render_table(measure_all()))
