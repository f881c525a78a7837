"""Guards against sockets that count as served although no server has them."""

import socket
from collections import Counter
from typing import Any

import anyio
import pytest

from siskinpier.edge import supervision
from siskinpier.edge.server_loop import ServerLoop
from siskinpier.failures import FailureLog

FAILED_REPLACEMENTS = 3


class BrokenServer:
    """A server that fails at once."""

    should_exit = False
    server_state: Any = None

    async def serve(self, sockets: list[socket.socket]) -> None:
        """Fail."""
        raise OSError("cannot serve")

    def close_listeners(self) -> None:
        """Do nothing."""


class TestServerLoop:
    """Sockets count as served only while a server has them."""

    def test_failed_replacement_does_not_count_as_serving(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(supervision, "MIN_RESTART_DELAY_S", 0.01)
        counts: Counter[str] = Counter()
        told: list[bool] = []
        made = 0

        def make_server() -> Any:
            nonlocal made
            made += 1
            if 1 < made <= FAILED_REPLACEMENTS:
                raise OSError("no descriptor is free")
            return BrokenServer()

        async def run() -> None:
            loop = ServerLoop(
                name="callers",
                make_server=make_server,
                sockets=[],
                failures=FailureLog(count=lambda where: counts.update([where])),
            )
            assert not await loop.run(told.append, 2)

        anyio.run(run)
        assert told == [False, True, False]
        assert counts["loop/callers"] == FAILED_REPLACEMENTS + 1
