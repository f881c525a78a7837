"""Tests with backend servers that fail, reject or mislead, in virtual time."""

from bench.policies import Policy
from bench.trial import SEARCH, Fault, Trial, run_trial
from bench.virtual import World
from bench.virtual.deployment import make_deployment
from siskinpier.core.configuration.intents import (
    BackendServer,
    CallRule,
    ProbeBudget,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.routing.balance import ServerRuntime, get_slot_limit, is_ejected
from siskinpier.core.routing.calls import Call
from siskinpier.core.routing.health import record_failure, record_success

SEED = 5


def make_service(**changes: object) -> ServiceIntent:
    """Return a service of six servers in three failure domains."""
    servers = tuple(
        BackendServer(
            name=f"server-{index}",
            address=f"127.0.2.1:{9000 + index}",
            failure_domain=f"domain-{index % 3}",
        )
        for index in range(6)
    )
    rules = (CallRule(methods=("GET",), idempotent=True), CallRule())
    return ServiceIntent(name="lookups", servers=servers, rules=rules, **changes)  # type: ignore[arg-type]


def make_world(service: ServiceIntent, hosts: int = 6) -> World:
    """Return a deployment with one service, after its start is complete."""
    intents = RoutingIntents(revision=1, services=(service,))
    return make_deployment(intents=intents, hosts=hosts, seed=SEED)


def call_steadily(
    world: World, *, rate: float, length_s: float, method: str = "GET"
) -> None:
    """Send calls at even intervals to all hosts in turn, and run to the end."""
    names = list(world.hosts)
    start = world.now
    for number in range(int(rate * length_s)):
        at = start + number / rate
        call = Call(
            call_id=f"{method}-{start}-{number}",
            service="lookups",
            method=method,
            path="/",
            caller="caller",
            deadline=at + 1.0,
        )
        world.call(names[number % len(names)], call, at - start)
    world.run_for(length_s + 1.5)


def list_owned(world: World) -> list[ServerRuntime]:
    """Return every backend server as its owner sees it."""
    return [
        server
        for host in world.hosts.values()
        for server in host.state.services["lookups"].owned
    ]


def make_servers(count: int) -> list[ServerRuntime]:
    """Return servers whose slow start ended long ago."""
    return [
        ServerRuntime(
            intent=BackendServer(
                name=f"s{index}", address="127.0.0.1:1", failure_domain="d"
            )
        )
        for index in range(count)
    ]


class TestHealth:
    """Ejection, trial and return of backend servers."""

    def test_server_that_rejects_fast_gets_no_more_than_its_probes(self) -> None:
        """The health endpoint of the server keeps answering that it is healthy."""
        probes = ProbeBudget(per_second=3.0)
        world = make_world(make_service(retry_share=0.5, probes=probes))
        server = next(iter(world.servers.values()))
        received: list[float] = []
        accept = server.accept

        def record(work: object) -> None:
            received.append(world.now)
            accept(work)  # type: ignore[arg-type]

        server.accept = record  # type: ignore[method-assign, assignment]
        server.is_rejecting = True
        call_steadily(world, rate=400, length_s=3.0)
        measured_from = world.now
        call_steadily(world, rate=400, length_s=6.0)
        budget = probes.per_second / len(world.servers)
        assert len([at for at in received if at >= measured_from]) <= 6.0 * budget
        assert all(answer.status == 200 for answer in world.answers.values())

    def test_false_alarm_does_not_eject_every_server(self) -> None:
        for count in (1, 2, 3, 6, 20):
            servers = make_servers(count)
            for _ in range(20):
                for server in servers:
                    record_failure(server, servers, 100.0)
            ejected = [s for s in servers if is_ejected(s, 100.0)]
            assert len(ejected) <= max(0.34 * count, 1)
            assert len(ejected) < count

    def test_every_home_keeps_a_server_if_all_reject(self) -> None:
        world = make_world(make_service())
        for server in world.servers.values():
            server.is_rejecting = True
        for _ in range(8):
            call_steadily(world, rate=400, length_s=0.2)
            for host in world.hosts.values():
                owned = host.state.services["lookups"].owned
                usable = [s for s in owned if not is_ejected(s, world.now - 1.5)]
                assert usable or not owned

    def test_relayed_error_is_not_recorded_as_success(self) -> None:
        """A non-idempotent call is not retried after a plain 503."""
        world = make_world(make_service())
        server = next(iter(world.servers.values()))
        server.is_rejecting = True
        call_steadily(world, rate=300, length_s=1.0, method="POST")
        for host in world.hosts.values():
            runtime = host.state.services["lookups"].servers[server.name]
            assert runtime.latency_s == 0.0

    def test_ejected_server_returns_with_slow_start(self) -> None:
        servers = make_servers(3)
        failing = servers[0]
        for _ in range(5):
            record_failure(failing, servers, 100.0)
        back = failing.ejected_until
        assert get_slot_limit(failing, back) == 1
        record_success(failing, 0.01, back)
        limits = [get_slot_limit(failing, back + age_s) for age_s in (0.1, 1.0, 2.0)]
        assert limits == [1, 2, 4]


class TestLimits:
    """Limits of calls in flight where the declared slots are misleading."""

    def test_server_with_less_capacity_than_declared_gets_fewer_calls(self) -> None:
        world = make_world(make_service())
        weak = next(iter(world.servers.values()))
        weak.slots = 1
        limits = []
        for _ in range(8):
            call_steadily(world, rate=3000, length_s=0.2)
            limits += [s.limit for s in list_owned(world) if s.intent.name == weak.name]
        assert sum(limit < 4 for limit in limits) > len(limits) / 2

    def test_service_that_becomes_slow_as_a_whole_keeps_its_slots(self) -> None:
        world = make_world(make_service())
        for server in world.servers.values():
            server.slow_factor = 5.0
        call_steadily(world, rate=900, length_s=1.0)
        limits = [server.limit for server in list_owned(world)]
        assert sum(limits) >= 0.75 * 4 * len(limits)


class TestFaults:
    """One fault of one backend server at 85 % load."""

    def test_no_fault_raises_p99_by_more_than_half(self) -> None:
        def run(fault: Fault) -> float:
            trial = Trial(
                service_size=SEARCH,
                policy=Policy.SISKINPIER,
                load=0.85,
                fault=fault,
                seed=SEED,
                length_s=0.5,
                warm_up_s=0.3,
            )
            return run_trial(trial).latencies["all"][2]

        usual_s = run(Fault.NONE)
        for fault in list(Fault)[1:]:
            assert run(fault) <= 1.5 * usual_s, fault
