"""Connections that backend servers forget while they rest."""

import asyncio
import socket

import anyio
import pytest

from bench.idle_connections import SERVER_IDLE_TIMEOUT_S, IdleTimeoutServer
from siskinpier.core.verdict import AttemptFailure
from siskinpier.edge import resting
from siskinpier.edge.backends import AttemptError, BackendClient
from siskinpier.edge.resting import (
    AT_ONCE_S,
    LEARNT_FOR_S,
    LEAST_REST_S,
    SAFE_SHARE,
    RestLimit,
)

NOW = 1_000.0
LONGEST_S = 4.0
REST_S = SERVER_IDLE_TIMEOUT_S + 0.1


class TestRestLimit:
    """What breaks teach."""

    def test_break_shortens_the_rest_of_others(self) -> None:
        limit = RestLimit(longest_s=LONGEST_S)
        assert limit.get(NOW) == LONGEST_S
        assert limit.note_break(rested_s=1.0, sent_at=NOW, now=NOW)
        assert limit.get(NOW + 1.0) == SAFE_SHARE

    def test_later_break_after_a_longer_rest_changes_nothing(self) -> None:
        limit = RestLimit(longest_s=LONGEST_S)
        limit.note_break(rested_s=1.0, sent_at=NOW, now=NOW)
        assert not limit.note_break(rested_s=3.0, sent_at=NOW + 1.0, now=NOW + 1.0)
        assert limit.get(NOW + 1.0) == SAFE_SHARE

    def test_break_of_a_connection_that_hardly_rested_tells_nothing(self) -> None:
        limit = RestLimit(longest_s=LONGEST_S)
        assert not limit.note_break(rested_s=LEAST_REST_S / 2, sent_at=NOW, now=NOW)
        assert limit.get(NOW) == LONGEST_S

    def test_break_while_the_request_runs_tells_nothing(self) -> None:
        limit = RestLimit(longest_s=LONGEST_S)
        sent_at = NOW - 2 * AT_ONCE_S
        assert not limit.note_break(rested_s=1.0, sent_at=sent_at, now=NOW)
        assert limit.get(NOW) == LONGEST_S

    def test_limit_is_forgotten(self) -> None:
        limit = RestLimit(longest_s=LONGEST_S)
        limit.note_break(rested_s=1.0, sent_at=NOW, now=NOW)
        assert limit.get(NOW + LEARNT_FOR_S) == LONGEST_S


async def ask(client: BackendClient, address: str) -> AttemptFailure | None:
    """Send one request; return how it broke, or None."""
    try:
        reply = await client.send(
            address=address, method="POST", target="/", headers=[], body=b"x"
        )
    except AttemptError as exc:
        return exc.failure
    async for _ in reply.iterate():
        pass
    reply.close()
    return None


class TestForgottenConnections:
    """A server that resets connections which rested, at their next request."""

    def test_only_the_first_request_is_lost(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # This process may stand still while the reset is on its way.
        monkeypatch.setattr(resting, "AT_ONCE_S", 30.0)

        async def play() -> list[AttemptFailure | None]:
            server = IdleTimeoutServer()
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            address = "{}:{}".format(*listener.sockets[0].getsockname())
            client = BackendClient(keep_alive_s=LONGEST_S)
            await client.open()
            ends = []
            for _ in range(4):
                ends.append(await ask(client, address))
                await anyio.sleep(REST_S)
            await client.aclose()
            listener.close()
            return ends

        assert anyio.run(play) == [None, AttemptFailure.RESET, None, None]

    def test_freshest_connection_is_used(self) -> None:
        async def play() -> list[int]:
            ports: list[int] = []

            async def serve(
                reader: asyncio.StreamReader, out: asyncio.StreamWriter
            ) -> None:
                while await reader.read(65_536):
                    ports.append(out.get_extra_info("peername")[1])
                    await anyio.sleep(0.05)
                    out.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                out.close()

            listener = await asyncio.start_server(
                serve, "127.0.0.1", 0, family=socket.AF_INET
            )
            address = "{}:{}".format(*listener.sockets[0].getsockname())
            client = BackendClient(keep_alive_s=LONGEST_S)
            await client.open()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, client, address)
                tasks.start_soon(ask, client, address)
            for _ in range(3):
                await ask(client, address)
            await client.aclose()
            listener.close()
            return ports

        ports = anyio.run(play)
        assert len(set(ports[:2])) == 2
        assert len(set(ports[2:])) == 1
