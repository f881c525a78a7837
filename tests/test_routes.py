"""Tests of routes: longest prefix, exact weights, and addresses by slots."""

from collections import Counter
from random import Random

import pytest

from siskinpier.core.configuration.intents import Route, WeightedService
from siskinpier.core.routing.address_choice import choose_addresses, compute_host_counts
from siskinpier.core.routing.routes import RouteTable, make_route_table
from tests.standins.slot_world import VIRTUAL_HOST, SlotWorld


def make_route(name: str, prefix: str, *weights: float) -> Route:
    """Return a route whose services are named by their index."""
    services = tuple(
        WeightedService(service=f"s{n}", weight=weight)
        for n, weight in enumerate(weights or (1.0,))
    )
    return Route(name=name, virtual_host="h", path_prefix=prefix, services=services)


class TestFind:
    """Look-up of the route with the longest matching prefix."""

    @pytest.mark.parametrize(
        ("path", "name"),
        [("/a/x", "a"), ("/a/b/x", "ab"), ("/a/bc", "a"), ("/c/", None), ("/a", None)],
    )
    def test_longest_prefix(self, path: str, name: str | None) -> None:
        routes = (make_route("a", "/a/"), make_route("ab", "/a/b/"))
        found = make_route_table(routes, RouteTable()).find("h", path)
        assert (found.name if found else None) == name

    def test_other_virtual_host(self) -> None:
        table = make_route_table((make_route("a", "/"),), RouteTable())
        assert table.find("other", "/") is None


class TestWeights:
    """Each service gets its weight over any sequence of calls."""

    @pytest.mark.parametrize("seed", range(5))
    def test_weights_are_exact(self, seed: int) -> None:
        route = make_route("a", "/", 70.0, 20.0, 10.0)
        table, rng = RouteTable(), Random(seed)
        counts = Counter(table.choose_service(route, rng) for _ in range(100))
        for name, part in (("s0", 70), ("s1", 20), ("s2", 10)):
            assert abs(counts[name] - part) <= 2

    def test_hosts_do_not_all_start_with_the_same_service(self) -> None:
        route = make_route("a", "/", 90.0, 10.0)
        first = Counter(
            RouteTable().choose_service(route, Random(seed)) for seed in range(200)
        )
        assert 5 <= first["s1"] <= 50

    def test_weights_of_zero(self) -> None:
        route = make_route("a", "/", 0.0, 0.0)
        assert RouteTable().choose_service(route, Random(1)) is None


class TestAddresses:
    """Choice of the hosts whose addresses callers get."""

    def test_strong_hosts_come_first_if_not_all_are_named(self) -> None:
        hosts = {f"h{n}": f"d{n % 2}" for n in range(12)}
        strengths = dict.fromkeys(hosts, 0.04) | {"h4": 0.7, "h7": 0.7}
        world = SlotWorld(hosts=hosts, servers=[], strengths=strengths)
        answers = [
            choose_addresses(state, virtual_host=VIRTUAL_HOST, now=world.now, limit=4)
            for state in world.states.values()
        ]
        assert len(set(answers)) == 1
        assert answers[0] is not None
        assert len(answers[0].addresses) == 4
        assert {"h4:1", "h7:1"} <= set(answers[0].addresses)


class TestHostCounts:
    """Number of addresses by the slots of each failure domain."""

    def test_in_proportion(self) -> None:
        counts = compute_host_counts(
            {"a": 6, "b": 6, "c": 6}, {"a": 0.5, "b": 0.125, "c": 0.375}, 64
        )
        assert counts["a"] == 6
        assert counts["b"] < counts["c"] < counts["a"]

    def test_no_domain_is_left_out(self) -> None:
        assert compute_host_counts({"a": 3, "b": 3}, {"a": 1.0}, 64) == {"a": 3, "b": 1}

    @pytest.mark.parametrize("limit", [4, 10, 64, 142])
    def test_limit_keeps_the_proportions(self, limit: int) -> None:
        # Callers use the first 64 addresses, which must not come from two domains only.
        sizes = {"a": 42, "b": 30, "c": 34, "d": 37}
        shares = {"a": 0.25, "b": 0.25, "c": 0.25, "d": 0.25}
        counts = compute_host_counts(sizes, shares, limit)
        assert sum(counts.values()) <= limit
        assert max(counts.values()) - min(counts.values()) <= 1

    def test_limit_with_nothing_known(self) -> None:
        assert sum(compute_host_counts({"a": 80, "b": 40}, {}, 64).values()) == 64

    def test_nothing_known(self) -> None:
        assert compute_host_counts({"a": 3, "b": 2}, {}, 64) == {"a": 3, "b": 2}
