"""Finding the route of a call, and the service that takes it."""

from dataclasses import dataclass, field, replace
from random import Random

from .calls import Call
from .intents import CallRule, Route


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """The routes in force, by virtual host, longest prefix first.

    `splits` holds for each route with weights how far each service is behind
    its part, in calls.
    """

    by_virtual_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    splits: dict[str, dict[str, float]] = field(default_factory=dict)

    def find(self, virtual_host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path, or None."""
        for route in self.by_virtual_host.get(virtual_host, ()):
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
            owed = {name: share * rng.random() for name, share in shares.items()}
            self.splits[route.name] = owed
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
