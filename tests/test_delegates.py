"""Tests of delegates: views of all failure domains, and traffic between domains."""

from collections import Counter

import pytest

from siskinpier.core.cluster.delegates import DOMAIN_SILENCE_S, list_delegates
from siskinpier.core.events import Event, TimerFired
from siskinpier.core.messages import Message
from siskinpier.core.timers import HeartbeatDue
from siskinpier.edge.codec import encode_message
from tests.standins.slot_world import SlotWorld

DOMAINS = 5
# Limit of the bytes per second that an idle host sends to other failure domains.
REMOTE_BYTES_PER_S = 100
# Limit of the time from the death of a host until all hosts of other domains know it:
# four heartbeats until its own domain detects it, and the time to spread the change.
VIEW_UPDATE_LIMIT_S = 3.0
# The same limit for a change that the host itself announces.
ANNOUNCEMENT_LIMIT_S = 1.0
# Limit of the time from the end of a partition until all views are complete again.
RECOVERY_LIMIT_S = 6.0


def make_world(hosts: int = 25) -> SlotWorld:
    """Return hosts in five failure domains that know each other."""
    names = {f"h{n}": f"d{n % DOMAINS}" for n in range(hosts)}
    world = SlotWorld(hosts=names, servers=[])
    world.run_for(5.0)
    return world


def list_viewers(world: SlotWorld, name: str) -> list[str]:
    """Return the other running hosts whose view contains a host."""
    return [
        host
        for host, state in world.states.items()
        if host not in world.dead and host != name and name in state.live
    ]


def find_delegates(world: SlotWorld, domain: str) -> list[str]:
    """Return the delegates of a failure domain, as its own hosts see them."""
    state = next(
        s for s in world.states.values() if s.identity.failure_domain == domain
    )
    return list_delegates(state, domain, world.now)


def cut_domain(world: SlotWorld, domain: str) -> None:
    """Cut a failure domain off from all others."""
    domains = world.domains
    world.drop = lambda a, b, m: (domains[a] == domain) != (domains[b] == domain)


