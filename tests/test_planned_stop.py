"""Guards against requests that are cut off late in a planned stop.

A host that is told to stop must refuse what it cannot finish within the grace period,
and must answer every request that it has read but not passed on.
"""

import json
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import pytest

from siskinpier.platform.process import ANNOUNCE_S
from tests.standins.platform_host import (
    CONFIG,
    HANG_TIMEOUT_S,
    Deployment,
    PlatformHost,
    run_deployment,
    wait_until,
)

REQUEST: Final = (
    b"POST /pay/1 HTTP/1.1\r\nHost: films.example\r\nContent-Length: 0\r\n"
    b"X-Request-Id: %b\r\nX-Deadline-Ms: 20000\r\n\r\n"
)
NO_ANSWER: Final = "no answer"
LATE_CALLERS: Final = 8
INTERVAL_S: Final = 0.05
SLOT_COUNT: Final = 8  # of both backend servers together
HELD_COUNT: Final = 12
# Seconds after SIGTERM by which a host has announced that it leaves, and a little more.
LATE_S: Final = ANNOUNCE_S + 0.3


def make_config() -> dict[str, Any]:
    """Return a configuration whose payments may take longer than a planned stop."""
    config: dict[str, Any] = json.loads(json.dumps(CONFIG))
    config["version"] = "00000008"
    config["listeners"][0]["rules"][1]["action"]["timeoutS"] = 30.0
    return config


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Run a deployment whose host gives payments 30 s."""
    with run_deployment(tmp_path) as deployment:
        deployment.store.put("config", "main", make_config())
        wait_until(lambda: "revision=8" in deployment.host.read_log())
        yield deployment


class Caller:
    """A caller of one host; `outcomes` has a status or `NO_ANSWER` a request."""

    def __init__(self, host: PlatformHost, name: str) -> None:
        self.outcomes: list[str] = []
        self.sent: list[str] = []
        self._host = host
        self._name = name
        self._sock: socket.socket | None = None

    def send_once(self) -> bool:
        """Send one request, on the open connection if there is one.

        Return False if the host no longer accepts connections.
        """
        if self._sock is None:
            try:
                address = ("127.0.0.1", self._host.front)
                self._sock = socket.create_connection(address, HANG_TIMEOUT_S)
            except OSError:
                return False
        request_id = f"{self._name}-{len(self.sent)}"
        self.sent.append(request_id)
        try:
            self._sock.sendall(REQUEST % request_id.encode())
            head = self._sock.recv(65_536)
        except OSError:
            head = b""
        self.outcomes.append(head[9:12].decode() or NO_ANSWER)
        if not head or b"connection: close" in head.lower():
            self._sock.close()
            self._sock = None
        return True

    def send_until_refused(self) -> None:
        """Send requests until the host no longer accepts connections."""
        while self.send_once():
            time.sleep(INTERVAL_S)


def start(callers: list[Caller], *, once: bool) -> list[threading.Thread]:
    """Let each caller send in a thread of its own."""
    threads = [
        threading.Thread(target=c.send_once if once else c.send_until_refused)
        for c in callers
    ]
    for thread in threads:
        thread.start()
    return threads


class TestLateInTheGrace:
    """Requests that come late in a planned stop are refused, never passed on."""

    def test_late_requests_are_refused(self, deployment: Deployment) -> None:
        host = deployment.host
        deployment.set_behavior("hold")
        # Keeps the host from ending before its bound.
        held = start([Caller(host, "held")], once=True)
        wait_until(lambda: deployment.count_runs() == 1)
        deployment.set_behavior("answer")
        host.child.send_signal(signal.SIGTERM)
        time.sleep(LATE_S)
        runs_before = deployment.count_runs()
        callers = [Caller(host, f"late{n}") for n in range(LATE_CALLERS)]
        threads = start(callers, once=False)
        for thread in (*held, *threads):
            thread.join(HANG_TIMEOUT_S)
        assert deployment.count_runs() == runs_before
        assert sum(len(caller.outcomes) for caller in callers) > 2 * LATE_CALLERS
        for caller in callers:
            # The last request may cross the end of the process, which never reads it.
            assert set(caller.outcomes[:-1]) <= {"503"}, caller.outcomes
            assert caller.outcomes[-1] in ("503", NO_ANSWER), caller.outcomes

    def test_waiting_requests_get_their_answer(self, deployment: Deployment) -> None:
        host = deployment.host
        deployment.set_behavior("hold")
        callers = [Caller(host, f"held{n}") for n in range(HELD_COUNT)]
        threads = start(callers, once=True)
        wait_until(lambda: deployment.count_runs() == SLOT_COUNT)
        host.child.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join(HANG_TIMEOUT_S)
        ran = {r["x-request-id"] for b in deployment.backends.values() for r in b.runs}
        answers = {caller.sent[0]: caller.outcomes[0] for caller in callers}
        waited = {answer for name, answer in answers.items() if name not in ran}
        assert waited == {"503"}, answers
        assert "503" not in {answers[name] for name in ran}, answers
