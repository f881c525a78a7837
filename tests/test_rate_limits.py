"""Tests of the rate limits that backend servers name for all hosts together."""

from dataclasses import replace
from random import Random
from typing import Final

import pytest

from siskinpier.core.events import CallCancelled, MessageReceived
from siskinpier.core.messages import RateLimitNotice, SlotRequest
from siskinpier.core.routing.calls import RateLimitReport
from siskinpier.core.routing.rate_limits import set_rate_limit
from siskinpier.core.state import RateLimitKey
from siskinpier.core.verdict import Verdict
from siskinpier.edge.header_adapter import DefaultHeaderAdapter
from siskinpier.edge.headers import RATE_LIMIT_HEADER
from siskinpier.platform.headers import (
    RATE_LIMIT_HEADER as PLATFORM_RATE_LIMIT_HEADER,
    PlatformHeaderAdapter,
)
from tests.standins.scripted_server import ScriptedServer
from tests.standins.slot_world import SlotWorld, make_route

# The users' rule: requests in any 4 s, from 3 s after a server first named its limit.
WINDOW_S: Final = 4.0
SETTLE_S: Final = 3.0
RATE_FACTOR: Final = 1.5
SLACK: Final = 5
# A limited server gets at least this share of its limit.
MIN_USED_SHARE: Final = 0.8
DOMAINS: Final = ("d1", "d2", "d3")
HOSTS: Final = {f"h{n}": DOMAINS[n % 3] for n in range(17)}
LENGTH_S: Final = 15.0

READABLE = [
    (b"1", 1.0),
    (b"1.5", 1.5),
    (b" 20 ", 20.0),
    (b"0", 0.0),
    (b"0.25", 0.25),
    (b"1e2", 100.0),
]
UNREADABLE = [
    b"",
    b"many",
    b"-1",
    b"nan",
    b"inf",
    b"1e400",
    b"5, 5",
    b"1_0",
    b"9" * 400,
]


def make_platform_adapter() -> PlatformHeaderAdapter:
    """Return the adapter of a host on the users' platform."""
    return PlatformHeaderAdapter(host="h", peer_key=b"key")


class TestField:
    """The field of a limit is read on both kinds of deployments."""

    @pytest.mark.parametrize(("value", "per_s"), READABLE)
    def test_readable(self, value: bytes, per_s: float) -> None:
        expected = RateLimitReport(per_s=per_s)
        own = DefaultHeaderAdapter(host="h", peer_key=b"key")
        assert own.read_rate_limit([(RATE_LIMIT_HEADER, value)]) == expected
        platform = make_platform_adapter()
        headers = [(PLATFORM_RATE_LIMIT_HEADER, value)]
        assert platform.read_rate_limit(headers) == expected

    @pytest.mark.parametrize("value", UNREADABLE)
    def test_unreadable_is_logged(
        self, value: bytes, caplog: pytest.LogCaptureFixture
    ) -> None:
        headers = [(PLATFORM_RATE_LIMIT_HEADER, value)]
        report = make_platform_adapter().read_rate_limit(headers)
        assert report == RateLimitReport(per_s=None)
        assert "rate-limit-unreadable" in caplog.text

    def test_no_field(self) -> None:
        assert make_platform_adapter().read_rate_limit([]) is None


def make_world(servers: int = 9, **changes: object) -> SlotWorld:
    """Return 17 hosts in three failure domains, with servers in all of them."""
    made = [
        ScriptedServer(name=f"s{n}", failure_domain=DOMAINS[n % 3], slots=4)
        for n in range(servers)
    ]
    return SlotWorld(hosts=HOSTS, servers=made, route=make_route(**changes))


def send_calls(world: SlotWorld, per_s: float, length_s: float = LENGTH_S) -> list[str]:
    """Send calls to random hosts for some time; return their ids."""
    rng = Random(7)
    sent: list[str] = []
    end, at = world.now + length_s, 0.0
    while (at := at + rng.expovariate(per_s)) < length_s:
        call_id = f"c{world.now:.0f}-{len(sent)}"
        host = rng.choice([h for h in world.domains if h not in world.dead])
        world.after(at, lambda h=host, c=call_id: world.call(h, c))  # type: ignore[misc]
        sent.append(call_id)
    world.run_for(end - world.now)
    return sent


