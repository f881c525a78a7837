"""History checks of the configuration: concurrent operators, hosts and faults.

A rule-based state machine drives real cores in virtual time. For a long run with
other seeds: `HYPOTHESIS_SEED=7 HISTORY_EXAMPLES=500 pytest` on this file.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

import pytest
from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bench.virtual import VirtualHost, VirtualPlatform, World
from bench.virtual.deployment import make_deployment
from bench.virtual.platform_client import parse_or_none
from siskinpier.core import reducer
from siskinpier.core.cluster import following, readiness
from siskinpier.core.configuration import updates as configuration
from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServerState,
    ServiceIntent,
)
from siskinpier.core.configuration.orders import (
    OrderResult,
    OrderStatus,
    SetServerState,
)
from siskinpier.core.configuration.updates import INTENTS_NAME
from siskinpier.core.platform_results import ROUTING_INTENTS, Stored
from siskinpier.core.state import Lifecycle

HOSTS: Final = 4
IN_FORCE_S: Final = 4.0
QUIET_S: Final = 30.0
EXAMPLES: Final = int(os.environ.get("HISTORY_EXAMPLES", "12"))
PLANTED_EXAMPLES: Final = 200
SEED: Final = os.environ.get("HYPOTHESIS_SEED")


def make_intents() -> RoutingIntents:
    """Return one service with a backend server in each of two failure domains."""
    servers = tuple(
        BackendServer(
            name=f"s{n}", address=f"10.0.0.{n}:80", failure_domain=f"d{n % 2}"
        )
        for n in range(4)
    )
    service = ServiceIntent(name="search", servers=servers)
    return RoutingIntents(revision=1, services=(service,))


@dataclass(slots=True, kw_only=True)
class GivenOrder:
    """An order, its unique mark and what its operator was told."""

    operator: str
    host: str
    result: OrderResult | None = None


class ConfigurationMachine(RuleBasedStateMachine):
    """Orders, outages, lost replies, stale reads, cuts, and faults of hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.orders: list[GivenOrder] = []
        self.floor: dict[str, int] = {}
        self.seen: dict[str, int] = {}

    @initialize(number=st.integers(0, 1_000))
    def start(self, number: int) -> None:
        self.world: World = make_deployment(
            intents=make_intents(), hosts=HOSTS, seed=number
        )
        platform = self.world.platform
        assert platform is not None
        self.platform: VirtualPlatform = platform
        for host in self.world.hosts.values():
            host.event_hooks.append(partial(self._check_revision, host))

    @rule(
        host=st.integers(0, HOSTS - 1),
        server=st.integers(0, 3),
        state=st.sampled_from(ServerState),
        racing=st.integers(1, 2),
    )
    def give_orders(
        self, host: int, server: int, state: ServerState, racing: int
    ) -> None:
        for index in range(racing):
            self._give(f"host-{(host + index) % HOSTS}", server, state)

    @rule(length_s=st.sampled_from([0.002, 0.005, 0.4, 1.5, 6.0]))
    def wait(self, length_s: float) -> None:
        self.world.run_for(length_s)

    @rule()
    def switch_outage(self) -> None:
        self.platform.is_down = not self.platform.is_down

    @rule()
    def switch_stale_reads(self) -> None:
        self.platform.store.stale_reads = not self.platform.store.stale_reads

    @rule(count=st.integers(1, 3))
    def replies_to_lose(self, count: int) -> None:
        self.platform.replies_to_lose = count

    @rule(count=st.integers(1, 2), write_delay_s=st.sampled_from([0.5, 3.0, 9.0, 20.0]))
    def delay_writes(self, count: int, write_delay_s: float) -> None:
        self.platform.writes_to_delay = count
        self.platform.write_delay_s = write_delay_s

    @rule(host=st.integers(0, HOSTS - 1), write_delay_s=st.sampled_from([12.5, 15.0]))
    def land_write_after_bound(self, host: int, write_delay_s: float) -> None:
        """Let a write time out, and land after an outage of the order's bound."""
        self.platform.writes_to_delay, self.platform.write_delay_s = 1, write_delay_s
        self._give(f"host-{host}", 0, ServerState.DRAINING)
        self.world.run_for(0.05)
        self.platform.is_down = True
        self.world.run_for(12.0)
        self.platform.is_down = False

    @rule(host=st.integers(0, HOSTS - 1))
    def read_stale_after_lost_reply(self, host: int) -> None:
        """Let a write take effect unheard, and reads lag behind it."""
        self.platform.store.stale_reads = False
        self.platform.replies_to_lose = 1
        self._give(f"host-{host}", 1, ServerState.DRAINING)
        self.world.run_for(0.05)
        self.platform.store.stale_reads = True
        self.world.run_for(25.0)
        self.platform.store.stale_reads = False

    @rule()
    def break_watches(self) -> None:
        self.platform.break_watches()

    @rule(source=st.integers(0, HOSTS - 1), receiver=st.integers(0, HOSTS - 1))
    def cut(self, source: int, receiver: int) -> None:
        self.world.network.cut(f"host-{source}", f"host-{receiver}")

    @rule()
    def heal(self) -> None:
        self.world.network.heal()

    @rule(index=st.integers(0, HOSTS - 1))
    def restart(self, index: int) -> None:
        host = self.world.hosts[f"host-{index}"]
        # While cut off from whoever knows more, a fresh host can know no better.
        self.world.network.heal()
        others = [
            other
            for other in self.world.hosts.values()
            if other is not host and not other.is_frozen
        ]
        known = max((get_in_force(other) for other in others), default=0)
        self.floor[host.name] = min(self.seen.get(host.name, 0), known)
        self.seen.pop(host.name, None)
        host.restart()

    @rule()
    def restart_all(self) -> None:
        """Restart all hosts; the platform alone knows the configuration then."""
        self.platform.store.stale_reads = False
        newest = self._get_history()[-1].revision
        for host in self.world.hosts.values():
            host.restart()
            self.floor[host.name] = min(self.seen.pop(host.name, 0), newest)

    @rule(index=st.integers(0, HOSTS - 1), length_s=st.sampled_from([0.3, 8.0]))
    def freeze(self, index: int, length_s: float) -> None:
        host = self.world.hosts[f"host-{index}"]
        host.freeze()
        self.world.run_for(length_s)
        host.resume()

    @invariant()
    def history_is_whole(self) -> None:
        history = self._get_history()
        numbers = [intents.revision for intents in history]
        assert numbers == list(range(1, len(numbers) + 1))
        operators = [intents.changed_by for intents in history]
        for order in self.orders:
            count = operators.count(order.operator)
            assert count <= 1, f"{order} took effect {count} times"
            if order.result is None:
                continue
            if order.result.status is OrderStatus.REFUSED:
                assert count == 0, f"refused, yet in force: {order}"
            if order.result.status is OrderStatus.ACCEPTED:
                assert count == 1, f"accepted, yet not durable: {order}"
                revision = operators.index(order.operator) + 1
                assert order.result.revision == revision, f"not durable: {order}"

    @invariant()
    def in_force_was_accepted(self) -> None:
        history = self._get_history()
        for host in self._list_hosts():
            revision = host.state.intents.revision
            if revision:
                assert host.state.intents.services == history[revision - 1].services

    def teardown(self) -> None:
        """End the faults: all agree within the bound, and every order is told."""
        if not hasattr(self, "world"):
            return
        self.platform.is_down = False
        self.platform.store.stale_reads = False
        self.world.network.heal()
        self.world.run_for(QUIET_S)
        self.history_is_whole()
        newest = self._get_history()[-1].revision
        assert {get_in_force(host) for host in self._list_hosts()} == {newest}
        self.platform.replies_to_lose = self.platform.writes_to_delay = 0
        self._give("host-0", 0, ServerState.DRAINING)
        self.world.run_for(IN_FORCE_S)
        assert {get_in_force(host) for host in self._list_hosts()} == {newest + 1}

    def _check_revision(self, host: VirtualHost, *_: Any) -> None:
        """Check after each event that the revision in force only rises."""
        if host.state.lifecycle is Lifecycle.STARTING:
            return
        revision = get_in_force(host)
        floor = max(self.floor.get(host.name, 0), self.seen.get(host.name, 0))
        assert revision >= floor, f"{host.name}: {revision} after {floor}"
        self.seen[host.name] = revision

    def _give(self, host: str, server: int, state: ServerState) -> None:
        order = GivenOrder(operator=f"operator-{len(self.orders)}", host=host)
        self.orders.append(order)

        def done(result: OrderResult) -> None:
            order.result = result

        self.world.hosts[host].give_order(
            SetServerState(service="search", server=f"s{server}", state=state),
            order.operator,
            done,
        )

    def _list_hosts(self) -> list[VirtualHost]:
        return list(self.world.hosts.values()) if hasattr(self, "world") else []

    def _get_history(self) -> list[RoutingIntents]:
        if not hasattr(self, "world"):
            return []
        return [make_intents(), *get_written(self.platform)]


