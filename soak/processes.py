"""The processes of a run: hosts of the product and backend servers.

Only processes that were started here are signalled, by their handles.
"""

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from tests.standins.process import ROOT, StandIn

GRACE_S: Final = 6.0
KILL_WAIT_S: Final = 5.0
STARTED_LINE: Final = b"event=start "
CLOCK_VARIABLE: Final = "SOAK_CLOCK_OFFSET_S"
PLANTED_VARIABLE: Final = "SOAK_PLANTED"


def make_loopback_ip(number: int) -> str:
    """Return a loopback address of this run's own.

    No connection starts from it, so the ports of a host that is down stay free.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{1 + number}"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostPlan:
    """What one host is told at each of its starts."""

    name: str
    failure_domain: str
    ip: str
    # Ports of links that lead to the host's peers' port, and to the store.
    told_port: int
    store_port: int
    folder: Path
    planted: str = ""


class HostProcess:
    """One host of the product; the same ports at each of its starts."""

    def __init__(self, *, plan: HostPlan, ports: list[int]) -> None:
        self.plan = plan
        self.life = 0
        self.front_port, self.ready_port, self.peers_port, self.addresses_port = ports
        # A signal of ours asked the process to end.
        self.is_ending = False
        self._child: subprocess.Popen[bytes] | None = None
        self._path = plan.folder / f"{plan.name}.conf"
        self._log = plan.folder / f"{plan.name}.log"
        self._settings_number = 0
        # Where this life's part of the log begins, bytes.
        self._log_offset = 0
        # Where the process writes its log instead of its file.
        self.output: int | None = None
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file, changed in a field that says nothing."""
        self._settings_number += 1
        plan = self.plan
        lines = [
            f"nodeName={plan.name}",
            f"ipAddress={plan.ip}",
            f"zone={plan.failure_domain}",
            "region=r1",
            f"listenAddresses.front={plan.ip}:{self.front_port}",
            f"listenAddresses.ready={plan.ip}:{self.ready_port}",
            f"listenAddresses.control={plan.ip}:{self.peers_port}",
            f"listenAddresses.directory={plan.ip}:{self.addresses_port}",
            "internalPortRange=7620,7635",
            "seeds=",
            f"bounds.gracePeriodS={GRACE_S:g}",
            "bounds.ttl_max_s=5",
            "bounds.retryBudgetRatio=0.2",
            "bounds.retryBudgetSlack=62",
            "platform.form=objects",
            f"platform.address=127.0.0.1:{plan.store_port}",
            f"siskinpier.peersTold=127.0.0.1:{plan.told_port}",
            "siskinpier.peerKey=soak",
            f"soak.number={self._settings_number}",
        ]
        fresh = self._path.with_suffix(".new")
        fresh.write_text("\n".join(lines))
        fresh.replace(self._path)

    def start(self, clock_offset_s: float = 0.0) -> None:
        """Start the process; its wall clock may differ from the machine's."""
        self.life += 1
        self.is_ending = False
        self._log_offset = self._log.stat().st_size if self._log.exists() else 0
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "soak.host"],
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), str(ROOT)]),
                    "SISKINPIER_BOOT": str(self._path),
                    CLOCK_VARIABLE: str(clock_offset_s),
                    PLANTED_VARIABLE: self.plan.planted,
                },
                stdin=subprocess.DEVNULL,
                stdout=log if self.output is None else self.output,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Return the process's id; 0 before its first start."""
        return self._child.pid if self._child is not None else 0

    def is_running(self) -> bool:
        """Return True while the process runs."""
        return self._child is not None and self._child.poll() is None

    def has_ended_cleanly(self) -> bool:
        """Return True if the process ended as a stopped host should.

        While it still loads its modules it takes no calls, and a stop ends it at once.
        """
        code = self.get_exit_code()
        if code == -signal.SIGTERM:
            return STARTED_LINE not in self._log.read_bytes()[self._log_offset :]
        return code == 0

    def get_exit_code(self) -> int | None:
        """Return the exit code of a process that ended."""
        return self._child.poll() if self._child is not None else None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End the process at once and reap it."""
        self.is_ending = True
        if self._child is not None:
            self._child.kill()
            self._child.wait(KILL_WAIT_S)

    def stop(self) -> bool:
        """End the process as the platform does; return False if it had to be killed."""
        self.is_ending = True
        self.send(signal.SIGTERM)
        self.send(signal.SIGCONT)
        deadline = time.monotonic() + GRACE_S
        while self.is_running() and time.monotonic() < deadline:
            time.sleep(0.02)
        is_ended = not self.is_running()
        self.kill()
        return is_ended


class ServerProcess:
    """One life of a backend server."""

    def __init__(
        self, *, name: str, service: str, journal: Path, slots: int, work_ms: float
    ) -> None:
        self.name = name
        self.service = service
        args = ["--name", name, "--service", service, "--journal", str(journal)]
        args += ["--slots", str(slots), "--work-ms", str(work_ms)]
        self._child = StandIn(module="soak.backend", args=args)
        self.port = self._child.port

    def kill(self) -> None:
        """End the server at once, as a crash does."""
        if self._child.exit_code is None:
            self._child.kill()

    def pause(self) -> None:
        """Suspend the server."""
        self._child.freeze()

    def resume(self) -> None:
        """Let a suspended server go on."""
        self._child.wake()
