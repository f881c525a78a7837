"""Hosts that choose among all backend servers independently of each other.

A host uses only what it observes itself and has no queue. Calls wait at the
backend server in order of arrival, as with a plain reverse proxy on each host.

"one-queue" is a bound and not a policy: all slots behind one FIFO queue, as if
every host knew the current state of every backend server.
"""

import random
from collections import Counter
from enum import StrEnum, unique

from bench.virtual import Answer, VirtualServer, World
from bench.virtual.host import CALLER_DELAY_S
from bench.virtual.servers import ServerReply, ServerRequest
from siskinpier.core.routing.calls import Call
from siskinpier.core.verdict import AttemptFailure, Verdict


@unique
class Policy(StrEnum):
    """Policies for choosing a backend server."""

    SISKINPIER = "siskinpier"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    TWO_CHOICES = "two-choices"
    LEAST_OUTSTANDING = "least-outstanding"
    ONE_QUEUE = "one-queue"


class BaselineHost:
    """A host that sends each call at once to a server chosen by its policy.

    "two-choices" takes the less loaded of two random servers (Mitzenmacher,
    "The Power of Two Choices in Randomized Load Balancing", 2001).
    """

    def __init__(
        self, *, world: World, failure_domain: str, policy: Policy, seed: int
    ) -> None:
        self._world = world
        self._failure_domain = failure_domain
        self._policy = policy
        self._rng = random.Random(seed)
        self._servers = list(world.servers.values())
        self._next = self._rng.randrange(len(self._servers))
        self._outstanding: Counter[str] = Counter()

    def accept_call(self, call: Call) -> None:
        """Send a call to a backend server; answer 504 if its deadline passes."""
        server = self._choose_server()
        self._outstanding[server.name] += 1
        delay_s = self._world.network.get_delay_s(
            self._failure_domain, server.failure_domain
        )
        is_done = False

        def finish(status: int, verdict: Verdict) -> None:
            nonlocal is_done
            if is_done:
                return
            is_done = True
            self._outstanding[server.name] -= 1
            at = self._world.now + CALLER_DELAY_S
            answer = Answer(call_id=call.call_id, at=at, status=status, verdict=verdict)
            self._world.at(at, lambda: self._world.record_answer(answer))

        def reply(reply: ServerReply) -> None:
            after = self._world.after
            after(delay_s, lambda: finish(reply.status, Verdict.RAN))

        def fail(failure: AttemptFailure) -> None:
            self._world.after(delay_s, lambda: finish(502, Verdict.MAY_HAVE_RUN))

        def expire() -> None:
            if not is_done:
                server.cancel(request)
                finish(504, Verdict.MAY_HAVE_RUN)

        request = ServerRequest(call=call, reply=reply, fail=fail)
        self._world.after(delay_s, lambda: server.accept(request))
        self._world.at(call.deadline, expire)

    def _choose_server(self) -> VirtualServer:
        match self._policy:
            case Policy.ROUND_ROBIN:
                self._next = (self._next + 1) % len(self._servers)
                return self._servers[self._next]
            case Policy.TWO_CHOICES:
                return min(
                    self._rng.sample(self._servers, 2), key=self._count_outstanding
                )
            case Policy.LEAST_OUTSTANDING:
                least = min(self._count_outstanding(server) for server in self._servers)
                return self._rng.choice(
                    [s for s in self._servers if self._count_outstanding(s) == least]
                )
        return self._rng.choice(self._servers)

    def _count_outstanding(self, server: VirtualServer) -> int:
        return self._outstanding[server.name]
