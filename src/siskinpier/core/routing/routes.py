"""Look-up of a call's route, and choice of the service that takes the call."""

from dataclasses import dataclass, field, replace
from math import exp
from random import Random
from typing import Final

from ..configuration.intents import ANY_VIRTUAL_HOST, CallRule, Route
from .calls import Call

# Weight of the newest reply in the mean size, and time constant of a route's decaying
# count of calls, in seconds.
SIZE_WEIGHT: Final = 0.05
LOAD_DECAY_S: Final = 10.0
# Number of positions in the weighted order of services at which a host may start.
START_POSITIONS: Final = 100


@dataclass(slots=True, kw_only=True)
class RouteLoad:
    """Recent traffic of a route, as observed by this host.

    `calls` is a count that decays with age; `reply_bytes` is a moving mean.
    """

    calls: float = 0.0
    counted_at: float = 0.0
    reply_bytes: float = 0.0

    def count(self, now: float) -> None:
        """Count a call."""
        self.calls = self.get_calls(now) + 1.0
        self.counted_at = now

    def get_calls(self, now: float) -> float:
        """Return the decayed count of recent calls."""
        return self.calls * exp((self.counted_at - now) / LOAD_DECAY_S)

    def record_reply(self, size: int) -> None:
        """Record the size of a reply in bytes."""
        if self.reply_bytes == 0.0:
            self.reply_bytes = float(size)
        self.reply_bytes += SIZE_WEIGHT * (size - self.reply_bytes)


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """The routes in force, by virtual host, longest prefix first.

    `deficits` holds for each weighted route how many calls each service is behind
    its share.
    """

    by_virtual_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    deficits: dict[str, dict[str, float]] = field(default_factory=dict)
    loads: dict[str, RouteLoad] = field(default_factory=dict)

    def get_load(self, route: Route) -> RouteLoad:
        """Return the recent traffic of a route."""
        return self.loads.setdefault(route.name, RouteLoad())

    def find(self, virtual_host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        routes = self.by_virtual_host.get(virtual_host)
        if routes is None:
            routes = self.by_virtual_host.get(ANY_VIRTUAL_HOST, ())
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        return None

    def choose_service(self, route: Route, rng: Random) -> str | None:
        """Return the service that takes the next call of a route, by weight.

        This is smooth weighted round robin: each call adds the shares to the
        deficits of the services, and goes to the service with the largest one. The
        shares are exact over any run of calls. Hosts start at random positions, so
        that their first calls do not go to the same service.
        """
        if len(route.services) == 1:
            return route.services[0].service
        total = sum(part.weight for part in route.services)
        if total <= 0.0:
            return None
        shares = {part.service: part.weight / total for part in route.services}
        deficits = self.deficits.get(route.name)
        if deficits is None or deficits.keys() != shares.keys():
            deficits = dict.fromkeys(shares, 0.0)
            self.deficits[route.name] = deficits
            for _ in range(rng.randrange(START_POSITIONS)):
                _take_next(deficits, shares)
        return _take_next(deficits, shares)


def _take_next(deficits: dict[str, float], shares: dict[str, float]) -> str:
    """Return the service with the largest deficit after another call, and reduce it."""
    for name, share in shares.items():
        deficits[name] += share
    chosen = max(deficits, key=lambda name: (deficits[name], name))
    deficits[chosen] -= 1.0
    return chosen


def make_route_table(routes: tuple[Route, ...], old: RouteTable) -> RouteTable:
    """Return the table of the routes; retained routes keep their deficits and loads."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.virtual_host, []).append(route)
    names = {route.name for route in routes}
    return RouteTable(
        by_virtual_host={
            host: tuple(sorted(rows, key=lambda route: -len(route.path_prefix)))
            for host, rows in grouped.items()
        },
        deficits={
            name: deficits for name, deficits in old.deficits.items() if name in names
        },
        loads={name: load for name, load in old.loads.items() if name in names},
    )


def apply_route(call: Call, route: Route, service: str, now: float) -> Call:
    """Return the call with the service and the deadline of its route."""
    deadline = call.deadline
    if route.timeout_s > 0.0:
        deadline = min(deadline, now + route.timeout_s)
    return replace(call, service=service, deadline=deadline)


def make_route_rule(route: Route) -> CallRule:
    """Return the urgency and idempotency that a route sets for its calls."""
    return CallRule(
        path_prefix=route.path_prefix,
        idempotent=route.idempotent,
        urgency=route.urgency,
        most_urgent=route.urgency,
    )
