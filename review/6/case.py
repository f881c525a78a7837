"""Hosts that know no configuration yet answer 404 after a SIGTERM.

All hosts are killed and start again while the store is down. Then the platform stops
them, as planned.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from lib import (  # noqa: E402
    Caller,
    Host,
    Store,
    Upstream,
    make_configuration,
    make_folder,
    run_case,
    wait_until_ready,
)

ROUTES = [("/search/", "films", "safe", 2.0, 2)]
# More 404 answers than this break the rule.
ALLOWED = 10
CALL_INTERVAL_S = 0.05


async def call_steadily(caller, hosts):
    """Let callers use all hosts in turn, as their earlier look-ups named them."""
    calls = set()
    number = 0
    try:
        while True:
            number += 1
            host = hosts[number % len(hosts)]
            call = asyncio.ensure_future(caller.call(host, f"/search/{number}"))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(CALL_INTERVAL_S)
    finally:
        await asyncio.gather(*calls, return_exceptions=True)


async def run(record, hosts, has_trouble):
    store = Store()
    await store.start()
    store.put("config", "main", make_configuration(7, ROUTES, ["films"]), {})
    upstreams = [
        Upstream(store, record, name=f"i-{n}", service="films", zone=f"z{n % 2}")
        for n in range(4)
    ]
    for upstream in upstreams:
        await upstream.start()
    with make_folder() as folder:
        hosts += [
            Host(
                folder, record, store, name=f"front-{n}", zone=f"z{n % 2}",
                ip=f"127.0.60.{n + 1}",
            )
            for n in range(3)
        ]
        for host in hosts:
            host.start()
        await wait_until_ready(hosts)
        caller = Caller(record)
        traffic = asyncio.ensure_future(call_steadily(caller, hosts))
        await asyncio.sleep(4)
        if has_trouble:
            record.add("store-down")
            store.mode = "silent"
            await asyncio.sleep(0.3)
            for host in hosts:
                host.kill()
                record.add("killed", host=host.name)
            await asyncio.sleep(0.3)
            for host in hosts:
                host.start()
            await asyncio.sleep(3)
        for host in hosts:
            host.send_signal(signal.SIGTERM)
        await asyncio.gather(*(host.wait_for_end(7) for host in hosts))
        store.mode = ""
        for host in hosts:
            host.start()
        await wait_until_ready(hosts)
        await asyncio.sleep(2)
        traffic.cancel()
        await asyncio.gather(traffic, return_exceptions=True)
    statuses = [reply.status for *_, reply in caller.results]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.add("result", answers=counts)
    return counts.get(404, 0) > ALLOWED


run_case(run, FOLDER)
