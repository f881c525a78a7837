"""The processes of a run: hosts of the load balancer and backend servers.

Signals are sent only to child processes, through their handles.
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

STOP_GRACE_S: Final = 6.0
KILL_TIMEOUT_S: Final = 5.0
# Logged once a host has loaded its modules and handles signals.
START_EVENT: Final = b"event=start "
CLOCK_VARIABLE: Final = "SOAK_CLOCK_OFFSET_S"
PLANTED_VARIABLE: Final = "SOAK_PLANTED"


def make_loopback_ip(number: int) -> str:
    """Return a loopback address for the host with this number.

    It is derived from the process id, so parallel runs rarely share one. No outgoing
    connection uses it, so the ports of a stopped host stay free.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{1 + number}"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostConfig:
    """The configuration of one host, which is the same at each start."""

    name: str
    failure_domain: str
    ip: str
    # Port of the link to this host's port for peers, which other hosts connect to, and
    # port of this host's link to the store.
    advertised_port: int
    store_port: int
    folder: Path
    planted: str = ""


class HostProcess:
    """One host of the load balancer; it has the same ports at each start."""

    def __init__(self, *, config: HostConfig, ports: list[int]) -> None:
        self.config = config
        self.start_count = 0
        self.front_port, self.ready_port, self.peers_port, self.directory_port = ports
        # True from a deliberate stop or kill until the next start.
        self.is_stopping = False
        self._child: subprocess.Popen[bytes] | None = None
        self._path = config.folder / f"{config.name}.conf"
        self._log = config.folder / f"{config.name}.log"
        self._settings_number = 0
        # Size of the log at the last start, bytes.
        self._log_offset = 0
        # File descriptor that the process logs to instead of its log file.
        self.output: int | None = None
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file, with a new value of a setting that has no effect."""
        self._settings_number += 1
        config = self.config
        lines = [
            f"nodeName={config.name}",
            f"ipAddress={config.ip}",
            f"zone={config.failure_domain}",
            "region=r1",
            f"listenAddresses.front={config.ip}:{self.front_port}",
            f"listenAddresses.ready={config.ip}:{self.ready_port}",
            f"listenAddresses.control={config.ip}:{self.peers_port}",
            f"listenAddresses.directory={config.ip}:{self.directory_port}",
            "internalPortRange=7620,7635",
            "seeds=",
            f"bounds.gracePeriodS={STOP_GRACE_S:g}",
            "bounds.ttl_max_s=5",
            "bounds.retryBudgetRatio=0.2",
            "bounds.retryBudgetSlack=62",
            "platform.form=objects",
            f"platform.address=127.0.0.1:{config.store_port}",
            f"siskinpier.peersTold=127.0.0.1:{config.advertised_port}",
            "siskinpier.peerKey=soak",
            f"soak.number={self._settings_number}",
        ]
        new_path = self._path.with_suffix(".new")
        new_path.write_text("\n".join(lines))
        new_path.replace(self._path)

    def start(self, clock_offset_s: float = 0.0) -> None:
        """Start the process, with an offset of its wall clock in seconds."""
        self.start_count += 1
        self.is_stopping = False
        self._log_offset = self._log.stat().st_size if self._log.exists() else 0
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "soak.host"],
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), str(ROOT)]),
                    "SISKINPIER_BOOT": str(self._path),
                    CLOCK_VARIABLE: str(clock_offset_s),
                    PLANTED_VARIABLE: self.config.planted,
                },
                stdin=subprocess.DEVNULL,
                stdout=log if self.output is None else self.output,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """The process id; 0 before the first start."""
        return self._child.pid if self._child is not None else 0

    def is_running(self) -> bool:
        """Return True while the process runs."""
        return self._child is not None and self._child.poll() is None

    def has_exited_cleanly(self) -> bool:
        """Return True if the process exited as a stopped host should.

        While it loads its modules it takes no calls and does not handle signals yet, so
        SIGTERM may end it at once.
        """
        code = self.get_exit_code()
        if code == -signal.SIGTERM:
            return START_EVENT not in self._log.read_bytes()[self._log_offset :]
        return code == 0

    def get_exit_code(self) -> int | None:
        """Return the exit code, or None if the process runs or was never started."""
        return self._child.poll() if self._child is not None else None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.is_stopping = True
        if self._child is not None:
            self._child.kill()
            self._child.wait(KILL_TIMEOUT_S)

    def stop(self) -> bool:
        """Stop the process as the platform does; return False if it was killed."""
        self.is_stopping = True
        self.send_signal(signal.SIGTERM)
        # A paused process handles SIGTERM only after SIGCONT.
        self.send_signal(signal.SIGCONT)
        deadline = time.monotonic() + STOP_GRACE_S
        while self.is_running() and time.monotonic() < deadline:
            time.sleep(0.02)
        is_stopped = not self.is_running()
        self.kill()
        return is_stopped


class ServerProcess:
    """One process of a backend server."""

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
        """Kill the server, to simulate a crash."""
        if self._child.exit_code is None:
            self._child.kill()

    def pause(self) -> None:
        """Suspend the server."""
        self._child.freeze()

    def resume(self) -> None:
        """Resume a suspended server."""
        self._child.resume()
