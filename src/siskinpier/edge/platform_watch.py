"""Tasks that poll the host list and watch the routing intents on the platform."""

import random
from contextlib import aclosing
from typing import Final

import anyio

from ..core.configuration.updates import INTENTS_NAME
from ..core.events import HostsListed, IntentsMissing, IntentsSeen, ListedHost
from ..core.platform_results import (
    HOSTS,
    ROUTING_INTENTS,
    ObjectList,
    ObjectMissing,
    StoredObject,
    Unavailable,
)
from ..core.state import Lifecycle
from ..logs import log_event
from ..settings.documents import Rejected, parse_intents
from .platform import PlatformClient
from .shell import Shell

HOSTS_POLL_INTERVAL_S: Final = 1.0
HOSTS_POLL_SLOW_INTERVAL_S: Final = 10.0
WATCH_TIMEOUT_S: Final = 20.0
MIN_RETRY_DELAY_S: Final = 0.5
MAX_RETRY_DELAY_S: Final = 4.0


async def poll_hosts(shell: Shell, platform: PlatformClient) -> None:
    """Poll the host list, less often on hosts that do not watch the intents."""
    delay_s = HOSTS_POLL_INTERVAL_S
    while True:
        result = await platform.list_objects(kind=HOSTS)
        if isinstance(result, ObjectList):
            hosts = tuple(_make_listed_host(item) for item in result.items)
            shell.handle(HostsListed(now=shell.clock(), hosts=hosts))
            delay_s = _get_hosts_poll_interval_s(shell)
        else:
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
        await anyio.sleep(delay_s * random.uniform(0.6, 1.0))


async def watch_intents(shell: Shell, platform: PlatformClient) -> None:
    """Watch the routing intents while the core requests it."""
    while True:
        shell.watch_changed = anyio.Event()
        if not shell.is_watching:
            await shell.watch_changed.wait()
            continue
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_run_watch, shell, platform)
            await shell.watch_changed.wait()
            tasks.cancel_scope.cancel()


async def _run_watch(shell: Shell, platform: PlatformClient) -> None:
    """Read the routing intents, then watch them; start over when the watch ends."""
    delay_s = MIN_RETRY_DELAY_S
    while True:
        result = await platform.read_object(kind=ROUTING_INTENTS, name=INTENTS_NAME)
        match result:
            case StoredObject(version=version):
                delay_s = MIN_RETRY_DELAY_S
                _handle_intents(shell, result)
                await _stream_changes(shell, platform, version)
            case ObjectMissing():
                shell.handle(IntentsMissing(now=shell.clock()))
                await anyio.sleep(MIN_RETRY_DELAY_S)
            case Unavailable(reason=reason):
                log_event("platform-unavailable", reason=reason)
                await anyio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)


def _get_hosts_poll_interval_s(shell: Shell) -> float:
    is_starting = shell.state.lifecycle is Lifecycle.STARTING
    return (
        HOSTS_POLL_INTERVAL_S
        if shell.is_watching or is_starting
        else HOSTS_POLL_SLOW_INTERVAL_S
    )


async def _stream_changes(shell: Shell, platform: PlatformClient, version: str) -> None:
    watch = platform.watch_object(
        kind=ROUTING_INTENTS, name=INTENTS_NAME, version=version, wait_s=WATCH_TIMEOUT_S
    )
    async with aclosing(watch) as results:
        async for result in results:
            if isinstance(result, StoredObject):
                _handle_intents(shell, result)
            if isinstance(result, Unavailable):
                await anyio.sleep(MIN_RETRY_DELAY_S * random.uniform(0.5, 1.0))


def _handle_intents(shell: Shell, stored: StoredObject) -> None:
    parsed = parse_intents(stored.spec)
    if isinstance(parsed, Rejected):
        log_event("intents-invalid", version=stored.version, errors=len(parsed.errors))
        return
    shell.handle(
        IntentsSeen(now=shell.clock(), version=stored.version, intents=parsed.value)
    )


def _make_listed_host(stored: StoredObject) -> ListedHost:
    spec = stored.spec
    return ListedHost(
        name=stored.name,
        failure_domain=str(spec.get("failure_domain", "")),
        region=str(spec.get("region", "")),
        callers=str(spec.get("callers", "")),
        peers=str(spec.get("peers", "")),
        leaving=bool(spec.get("leaving", False)),
    )
