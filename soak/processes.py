"""The processes of a run: hosts of the load balancer and backend servers.

Signals are sent only to child processes, through their handles.
"""

import os
import resource
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Final

import httpx

from tests.standins.process import ROOT, StandIn

from .backend import LIMIT_PATH
from .host_environment import CLOCK_VARIABLE, ISOLATION_VARIABLE, PLANTED_VARIABLE

LOOPBACK: Final = "127.0.0.1"
CONTROL_TIMEOUT_S: Final = 2.0
STOP_GRACE_S: Final = 6.0
KILL_TIMEOUT_S: Final = 5.0
# Processor time after which the interpreter has long begun to run the host's own code,
# which handles signals from its first line on.
HANDLERS_DUE_CPU_S: Final = 0.1
# Value of `HostProcess.output` that starts the host without a standard output.
NO_OUTPUT: Final = -1
LOG_TAIL_BYTES: Final = 1500
# The only variables of its parent that the platform passes to a process.
PASSED_VARIABLES: Final = ("PATH", "HOME", "LANG")
PROGRAM: Final = "siskinpier.platform"
# The source of this build.
SOURCE: Final = ROOT / "src"
# Logged by a host once its own code handles signals.
BOOT_EVENT: Final = b"event=boot "
# Settings that a host can do without.
SPARE_SETTINGS: Final = {
    "internalPortRange": "7620,7635",
    "seeds": "",
    "limits.cpuShare": "0.9",
    "limits.linkMbps": "1000.0",
    "limits.fdLimit": "4100",
    "bounds.gracePeriodS": f"{STOP_GRACE_S:g}",
    "bounds.ttl_max_s": "5",
    "bounds.probesPerS": "60",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.retryWindowS": "10",
    "bounds.retryBudgetSlack": "62",
    "platform.writesPerS": "400",
}


