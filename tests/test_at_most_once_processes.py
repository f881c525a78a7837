"""Payments of retrying callers while processes are killed, frozen or lose replies.

They guard against a retry that runs a payment again, because the first attempt ran on
a host or server that died, or was claimed in a write whose reply was lost.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final

import httpx

from bench.callers import Caller, CallerStats, Request
from bench.fleet import Fleet
from tests.standins.process import HANG_TIMEOUT_S
from tests.test_whole_path import make_small_intents, wait_for_revision

CALLER_COUNT: Final = 6
HOST_COUNT: Final = 5
PAYMENT_PERIOD_S: Final = 4.2
REFUSAL_LIMIT_S: Final = 1.0


async def pay(
    fleet: Fleet, stats: CallerStats, number: int, *, length_s: float
) -> None:
    """Make payments one after the other, each with its own key."""
    caller = Caller(
        name=f"caller-{number}",
        hosts=[host.callers for host in fleet.hosts],
        failure_domain=fleet.domains[number % len(fleet.domains)],
        stats=stats,
        seed=number,
    )
    await caller.open()
    loop = asyncio.get_running_loop()
    until = loop.time() + length_s
    try:
        payment = 0
        while loop.time() < until:
            payment += 1
            key = f"key-{number}-{payment}"
            req = Request(
                service="payments",
                method="POST",
                path=f"/pay/{number}/{payment}",
                body=key.encode(),
                key=key,
            )
            await caller.call(req)
    finally:
        await caller.aclose()


async def pay_during(
    fleet: Fleet, stats: CallerStats, faults: Callable[[], Awaitable[None]]
) -> None:
    """Run all callers while faults are injected."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLER_COUNT):
            tasks.create_task(pay(fleet, stats, number, length_s=PAYMENT_PERIOD_S))
        tasks.create_task(run(faults))


async def run(faults: Callable[[], Awaitable[None]]) -> None:
    """Run the faults as a coroutine, which a task requires."""
    await faults()


def count_runs(fleet: Fleet) -> Counter[str]:
    """Return the number of runs of each key in the backend servers' journals."""
    return Counter(str(run["idempotency_key"]) for run in fleet.read_runs())


class TestPayments:
    """Payments run at most once, according to the backend servers' journals."""

    def test_no_payment_runs_twice(self) -> None:
        stats = CallerStats()
        with Fleet(
            intents=make_small_intents(), hosts=HOST_COUNT, service_ms=5.0
        ) as fleet:
            assert fleet.apply_intents()["status"] == "accepted"
            wait_for_revision(fleet, 1)

            async def inject_faults() -> None:
                control = fleet.control_platform
                await asyncio.sleep(0.6)
                fleet.hosts[0].process.kill()
                fleet.hosts[1].process.freeze()
                await asyncio.to_thread(control, "/control/lose_replies?n=2")
                await asyncio.sleep(0.4)
                fleet.servers["payments-1"].kill()
                await asyncio.to_thread(control, "/control/lose_replies?n=2")
                await asyncio.sleep(2.6)
                fleet.hosts[1].process.resume()
                fleet.hosts[2].process.kill()

            asyncio.run(pay_during(fleet, stats, inject_faults))
            runs = count_runs(fleet)
        assert [key for key, count in runs.items() if count > 1] == []
        assert [key for key in stats.keys_not_run if key in runs] == []
        assert [key for key in stats.keys_answered if runs[key] != 1] == []
        assert stats.wrong_answers == 0
        assert stats.answered > CALLER_COUNT

    def test_outage_refuses_payments_at_once(self) -> None:
        with Fleet(intents=make_small_intents(), hosts=2, service_ms=2.0) as fleet:
            assert fleet.apply_intents()["status"] == "accepted"
            wait_for_revision(fleet, 1)
            url = f"http://{fleet.hosts[0].callers}/call"
            fleet.control_platform("/control/outage?on=1&mode=refuse")
            paid = httpx.post(
                f"{url}/payments/pay", headers={"idempotency-key": "k"}, trust_env=False
            )
            found = httpx.get(f"{url}/search/find", trust_env=False)
            assert (paid.status_code, paid.json()["verdict"]) == (503, "not-run")
            assert "retry-after" in paid.headers
            assert paid.elapsed.total_seconds() < REFUSAL_LIMIT_S
            assert found.status_code == 200
            assert count_runs(fleet)["k"] == 0
            fleet.control_platform("/control/outage?on=0")


def wait_for_one_view(fleet: Fleet) -> None:
    """Wait until every host sees every host as live."""
    deadline = time.monotonic() + HANG_TIMEOUT_S
    for index in range(len(fleet.hosts)):
        while time.monotonic() < deadline:
            rows: Any = fleet.ask("hosts", host=index)["data"]
            if sum(row["live"] for row in rows) == len(fleet.hosts):
                break
            time.sleep(0.05)
        else:
            raise TimeoutError(f"host {index} never saw all others")


class TestCrashingCall:
    """A call that crashes the servers that run it must not be retried on all."""

    def test_at_most_two_servers_die(self) -> None:
        with Fleet(intents=make_small_intents(), hosts=3, service_ms=2.0) as fleet:
            assert fleet.apply_intents()["status"] == "accepted"
            wait_for_revision(fleet, 1)
            # At most two crashes are guaranteed only among hosts that see each other.
            wait_for_one_view(fleet)
            servers = [p for name, p in fleet.servers.items() if "search" in name]
            for server in servers:
                url = f"{server.url}/control/crash-on?path=/kill"
                httpx.post(url, trust_env=False).raise_for_status()
            replies = [
                httpx.get(
                    f"http://{fleet.hosts[number % 3].callers}/call/search/kill",
                    trust_env=False,
                    timeout=10.0,
                )
                for number in range(6)
            ]
            dead = [server for server in servers if server.exit_code is not None]
            assert len(dead) <= 2
            assert replies[-1].json()["title"] == "Quarantined"