def count_worst_window(world: SlotWorld, server: str, since: float) -> int:
    """Return the most requests, probes included, that a server got in any window."""
    times = [r.at for r in world.requests if r.server == server and r.at >= since]
    return max(
        (sum(at <= t < at + WINDOW_S for t in times[n:]) for n, at in enumerate(times)),
        default=0,
    )


def count_calls(world: SlotWorld, server: str, since: float) -> int:
    """Return how many calls a server got."""
    return sum(
        r.server == server and r.at >= since and not r.is_probe for r in world.requests
    )


def get_allowed(per_s: float) -> float:
    """Return how many requests the rule allows in a window."""
    return RATE_FACTOR * per_s * WINDOW_S + SLACK


def count_served(world: SlotWorld, calls: list[str]) -> int:
    """Return how many of the calls were answered by a server."""
    answers = [world.answers[c] for c in calls if c in world.answers]
    return sum(answer.status == 200 for answer in answers)


class TestRate:
    """All hosts together keep the limit of a server."""

    @pytest.mark.parametrize("per_s", [1.0, 1.3, 5.5, 20.0])
    @pytest.mark.parametrize("idempotent", [True, False])
    def test_limited_servers_get_their_rate_and_no_more(
        self, per_s: float, idempotent: bool
    ) -> None:
        world = make_world(idempotent=idempotent)
        limited = ["s0", "s1"]
        for name in limited:
            world.servers[name].rate_limit_per_s = per_s
        since = world.now + SETTLE_S
        calls = send_calls(world, 180.0)
        for name in limited:
            assert count_worst_window(world, name, since) <= get_allowed(per_s)
            used = count_calls(world, name, since) / (LENGTH_S - SETTLE_S)
            assert used >= MIN_USED_SHARE * per_s
        assert count_served(world, calls) >= 0.99 * len(calls)

    def test_limit_that_falls(self) -> None:
        world = make_world()
        world.servers["s0"].rate_limit_per_s = 8.0
        send_calls(world, 180.0, 5.0)
        world.servers["s0"].rate_limit_per_s = 1.0
        since = world.now + SETTLE_S
        send_calls(world, 180.0)
        assert count_worst_window(world, "s0", since) <= get_allowed(1.0)


class TestAllLimited:
    """Where all servers name a limit, the sum of their limits is what is served."""

    PER_S = 2.0

    def run(self, **changes: object) -> tuple[SlotWorld, list[str]]:
        world = make_world(servers=6, **changes)
        for server in world.servers.values():
            server.rate_limit_per_s = self.PER_S
        # Until all hosts know.
        send_calls(world, 60.0, 3.0)
        return world, send_calls(world, 60.0)

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_the_sum_is_used(self, idempotent: bool) -> None:
        world, calls = self.run(idempotent=idempotent)
        since = world.now - LENGTH_S
        for name in world.servers:
            assert count_worst_window(world, name, since) <= get_allowed(self.PER_S)
        most = self.PER_S * 6 * LENGTH_S
        assert count_served(world, calls) >= MIN_USED_SHARE * most

    def test_the_rest_is_refused_in_time(self) -> None:
        world, calls = self.run(aim_s=0.3)
        world.run_for(2.0)
        refused = [world.answers[c] for c in calls if world.answers[c].status != 200]
        assert refused
        assert {a.verdict for a in refused} == {Verdict.NOT_RUN}
        assert {a.status for a in refused} == {503}
        assert all(a.retry_after_s is not None for a in refused)
        # Half of the route's time, and the messages between holder and home.
        assert max(a.after_s for a in refused) <= 0.75 + 0.05
        at_once = sum(a.after_s < 0.05 for a in refused)
        assert at_once >= 0.5 * len(refused)

    def test_waiting_calls_are_judged_again_when_a_limit_appears(self) -> None:
        world = make_world(servers=1, aim_s=0.3)
        home = world.get_home("d1")
        world.call(home, "earlier")
        world.run_for(0.5)
        for n in range(8):
            world.call(home, f"c{n}")
        world.servers["s0"].rate_limit_per_s = 0.5
        world.run_for(0.13)
        refused = [a for a in world.answers.values() if a.status == 503]
        assert len(refused) == 4

    def test_refusal_says_that_servers_are_limited(self) -> None:
        world, calls = self.run()
        reasons = {fields["reason"] for fields in world.list_log_fields("refuse")}
        assert reasons == {"Backend servers limited"}


