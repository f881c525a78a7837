"""History checks of the configuration with concurrent operators, hosts and faults.

They guard against accepted orders that are lost, refused orders that take effect, and
hosts that return to an older revision, because of late writes or stale reads.

A rule-based state machine drives real cores in virtual time. For a long run with
another seed, run `HYPOTHESIS_SEED=7 HISTORY_EXAMPLES=500 pytest` on this file.
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
from siskinpier.core.cluster import intents_watch, readiness
from siskinpier.core.configuration import updates
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
from siskinpier.core.platform_results import ROUTING_INTENTS, StoredObject
from siskinpier.core.state import Lifecycle

HOST_COUNT: Final = 4
PROPAGATION_LIMIT_S: Final = 4.0
RECOVERY_LIMIT_S: Final = 30.0
EXAMPLE_COUNT: Final = int(os.environ.get("HISTORY_EXAMPLES", "12"))
PLANTED_EXAMPLE_COUNT: Final = 200
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
class IssuedOrder:
    """An order, identified by its unique operator, and the result sent to it."""

    operator: str
    host: str
    result: OrderResult | None = None


class ConfigurationMachine(RuleBasedStateMachine):
    """Orders, outages, lost replies, stale reads, network cuts and host faults."""

    def __init__(self) -> None:
        super().__init__()
        self.orders: list[IssuedOrder] = []
        # By host: the minimum revision after a restart, and the last one in force.
        self.min_revisions: dict[str, int] = {}
        self.last_revisions: dict[str, int] = {}

    @initialize(number=st.integers(0, 1_000))
    def start(self, number: int) -> None:
        self.world: World = make_deployment(
            intents=make_intents(), hosts=HOST_COUNT, seed=number
        )
        platform = self.world.platform
        assert platform is not None
        self.platform: VirtualPlatform = platform
        for host in self.world.hosts.values():
            host.event_hooks.append(partial(self._check_revision, host))

    @rule(
        host=st.integers(0, HOST_COUNT - 1),
        server=st.integers(0, 3),
        state=st.sampled_from(ServerState),
        racing=st.integers(1, 2),
    )
    def issue_orders(
        self, host: int, server: int, state: ServerState, racing: int
    ) -> None:
        for index in range(racing):
            self._issue_order(f"host-{(host + index) % HOST_COUNT}", server, state)

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

    @rule(
        host=st.integers(0, HOST_COUNT - 1), write_delay_s=st.sampled_from([12.5, 15.0])
    )
    def land_write_after_bound(self, host: int, write_delay_s: float) -> None:
        """Let a write time out and take effect after the order's timeout has passed."""
        self.platform.writes_to_delay, self.platform.write_delay_s = 1, write_delay_s
        self._issue_order(f"host-{host}", 0, ServerState.DRAINING)
        self.world.run_for(0.05)
        self.platform.is_down = True
        self.world.run_for(12.0)
        self.platform.is_down = False

    @rule(host=st.integers(0, HOST_COUNT - 1))
    def read_stale_after_lost_reply(self, host: int) -> None:
        """Lose the reply of a write that took effect, and return stale reads next."""
        self.platform.store.stale_reads = False
        self.platform.replies_to_lose = 1
        self._issue_order(f"host-{host}", 1, ServerState.DRAINING)
        self.world.run_for(0.05)
        self.platform.store.stale_reads = True
        self.world.run_for(25.0)
        self.platform.store.stale_reads = False

    @rule()
    def break_watches(self) -> None:
        self.platform.break_watches()

    @rule(
        source=st.integers(0, HOST_COUNT - 1), receiver=st.integers(0, HOST_COUNT - 1)
    )
    def cut(self, source: int, receiver: int) -> None:
        self.world.network.cut(f"host-{source}", f"host-{receiver}")

    @rule()
    def heal(self) -> None:
        self.world.network.heal()

    @rule(index=st.integers(0, HOST_COUNT - 1))
    def restart(self, index: int) -> None:
        host = self.world.hosts[f"host-{index}"]
        # A restarted host that is cut off from newer hosts cannot learn of them.
        self.world.network.heal()
        others = [
            other
            for other in self.world.hosts.values()
            if other is not host and not other.is_frozen
        ]
        known = max((get_in_force(other) for other in others), default=0)
        self.min_revisions[host.name] = min(
            self.last_revisions.get(host.name, 0), known
        )
        self.last_revisions.pop(host.name, None)
        host.restart()

    @rule()
    def restart_all(self) -> None:
        """Restart all hosts, so that only the platform knows the configuration."""
        self.platform.store.stale_reads = False
        newest = self._get_history()[-1].revision
        for host in self.world.hosts.values():
            host.restart()
            self.min_revisions[host.name] = min(
                self.last_revisions.pop(host.name, 0), newest
            )

    @rule(index=st.integers(0, HOST_COUNT - 1), length_s=st.sampled_from([0.3, 8.0]))
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
        """End all faults; all hosts must agree in time and apply a further order."""
        if not hasattr(self, "world"):
            return
        self.platform.is_down = False
        self.platform.store.stale_reads = False
        self.world.network.heal()
        self.world.run_for(RECOVERY_LIMIT_S)
        self.history_is_whole()
        newest = self._get_history()[-1].revision
        assert {get_in_force(host) for host in self._list_hosts()} == {newest}
        self.platform.replies_to_lose = self.platform.writes_to_delay = 0
        self._issue_order("host-0", 0, ServerState.DRAINING)
        self.world.run_for(PROPAGATION_LIMIT_S)
        assert {get_in_force(host) for host in self._list_hosts()} == {newest + 1}

    def _check_revision(self, host: VirtualHost, *_: Any) -> None:
        """Check after each event that the revision in force never decreases."""
        if host.state.lifecycle is Lifecycle.STARTING:
            return
        revision = get_in_force(host)
        min_revision = max(
            self.min_revisions.get(host.name, 0), self.last_revisions.get(host.name, 0)
        )
        assert revision >= min_revision, f"{host.name}: {revision} after {min_revision}"
        self.last_revisions[host.name] = revision

    def _issue_order(self, host: str, server: int, state: ServerState) -> None:
        order = IssuedOrder(operator=f"operator-{len(self.orders)}", host=host)
        self.orders.append(order)

        def record_result(result: OrderResult) -> None:
            order.result = result

        self.world.hosts[host].give_order(
            SetServerState(service="search", server=f"s{server}", state=state),
            order.operator,
            record_result,
        )

    def _list_hosts(self) -> list[VirtualHost]:
        return list(self.world.hosts.values()) if hasattr(self, "world") else []

    def _get_history(self) -> list[RoutingIntents]:
        if not hasattr(self, "world"):
            return []
        return [make_intents(), *get_written(self.platform)]