class TestViews:
    """Changes in one failure domain become known in all of them."""

    def test_complete_views(self) -> None:
        world = make_world()
        for state in world.states.values():
            assert len(state.live) == len(world.states)

    @pytest.mark.parametrize("index", [0, 1, 2])
    def test_dead_host(self, index: int) -> None:
        world = make_world()
        first, second = find_delegates(world, "d0")
        others = [n for n, d in world.domains.items() if d == "d0"]
        others = [n for n in others if n not in (first, second)]
        victim = (first, second, others[0])[index]
        world.dead.add(victim)
        world.run_for(VIEW_UPDATE_LIMIT_S)
        assert list_viewers(world, victim) == []

    def test_both_delegates_die_at_once(self) -> None:
        world = make_world()
        delegates = find_delegates(world, "d0")
        world.dead.update(delegates)
        world.run_for(2 * VIEW_UPDATE_LIMIT_S)
        for name in delegates:
            assert list_viewers(world, name) == []
        others = [n for n, d in world.domains.items() if d == "d0"]
        for name in others:
            if name not in delegates:
                assert len(list_viewers(world, name)) == len(world.states) - 3

    def test_restarted_host(self) -> None:
        world = make_world()
        victim = find_delegates(world, "d0")[0]
        world.dead.add(victim)
        world.run_for(VIEW_UPDATE_LIMIT_S)
        world.dead.clear()
        world.restart(victim)
        world.run_for(ANNOUNCEMENT_LIMIT_S)
        assert len(list_viewers(world, victim)) == len(world.states) - 1

    @pytest.mark.parametrize("index", range(5))
    def test_earlier_clock_that_only_other_domains_remember(self, index: int) -> None:
        # All hosts of a domain start anew, one of them with a lower incarnation.
        world = make_world()
        names = [name for name, domain in world.domains.items() if domain == "d0"]
        victim = names[index]
        world.dead.update(names)
        world.run_for(DOMAIN_SILENCE_S + VIEW_UPDATE_LIMIT_S)
        world.dead.clear()
        for name in names:
            world.restart(name, incarnation_step=-1 if name == victim else 1)
        world.run_for(RECOVERY_LIMIT_S)
        assert len(list_viewers(world, victim)) == len(world.states) - 1

    @pytest.mark.parametrize("index", [0, 1])
    def test_frozen_delegate(self, index: int) -> None:
        world = make_world()
        frozen = find_delegates(world, "d0")[index]
        world.dead.add(frozen)
        world.run_for(DOMAIN_SILENCE_S + VIEW_UPDATE_LIMIT_S)
        world.dead.clear()
        # Its overdue timer fires when it resumes.
        world.handle(frozen, TimerFired(now=world.now, timer=HeartbeatDue()))
        world.run_for(VIEW_UPDATE_LIMIT_S)
        assert not world.list_log_fields("domain-silent")
        for state in world.states.values():
            assert len(state.live) == len(world.states)

    def test_half_of_all_hosts_die_and_restart(self) -> None:
        world = make_world()
        victims = list(world.states)[:12]
        world.dead.update(victims)
        world.run_for(2 * VIEW_UPDATE_LIMIT_S)
        for name in victims:
            assert list_viewers(world, name) == []
        world.dead.clear()
        for name in victims:
            world.restart(name)
        world.run_for(VIEW_UPDATE_LIMIT_S)
        for name in world.states:
            assert len(list_viewers(world, name)) == len(world.states) - 1

    def test_partitioned_failure_domain_and_recovery(self) -> None:
        world = make_world()
        cut_domain(world, "d0")
        world.run_for(DOMAIN_SILENCE_S + VIEW_UPDATE_LIMIT_S)
        for name, state in world.states.items():
            is_inside = world.domains[name] == "d0"
            assert len(state.live) == (5 if is_inside else 20)
        world.drop = lambda a, b, m: False
        world.run_for(RECOVERY_LIMIT_S)
        for state in world.states.values():
            assert len(state.live) == len(world.states)

    @pytest.mark.parametrize("index", [0, 5])
    def test_partitioned_host_and_recovery(self, index: int) -> None:
        world = make_world()
        isolated = find_delegates(world, "d0")[0] if index == 0 else f"h{index}"
        world.drop = lambda a, b, m: isolated in (a, b)
        world.run_for(2 * VIEW_UPDATE_LIMIT_S)
        assert list_viewers(world, isolated) == []
        world.drop = lambda a, b, m: False
        world.run_for(RECOVERY_LIMIT_S)
        for state in world.states.values():
            assert len(state.live) == len(world.states)


class TestWakeUps:
    """A host that owns no backend server rarely wakes up."""

    # Timer events per second, most of them for heartbeats and relay reports.
    LIMIT = 15

    def test_idle_host(self) -> None:
        world = make_world()
        names = [n for n, s in world.states.items() if not s.watching]
        wake_ups: Counter[str] = Counter()
        handle = world.handle

        def count(host: str, event: Event) -> None:
            wake_ups[host] += isinstance(event, TimerFired)
            handle(host, event)

        world.handle = count  # type: ignore[method-assign]
        world.run_for(4.0)
        assert max(wake_ups[name] / 4.0 for name in names) <= self.LIMIT


class TestBytes:
    """Traffic between failure domains hardly grows with the number of hosts."""

    @pytest.mark.parametrize("hosts", [60])
    def test_idle_hosts(self, hosts: int) -> None:
        world = make_world(hosts)
        remote_bytes: Counter[str] = Counter()
        deliver = world._deliver

        def count(sender: str, to: str, message: Message) -> None:
            if world.domains[sender] != world.domains.get(to):
                remote_bytes[type(message).__name__] += len(encode_message(message))
            deliver(sender, to, message)

        world._deliver = count  # type: ignore[method-assign]
        world.run_for(16.0)
        assert remote_bytes.total() / hosts / 16.0 <= REMOTE_BYTES_PER_S
