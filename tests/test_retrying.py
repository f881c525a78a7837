"""Tests of retries and their budget, in virtual time.

Without a budget, retries multiply the load of servers that fail because of overload.
"""

from collections import Counter

from bench.virtual import World
from siskinpier.core.effects import Effect, SendAttempt
from siskinpier.core.events import Event
from siskinpier.core.state import MAX_RETRY_TOKENS
from tests.test_policy_under_faults import call_steadily, make_service, make_world

SHARE = 0.1


def count_attempts(world: World) -> Counter[str]:
    """Return a live count of the attempts at backend servers, by call."""
    counts: Counter[str] = Counter()

    def count_sends(event: Event, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendAttempt) and not effect.is_forward:
                counts[effect.call_id] += 1

    for host in world.hosts.values():
        host.event_hooks.append(count_sends)
    return counts


class TestRetryBudget:
    """Retries in a total outage add no more load than the budget allows."""

    def test_outage_adds_no_more_than_the_share_of_fresh_calls(self) -> None:
        world = make_world(make_service(retry_share=SHARE))
        counts = count_attempts(world)
        for server in world.servers.values():
            server.is_rejecting = True
        call_steadily(world, rate=500, length_s=4.0)
        max_tokens = MAX_RETRY_TOKENS * len(world.hosts)
        assert sum(counts.values()) <= 2000 * (1 + SHARE) + max_tokens
        assert max(counts.values()) <= 3

    def test_non_idempotent_call_that_may_have_run_is_not_retried(self) -> None:
        world = make_world(make_service(retry_share=1.0))
        counts = count_attempts(world)
        for server in world.servers.values():
            server.is_rejecting = True
        call_steadily(world, rate=200, length_s=1.0, method="POST")
        assert set(counts.values()) == {1}

    def test_retry_goes_to_another_server_within_the_deadline(self) -> None:
        world = make_world(make_service(retry_share=1.0))
        first = next(iter(world.servers.values()))
        first.is_down = True
        call_steadily(world, rate=200, length_s=1.0)
        assert all(answer.status == 200 for answer in world.answers.values())
