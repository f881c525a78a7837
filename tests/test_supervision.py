"""Guards against loops whose end ends a host or stays unseen."""

import asyncio
from collections import Counter

import anyio
import pytest

from siskinpier.edge import supervision
from siskinpier.edge.supervision import supervise
from siskinpier.failures import FailureLog

RUNS = 3


@pytest.fixture
def counts(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Return the counted failures, with restarts after a short delay."""
    monkeypatch.setattr(supervision, "MIN_RESTART_DELAY_S", 0.01)
    return Counter()


def make_failures(counts: Counter[str]) -> FailureLog:
    """Return a failure log that counts by place."""

    def count(where: str) -> None:
        counts[where] += 1

    return FailureLog(count=count)


class TestSupervise:
    """A loop that ends is started again, whatever ended it."""

    def test_cancelled_future_does_not_end_the_group(
        self, counts: Counter[str]
    ) -> None:
        runs = 0

        async def wait_for_a_cancelled_future() -> None:
            nonlocal runs
            runs += 1
            future = asyncio.get_running_loop().create_future()
            future.cancel()
            await future

        async def run() -> bool:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    supervise,
                    "odd",
                    wait_for_a_cancelled_future,
                    make_failures(counts),
                )
                while runs < RUNS:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
                return True
            return False

        assert anyio.run(run)
        assert counts["loop/odd"] >= RUNS - 1

    def test_cancelled_group_ends_the_loop(self, counts: Counter[str]) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    supervise, "idle", anyio.sleep_forever, make_failures(counts)
                )
                await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        assert not counts