def get_in_force(host: VirtualHost) -> int:
    """Return the revision in force at a host; 0 while it starts."""
    if host.state.lifecycle is Lifecycle.STARTING:
        return 0
    return int(host.state.intents.revision)


def get_written(platform: VirtualPlatform) -> list[RoutingIntents]:
    """Return the routing intents of all writes that took effect, in order."""
    parsed = (
        parse_stored(stored)
        for _, stored in platform.history
        if stored.kind == ROUTING_INTENTS and stored.name == INTENTS_NAME
    )
    return list(parsed)


def parse_stored(stored: StoredObject) -> RoutingIntents:
    """Return the validated routing intents of a stored object."""
    intents = parse_or_none(stored.spec)
    assert intents is not None
    return intents


def run_machine(examples: int, steps: int = 25) -> None:
    """Run the state machine with the seed from the environment or a fixed one."""
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
    """Revisions only increase; accepted orders are durable, refused have no effect."""

    def test_concurrent_operators_hosts_and_faults(self) -> None:
        run_machine(EXAMPLE_COUNT)


def plant_early_refusal(patch: pytest.MonkeyPatch) -> None:
    """Refuse at the timeout although the update may still take effect."""
    retry = updates._retry_or_answer

    def refuse(state: Any, pending: Any, *rest: Any) -> None:
        pending.is_outcome_unknown = False
        retry(state, pending, *rest)

    patch.setattr(updates, "_retry_or_answer", refuse)


def plant_trust_in_stale_read(patch: pytest.MonkeyPatch) -> None:
    """Refuse whenever a read does not show the order's own update."""

    def answer_from_read(
        state: Any, pending: Any, written: Any, current: Any, now: float, out: Any
    ) -> None:
        status = OrderStatus.REFUSED
        if pending.update_id in current.recent_updates:
            status = OrderStatus.ACCEPTED
        updates._answer(state, pending, status, written.revision, "", out)

    patch.setattr(updates, "_answer_from_read", answer_from_read)


def plant_second_update(patch: pytest.MonkeyPatch) -> None:
    """Write again after a conflict without looking for the order's own update."""

    def answer_from_read(
        state: Any, pending: Any, written: Any, current: Any, now: float, out: Any
    ) -> None:
        pending.has_conflict = False
        version = state.intents_version
        updates._start_write(state, pending, current, version, now, out)

    patch.setattr(updates, "_answer_from_read", answer_from_read)


def plant_early_acceptance(patch: pytest.MonkeyPatch) -> None:
    """Report a lost reply as an acceptance."""

    def accept(
        state: Any, pending: Any, reason: str, now: float, out: list[Any]
    ) -> None:
        revision = state.intents.revision + 1
        status = OrderStatus.ACCEPTED
        updates._answer(state, pending, status, revision, "", out)

    patch.setattr(updates, "_retry_or_answer", accept)


def plant_older_revisions(patch: pytest.MonkeyPatch) -> None:
    """Put in force the intents seen last, even if they are older."""
    apply = updates.apply_intents

    def apply_any(state: Any, intents: Any, *rest: Any, **options: Any) -> None:
        if intents.revision < state.intents.revision:
            state.intents = RoutingIntents()
        apply(state, intents, *rest, **options)

    for module in (updates, intents_watch, reducer):
        patch.setattr(module, "apply_intents", apply_any)


def plant_early_readiness(patch: pytest.MonkeyPatch) -> None:
    """Become ready after the first read, even if peers have newer intents."""
    patch.setattr(readiness, "find_not_ready_reason", lambda state, now: None)


def plant_equal_update_ids(patch: pytest.MonkeyPatch) -> None:
    """Give all updates the same id."""
    patch.setattr(updates, "_make_update_id", lambda state: "same")


class TestChecker:
    """The history checks find a fault planted in any one mechanism."""

    @pytest.mark.parametrize(
        "plant",
        [
            plant_early_refusal,
            plant_trust_in_stale_read,
            plant_second_update,
            plant_early_acceptance,
            plant_older_revisions,
            plant_early_readiness,
            plant_equal_update_ids,
        ],
    )
    def test_finds_planted_fault(
        self, plant: Callable[[pytest.MonkeyPatch], None]
    ) -> None:
        with pytest.MonkeyPatch.context() as patch:
            plant(patch)
            with pytest.raises(AssertionError):
                run_machine(PLANTED_EXAMPLE_COUNT)
