"""Demonstrate a complete deployment, a drain and the loss of an entry host.

It prints its steps and a summary, and exits with 1 if a guarantee was violated.
"""

import collections
import random
import sys
import time
from dataclasses import dataclass
from typing import Final

import anyio

from .callers import Caller, CallerStats, Request
from .fleet import Fleet, load_example

HOST_COUNT: Final = 4
CALLER_COUNT: Final = 24
RUN_S: Final = 12.0
DRAIN_AT_S: Final = 3.0
KILL_AT_S: Final = 6.0
DRAIN_LIMIT_S: Final = 3.0
MEAN_PAUSE_S: Final = 0.02
READY_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """The results of a run; `violations` names the guarantees that were violated."""

    lines: tuple[str, ...]
    violations: tuple[str, ...]


def main() -> int:
    """Run the demonstration; return the exit code."""
    print("starting the platform, 37 backend servers and 4 entry hosts", flush=True)
    with Fleet(intents=load_example("arhivski-kadar"), hosts=HOST_COUNT) as fleet:
        print(f"applying the routing intents: {fleet.apply_intents()['status']}")
        _wait_until_ready(fleet)
        stats = CallerStats()
        drained = anyio.run(_run, fleet, stats)
        summary = summarize(stats, fleet.read_runs(), drained)
    print("\n".join(summary.lines))
    for violation in summary.violations:
        print(f"GUARANTEE VIOLATED: {violation}")
    return 1 if summary.violations else 0


def summarize(
    stats: CallerStats, runs: list[dict[str, object]], drained: tuple[str, float]
) -> Summary:
    """Compare what callers were told with the backend servers' journals.

    `drained` is the drained server and the time when its drain was accepted.
    """
    counts = collections.Counter(
        str(run["idempotency_key"]) for run in runs if run["idempotency_key"]
    )
    keys_run_twice = sum(1 for count in counts.values() if count > 1)
    ran_after_refusal = sum(1 for key in stats.keys_not_run if counts[key])
    answered_without_run = sum(1 for key in stats.keys_answered if not counts[key])
    server, drained_at = drained
    late_calls = sum(
        1
        for run in runs
        if run["server"] == server
        and float(str(run["time_s"])) > drained_at + DRAIN_LIMIT_S
    )
    refused = sum(stats.refused.values())
    lines = (
        f"calls made {stats.calls}, answered {stats.answered},"
        f" refused {refused} {stats.refused}, without an answer {stats.unanswered}",
        f"run twice {keys_run_twice}, wrong answers {stats.wrong_answers},"
        f" reported as not run but ran {ran_after_refusal},"
        f" answered but never ran {answered_without_run}",
        f"calls run by {server} later than {DRAIN_LIMIT_S:g} s"
        f" after its drain was accepted: {late_calls}",
        *(_describe_latency(name, stats) for name in sorted(stats.latencies_s)),
    )
    checks = {
        "a call ran twice": keys_run_twice,
        "a caller got a wrong answer": stats.wrong_answers,
        "a call was reported as not run, but ran": ran_after_refusal,
        "an answered call never ran": answered_without_run,
        "a drained backend server got new calls": late_calls,
        "no call was answered": int(stats.answered == 0),
    }
    violations = tuple(name for name, count in checks.items() if count)
    return Summary(lines=lines, violations=violations)


async def _run(fleet: Fleet, stats: CallerStats) -> tuple[str, float]:
    stop_at = time.monotonic() + RUN_S
    drained: list[tuple[str, float]] = []
    async with anyio.create_task_group() as tasks:
        for index in range(CALLER_COUNT):
            tasks.start_soon(_run_caller, fleet, stats, index, stop_at)
        await anyio.sleep(DRAIN_AT_S)
        drained.append(await anyio.to_thread.run_sync(_drain, fleet))
        await anyio.sleep(KILL_AT_S - DRAIN_AT_S)
        victim = fleet.hosts[-1]
        print(f"killing entry host {victim.name}", flush=True)
        victim.process.kill()
    return drained[0]


def _drain(fleet: Fleet) -> tuple[str, float]:
    service = fleet.intents.services[0]
    server = service.servers[0].name
    reply = fleet.order(f"drain server {server} of {service.name}", host=1)
    print(f"draining {server}: {reply['text']}", flush=True)
    return server, time.time()


async def _run_caller(
    fleet: Fleet, stats: CallerStats, index: int, stop_at: float
) -> None:
    rng = random.Random(index)
    caller = Caller(
        name=f"caller-{index}",
        hosts=[host.callers for host in fleet.hosts],
        failure_domain=rng.choice(fleet.domains),
        stats=stats,
        seed=index,
    )
    await caller.open()
    try:
        number = 0
        while time.monotonic() < stop_at:
            number += 1
            await caller.call(_make_request(rng, index, number))
            await anyio.sleep(rng.expovariate(1.0 / MEAN_PAUSE_S))
    finally:
        await caller.aclose()


def _make_request(rng: random.Random, caller: int, number: int) -> Request:
    if rng.random() < 0.7:
        urgency = 1 if rng.random() < 0.3 else 3
        path = f"/holdings/{caller}-{number}"
        return Request(
            service="search", method="GET", path=path, body=b"", urgency=urgency
        )
    service = rng.choice(("payments", "licences"))
    key = f"{service}-{caller}-{number}"
    body = f'{{"amount": {number}, "key": "{key}"}}'.encode()
    return Request(
        service=service, method="POST", path=f"/{service}", body=body, key=key
    )


def _wait_until_ready(fleet: Fleet) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        rows = [fleet.ask("configuration", host=i)["data"] for i in range(HOST_COUNT)]
        if all(row and row[0]["revision"] == 1 for row in rows):  # type: ignore[index]
            return
        time.sleep(0.05)
    raise TimeoutError("the routing intents were not applied on every host in time")


def _describe_latency(service: str, stats: CallerStats) -> str:
    values = sorted(stats.latencies_s[service])
    p50_ms = _compute_percentile_ms(values, 0.5)
    p99_ms = _compute_percentile_ms(values, 0.99)
    return f"{service}: p50 {p50_ms:.2f} ms, p99 {p99_ms:.2f} ms"


def _compute_percentile_ms(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))] * 1000


if __name__ == "__main__":
    sys.exit(main())
