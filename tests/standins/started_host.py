"""A host process of which a test sets everything that is there at its start."""

import os
import subprocess
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Final

import httpx

from .platform_host import list_log_fields, wait_until
from .process import HANG_TIMEOUT_S, LOOPBACK, ROOT, find_free_ports

MODULE_ARGS: Final = ("-m", "siskinpier.platform")
# Nothing listens there; a host runs without its store.
NO_STORE: Final = f"{LOOPBACK}:1"
GATE_CODE: Final = """
import atexit, os, pathlib, sys, time
folder = pathlib.Path(os.environ["GATE_FOLDER"])
def wait():
    (folder / "reached").touch()
    while not (folder / "opened").exists():
        time.sleep(0.01)
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == os.environ["GATE_MODULE"]:
            sys.meta_path.remove(self)
            wait()
sys.meta_path.insert(0, Finder())
if not os.environ["GATE_MODULE"]:
    atexit.register(wait)
"""


def make_fields() -> dict[str, str]:
    """Return the fields of a settings file."""
    front, ready, control, directory = find_free_ports(4)
    return {
        "nodeName": "front-1",
        "ipAddress": LOOPBACK,
        "zone": "z1",
        "region": "r1",
        "listenAddresses.front": f"{LOOPBACK}:{front}",
        "listenAddresses.ready": f"{LOOPBACK}:{ready}",
        "listenAddresses.control": f"{LOOPBACK}:{control}",
        "listenAddresses.directory": f"{LOOPBACK}:{directory}",
        "internalPortRange": "7620,7635",
        "seeds": "",
        "bounds.gracePeriodS": "6",
        "bounds.ttl_max_s": "5",
        "platform.address": NO_STORE,
    }


def make_text(fields: Mapping[str, str]) -> str:
    """Return the text of a settings file."""
    return "".join(f"{name}={value}\n" for name, value in fields.items())


class Gate:
    """A point at which a child process stops until the test opens it.

    A child that runs with `environ` stops before it imports `module` (`None`: at its
    exit).
    """

    def __init__(self, *, folder: Path, module: str | None) -> None:
        folder.mkdir()
        (folder / "sitecustomize.py").write_text(GATE_CODE)
        self._reached, self._opened = folder / "reached", folder / "opened"
        self.environ: Final = {
            "PYTHONPATH": f"{folder}:{ROOT / 'src'}",
            "GATE_FOLDER": str(folder),
            "GATE_MODULE": module or "",
        }

    def is_reached(self) -> bool:
        """Return True if the child has stopped here."""
        return self._reached.exists()

    def open(self) -> None:
        """Let the child go on."""
        self._opened.touch()


class StartedHost:
    """A host process; leaving the context kills it if it still runs."""

    def __init__(
        self,
        *,
        folder: Path,
        text: str | bytes | None,
        args: Sequence[str] = MODULE_ARGS,
        environ: Mapping[str, str] | None = None,
        prepare: Callable[[], None] | None = None,
        **streams: Any,
    ) -> None:
        self.path = folder / "boot.conf"
        if text is not None:
            data = text.encode() if isinstance(text, str) else text
            self.path.write_bytes(data)
        self._log = (folder / "host.log").open("w+b")
        self.child = subprocess.Popen(
            [sys.executable, *args],
            env={
                **os.environ,
                "PYTHONPATH": str(ROOT / "src"),
                "SISKINPIER_BOOT": str(self.path),
                **(environ or {}),
            },
            stdin=subprocess.DEVNULL,
            preexec_fn=prepare,
            **{"stdout": self._log, "stderr": self._log, **streams},
        )

    def __enter__(self) -> "StartedHost":
        return self

    def __exit__(self, *_: object) -> None:
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait(HANG_TIMEOUT_S)
        self._log.close()

    def read_log(self) -> str:
        """Return the output of the host."""
        return Path(self._log.name).read_text(errors="replace")

    def list_events(self, name: str) -> list[dict[str, str]]:
        """Return the fields of all log lines of one event."""
        rows = [row for row in self.read_log().split("\n") if f"event={name} " in row]
        return list_log_fields("\n".join(rows), name)

    def wait_for_event(self, name: str) -> dict[str, str]:
        """Wait for a log line of an event and return the fields of the first one."""
        wait_until(lambda: self.list_events(name) or self.child.poll() is not None)
        events = self.list_events(name)
        assert events, f"ended with {self.child.returncode}: {self.read_log()}"
        return events[0]

    def wait_at(self, gate: Gate) -> None:
        """Wait until the process has stopped at a gate."""
        wait_until(lambda: gate.is_reached() or self.child.poll() is not None)
        assert gate.is_reached(), f"ended: {self.child.returncode}: {self.read_log()}"

    def wait_exit(self) -> int:
        """Wait for the end of the process and return its exit code."""
        return self.child.wait(HANG_TIMEOUT_S)


def get_status(address: str, path: str) -> int:
    """Return the status of the answer to a GET request, or 0 without an answer."""
    try:
        return httpx.get(f"http://{address}{path}", trust_env=False).status_code
    except httpx.HTTPError:
        return 0
