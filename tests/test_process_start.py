"""Guards against host processes that end, or never get ready, as they start.

What is not right at that moment (settings, ports, signals, descriptors) may be right a
moment later, and a process that ends by itself is out until it is started again.
"""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import pytest

from siskinpier.edge.sockets import make_listeners
from siskinpier.exit_codes import ExitCode
from siskinpier.platform import starting
from siskinpier.platform.settings import SettingsError, decode_settings
from siskinpier.settings.host import Address
from tests.standins.platform_host import is_listening, wait_until
from tests.standins.process import HANG_TIMEOUT_S, LOOPBACK, find_free_ports
from tests.standins.started_host import (
    NO_STORE,
    Gate,
    StartedHost,
    get_status,
    make_fields,
    make_text,
)

# Signals that must end no host; the default action of each ends a process.
HARMLESS = [
    signal.SIGHUP,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
]
# An address for documentation, which no machine has (RFC 5737).
ABSENT_IP = "192.0.2.1"
STOPS = [signal.SIGTERM, signal.SIGINT]

CRASH = """
from siskinpier.platform import process
def fail(*args, **kwargs):
    raise RuntimeError("no loop")
process.anyio.run = fail
process.main()
"""

# Fields that a host can do without, and texts that are no usable value of any of them.
NUMBERS = [
    "limits.cpuShare",
    "limits.linkMbps",
    "bounds.gracePeriodS",
    "bounds.ttl_max_s",
    "bounds.probesPerS",
    "bounds.retryBudgetRatio",
    "bounds.retryBudgetSlack",
    "bounds.retryWindowS",
    "platform.writesPerS",
]
OPTIONAL = [*NUMBERS, "region", "ipAddress", "internalPortRange", "seeds"]
BAD_NUMBERS = [
    "",
    "-1",
    "true",
    "never",
    "nan",
    "inf",
    "-inf",
    "1e400",
    "1e300",
    "9" * 5_000,
    "\u0663",
    "\u00b2",
    "[]",
    '{"a": 1}',
    "1,2",
    "\udcff",
]
REQUIRED = [
    "nodeName",
    "zone",
    "platform.address",
    *(f"listenAddresses.{name}" for name in ("front", "ready", "control", "directory")),
]

FAILED_RELOAD = """
import asyncio, os, signal, types
from siskinpier.edge.serving import handle_signals
stopped = []
shell = types.SimpleNamespace(clock=lambda: 0.0, handle=stopped.append)
def fail():
    raise RuntimeError("cannot reload")
async def run():
    task = asyncio.ensure_future(handle_signals(shell, fail))
    await asyncio.sleep(0)
    os.kill(os.getpid(), signal.SIGHUP)
    await asyncio.wait([task])
    os.kill(os.getpid(), signal.SIGTERM)
    task = asyncio.ensure_future(handle_signals(shell, fail))
    while not stopped:
        await asyncio.sleep(0.01)
    task.cancel()
asyncio.run(run())
"""


def make_product_settings() -> dict[str, Any]:
    """Return settings of a host of the product's own, whose platform is not there."""
    return {
        "name": "host-1",
        "failure_domain": "d1",
        "region": "r1",
        "callers": {"ip": LOOPBACK, "port": 0},
        "operators": {"ip": LOOPBACK, "port": 0},
        "peers": {"ip": LOOPBACK, "port": 0},
        "platform": {"url": f"http://{NO_STORE}"},
        "security": {"operator_token": "t" * 16, "peer_key": "k" * 16},
        "shutdown": {"announce_s": 0.1},
        "address_ttl_s": 0.1,
    }


def fill_pipe(fd: int) -> None:
    """Fill a pipe, so that it takes no byte more."""
    os.set_blocking(fd, False)
    with suppress(BlockingIOError):
        while True:
            os.write(fd, bytes(4_096))


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
                assert taken.rpartition(":")[2] in line["reason"]

    def test_crash(self, tmp_path: Path) -> None:
        text = make_text(make_fields())
        with StartedHost(folder=tmp_path, text=text, args=("-c", CRASH)) as host:
            assert host.wait_exit() == ExitCode.INTERNAL
            (line,) = host.list_events("crash")
            assert "no loop" in line["error"]
            assert ":fail" in line["trace"]
            assert host.list_events("exit")[0]["code"] == "1"


# Prints the action of each signal that a host handles after all else has ended. The
# interpreter sets the default action later for those that are handled by a function.
CANCELLED_START_CODE = """
import atexit, os, signal
def show():
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    actions = [signal.getsignal(number) for number in numbers]
    print(*(getattr(action, "name", action) for action in actions), flush=True)
atexit.register(show)
from siskinpier.signals import SIGNALS
SIGNALS.open()
os.kill(os.getpid(), signal.SIGTERM)
from siskinpier.platform.process import main
main()
"""

