"""What answers to probes tell of the warm-up of backend servers.

The answer is the server's own latest word, so it may also shorten a warm-up, unless
that was first heard after the probe was sent.
"""

from typing import Final

from ..cluster.warmup_notices import announce_warmup
from ..effects import Effect
from ..state import HostState, ServerName, ServiceRuntime
from .balance import ServerRuntime
from .queueing import requeue_calls
from .rate_limits import get_started
from .warmup import record_warmup

SOURCE_PROBE: Final = "probe"


def handle_warmup_answer(
    state: HostState,
    service: ServiceRuntime,
    server: ServerRuntime,
    left_s: float,
    now: float,
    out: list[Effect],
) -> None:
    """Record how long a server is still cold, which it told in answer to a probe."""
    if service.intent.warmup_per_s == 0.0:
        return
    until = now + left_s
    known = server.warmup
    if known is not None and server.probed_at <= known.heard_at:
        until = max(until, known.until)
    key = ServerName(service=service.intent.name, server=server.intent.name)
    started = get_started(state, key.server)
    if record_warmup(state, key, until, started, SOURCE_PROBE, now, out):
        announce_warmup(state, service, server, now, out)
        requeue_calls(state, service, now, out)
