"""Test of forwards between host processes, by a host that reaches no backend server."""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import httpx

from soak.callers import VIRTUAL_HOST
from soak.deployment import Deployment, is_ready
from soak.processes import HostProcess
from tests.standins.process import HANG_TIMEOUT_S

REQUESTS = 20


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait for a condition; the timeout only ends a test that hangs."""
    with anyio.fail_after(HANG_TIMEOUT_S):
        while not await condition():
            await anyio.sleep(0.05)


async def send(host: HostProcess, path: str, number: int) -> httpx.Response:
    """Send a request to a host and return its answer."""
    url = f"http://{host.address}{path}{number}"
    request_id = f"r{path.strip('/')}{number}"
    headers = {
        "Host": VIRTUAL_HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "60000",
    }
    async with httpx.AsyncClient(trust_env=False, timeout=HANG_TIMEOUT_S) as client:
        return await client.post(url, headers=headers, content=b"body")


def is_isolated(host: HostProcess) -> bool:
    """Return True once a host has logged that it is isolated."""
    path = host.config.folder / f"{host.config.name}.log"
    return b"event=isolation isolated=true" in path.read_bytes()


class TestForward:
    """Requests at an isolated host are answered by servers, through another host."""

    def test_answers_of_servers_arrive(self, tmp_path: Path) -> None:
        async def run() -> None:
            deployment = Deployment(folder=tmp_path, hosts=2, servers=6)
            deployment.configure(0)
            try:
                async with anyio.create_task_group() as tasks:
                    await deployment.start(tasks)
                    await self._check_answers(deployment)
                    tasks.cancel_scope.cancel()
            finally:
                deployment.stop()

        anyio.run(run)

    async def _check_answers(self, deployment: Deployment) -> None:
        host, other = deployment.hosts["h0"], deployment.hosts["h1"]
        await wait_until(lambda: is_ready(other))
        host.kill()
        host.start(can_be_isolated=True)
        await wait_until(lambda: is_ready(host))
        assert (await send(host, "/search/", 0)).status_code == 200
        host.isolation_path.touch()
        deadline = time.monotonic() + HANG_TIMEOUT_S
        number = 0
        while not is_isolated(host):
            assert time.monotonic() < deadline
            number += 1
            await send(host, "/search/", number)
        for path in ("/search/", "/pay/"):
            for _ in range(REQUESTS):
                number += 1
                answer = await send(host, path, number)
                # One request in a hundred fails at the stand-in server itself.
                assert answer.status_code in (200, 500)
                assert answer.headers["x-response-signature"]
                assert answer.headers["x-request-id"] == f"r{path.strip('/')}{number}"
                assert "siskinpier-verdict" not in answer.headers
        missing = await send(host, "/nowhere/", 1)
        assert missing.status_code == 404