def get_in_force(host: VirtualHost) -> int:
    """Return the revision that a host serves by; 0 while it starts."""
    if host.state.lifecycle is Lifecycle.STARTING:
        return 0
    return int(host.state.intents.revision)


def get_written(platform: VirtualPlatform) -> list[RoutingIntents]:
    """Return the routing intents of every write that took effect, in order."""
    parsed = (
        parse_stored(stored)
        for _, stored in platform.history
        if stored.kind == ROUTING_INTENTS and stored.name == INTENTS_NAME
    )
    return list(parsed)


def parse_stored(stored: Stored) -> RoutingIntents:
    """Return the validated routing intents of a stored object."""
    intents = parse_or_none(stored.spec)
    assert intents is not None
    return intents


def run_machine(examples: int, steps: int = 25) -> None:
    """Run the state machine with the seed of the environment, or a fixed one."""
    profile = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=SEED is None,
        database=None,
        phases=(Phase.generate,),
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    machine: Any = ConfigurationMachine
    if SEED is not None:
        machine = seed(int(SEED))(machine)
    run_state_machine_as_test(machine, settings=profile)


class TestHistory:
    """Versions in force rise, accepted is durable, refused never takes effect."""

    def test_concurrent_operators_hosts_and_faults(self) -> None:
        run_machine(EXAMPLES)


