"""Guards against host processes that end, or never get ready, as they start.

What is not right at that moment (settings, ports, signals, descriptors) may be right a
moment later, and a process that ends by itself is out until it is started again.
"""

import signal
import socket
from pathlib import Path

from siskinpier.exit_codes import ExitCode
from tests.standins.process import LOOPBACK
from tests.standins.started_host import StartedHost, make_fields, make_text

CRASH = """
from siskinpier.platform import process
def fail(*args, **kwargs):
    raise RuntimeError("no loop")
process.anyio.run = fail
process.main()
"""


class TestLogOfTheStart:
    """Each stage of a start and each way to end has a log line of its own."""

    def test_stages_and_end(self, tmp_path: Path) -> None:
        with StartedHost(folder=tmp_path, text=make_text(make_fields())) as host:
            host.wait_for_event("start")
            host.child.send_signal(signal.SIGTERM)
            assert host.wait_exit() == ExitCode.OK
            for event in ("boot", "settings", "listening", "start", "end"):
                assert len(host.list_events(event)) == 1, event
            (line,) = host.list_events("exit")
            assert line["code"] == "0"

    def test_settings_that_cannot_be_used(self, tmp_path: Path) -> None:
        fields = make_fields() | {"listenAddresses.front": "nowhere"}
        with StartedHost(folder=tmp_path, text=make_text(fields)) as host:
            assert host.wait_exit() == ExitCode.BAD_INPUT
            (line,) = host.list_events("cannot-start")
            assert line["stage"] == "settings"
            assert "listenAddresses.front" in line["reason"]
            assert host.list_events("exit")[0]["code"] == "2"

    def test_port_that_stays_taken(self, tmp_path: Path) -> None:
        with socket.create_server((LOOPBACK, 0)) as other:
            taken = f"{LOOPBACK}:{other.getsockname()[1]}"
            fields = make_fields() | {"listenAddresses.ready": taken}
            with StartedHost(folder=tmp_path, text=make_text(fields)) as host:
                assert host.wait_exit() == ExitCode.BAD_INPUT
                (line,) = host.list_events("cannot-start")
                assert line["stage"] == "listen"
                assert taken in line["reason"]

    def test_crash(self, tmp_path: Path) -> None:
        text = make_text(make_fields())
        with StartedHost(folder=tmp_path, text=text, args=("-c", CRASH)) as host:
            assert host.wait_exit() == ExitCode.INTERNAL
            (line,) = host.list_events("crash")
            assert "no loop" in line["error"]
            assert "in fail" in line["trace"]
            assert host.list_events("exit")[0]["code"] == "1"
