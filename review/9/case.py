"""A host that is partitioned from all upstreams sends requests beyond their attempts.

The route allows one upstream for each client attempt. One of three hosts is partitioned
from all upstreams; callers, the store and the other hosts still reach it.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from lib import (  # noqa: E402
    Caller,
    Host,
    Partition,
    PartitionableLink,
    Store,
    Upstream,
    make_configuration,
    make_folder,
    run_case,
    wait_until_ready,
)

ATTEMPTS = 1
ROUTES = [("/search/", "films", "safe", 4.0, ATTEMPTS)]
HOSTS, UPSTREAMS = 3, 16
CALL_INTERVAL_S = 0.025
WORK_S = 0.8
DEADLINE_S = 4.0
BEFORE_S, CUT_S, AFTER_S = 5.0, 5.0, 4.0
# More requests than this that run on too many upstreams break the rule.
ALLOWED = 3


async def call_steadily(caller, hosts):
    calls = set()
    number = 0
    try:
        while True:
            number += 1
            call = asyncio.ensure_future(
                caller.call(
                    hosts[number % len(hosts)], f"/search/{number}", deadline_s=DEADLINE_S
                )
            )
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(CALL_INTERVAL_S)
    finally:
        await asyncio.gather(*calls, return_exceptions=True)


async def run(record, hosts, has_trouble):
    store = Store()
    await store.start()
    store.put("config", "main", make_configuration(7, ROUTES, ["films"]), {})
    partition = Partition()
    upstreams = []
    for n in range(UPSTREAMS):
        link = PartitionableLink("127.0.0.1", partition)
        await link.start()
        upstream = Upstream(
            store, record, name=f"i-{n}", service="films", zone="z0", work_s=WORK_S
        )
        upstream.told = link.address
        await upstream.start()
        link.target = upstream.address
        upstreams.append(upstream)
    with make_folder() as folder:
        hosts += [
            Host(
                folder, record, store, name=f"front-{n}", zone="z0", ip=f"127.0.90.{n + 1}"
            )
            for n in range(HOSTS)
        ]
        for host in hosts:
            host.start()
        await wait_until_ready(hosts)
        caller = Caller(record)
        traffic = asyncio.ensure_future(call_steadily(caller, hosts))
        await asyncio.sleep(BEFORE_S)
        pid = hosts[0].child.pid
        if has_trouble:
            record.add("partitioned", host=hosts[0].name)
            partition.cut(pid)
        await asyncio.sleep(CUT_S)
        if has_trouble:
            partition.heal(pid)
            record.add("healed", host=hosts[0].name)
        await asyncio.sleep(AFTER_S)
        traffic.cancel()
        await asyncio.gather(traffic, return_exceptions=True)
    ran_on = {}
    for upstream in upstreams:
        for _, request_id in upstream.runs:
            ran_on.setdefault(request_id, set()).add(upstream.name)
    beyond = {r: sorted(names) for r, names in ran_on.items() if len(names) > ATTEMPTS}
    statuses = [reply.status for *_, reply in caller.results]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.add("result", answers=counts, beyond=len(beyond), which=beyond)
    return len(beyond) > ALLOWED


run_case(run, FOLDER)
