"""Finding the route of a call, and the service that takes it."""

from dataclasses import dataclass, field, replace
from math import exp
from random import Random
from typing import Final

from ..configuration.intents import ANY_VIRTUAL_HOST, CallRule, Route
from .calls import Call

# Weight of the newest reply in the mean size, and time in which a route's count of
# calls falls to a third, seconds.
SIZE_WEIGHT: Final = 0.05
LOAD_MEMORY_S: Final = 10.0
# Places in the order of parts that a host may begin at.
FIRST_PLACES: Final = 100


@dataclass(slots=True, kw_only=True)
class RouteLoad:
    """What callers lately asked of a route, as this host saw it.

    `calls` are weighed by their age; `reply_bytes` is a mean.
    """

    calls: float = 0.0
    counted_at: float = 0.0
    reply_bytes: float = 0.0

    def count(self, now: float) -> None:
        """Count a call."""
        self.calls = self.get_calls(now) + 1.0
        self.counted_at = now

    def get_calls(self, now: float) -> float:
        """Return the calls lately, weighed by their age."""
        return self.calls * exp((self.counted_at - now) / LOAD_MEMORY_S)

    def note_reply(self, size: int) -> None:
        """Take in the size of a reply."""
        if self.reply_bytes == 0.0:
            self.reply_bytes = float(size)
        self.reply_bytes += SIZE_WEIGHT * (size - self.reply_bytes)


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """The routes in force, by virtual host, longest prefix first.

    `splits` holds for each route with weights how far each service is behind
    its part, in calls.
    """

    by_virtual_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    splits: dict[str, dict[str, float]] = field(default_factory=dict)
    loads: dict[str, RouteLoad] = field(default_factory=dict)

    def get_load(self, route: Route) -> RouteLoad:
        """Return what callers lately asked of a route."""
        return self.loads.setdefault(route.name, RouteLoad())

    def find(self, virtual_host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path, or None."""
        routes = self.by_virtual_host.get(virtual_host)
        if routes is None:
            routes = self.by_virtual_host.get(ANY_VIRTUAL_HOST, ())
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        return None

    def choose_service(self, route: Route, rng: Random) -> str | None:
        """Return the service that takes the next call of a route, by weight.

        Each call adds its weights to what the services are owed, and goes to the
        one that is owed most. The parts are exact over any run of calls; hosts
        begin at random places, so that their first calls do not agree.
        """
        if len(route.services) == 1:
            return route.services[0].service
        total = sum(part.weight for part in route.services)
        if total <= 0.0:
            return None
        shares = {part.service: part.weight / total for part in route.services}
        owed = self.splits.get(route.name)
        if owed is None or owed.keys() != shares.keys():
            owed = dict.fromkeys(shares, 0.0)
            self.splits[route.name] = owed
            for _ in range(rng.randrange(FIRST_PLACES)):
                _take_turn(owed, shares)
        return _take_turn(owed, shares)


def _take_turn(owed: dict[str, float], shares: dict[str, float]) -> str:
    """Return the service that is owed most after another call, and pay it."""
    for name, share in shares.items():
        owed[name] += share
    chosen = max(owed, key=lambda name: (owed[name], name))
    owed[chosen] -= 1.0
    return chosen


def make_route_table(routes: tuple[Route, ...], old: RouteTable) -> RouteTable:
    """Return the table of the routes; the parts of routes that stay are kept."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.virtual_host, []).append(route)
    names = {route.name for route in routes}
    return RouteTable(
        by_virtual_host={
            host: tuple(sorted(rows, key=lambda route: -len(route.path_prefix)))
            for host, rows in grouped.items()
        },
        splits={name: owed for name, owed in old.splits.items() if name in names},
        loads={name: load for name, load in old.loads.items() if name in names},
    )


def apply_route(call: Call, route: Route, service: str, now: float) -> Call:
    """Return the call as it goes on under its route."""
    deadline = call.deadline
    if route.timeout_s > 0.0:
        deadline = min(deadline, now + route.timeout_s)
    return replace(call, service=service, deadline=deadline)


def make_route_rule(route: Route) -> CallRule:
    """Return the urgency and repeatability that a route sets for its calls."""
    return CallRule(
        path_prefix=route.path_prefix,
        idempotent=route.idempotent,
        urgency=route.urgency,
        most_urgent=route.urgency,
    )