def plant_refusal_in_doubt(patch: pytest.MonkeyPatch) -> None:
    """Refuse at the bound although an update may yet take effect."""
    give_up = configuration._wait_or_give_up

    def refuse(state: Any, pending: Any, *rest: Any) -> None:
        pending.doubtful = False
        give_up(state, pending, *rest)

    patch.setattr(configuration, "_wait_or_give_up", refuse)


def plant_trust_in_stale_read(patch: pytest.MonkeyPatch) -> None:
    """Refuse whenever a read does not show the own update."""

    def settle(
        state: Any, pending: Any, written: Any, current: Any, now: float, out: Any
    ) -> None:
        status = OrderStatus.REFUSED
        if pending.update_id in current.recent_updates:
            status = OrderStatus.ACCEPTED
        configuration._answer(state, pending, status, written.revision, "", out)

    patch.setattr(configuration, "_settle", settle)


def plant_second_update(patch: pytest.MonkeyPatch) -> None:
    """Write anew after a conflict, without looking for the own update."""

    def settle(
        state: Any, pending: Any, written: Any, current: Any, now: float, out: Any
    ) -> None:
        pending.conflicted = False
        version = state.intents_version
        configuration._start_write(state, pending, current, version, now, out)

    patch.setattr(configuration, "_settle", settle)


def plant_early_acceptance(patch: pytest.MonkeyPatch) -> None:
    """Take a lost reply for an acceptance."""

    def accept(
        state: Any, pending: Any, reason: str, now: float, out: list[Any]
    ) -> None:
        revision = state.intents.revision + 1
        status = OrderStatus.ACCEPTED
        configuration._answer(state, pending, status, revision, "", out)

    patch.setattr(configuration, "_wait_or_give_up", accept)


def plant_older_revisions(patch: pytest.MonkeyPatch) -> None:
    """Put in force whatever was seen last."""
    take = configuration.take_intents

    def take_any(state: Any, intents: Any, *rest: Any, **options: Any) -> None:
        if intents.revision < state.intents.revision:
            state.intents = RoutingIntents()
        take(state, intents, *rest, **options)

    for module in (configuration, following, reducer):
        patch.setattr(module, "take_intents", take_any)


def plant_hasty_start(patch: pytest.MonkeyPatch) -> None:
    """Serve by the first read, whatever the peers know."""
    patch.setattr(readiness, "get_lack", lambda state, now: None)


def plant_equal_update_ids(patch: pytest.MonkeyPatch) -> None:
    """Give every update the same id."""
    patch.setattr(configuration, "_make_update_id", lambda state: "same")


class TestChecker:
    """Each mechanism's fault, planted, is found by the history checks."""

    @pytest.mark.parametrize(
        "plant",
        [
            plant_refusal_in_doubt,
            plant_trust_in_stale_read,
            plant_second_update,
            plant_early_acceptance,
            plant_older_revisions,
            plant_hasty_start,
            plant_equal_update_ids,
        ],
    )
    def test_finds_planted_fault(
        self, plant: Callable[[pytest.MonkeyPatch], None]
    ) -> None:
        with pytest.MonkeyPatch.context() as patch:
            plant(patch)
            with pytest.raises(AssertionError):
                run_machine(PLANTED_EXAMPLES)
