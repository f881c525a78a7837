"""An entry of another writer holds bytes that are not text; every host ends."""

import asyncio
from pathlib import Path

from standins.case import Case, make_rule, run_case
from standins.client import make_fields, make_request_id, send_request

HOSTS = 3
RESTART_DELAY_S = 0.5
ENTRY_AT_S = 4.0
END_AT_S = 30.0
REQUEST_INTERVAL_S = 0.1
# From RULES.md: processes end by themselves so often on a tenth of the machines, and on
# two at least.
ENDS_LIMIT = 3
MACHINES_LIMIT = 2
# JSON has no other way to carry the byte 0xFF in a text.
UNREADABLE = "\udcff"


async def restart_ended(case: Case) -> None:
    """Restart processes that ended by themselves, as the platform does."""
    while True:
        for host in case.hosts:
            code = host.poll()
            if code is not None:
                host.own_ends += 1
                case.record.say(f"{host.name} ended by itself with {code}")
                await asyncio.sleep(RESTART_DELAY_S)
                host.start()
        await asyncio.sleep(0.05)


async def send_requests(case: Case, results: list[tuple[float, str]]) -> None:
    """Send requests to the hosts in turn."""
    n = 0
    while True:
        host = case.hosts[n % len(case.hosts)]
        n += 1
        request_id, sent_at = make_request_id(), case.record.now()
        path = f"/search/{request_id}"
        fields = make_fields("app.example", request_id, 2.0)
        answer = await send_request(host.front, "GET", path, fields, timeout_s=2.0)
        status = "no answer" if answer is None else answer.first[1]
        case.record.write("client", f"GET {path} at {host.name}: {status}")
        results.append((sent_at, status))
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def play(case: Case) -> bool:
    """Return True if processes end by themselves on too many machines."""
    await case.add_upstreams("katalog", 3)
    case.configure(7, [make_rule("/search/", "katalog", "safe")], ["katalog"])
    for n in range(HOSTS):
        case.add_host(f"front-{n}")
    for host in case.hosts:
        await host.wait_ready()
    results: list[tuple[float, str]] = []
    tasks = [
        asyncio.create_task(restart_ended(case)),
        asyncio.create_task(send_requests(case, results)),
    ]
    await asyncio.sleep(ENTRY_AT_S)
    entry_at = case.record.now()
    if case.trouble:
        spec, status = case.upstreams[0].make_entry()
        case.store.put("servers", "other", spec, {**status, "state": UNREADABLE})
        case.record.say("another writer's entry stands in the store")
    await asyncio.sleep(END_AT_S - ENTRY_AT_S)
    for task in tasks:
        task.cancel()
    for name, rows in (
        ("before", [s for at, s in results if at < entry_at]),
        ("after", [s for at, s in results if at >= entry_at + 1.0]),
    ):
        served = sum(status == "200" for status in rows)
        case.record.say(f"{name} that time, {served} of {len(rows)} were served")
    for host in case.hosts:
        case.record.say(f"{host.name} ended by itself {host.own_ends} times")
    ended = [host for host in case.hosts if host.own_ends >= ENDS_LIMIT]
    return len(ended) >= MACHINES_LIMIT


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