def make_loopback_ip(number: int) -> str:
    """Return a loopback address for the host with this number.

    It is derived from the process id, so parallel runs rarely share one. No outgoing
    connection uses it, so the ports of a stopped host stay free.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{1 + number}"


def make_command(program: str = PROGRAM) -> list[str]:
    """Return the command of deploy/system.toml, or the same of another module."""
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    words = roles["entry"]["run"].split()
    return [sys.executable, *words[1:-1], words[-1].replace(PROGRAM, program)]


def make_environment(
    settings: Path, extra: dict[str, str], source: Path = SOURCE
) -> dict[str, str]:
    """Return the variables that the platform gives a host, and extra ones."""
    passed = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
    module_path = [str(source), sysconfig.get_path("purelib")]
    return {
        **passed,
        "PYTHONPATH": os.pathsep.join(module_path),
        "SISKINPIER_BOOT": str(settings),
        **extra,
    }


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
    # Source of the earlier build, which the host runs until it is upgraded.
    earlier_source: Path | None = None


class HostProcess:
    """One host of the load balancer; it has the same ports at each start."""

    def __init__(self, *, config: HostConfig, ports: list[int]) -> None:
        self.config = config
        self.start_count = 0
        self.source = config.earlier_source or SOURCE
        # Time of the last start, monotonic seconds.
        self.started_at = 0.0
        self.front_port, self.ready_port, self.peers_port, self.directory_port = ports
        # Addresses for requests and for look-ups of host addresses.
        self.address = f"{config.ip}:{self.front_port}"
        self.directory_address = f"{config.ip}:{self.directory_port}"
        # True from a deliberate stop or kill until the next start.
        self.is_stopping = False
        self.path = config.folder / f"{config.name}.conf"
        self.isolation_path = config.folder / f"{config.name}.isolated"
        self._child: subprocess.Popen[bytes] | None = None
        self._log = config.folder / f"{config.name}.log"
        self._settings_number = 0
        # Signals sent before the process could handle any.
        self._early_signals: set[int] = set()
        # Size of the log at the last start, bytes.
        self._log_offset = 0
        # File descriptor that the process logs to instead of its log file.
        self.output: int | None = None
        self.write_settings()

    def make_settings(self) -> str:
        """Return the settings, with a new value of a setting that has no effect."""
        self._settings_number += 1
        config = self.config
        lines = [
            f"siskinpier.peersTold=127.0.0.1:{config.advertised_port}",
            "siskinpier.peerKey=soak",
            f"nodeName={config.name}",
            f"ipAddress={config.ip}",
            f"zone={config.failure_domain}",
            f"listenAddresses.front={config.ip}:{self.front_port}",
            f"listenAddresses.ready={config.ip}:{self.ready_port}",
            f"listenAddresses.control={config.ip}:{self.peers_port}",
            f"listenAddresses.directory={config.ip}:{self.directory_port}",
            f"platform.address=127.0.0.1:{config.store_port}",
            "platform.form=objects",
            "region=r1",
            *(f"{name}={value}" for name, value in SPARE_SETTINGS.items()),
            f"soak.number={self._settings_number}",
        ]
        return "\n".join(lines)

    def write_settings(self) -> None:
        """Replace the settings file as a whole."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(self.make_settings())
        new_path.replace(self.path)

    def change_build(self) -> None:
        """Let the next start use the other build, if the run has an earlier one."""
        if self.source == SOURCE:
            self.source = self.config.earlier_source or SOURCE
        else:
            self.source = SOURCE

    def start(
        self, clock_offset_s: float = 0.0, *, can_be_isolated: bool = False
    ) -> None:
        """Start the deployed program, or `soak.host` where it needs a change.

        The offset of the wall clock is in seconds. A host that `can_be_isolated`
        reaches no backend server while `isolation_path` exists.
        """
        self.start_count += 1
        self.is_stopping = False
        self._early_signals = set()
        self._log_offset = self._log.stat().st_size if self._log.exists() else 0
        command, extra = make_command(), {}
        if clock_offset_s or self.config.planted or can_be_isolated:
            command = make_command("soak.host")
            extra = {
                CLOCK_VARIABLE: str(clock_offset_s),
                PLANTED_VARIABLE: self.config.planted,
            }
        if can_be_isolated:
            extra[ISOLATION_VARIABLE] = str(self.isolation_path)
        close_output = partial(os.close, 1) if self.output == NO_OUTPUT else None
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                command,
                cwd=ROOT,
                env=make_environment(self.path, extra, self.source),
                stdin=subprocess.DEVNULL,
                stdout=log if self.output in (None, NO_OUTPUT) else self.output,
                stderr=log,
                preexec_fn=close_output,
            )
        self.started_at = time.monotonic()

    @property
    def pid(self) -> int:
        """The process id; 0 before the first start."""
        return self._child.pid if self._child is not None else 0

    def is_running(self) -> bool:
        """Return True while the process runs."""
        return self._child is not None and self._child.poll() is None

    def has_exited_cleanly(self) -> bool:
        """Return True if a stopped process exited with 0, or by an early signal."""
        return self.get_exit_code() == 0 or self.was_ended_early()

    def was_ended_early(self) -> bool:
        """Return True if a signal ended the process before it could handle any."""
        is_early = -(self.get_exit_code() or 0) in self._early_signals
        return is_early and not self.has_booted()

    def has_booted(self) -> bool:
        """Return True if the process has logged that it began, since its start."""
        if self.output is not None or not self._log.exists():
            return False
        with self._log.open("rb") as log:
            log.seek(self._log_offset)
            return BOOT_EVENT in log.read()

    def get_exit_code(self) -> int | None:
        """Return the exit code, or None if the process runs or was never started."""
        return self._child.poll() if self._child is not None else None

    def read_peak_bytes(self) -> int:
        """Return the largest resident size so far; 0 if the process has ended."""
        line = next((t for t in self._read_proc("status") if t[0] == "VmHWM:"), None)
        return int(line[1]) * 1024 if line else 0

    def handles_signals(self) -> bool:
        """Return True once the process has run long enough to handle signals."""
        lines = self._read_proc("schedstat")
        return not lines or int(lines[0][0]) >= HANDLERS_DUE_CPU_S * 1e9

    def _read_proc(self, name: str) -> list[list[str]]:
        """Return the words of each line of a file in /proc; empty after the end."""
        try:
            text = Path(f"/proc/{self.pid}/{name}").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return []
        return [line.split() for line in text.splitlines()]

    def read_log_tail(self) -> str:
        """Return the end of the log, which always has the standard error."""
        return self._log.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._child is not None and self._child.poll() is None:
            if not self.handles_signals():
                self._early_signals.add(number)
            self._child.send_signal(number)

    def set_descriptor_limit(self, count: int | None = None) -> None:
        """Set the soft limit of open descriptors; None sets the hard limit."""
        if self.is_running():
            _, hard = resource.prlimit(self.pid, resource.RLIMIT_NOFILE)
            limits = (count or hard, hard)
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, limits)

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


class ServerProcess(StandIn):
    """One process of a backend server."""

    def __init__(
        self, *, name: str, service: str, journal: Path, slots: int, work_ms: float
    ) -> None:
        self.name = name
        self.service = service
        args = ["--name", name, "--service", service, "--journal", str(journal)]
        args += ["--slots", str(slots), "--work-ms", str(work_ms)]
        super().__init__(module="soak.backend", args=args)

    async def set_limit(self, per_s: float | None) -> bool:
        """Let the server name a rate limit, or none; return False if it is gone."""
        value = "" if per_s is None else str(per_s)
        url = f"http://{LOOPBACK}:{self.port}{LIMIT_PATH}"
        try:
            async with httpx.AsyncClient(trust_env=False, verify=False) as client:
                await client.post(url, content=value, timeout=CONTROL_TIMEOUT_S)
        except httpx.HTTPError:
            return False
        return True