MANY_HUPS_CODE = """
import os, signal
from siskinpier.signals import SIGNALS
SIGNALS.open()
for number in [signal.SIGTERM, *[signal.SIGHUP] * 100]:
    os.kill(os.getpid(), number)
print(SIGNALS.is_stop_requested())
SIGNALS.take(lambda number: print(signal.Signals(number).name))
"""


class TestSignals:
    """Only SIGTERM and SIGINT end a host, with exit code 0, at whatever time."""

    @pytest.mark.parametrize("number", HARMLESS)
    def test_signal_while_modules_load_ends_no_host(
        self, tmp_path: Path, number: signal.Signals
    ) -> None:
        gate = Gate(folder=tmp_path / "gate", module="anyio")
        text = make_text(make_fields())
        with StartedHost(folder=tmp_path, text=text, environ=gate.environ) as host:
            host.wait_at(gate)
            host.child.send_signal(number)
            gate.open()
            host.wait_for_event("start")
            host.child.send_signal(number)
            host.child.send_signal(signal.SIGTERM)
            assert host.wait_exit() == ExitCode.OK

    @pytest.mark.parametrize("number", STOPS)
    def test_stop_while_modules_load_ends_with_code_0(
        self, tmp_path: Path, number: signal.Signals
    ) -> None:
        gate = Gate(folder=tmp_path / "gate", module="anyio")
        text = make_text(make_fields())
        with StartedHost(folder=tmp_path, text=text, environ=gate.environ) as host:
            host.wait_at(gate)
            host.child.send_signal(number)
            gate.open()
            assert host.wait_exit() == ExitCode.OK
            assert host.list_events("start") == []
            assert host.list_events("start-cancelled")[0]["stage"] == "settings"

    def test_many_hups_while_modules_load_do_not_lose_the_stop(self) -> None:
        done = subprocess.run(
            [sys.executable, "-c", MANY_HUPS_CODE],
            capture_output=True,
            timeout=HANG_TIMEOUT_S,
            text=True,
        )
        assert done.stdout.split() == ["True", "SIGTERM", "SIGHUP"]

    def test_signal_after_a_cancelled_start_keeps_the_exit_code(
        self, tmp_path: Path
    ) -> None:
        done = subprocess.run(
            [sys.executable, "-c", CANCELLED_START_CODE],
            env={**os.environ, "SISKINPIER_BOOT": str(tmp_path)},
            capture_output=True,
            timeout=HANG_TIMEOUT_S,
            text=True,
        )
        assert done.returncode == ExitCode.OK
        assert done.stdout.splitlines()[-1] == "SIG_IGN SIG_IGN SIG_IGN"

    def test_hup_while_modules_load_is_a_reload(self, tmp_path: Path) -> None:
        gate = Gate(folder=tmp_path / "gate", module="anyio")
        text = make_text(make_fields())
        with StartedHost(folder=tmp_path, text=text, environ=gate.environ) as host:
            host.wait_at(gate)
            host.child.send_signal(signal.SIGHUP)
            gate.open()
            host.wait_for_event("reload")

    @pytest.mark.parametrize("number", [*HARMLESS, *STOPS])
    def test_signal_after_the_last_task_keeps_the_exit_code(
        self, tmp_path: Path, number: signal.Signals
    ) -> None:
        gate = Gate(folder=tmp_path / "gate", module=None)
        text = make_text(make_fields())
        with StartedHost(folder=tmp_path, text=text, environ=gate.environ) as host:
            host.wait_for_event("start")
            host.child.send_signal(signal.SIGTERM)
            host.wait_at(gate)
            host.child.send_signal(number)
            gate.open()
            assert host.wait_exit() == ExitCode.OK

    def test_signals_that_the_parent_blocked(self, tmp_path: Path) -> None:
        def prepare() -> None:
            signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, *STOPS})

        text = make_text(make_fields())
        with StartedHost(folder=tmp_path, text=text, prepare=prepare) as host:
            host.wait_for_event("start")
            host.child.send_signal(signal.SIGHUP)
            host.wait_for_event("reload")
            host.child.send_signal(signal.SIGTERM)
            assert host.wait_exit() == ExitCode.OK

    def test_stop_after_a_failed_reload_is_kept(self, tmp_path: Path) -> None:
        text = make_text(make_fields())
        args = ("-c", FAILED_RELOAD)
        with StartedHost(folder=tmp_path, text=text, args=args) as host:
            assert host.wait_exit() == ExitCode.OK, host.read_log()

    @pytest.mark.parametrize("module", ["siskinpier.edge.host", None])
    def test_hup_never_ends_the_product_s_own_host(
        self, tmp_path: Path, module: str | None
    ) -> None:
        gate = Gate(folder=tmp_path / "gate", module=module)
        settings = tmp_path / "host.json"
        settings.write_text(json.dumps(make_product_settings()))
        args = ("-m", "siskinpier", "serve", str(settings))
        with StartedHost(
            folder=tmp_path, text=None, args=args, environ=gate.environ
        ) as host:
            if module is None:
                host.wait_for_event("start")
                host.child.send_signal(signal.SIGTERM)
            host.wait_at(gate)
            host.child.send_signal(signal.SIGHUP)
            gate.open()
            if module is not None:
                host.wait_for_event("start")
                host.child.send_signal(signal.SIGTERM)
            assert host.wait_exit() == ExitCode.OK