class TestEnd:
    """A limit holds for as long as the server's answers name it."""

    def learn(self, per_s: float = 1.0, **changes: object) -> SlotWorld:
        world = make_world(servers=1, **changes)
        world.servers["s0"].rate_limit_per_s = per_s
        world.call(world.get_home("d1"), "first")
        world.run_for(0.3)
        return world

    def get_limit(self, world: SlotWorld, host: str = "") -> float | None:
        host = host or world.get_home("d1")
        server = world.states[host].services["films"].servers["s0"]
        return server.rate_limit.per_s if server.rate_limit is not None else None

    def test_full_rate_soon_after_the_end(self) -> None:
        world = self.learn()
        world.servers["s0"].rate_limit_per_s = None
        send_calls(world, 20.0, 2.0)
        calls = send_calls(world, 20.0, 5.0)
        assert count_served(world, calls) >= 0.95 * len(calls)
        known = {host for host in HOSTS if self.get_limit(world, host) is not None}
        assert known == set()

    def test_answer_to_an_earlier_call_does_not_end_it(self) -> None:
        world = make_world(servers=1)
        home = world.get_home("d1")
        world.call(home, "early")
        world.run_for(0.05)
        world.call(home, "naming")
        # Only the second answer names the limit, and it arrives first.
        world.servers["s0"].rate_limit_per_s = 1.0
        server = world.states[home].services["films"].servers["s0"]
        key = RateLimitKey(service="films", server="s0")
        set_rate_limit(world.states[home], key, 1.0, "answer", world.now, [])
        world.servers["s0"].rate_limit_per_s = None
        world.run_for(0.055)
        assert server.rate_limit is not None

    def test_probe_that_names_none_does_not_end_it(self) -> None:
        world = self.learn()
        world.run_for(30.0)
        assert any(r.is_probe for r in world.requests if r.at > world.now - 20.0)
        assert self.get_limit(world) == 1.0

    def test_probe_ends_it_if_probes_named_it(self) -> None:
        world = self.learn(0.0)
        world.servers["s0"].names_limit_in_probes = True
        world.run_for(120.0)
        world.servers["s0"].rate_limit_per_s = None
        world.run_for(120.0)
        assert self.get_limit(world) is None

    def test_unreadable_value_changes_nothing(self) -> None:
        world = self.learn()
        world.servers["s0"].names_unreadable_limit = True
        send_calls(world, 20.0, 5.0)
        assert self.get_limit(world) == 1.0

    def test_error_does_not_end_it(self) -> None:
        world = self.learn()
        world.servers["s0"].rate_limit_per_s = None
        world.servers["s0"].status = 500
        send_calls(world, 5.0, 3.0)
        assert self.get_limit(world) == 1.0

    def test_rejection_names_it(self) -> None:
        world = make_world(servers=1)
        world.servers["s0"].rate_limit_per_s = 3.0
        world.servers["s0"].reject_share = 1.0
        world.call(world.get_home("d1"), "c")
        world.run_for(0.1)
        assert self.get_limit(world) == 3.0

    def test_next_incarnation_is_not_limited(self) -> None:
        world = self.learn()
        world.servers["s0"].rate_limit_per_s = None
        for host in HOSTS:
            entries = [
                replace(entry, started=2)
                for entry in world.states[host].registry.servers.values()
            ]
            world.deliver_server_list(host, entries, 5)
        assert {self.get_limit(world, host) for host in HOSTS} == {None}

    def test_gone_server_is_forgotten(self) -> None:
        world = self.learn()
        for host in HOSTS:
            world.deliver_server_list(host, [], 5)
        world.run_for(5.0)
        limits = [world.states[host].rate_limits for host in HOSTS]
        assert not any(limits)


