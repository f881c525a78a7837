"""Tests of the binary: one file, one process, unpacked to a private directory."""

import json
import os
import re
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from bench.binary import build
from bench.fleet import OPERATOR_TOKEN, PEER_KEY, ROOT
from siskinpier.unpacking import UnpackError, choose_directory
from tests.standins.process import HANG_TIMEOUT_S, StandIn

EXAMPLES: Final = ROOT / "examples"


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the binary and return its path."""
    path = tmp_path_factory.mktemp("dist") / "siskinpier"
    build(path)
    return path


@pytest.fixture(scope="module")
def unpacked(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return the path of a directory to unpack to, which does not exist yet."""
    return tmp_path_factory.mktemp("memory") / "unpacked"


def make_environment(**variables: str) -> dict[str, str]:
    """Return an environment without PYTHONPATH, so that only the binary is used."""
    kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
    return {**kept, **variables}


def run(binary: Path, *args: str, **variables: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the binary with additional environment variables."""
    return subprocess.run(
        [sys.executable, str(binary), *args],
        env=make_environment(**variables),
        cwd="/",
        capture_output=True,
        text=True,
        timeout=HANG_TIMEOUT_S,
    )


@pytest.fixture(scope="module")
def served(
    binary: Path, unpacked: Path, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[tuple[int, str]]:
    """Yield the process id and the operators' address of a host run by the binary."""
    any_port = {"ip": "127.0.0.1", "port": 0}
    with StandIn(module="tests.standins.platform") as platform:
        document = {
            "name": "host-1",
            "failure_domain": "zagreb-1",
            "callers": any_port,
            "operators": any_port,
            "peers": any_port,
            "platform": {"url": platform.url},
            "security": {"operator_token": OPERATOR_TOKEN, "peer_key": PEER_KEY},
            "shutdown": {"announce_s": 0.1},
            "address_ttl_s": 0.1,
            "unpack_directory": str(unpacked),
        }
        path = tmp_path_factory.mktemp("settings") / "host.jsonc"
        path.write_text("// The host of this test.\n" + json.dumps(document))
        host = subprocess.Popen(
            [sys.executable, str(binary), "serve", str(path)],
            env=make_environment(),
            cwd="/",
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        assert host.stdout is not None
        ready = re.search(r"operators=(\S+)", host.stdout.readline())
        assert ready is not None
        yield host.pid, ready[1]
        host.terminate()
        assert host.wait(HANG_TIMEOUT_S) == 0


class TestCommands:
    """Every command must work from the single file."""

    def test_version_and_check(self, binary: Path, unpacked: Path) -> None:
        variables = {"SISKINPIER_UNPACK": str(unpacked)}
        assert run(binary, "version", **variables).stdout.strip() == "0.1.0"
        good = EXAMPLES / "host.settings.jsonc"
        assert run(binary, "check", str(good), **variables).returncode == 0
        result = run(binary, "check", str(ROOT / "pyproject.toml"), **variables)
        assert result.returncode == 2
        assert "Traceback" not in result.stderr

    def test_serve_is_one_process(self, served: tuple[int, str]) -> None:
        pid, _ = served
        tasks = list(Path(f"/proc/{pid}/task").iterdir())
        assert tasks
        assert all((task / "children").read_text() == "" for task in tasks)
        status = Path(f"/proc/{pid}/status").read_text()
        assert f"PPid:\t{os.getpid()}\n" in status

    def test_serve_unpacks_to_configured_directory(
        self, served: tuple[int, str], unpacked: Path
    ) -> None:
        maps = Path(f"/proc/{served[0]}/maps").read_text()
        assert f"{unpacked}/" in maps

    def test_apply_ask_and_order(
        self, binary: Path, unpacked: Path, served: tuple[int, str]
    ) -> None:
        variables = {
            "SISKINPIER_UNPACK": str(unpacked),
            "SISKINPIER_HOST": served[1],
            "SISKINPIER_TOKEN": OPERATOR_TOKEN,
        }
        intents = EXAMPLES / "arhivski-kadar.intents.jsonc"
        assert run(binary, "apply", str(intents), **variables).returncode == 0
        deadline = time.monotonic() + HANG_TIMEOUT_S
        drain = "drain server search-1 of search"
        while (result := run(binary, "order", drain, **variables)).returncode != 0:
            assert time.monotonic() < deadline, result
        answer = run(binary, "ask", "configuration", "--json=true", **variables)
        assert answer.returncode == 0
        assert '"revision": 2' in answer.stdout


class TestUnpackDirectory:
    """Only a directory that no other user can write to may be used.

    Otherwise another user could replace the code before it is executed.
    """

    def test_order_of_sources(self, tmp_path: Path) -> None:
        settings = tmp_path / "host.jsonc"
        settings.write_text(f'{{"unpack_directory": "{tmp_path}/set"}} // named')
        args = ("serve", str(settings))
        env = {"XDG_RUNTIME_DIR": str(tmp_path)}
        assert choose_directory((), env) == tmp_path / "siskinpier"
        assert choose_directory(args, env) == tmp_path / "set"
        env["SISKINPIER_UNPACK"] = str(tmp_path / "env")
        assert choose_directory(args, env) == tmp_path / "env"
        assert (tmp_path / "env").stat().st_mode & 0o777 == 0o700

    @pytest.mark.parametrize("kind", ["writable", "link", "file", "missing-settings"])
    def test_unsafe_directory_is_refused(self, tmp_path: Path, kind: str) -> None:
        path = tmp_path / "unpack"
        match kind:
            case "writable":
                path.mkdir()
                path.chmod(0o777)
            case "link":
                path.symlink_to(tmp_path)
            case "file":
                path.write_text("")
            case "missing-settings":
                args = ("serve", str(tmp_path / "none"))
                env = {"XDG_RUNTIME_DIR": str(tmp_path)}
                assert choose_directory(args, env) == tmp_path / "siskinpier"
                return
        with pytest.raises(UnpackError):
            choose_directory((), {"SISKINPIER_UNPACK": str(path)})

    def test_refused_directory_stays_empty(self, binary: Path, tmp_path: Path) -> None:
        tmp_path.chmod(0o777)
        result = run(binary, "version", SISKINPIER_UNPACK=str(tmp_path))
        assert result.returncode == 1
        assert result.stderr.startswith("siskinpier: cannot unpack")
        assert not list(tmp_path.iterdir())