class TestFields:
    """Only the fields that a host cannot do without stop its start."""

    @pytest.mark.parametrize("value", BAD_NUMBERS)
    @pytest.mark.parametrize("name", NUMBERS)
    def test_number_that_cannot_be_used_takes_its_default(
        self, name: str, value: str
    ) -> None:
        fields = make_fields()
        usual = decode_settings(make_text(fields)).settings
        decoded = decode_settings(make_text(fields | {name: value}))
        assert decoded.settings == usual
        assert [fault.path for fault in decoded.faults] == [name]

    @pytest.mark.parametrize(
        "value", ["", "x,y", ",", "70000,70001", "-1,5", "9" * 5_000]
    )
    def test_port_range_that_cannot_be_used(self, value: str) -> None:
        text = make_text(make_fields() | {"internalPortRange": value})
        decoded = decode_settings(text)
        assert decoded.settings.operators.port == 0
        assert [fault.path for fault in decoded.faults] == ["internalPortRange"]

    @pytest.mark.parametrize(
        "line",
        [
            *(f"{name}.deep.er=x\n" for name in [*OPTIONAL, *REQUIRED]),
            *(f"{name}=x\n" for name in ("limits", "bounds", "platform")),
            "listenAddresses=x\n",
        ],
    )
    def test_table_where_a_value_stood_and_the_reverse(self, line: str) -> None:
        text = make_text(make_fields() | {"limits.cpuShare": "0.5"})
        usual = decode_settings(text)
        assert decode_settings(line + text) == usual
        assert decode_settings(text + line) == usual

    def test_seeds_that_are_no_addresses_are_passed_over(self) -> None:
        seeds = "nonsense,:::,10.0.0.1:0,,10.0.0.2:7,10.0.0.3:70000, 10.0.0.4:8"
        decoded = decode_settings(make_text(make_fields() | {"seeds": seeds}))
        assert decoded.settings.seed_peers == ("10.0.0.2:7", "10.0.0.4:8")
        assert [fault.path for fault in decoded.faults] == ["seeds"]

    @pytest.mark.parametrize(
        "value", ["", "x", "1:2:3", "10.0.0.1:\u00b2", "a\udcff:1"]
    )
    @pytest.mark.parametrize("name", REQUIRED)
    def test_required_field_is_named(self, name: str, value: str) -> None:
        if name in ("nodeName", "zone"):
            value = value and "\udcff"
        with pytest.raises(SettingsError, match=name):
            decode_settings(make_text(make_fields() | {name: value}))

    def test_ipv6_addresses(self) -> None:
        fields = make_fields()
        for port, name in enumerate(REQUIRED[2:], start=1):
            fields[name] = f"[::1]:{port}"
        settings = decode_settings(make_text(fields)).settings
        assert settings.callers.ip == "::1"
        assert str(settings.callers) == fields["listenAddresses.front"]

    def test_field_that_stands_twice(self) -> None:
        text = make_text(make_fields()) + "nodeName=front-2\n"
        decoded = decode_settings(text)
        assert decoded.settings.name == "front-2"
        assert [fault.reason for fault in decoded.faults] == ["stands twice"]

    @pytest.mark.parametrize("value", ["", "x", "nan", "0x7f", "\udcff"])
    def test_host_starts_without_any_field_that_it_can_do_without(
        self, tmp_path: Path, value: str
    ) -> None:
        fields = make_fields() | dict.fromkeys(OPTIONAL, value)
        data = make_text(fields).encode("utf-8", "surrogateescape")
        with StartedHost(folder=tmp_path, text=data) as host:
            host.wait_for_event("start")
            paths = {line["path"] for line in host.list_events("settings-fault")}
            assert paths >= set(NUMBERS)
            assert get_status(fields["listenAddresses.ready"], "/metrics") == 200


