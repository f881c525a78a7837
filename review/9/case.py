"""A configuration that raises `headerBytes` is not in force on most hosts.

The operator raises the limit, and callers send requests within it, of which every host
but one refuses those with a long header.
"""

import asyncio
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
HOSTS = 6
CALL_INTERVAL_S = 0.04
OLD_LIMIT_BYTES, NEW_LIMIT_BYTES = 16_384, 65_536
# Bytes of the cookie that a part of the requests bears, within each limit.
OLD_COOKIE_BYTES, NEW_COOKIE_BYTES = 8_000, 40_000
COOKIE_EVERY = 3
# Longer than `configApplyS` (2) and `maxStretchS` (5) together.
APPLY_S, CALL_S = 10.0, 15.0
# Refusals that the rule allows: 5, and one in 500 of all requests.
ALLOWED, ALLOWED_SHARE = 5, 1 / 500
OWN_REFUSALS = range(300, 500)
EXCEPTED = {408, 421, 429}


async def call_steadily(caller, hosts, cookie_bytes):
    calls = set()
    number = 0
    try:
        while True:
            number += 1
            headers = {}
            if number % COOKIE_EVERY == 0:
                headers["Cookie"] = "session=" + "x" * cookie_bytes
            host = hosts[number // COOKIE_EVERY % len(hosts)]
            call = asyncio.ensure_future(
                caller.call(host, f"/search/{number}", headers=headers)
            )
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(CALL_INTERVAL_S)
    finally:
        await asyncio.gather(*calls, return_exceptions=True)


async def run(record, hosts, has_trouble):
    store = Store()
    await store.start()
    first = make_configuration(7, ROUTES, ["films"])
    first["limits"]["headerBytes"] = OLD_LIMIT_BYTES
    store.put("config", "main", first, {})
    upstreams = [
        Upstream(
            store, record, name=f"i-{n}", service="films", zone=f"z{n % 2}", work_s=0.02
        )
        for n in range(6)
    ]
    for upstream in upstreams:
        await upstream.start()
    with make_folder() as folder:
        hosts += [
            Host(
                folder, record, store, name=f"front-{n}", zone=f"z{n % 2}",
                ip=f"127.0.91.{n + 1}",
            )
            for n in range(HOSTS)
        ]
        for host in hosts:
            host.start()
        await wait_until_ready(hosts)
        caller = Caller(record)
        before = asyncio.ensure_future(call_steadily(caller, hosts, OLD_COOKIE_BYTES))
        await asyncio.sleep(5)
        if has_trouble:
            second = make_configuration(9, ROUTES, ["films"])
            second["limits"]["headerBytes"] = NEW_LIMIT_BYTES
            store.put("config", "main", second)
            record.add("acknowledged", version=9, header_bytes=NEW_LIMIT_BYTES)
        await asyncio.sleep(APPLY_S)
        before.cancel()
        await asyncio.gather(before, return_exceptions=True)
        cookie_bytes = NEW_COOKIE_BYTES if has_trouble else OLD_COOKIE_BYTES
        record.add("cookies", bytes=cookie_bytes)
        after = asyncio.ensure_future(call_steadily(caller, hosts, cookie_bytes))
        await asyncio.sleep(CALL_S)
        after.cancel()
        await asyncio.gather(after, return_exceptions=True)
    counts, by_host, refused = {}, {}, 0
    for _, _, _, host, _, reply in caller.results:
        counts[reply.status] = counts.get(reply.status, 0) + 1
        is_own = "x-response-signature" not in reply.headers
        if is_own and reply.status in OWN_REFUSALS and reply.status not in EXCEPTED:
            refused += 1
            by_host[host] = by_host.get(host, 0) + 1
    allowed = ALLOWED + ALLOWED_SHARE * len(caller.results)
    record.add("result", answers=counts, refused=refused, by_host=by_host, allowed=allowed)
    return refused > allowed


run_case(run, FOLDER)
