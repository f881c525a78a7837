"""Requests to the health endpoints of backend servers."""

from collections.abc import Callable
from typing import Final

import anyio

from ..core.effects import SendProbe
from ..core.events import ProbeAnswered
from ..core.routing.calls import LoadReport, RateLimitReport
from .backends import AttemptError, BackendClient
from .header_adapter import HeaderAdapter
from .headers import Headers

# A probe fails if its response body is longer.
PROBE_BODY_LIMIT_BYTES: Final = 65_536
PROBE_HEADERS: Final[Headers] = [(b"accept", b"application/json")]


async def run_probe(
    effect: SendProbe,
    backends: BackendClient,
    adapter: HeaderAdapter,
    clock: Callable[[], float],
) -> ProbeAnswered:
    """Send a probe and return its result; a failure is a result too."""
    started = clock()
    latency_s: float | None = None
    pause_s: float | None = None
    rate_limit: RateLimitReport | None = None
    warmup_left_s: float | None = None
    has_reply = draining = is_other_server = False
    report: LoadReport | None = None
    size = 0
    with anyio.move_on_after(effect.timeout_s):
        try:
            reply = await backends.send(
                address=effect.address,
                method="GET",
                target=effect.path,
                headers=PROBE_HEADERS,
                body=b"",
            )
            has_reply = True
            try:
                size = await reply.skip_body(limit_bytes=PROBE_BODY_LIMIT_BYTES)
            finally:
                reply.close()
            draining = adapter.is_leaving(reply.headers)
            is_other_server = adapter.is_other_server(reply.headers, effect.server)
            report = adapter.read_report(reply.headers)
            pause_s = adapter.read_pause(reply.status, reply.headers)
            rate_limit = adapter.read_rate_limit(reply.headers)
            warmup_left_s = adapter.read_warmup(reply.headers)
            if reply.status < 400:
                latency_s = clock() - started
        except AttemptError:
            latency_s = None
    return ProbeAnswered(
        now=clock(),
        service=effect.service,
        server=effect.server,
        latency_s=latency_s,
        has_reply=has_reply,
        draining=draining,
        is_other_server=is_other_server,
        bytes_used=size,
        report=report,
        pause_s=pause_s,
        rate_limit=rate_limit,
        warmup_left_s=warmup_left_s,
    )