def make_unfinished_texts() -> dict[str, str | None]:
    """Return texts of a settings file that is being written, by name."""
    text = make_text(make_fields())
    return {
        "missing": None,
        "empty": "",
        "half": text[: len(text) // 2],
        "cut in the last field": text[: text.index("platform.address") + 18],
    }


class TestUnfinishedSettings:
    """A host waits for settings that are being written as it starts."""

    @pytest.mark.parametrize("name", make_unfinished_texts())
    def test_settings_that_are_complete_later(self, tmp_path: Path, name: str) -> None:
        text = make_unfinished_texts()[name]
        with StartedHost(folder=tmp_path, text=text) as host:
            assert host.wait_for_event("start-wait")["stage"] == "settings"
            host.child.send_signal(signal.SIGHUP)
            host.path.write_text(make_text(make_fields()))
            host.wait_for_event("start")
            assert len(host.list_events("start-wait")) == 1
            assert len(host.list_events("start-wait-over")) == 1

    @pytest.mark.parametrize("number", STOPS)
    def test_stop_while_a_host_waits_for_settings(
        self, tmp_path: Path, number: signal.Signals
    ) -> None:
        with StartedHost(folder=tmp_path, text="") as host:
            host.wait_for_event("start-wait")
            host.child.send_signal(number)
            assert host.wait_exit() == ExitCode.OK

    def test_last_line_that_is_cut_is_not_used(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        path = tmp_path / "boot.conf"
        whole = make_text(make_fields() | {"platform.address": "10.0.0.1:8642"})
        path.write_text(whole.rstrip("\n")[:-1])
        monkeypatch.setattr(starting.time, "sleep", lambda _: path.write_text(whole))
        assert starting.read_settings(str(path)).store == "10.0.0.1:8642"

    def test_change_before_signals_are_handled_is_not_missed(
        self, tmp_path: Path
    ) -> None:
        fields = make_fields()
        with StartedHost(folder=tmp_path, text=make_text(fields)) as host:
            host.wait_for_event("settings")
            host.path.write_text(make_text(fields | {"bounds.ttl_max_s": "4"}))
            assert host.wait_for_event("reload")["changed"] == "address_ttl_s"


KINDS = ["front", "ready", "control", "directory"]


class TestPorts:
    """A host waits for its ports, and meanwhile takes no connection on any of them."""

    @pytest.mark.parametrize("kind", KINDS)
    def test_port_that_is_free_later(self, tmp_path: Path, kind: str) -> None:
        fields = make_fields()
        addresses = {name: fields[f"listenAddresses.{name}"] for name in KINDS}
        ports = {name: int(text.split(":")[1]) for name, text in addresses.items()}
        other = socket.create_server((LOOPBACK, ports[kind]))
        with StartedHost(folder=tmp_path, text=make_text(fields)) as host:
            wait = host.wait_for_event("start-wait")
            assert wait["stage"] == "listen"
            assert str(ports[kind]) in wait["reason"]
            assert not any(is_listening(ports[name]) for name in KINDS if name != kind)
            host.child.send_signal(signal.SIGHUP)
            other.close()
            host.wait_for_event("start")
            assert len(host.list_events("start-wait")) == 1
            assert len(host.list_events("start-wait-over")) == 1

    @pytest.mark.parametrize("number", STOPS)
    def test_stop_while_a_host_waits_for_an_address(
        self, tmp_path: Path, number: signal.Signals
    ) -> None:
        fields = make_fields() | {"listenAddresses.front": f"{ABSENT_IP}:8641"}
        with StartedHost(folder=tmp_path, text=make_text(fields)) as host:
            assert "Cannot assign" in host.wait_for_event("start-wait")["reason"]
            host.child.send_signal(number)
            assert host.wait_exit() == ExitCode.OK
            assert host.list_events("start-cancelled")[0]["stage"] == "listen"

    def test_a_failed_attempt_keeps_no_socket(self) -> None:
        with socket.create_server((LOOPBACK, 0)) as other:
            (free,) = find_free_ports(1)
            taken = other.getsockname()[1]
            addresses = [Address(ip=LOOPBACK, port=port) for port in (free, taken)]
            with pytest.raises(OSError, match=str(taken)):
                make_listeners(addresses)
            socket.create_server((LOOPBACK, free)).close()

    def test_metrics_port_stops_no_start(self, tmp_path: Path) -> None:
        fields = make_fields() | {"ipAddress": ABSENT_IP}
        with StartedHost(folder=tmp_path, text=make_text(fields)) as host:
            host.wait_for_event("start")
            assert len(host.list_events("metrics-port-taken")) == 1


CLOSED = [{0}, {1}, {2}, {1, 2}, {0, 1, 2}]


class TestStandardStreams:
    """A host runs with descriptors that are closed, full or broken."""

    @pytest.mark.parametrize("closed", CLOSED)
    def test_closed_descriptors(self, tmp_path: Path, closed: set[int]) -> None:
        fields = make_fields()

        def prepare() -> None:
            for fd in closed:
                os.close(fd)

        with StartedHost(
            folder=tmp_path, text=make_text(fields), prepare=prepare
        ) as host:
            address = fields["listenAddresses.ready"]
            wait_until(
                lambda: (
                    get_status(address, "/metrics") == 200
                    or host.child.poll() is not None
                )
            )
            for fd in closed:
                target = Path(f"/proc/{host.child.pid}/fd/{fd}").readlink()
                assert target == Path(os.devnull)
            if not {1, 2} <= closed:
                host.wait_for_event("start")
            host.child.send_signal(signal.SIGTERM)
            assert host.wait_exit() == ExitCode.OK

    @pytest.mark.parametrize("kind", ["full disk", "no reader", "full pipe"])
    def test_output_that_takes_no_line(self, tmp_path: Path, kind: str) -> None:
        fields = make_fields()
        with ExitStack() as opened:
            output = open_output(kind, opened)
            host = opened.enter_context(
                StartedHost(
                    folder=tmp_path,
                    text=make_text(fields),
                    stdout=output,
                    stderr=output,
                )
            )
            address = fields["listenAddresses.ready"]
            wait_until(
                lambda: (
                    get_status(address, "/metrics") == 200
                    or host.child.poll() is not None
                )
            )
            host.child.send_signal(signal.SIGTERM)
            assert host.wait_exit() == ExitCode.OK

    @pytest.mark.parametrize("kind", ["full disk", "no reader", "full pipe"])
    def test_refused_start_keeps_its_exit_code(self, tmp_path: Path, kind: str) -> None:
        with ExitStack() as opened:
            output = open_output(kind, opened)
            environ = {"SISKINPIER_BOOT": ""}
            host = opened.enter_context(
                StartedHost(
                    folder=tmp_path,
                    text=None,
                    environ=environ,
                    stdout=output,
                    stderr=output,
                )
            )
            assert host.wait_exit() == ExitCode.BAD_INPUT


def open_output(kind: str, opened: ExitStack) -> int:
    """Return a descriptor for output, which is closed with `opened`."""
    if kind == "full disk":
        fd = os.open("/dev/full", os.O_WRONLY)
    else:
        reader, fd = os.pipe()
        if kind == "no reader":
            os.close(reader)
        else:
            opened.callback(os.close, reader)
            fill_pipe(fd)
    opened.callback(os.close, fd)
    return fd


class TestStandardErrorAlone:
    """A host never waits for the reader of its standard error."""

    def test_refused_start_ends_although_standard_error_is_full(
        self, tmp_path: Path
    ) -> None:
        with ExitStack() as opened:
            reader, writer = os.pipe()
            opened.callback(os.close, reader)
            opened.callback(os.close, writer)
            os.set_blocking(writer, False)
            fill_pipe(writer)
            os.set_blocking(writer, True)
            environ = {"SISKINPIER_BOOT": ""}
            host = opened.enter_context(
                StartedHost(folder=tmp_path, text=None, environ=environ, stderr=writer)
            )
            assert host.wait_exit() == ExitCode.BAD_INPUT


FEW_DESCRIPTORS = 20


class TestDescriptorLimit:
    """A host without a free descriptor goes on, and stops as usual."""

    def test_stop_without_a_free_descriptor(self, tmp_path: Path) -> None:
        fields = make_fields()

        def prepare() -> None:
            hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            resource.setrlimit(resource.RLIMIT_NOFILE, (FEW_DESCRIPTORS, hard_limit))

        with ExitStack() as opened:
            host = opened.enter_context(
                StartedHost(folder=tmp_path, text=make_text(fields), prepare=prepare)
            )
            host.wait_for_event("start")
            ip, _, port = fields["listenAddresses.front"].partition(":")
            for _ in range(2 * FEW_DESCRIPTORS):
                conn = socket.create_connection((ip, int(port)), HANG_TIMEOUT_S)
                opened.enter_context(conn)
            assert "Too many" in host.wait_for_event("failure")["error"]
            host.child.send_signal(signal.SIGTERM)
            assert host.wait_exit() == ExitCode.OK