class TestZero:
    """A server that takes nothing gets few requests, so that its end is noticed."""

    def test_few_requests(self) -> None:
        world = make_world(servers=2)
        world.servers["s0"].rate_limit_per_s = 0.0
        since = world.now + SETTLE_S
        send_calls(world, 20.0, 30.0)
        assert count_worst_window(world, "s0", since) <= get_allowed(0.0)
        assert count_calls(world, "s0", since) >= 1


class TestOwners:
    """The limit holds while the owner of the server ends, starts again or changes."""

    PER_S = 1.0

    def start(self, per_s: float = PER_S) -> SlotWorld:
        world = make_world()
        world.servers["s0"].rate_limit_per_s = per_s
        send_calls(world, 180.0, SETTLE_S)
        return world

    def get_owner(self, world: SlotWorld) -> str:
        live = next(host for host in HOSTS if host not in world.dead)
        return world.states[live].services["films"].placement.owners["s0"]

    def assert_limit_was_kept(
        self, world: SlotWorld, since: float, per_s: float = PER_S
    ) -> None:
        allowed = get_allowed(per_s)
        assert count_worst_window(world, "s0", since) <= allowed

    def test_killed_owner(self) -> None:
        world = self.start()
        since = world.now - 1.0
        world.dead.add(self.get_owner(world))
        send_calls(world, 180.0, 10.0)
        self.assert_limit_was_kept(world, since)

    def test_restarted_owner(self) -> None:
        world = self.start()
        since = world.now - 1.0
        for _ in range(3):
            world.restart(self.get_owner(world))
            send_calls(world, 180.0, 3.0)
        self.assert_limit_was_kept(world, since)

    def test_restarted_owner_is_told(self) -> None:
        world = self.start()
        state = world.restart(self.get_owner(world))
        world.run_for(2.0)
        assert state.services["films"].servers["s0"].rate_limit is not None

    def test_limit_told_before_the_server_is_known(self) -> None:
        world = self.start()
        owner = self.get_owner(world)
        entries = world.make_entries()
        world.deliver_server_list(owner, [], 5)
        notice = RateLimitNotice(service="films", server="s0", started=0, per_s=2.0)
        event = MessageReceived(now=world.now, sender="h3", message=notice)
        world.handle(owner, event)
        world.deliver_server_list(owner, entries, 6)
        limit = world.states[owner].services["films"].servers["s0"].rate_limit
        assert limit is not None and limit.per_s == 2.0

    def test_notice_of_an_earlier_incarnation_is_ignored(self) -> None:
        world = make_world()
        entries = [replace(entry, started=2) for entry in world.make_entries()]
        world.deliver_server_list("h0", entries, 5)
        notice = RateLimitNotice(service="films", server="s0", started=1, per_s=2.0)
        event = MessageReceived(now=world.now, sender="h3", message=notice)
        world.handle("h0", event)
        assert world.states["h0"].rate_limits == {}

    def test_outdated_notice_ends_with_the_next_answer(self) -> None:
        # A host that missed the end of a limit tells a restarted owner of it.
        world = make_world()
        send_calls(world, 180.0, SETTLE_S)
        owner = self.get_owner(world)
        state = world.restart(owner)
        notice = RateLimitNotice(service="films", server="s0", started=0, per_s=1.0)
        event = MessageReceived(now=world.now, sender="h3", message=notice)
        world.handle(owner, event)
        assert state.rate_limits
        send_calls(world, 180.0, SETTLE_S)
        assert not world.states[self.get_owner(world)].rate_limits

    @pytest.mark.parametrize("per_s", [1.0, 10.0])
    def test_failure_domains_cut_off_from_each_other(self, per_s: float) -> None:
        world = self.start(per_s)
        since = world.now - 1.0
        world.drop = lambda a, b, m: HOSTS[a] != HOSTS[b]
        send_calls(world, 180.0)
        self.assert_limit_was_kept(world, since, per_s)

    def test_paused_owner_does_not_save_up(self) -> None:
        world = self.start()
        owner = self.get_owner(world)
        world.run_for(20.0)
        since = world.now
        for n in range(30):
            world.call(owner, f"late{n}")
        send_calls(world, 180.0, 5.0)
        self.assert_limit_was_kept(world, since)


