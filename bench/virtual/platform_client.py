"""Platform reads, writes and watches of one host in virtual time."""

from collections.abc import Callable
from typing import Any, Final

from siskinpier.core.configuration.intents import RoutingIntents
from siskinpier.core.configuration.updates import INTENTS_NAME
from siskinpier.core.effects import ReadObject, WriteObject
from siskinpier.core.events import (
    Event,
    HostsListed,
    IntentsSeen,
    ListedHost,
    ObjectRead,
    ObjectWritten,
)
from siskinpier.core.platform_results import (
    HOSTS,
    ROUTING_INTENTS,
    ObjectList,
    ObjectMissing,
    StoredObject,
    Unavailable,
)
from siskinpier.settings.documents import Rejected, parse_intents

from .environment import Environment

HOSTS_POLL_INTERVAL_S: Final = 1.0
HOSTS_POLL_SLOW_INTERVAL_S: Final = 10.0
READ_RETRY_DELAY_S: Final = 0.5
WATCH_DURATION_S: Final = 20.0


class VirtualPlatformClient:
    """Platform access of a host; `stop` drops the results of earlier requests."""

    def __init__(
        self,
        *,
        world: Environment,
        name: str,
        deliver: Callable[[Callable[[], Event]], None],
        is_frozen: Callable[[], bool],
        needs_frequent_polls: Callable[[], bool],
    ) -> None:
        self._world = world
        self._name = name
        self._deliver = deliver
        self._is_frozen = is_frozen
        self._needs_frequent_polls = needs_frequent_polls
        self._generation = 0
        self._watch_number = 0

    def start(self) -> None:
        """Start polling the host list."""
        self._poll_hosts(self._generation)

    def stop(self) -> None:
        """Stop polls and watches, and ignore results that arrive later."""
        self._generation += 1
        self._watch_number += 1
        if self._world.platform is not None:
            self._world.platform.unwatch(self._name, ROUTING_INTENTS)

    def read(self, effect: ReadObject) -> None:
        """Read an object and pass the result to the core."""
        generation = self._generation

        def handle_result(result: Any) -> None:
            if generation == self._generation:
                self._deliver(
                    lambda: ObjectRead(
                        now=self._world.now, request_id=effect.request_id, result=result
                    )
                )

        if self._world.platform is not None:
            self._world.platform.read(effect.kind, effect.name, handle_result)

    def write(self, effect: WriteObject) -> None:
        """Write an object and pass the result to the core."""
        generation = self._generation

        def handle_result(result: Any) -> None:
            if generation == self._generation:
                self._deliver(
                    lambda: ObjectWritten(
                        now=self._world.now, request_id=effect.request_id, result=result
                    )
                )

        if self._world.platform is not None:
            self._world.platform.write(
                effect.kind,
                effect.name,
                effect.spec,
                effect.expected_version,
                handle_result,
            )

    def _poll_hosts(self, generation: int) -> None:
        platform = self._world.platform
        if platform is None or generation != self._generation:
            return

        def handle_result(result: ObjectList | Unavailable) -> None:
            if isinstance(result, ObjectList) and generation == self._generation:
                hosts = tuple(_make_listed_host(item) for item in result.items)
                self._deliver(lambda: HostsListed(now=self._world.now, hosts=hosts))

        if not self._is_frozen():
            platform.list_kind(HOSTS, handle_result)
        delay_s = HOSTS_POLL_SLOW_INTERVAL_S
        if self._needs_frequent_polls():
            delay_s = HOSTS_POLL_INTERVAL_S
        delay_s *= self._world.rng.uniform(0.8, 1.2)
        self._world.after(delay_s, lambda: self._poll_hosts(generation))

    def watch(self, *, watching: bool) -> None:
        """Start or stop watching the routing intents."""
        platform = self._world.platform
        if platform is None:
            return
        platform.unwatch(self._name, ROUTING_INTENTS)
        self._watch_number += 1
        if watching:
            self._renew_watch(self._watch_number)

    def _renew_watch(self, number: int) -> None:
        """Read the intents, watch from their version, and renew both periodically."""
        platform, generation = self._world.platform, self._generation
        if platform is None or number != self._watch_number:
            return

        def handle_result(result: StoredObject | ObjectMissing | Unavailable) -> None:
            if generation != self._generation or number != self._watch_number:
                return
            delay_s = READ_RETRY_DELAY_S
            if isinstance(result, StoredObject):
                self._handle_stored(result)
                platform.watch(
                    self._name, ROUTING_INTENTS, self._handle_stored, result.version
                )
                delay_s = WATCH_DURATION_S
            self._world.after(delay_s, lambda: self._renew_watch(number))

        platform.read(ROUTING_INTENTS, INTENTS_NAME, handle_result)

    def _handle_stored(self, stored: StoredObject) -> None:
        intents = parse_or_none(stored.spec)
        if intents is not None:
            self._deliver(
                lambda: IntentsSeen(
                    now=self._world.now, version=stored.version, intents=intents
                )
            )


def parse_or_none(spec: dict[str, object]) -> RoutingIntents | None:
    """Return the validated intents of a stored document, or None."""
    parsed = parse_intents(spec)
    return None if isinstance(parsed, Rejected) else parsed.value


def _make_listed_host(stored: StoredObject) -> ListedHost:
    spec = stored.spec
    return ListedHost(
        name=stored.name,
        failure_domain=str(spec["failure_domain"]),
        region=str(spec["region"]),
        callers=str(spec["callers"]),
        peers=str(spec["peers"]),
        leaving=bool(spec["leaving"]),
    )
