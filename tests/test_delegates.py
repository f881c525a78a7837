"""Hosts that speak for their failure domain: what crosses, and what is known where."""

from collections import Counter

import pytest

from siskinpier.core.cluster.delegates import DOMAIN_SILENCE_S, list_delegates
from siskinpier.core.events import Event, TimerFired
from siskinpier.core.messages import Message
from siskinpier.core.timers import HeartbeatDue
from siskinpier.edge.codec import encode_message
from tests.standins.slot_world import SlotWorld

DOMAINS = 5
# Bytes of messages at rest that a host may send to other failure domains in a second.
BYTES_PER_S = 100
# From a host's death to the last host of another domain that knows: four heartbeats
# until its own domain is sure, and the way.
KNOWN_S = 3.0
# The same for news that a host itself tells.
TOLD_S = 1.0
# From the end of a cut to all hosts knowing each other again.
RETURNED_S = 6.0


def make_world(hosts: int = 25) -> SlotWorld:
    """Return hosts of five failure domains that know each other."""
    names = {f"h{n}": f"d{n % DOMAINS}" for n in range(hosts)}
    world = SlotWorld(hosts=names, servers=[])
    world.run_for(5.0)
    return world


def list_believers(world: SlotWorld, name: str) -> list[str]:
    """Return the running hosts that take a host for alive."""
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


def cut(world: SlotWorld, domain: str) -> None:
    """Cut a failure domain off from all others."""
    domains = world.domains
    world.drop = lambda a, b, m: (domains[a] == domain) != (domains[b] == domain)


class TestViews:
    """What happens in one failure domain is known in all."""

    def test_all_know_all(self) -> None:
        world = make_world()
        for state in world.states.values():
            assert len(state.live) == len(world.states)

    @pytest.mark.parametrize("place", [0, 1, 2])
    def test_dead_host(self, place: int) -> None:
        world = make_world()
        first, second = find_delegates(world, "d0")
        others = [n for n, d in world.domains.items() if d == "d0"]
        others = [n for n in others if n not in (first, second)]
        victim = (first, second, others[0])[place]
        world.dead.add(victim)
        world.run_for(KNOWN_S)
        assert list_believers(world, victim) == []

    def test_both_delegates_die_at_once(self) -> None:
        world = make_world()
        delegates = find_delegates(world, "d0")
        world.dead.update(delegates)
        world.run_for(2 * KNOWN_S)
        for name in delegates:
            assert list_believers(world, name) == []
        others = [n for n, d in world.domains.items() if d == "d0"]
        for name in others:
            if name not in delegates:
                assert len(list_believers(world, name)) == len(world.states) - 3

    def test_restarted_host(self) -> None:
        world = make_world()
        victim = find_delegates(world, "d0")[0]
        world.dead.add(victim)
        world.run_for(KNOWN_S)
        world.dead.clear()
        world.restart(victim)
        world.run_for(TOLD_S)
        assert len(list_believers(world, victim)) == len(world.states) - 1

    @pytest.mark.parametrize("place", [0, 1])
    def test_delegate_that_stood_still(self, place: int) -> None:
        world = make_world()
        frozen = find_delegates(world, "d0")[place]
        world.dead.add(frozen)
        world.run_for(DOMAIN_SILENCE_S + KNOWN_S)
        world.dead.clear()
        # Its timers come due as it wakes.
        world.handle(frozen, TimerFired(now=world.now, timer=HeartbeatDue()))
        world.run_for(KNOWN_S)
        assert not world.list_log_fields("domain-silent")
        for state in world.states.values():
            assert len(state.live) == len(world.states)

    def test_half_of_all_hosts_die_and_return(self) -> None:
        world = make_world()
        victims = list(world.states)[:12]
        world.dead.update(victims)
        world.run_for(2 * KNOWN_S)
        for name in victims:
            assert list_believers(world, name) == []
        world.dead.clear()
        for name in victims:
            world.restart(name)
        world.run_for(KNOWN_S)
        for name in world.states:
            assert len(list_believers(world, name)) == len(world.states) - 1

    def test_cut_failure_domain_and_its_end(self) -> None:
        world = make_world()
        cut(world, "d0")
        world.run_for(DOMAIN_SILENCE_S + KNOWN_S)
        for name, state in world.states.items():
            is_inside = world.domains[name] == "d0"
            assert len(state.live) == (5 if is_inside else 20)
        world.drop = lambda a, b, m: False
        world.run_for(RETURNED_S)
        for state in world.states.values():
            assert len(state.live) == len(world.states)

    @pytest.mark.parametrize("place", [0, 5])
    def test_cut_host_and_its_end(self, place: int) -> None:
        world = make_world()
        lone = find_delegates(world, "d0")[0] if place == 0 else f"h{place}"
        world.drop = lambda a, b, m: lone in (a, b)
        world.run_for(2 * KNOWN_S)
        assert list_believers(world, lone) == []
        world.drop = lambda a, b, m: False
        world.run_for(RETURNED_S)
        for state in world.states.values():
            assert len(state.live) == len(world.states)


class TestWakeUps:
    """A host that owns no backend server hardly wakes."""

    # Of any kind, in a second; most are heartbeats and words of relays.
    LIMIT = 15

    def test_at_rest(self) -> None:
        world = make_world()
        names = [n for n, s in world.states.items() if not s.watching]
        woken: Counter[str] = Counter()
        handle = world.handle

        def count(host: str, event: Event) -> None:
            woken[host] += isinstance(event, TimerFired)
            handle(host, event)

        world.handle = count  # type: ignore[method-assign]
        world.run_for(4.0)
        assert max(woken[name] / 4.0 for name in names) <= self.LIMIT


class TestBytes:
    """What crosses hardly grows with the number of hosts."""

    @pytest.mark.parametrize("hosts", [60])
    def test_at_rest(self, hosts: int) -> None:
        world = make_world(hosts)
        crossed: Counter[str] = Counter()
        deliver = world._deliver

        def count(sender: str, to: str, message: Message) -> None:
            if world.domains[sender] != world.domains.get(to):
                crossed[type(message).__name__] += len(encode_message(message))
            deliver(sender, to, message)

        world._deliver = count  # type: ignore[method-assign]
        world.run_for(16.0)
        assert crossed.total() / hosts / 16.0 <= BYTES_PER_S