class TestHolders:
    """A host that reaches no home leaves limited servers to their owners."""

    def test_no_calls_without_a_home(self) -> None:
        world = make_world()
        world.servers["s0"].rate_limit_per_s = 1.0
        send_calls(world, 180.0, SETTLE_S)
        state = world.states["h1"]
        assert state.services["films"].servers["s0"].rate_limit is not None
        world.drop = lambda a, b, m: a == "h1" and isinstance(m, SlotRequest)
        since = world.now
        for n in range(40):
            world.call("h1", f"alone{n}")
            world.run_for(0.05)
        used = [r for r in world.requests if r.host == "h1" and r.at >= since]
        assert used
        assert not [r for r in used if r.server == "s0" and not r.is_probe]

    def test_token_of_an_unused_grant_is_returned(self) -> None:
        world = make_world(servers=1)
        world.servers["s0"].rate_limit_per_s = 2.0
        home = world.get_home("d1")
        world.call(home, "first")
        world.run_for(3.0)
        holder = next(h for h, d in HOSTS.items() if d == "d1" and h != home)
        limit = world.states[home].services["films"].servers["s0"].rate_limit
        assert limit is not None
        # The caller goes away before the grant arrives.
        world.call(holder, "short")
        world.run_for(0.0003)
        world.handle(holder, CallCancelled(now=world.now, call_id="short"))
        world.run_for(0.01)
        assert limit.bucket.tokens >= 0.99


class TestProbes:
    """Probes count as requests, and leave most of the limit to calls."""

    @pytest.mark.parametrize("per_s", [1.0, 5.0, 50.0])
    def test_share_of_probes(self, per_s: float) -> None:
        world = make_world(servers=2)
        world.servers["s0"].rate_limit_per_s = per_s
        send_calls(world, 20.0, SETTLE_S)
        since = world.now
        world.run_for(60.0)
        probes = [r for r in world.requests if r.server == "s0" and r.at >= since]
        assert len(probes) <= 0.1 * per_s * 60.0 + 1

    def test_server_that_is_rarely_probed_is_not_silent(self) -> None:
        world = make_world(servers=1)
        world.servers["s0"].rate_limit_per_s = 1.0
        home = world.get_home("d1")
        world.call(home, "first")
        for _ in range(40):
            world.run_for(0.5)
            assert not world.states[home].services["films"].servers["s0"].is_silent


class TestCost:
    """Limits cost no messages while they last, and few when they change."""

    def count_messages(self, hosts: int, per_s: float | None) -> int:
        domains = [f"d{n}" for n in range(5)]
        servers = [
            ScriptedServer(name=f"s{n}", failure_domain=domains[n % 5])
            for n in range(20)
        ]
        world = SlotWorld(
            hosts={f"h{n}": domains[n % 5] for n in range(hosts)},
            servers=servers,
            route=make_route(),
        )
        for server in servers[:5]:
            server.rate_limit_per_s = per_s
        before = world.messages
        send_calls(world, 100.0, 1.0)
        return world.messages - before

    @pytest.mark.parametrize("hosts", [17, 60])
    def test_messages(self, hosts: int) -> None:
        limited = self.count_messages(hosts, 3.0)
        usual = self.count_messages(hosts, None)
        # Each host is told once of each of the five servers.
        assert limited <= usual * 1.1 + 5 * hosts
