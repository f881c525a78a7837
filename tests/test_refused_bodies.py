"""Tests of calls that are refused before their body has arrived completely."""

import http.client
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from tests.standins.platform_host import Deployment, run_deployment
from tests.standins.process import HANG_TIMEOUT_S

BODY_BYTES: Final = 900_000  # within the limit, and too large to be buffered
HEADERS: Final = {"Host": "films.example", "X-Deadline-Ms": "9000"}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run a store, two backend servers, and a host."""
    folder: Path = tmp_path_factory.mktemp("host")
    with run_deployment(folder) as running:
        yield running


class TestRefusedBody:
    """A refusal during the body leaves a usable connection."""

    @pytest.mark.parametrize("chunked", [False, True])
    def test_next_request_gets_its_own_answer(
        self, deployment: Deployment, chunked: bool
    ) -> None:
        port = deployment.host.front
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=HANG_TIMEOUT_S)
        for number in range(3):
            headers = {**HEADERS, "X-Request-Id": f"refused-{number}"}
            body = iter([bytes(BODY_BYTES)]) if chunked else bytes(BODY_BYTES)
            conn.request(
                "POST", "/nothing/", body, headers=headers, encode_chunked=chunked
            )
            reply = conn.getresponse()
            reply.read()
            assert reply.status == 404
            conn.request("GET", "/search/x", headers=headers)
            reply = conn.getresponse()
            assert (reply.status, reply.read()) == (200, b"found it")
        conn.close()
