"""Tests of `deploy/build`: it leaves a complete `target/deps` or fails.

Each test builds a small repository with the real script. A stand-in for pip makes the
libraries, so nothing is downloaded.
"""

import importlib.metadata
import os
import re
import shutil
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest
from packaging.requirements import Requirement

from tests.standins.process import HANG_TIMEOUT_S, ROOT

DEPLOY_FILES: Final = ("build", "build_deps.py")
# What a host runs before it loads the module `process`.
START_FILES: Final = (
    "siskinpier/__init__.py",
    "siskinpier/signals.py",
    "siskinpier/platform/__init__.py",
    "siskinpier/platform/__main__.py",
)
PIN: Final = re.compile(r"^([A-Za-z0-9_.-]+)==([A-Za-z0-9.]+)", re.MULTILINE)
PYTHON_VERSIONS: Final = ("3.11", "3.12", "3.13", "3.14")
MACHINES: Final = ("x86_64", "aarch64")
PIP: Final = """
import base64, hashlib, os, pathlib, signal, sys, time
words = sys.argv
target = pathlib.Path(words[words.index("--target") + 1])
requirements = pathlib.Path(words[words.index("-r") + 1]).read_text().split()
here = pathlib.Path(__file__).parents[1]
with (here / "pip.log").open("a") as log:
    log.write("install\\n")
mode = os.environ.get("PIP_MODE", "")
target.mkdir(parents=True, exist_ok=True)
for pin in requirements:
    name, _, version = pin.partition("==")
    module = target / f"{name}.py"
    module.write_text(f"VERSION = {version!r}\\n")
    digest = hashlib.sha256(module.read_bytes()).digest()
    digest = base64.urlsafe_b64encode(digest).rstrip(b"=").decode()
    info = target / f"{name}-{version}.dist-info"
    info.mkdir(exist_ok=True)
    (info / "METADATA").write_text(f"Name: {name}\\nVersion: {version}\\n")
    size = module.stat().st_size
    (info / "RECORD").write_text(f"{name}.py,sha256={digest},{size}\\n")
    if mode == "fail":
        sys.exit("no network")
    if mode == "killed":
        os.kill(os.getppid(), signal.SIGKILL)
        sys.exit(1)
    if mode == "extra":
        (target / "gamma-1.0.dist-info").mkdir(exist_ok=True)
        (target / "gamma-1.0.dist-info" / "RECORD").write_text("")
if mode == "wait":
    (here / "installing").touch()
    while not (here / "go").exists():
        time.sleep(0.01)
"""
# Ends the build before its n-th step that other processes can see.
KILLER: Final = """
import os, sys
STEPS = {"os.mkdir", "os.rename", "os.symlink", "shutil.copytree",
         "shutil.rmtree", "subprocess.Popen"}
left = int(os.environ.get("END_BEFORE_STEP", "0"))

def count(event, args):
    global left
    if event in STEPS and left:
        left -= 1
        if not left:
            os._exit(77)

if sys.argv[0].endswith("build_deps.py"):
    sys.addaudithook(count)
"""
PROGRAM: Final = "import alpha, beta\nTEXT = {text!r}\nprint(TEXT, alpha.VERSION)\n"
RUN: Final = "import siskinpier.platform.process"
ENDED_EARLY: Final = 77


class Repository:
    """A small repository with the real build script, built by a stand-in for pip."""

    def __init__(self, folder: Path) -> None:
        self.root = folder / "repository"
        self.tools = folder / "tools"
        self.deps = self.root / "target" / "deps"
        self.process = self.root / "src/siskinpier/platform/process.py"
        (self.root / "deploy").mkdir(parents=True)
        for name in DEPLOY_FILES:
            if (ROOT / "deploy" / name).exists():
                shutil.copy(ROOT / "deploy" / name, self.root / "deploy" / name)
        self.process.parent.mkdir(parents=True)
        (self.process.parents[1] / "__init__.py").touch()
        (self.process.parent / "__init__.py").touch()
        self.set_source("first")
        self.set_requirements("alpha==1.0", "beta==1.0")
        (self.tools / "pip").mkdir(parents=True)
        (self.tools / "pip" / "__init__.py").touch()
        (self.tools / "pip" / "__main__.py").write_text(PIP)
        (self.tools / "sitecustomize.py").write_text(KILLER)
        python = self.tools / "python3"
        python.write_text(f'#!/bin/sh\nexec {sys.executable} "$@"\n')
        python.chmod(0o755)

    def set_source(self, text: str) -> None:
        """Change the program, which prints the text and the version of a library."""
        self.process.write_text(PROGRAM.format(text=text))

    def set_requirements(self, *pins: str) -> None:
        """Change the pinned libraries."""
        text = "\n".join(pins) + "\n"
        (self.root / "deploy" / "requirements.txt").write_text(text)

    def start(self, **env: str) -> subprocess.Popen[bytes]:
        """Start a build."""
        return subprocess.Popen(
            "deploy/build",
            shell=True,
            cwd=self.root,
            env={
                **os.environ,
                "PATH": f"{self.tools}:{os.environ['PATH']}",
                "PYTHONPATH": str(self.tools),
                **env,
            },
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def build(self, **env: str) -> int:
        """Run a build; return its exit code."""
        return self.start(**env).wait(HANG_TIMEOUT_S)

    def run_program(self) -> str:
        """Return what the program prints, or an empty string if it cannot start."""
        result = subprocess.run(
            [sys.executable, "-S", "-c", RUN],
            cwd=self.tools,
            env={"PYTHONPATH": str(self.deps)},
            capture_output=True,
            text=True,
        )
        return result.stdout.strip()

    def count_installs(self) -> int:
        """Return how many times libraries were installed."""
        log = self.tools / "pip.log"
        return len(log.read_text().splitlines()) if log.exists() else 0


@pytest.fixture
def repository(tmp_path: Path) -> Repository:
    """Return a repository that is not built yet."""
    return Repository(tmp_path)


@pytest.fixture
def built(repository: Repository) -> Repository:
    """Return a repository whose build is complete."""
    assert repository.build() == 0
    assert repository.run_program() == "first 1.0"
    return repository


def find_stamp(deps: Path) -> Path:
    """Return the file that says what a build was made for."""
    return deps / "built-for.txt"


class TestCarriedOverFolder:
    """A folder of another machine or build is never taken for a complete one."""

    def test_library_missing(self, built: Repository) -> None:
        (built.deps / "beta.py").unlink()
        assert built.build() == 0
        assert built.run_program() == "first 1.0"

    def test_library_damaged(self, built: Repository) -> None:
        (built.deps / "alpha.py").write_text("VERSION = '0.9'\n")
        assert built.build() == 0
        assert built.run_program() == "first 1.0"

    def test_library_without_list_of_files(self, built: Repository) -> None:
        (built.deps / "beta.py").unlink()
        (built.deps / "beta-1.0.dist-info" / "RECORD").unlink()
        assert built.build() == 0
        assert built.run_program() == "first 1.0"

    @pytest.mark.parametrize("line", range(4))
    def test_other_python_machine_or_requirements(
        self, built: Repository, line: int
    ) -> None:
        stamp = find_stamp(built.deps)
        lines = stamp.read_text().splitlines()
        lines[line] = "other"
        stamp.write_text("\n".join(lines) + "\n")
        assert built.build() == 0
        assert built.count_installs() == 2

    def test_folder_of_a_build_without_stamp(self, built: Repository) -> None:
        libraries = built.root / "target" / "libraries"
        libraries.touch()
        find_stamp(built.deps).unlink()
        (built.deps / "alpha.py").unlink()
        assert built.build() == 0
        assert built.run_program() == "first 1.0"

    def test_link_copied_as_a_folder(self, built: Repository) -> None:
        target = built.root / "target"
        shutil.copytree(built.deps, target / "copy")
        shutil.rmtree(target / "builds")
        built.deps.unlink()
        (target / "copy").rename(built.deps)
        assert built.build() == 0
        assert built.count_installs() == 1
        built.set_source("second")
        assert built.build() == 0
        assert built.run_program() == "second 1.0"

    def test_link_without_its_folder(self, built: Repository) -> None:
        shutil.rmtree(built.root / "target" / "builds")
        assert built.build() == 0
        assert built.run_program() == "first 1.0"

    def test_nothing_stays_of_older_requirements(self, built: Repository) -> None:
        built.set_requirements("alpha==2.0", "beta==1.0")
        assert built.build() == 0
        assert built.run_program() == "first 2.0"
        assert [path.name for path in built.deps.glob("alpha-*")] == [
            "alpha-2.0.dist-info"
        ]


class TestBuild:
    """A build without a change does nothing, and a failed one leaves the old one."""

    def test_no_install_if_all_is_in_place(self, built: Repository) -> None:
        assert built.build(PIP_MODE="fail") == 0
        assert built.count_installs() == 1

    def test_folder_that_cannot_be_written_is_used_if_it_is_current(
        self, built: Repository
    ) -> None:
        lock = built.root / "target" / "build.lock"
        lock.unlink()
        lock.mkdir()
        assert built.build() == 0
        built.set_source("second")
        assert built.build() != 0
        assert built.run_program() == "first 1.0"

    def test_no_install_if_only_the_source_changed(self, built: Repository) -> None:
        built.set_source("second")
        assert built.build(PIP_MODE="fail") == 0
        assert built.run_program() == "second 1.0"

    def test_removed_source_file_is_removed(self, built: Repository) -> None:
        late = built.process.with_name("late.py")
        late.touch()
        assert built.build() == 0
        late.unlink()
        assert built.build() == 0
        assert not (built.deps / "siskinpier/platform/late.py").exists()

    @pytest.mark.parametrize("mode", ["fail", "extra"])
    def test_failed_install_leaves_the_old_build(
        self, built: Repository, mode: str
    ) -> None:
        built.set_requirements("alpha==2.0", "beta==1.0")
        assert built.build(PIP_MODE=mode) != 0
        assert built.run_program() == "first 1.0"

    def test_program_that_cannot_be_loaded_fails_the_build(
        self, built: Repository
    ) -> None:
        built.process.write_text("import gamma\n")
        assert built.build() != 0
        assert built.run_program() == "first 1.0"

    def test_requirement_that_is_missing_fails_the_build(
        self, repository: Repository
    ) -> None:
        repository.set_requirements("alpha==1.0")
        assert repository.build() != 0

    def test_other_users_can_read_the_build(self, built: Repository) -> None:
        folders = [built.deps, *built.deps.resolve().parents[:2]]
        assert all(folder.stat().st_mode & 0o005 == 0o005 for folder in folders)

    def test_old_builds_are_removed(self, built: Repository) -> None:
        for number in range(8):
            built.set_source(f"source {number}")
            assert built.build() == 0
        assert len(list((built.root / "target" / "builds").iterdir())) == 4


class TestInterruptedBuild:
    """After a build that was killed, the old or the new one is there."""

    def test_first_build_killed_during_the_install(
        self, repository: Repository
    ) -> None:
        assert repository.build(PIP_MODE="killed") != 0
        assert repository.build() == 0
        assert repository.run_program() == "first 1.0"

    def test_update_killed_during_the_install(self, built: Repository) -> None:
        built.set_requirements("alpha==2.0", "beta==1.0")
        assert built.build(PIP_MODE="killed") != 0
        assert built.run_program() == "first 1.0"
        assert built.build() == 0
        assert built.run_program() == "first 2.0"

    def test_killed_before_each_step(self, built: Repository) -> None:
        step = 0
        while True:
            step += 1
            built.set_requirements(f"alpha==2.{step}", "beta==1.0")
            built.set_source(f"source {step}")
            before = built.run_program()
            code = built.build(END_BEFORE_STEP=str(step))
            assert code in (0, ENDED_EARLY), step
            after = f"source {step} 2.{step}"
            assert built.run_program() in (before, after), step
            assert built.build() == 0, step
            assert built.run_program() == after, step
            if code == 0:
                break
        assert step > 5

    def test_killed_while_a_copied_folder_is_replaced(self, built: Repository) -> None:
        step = 0
        code = ENDED_EARLY
        while code == ENDED_EARLY:
            step += 1
            copy = built.root / "target" / "copy"
            shutil.copytree(built.deps, copy)
            built.deps.unlink()
            copy.rename(built.deps)
            built.set_source(f"source {step}")
            code = built.build(END_BEFORE_STEP=str(step))
            assert built.build(PIP_MODE="fail") == 0, step
            assert built.run_program() == f"source {step} 1.0", step
        assert code == 0


class TestConcurrentUse:
    """Builds at the same time wait for each other; hosts keep to one build."""

    def test_second_build_waits_for_the_first(self, repository: Repository) -> None:
        first = repository.start(PIP_MODE="wait")
        while not (repository.tools / "installing").exists():
            assert first.poll() is None
        second = repository.start(PIP_MODE="fail")
        (repository.tools / "go").touch()
        assert first.wait(HANG_TIMEOUT_S) == 0
        assert second.wait(HANG_TIMEOUT_S) == 0
        assert repository.count_installs() == 1
        assert repository.run_program() == "first 1.0"

    def test_starting_host_loads_no_module_of_another_build(
        self, tmp_path: Path
    ) -> None:
        for name in ("old", "new"):
            package = tmp_path / name / "siskinpier" / "platform"
            package.mkdir(parents=True)
            for file in START_FILES:
                shutil.copy(ROOT / "src" / file, tmp_path / name / file)
            (package / "process.py").write_text(
                "import os, sys\n"
                "def main():\n"
                "    os.symlink('new', sys.argv[1] + '.new')\n"
                "    os.replace(sys.argv[1] + '.new', sys.argv[1])\n"
                "    from . import late\n"
                "    import library\n"
                "    print(late.BUILD, library.BUILD)\n"
            )
            (package / "late.py").write_text(f"BUILD = {name!r}\n")
            (tmp_path / name / "library.py").write_text(f"BUILD = {name!r}\n")
        link = tmp_path / "deps"
        link.symlink_to("old")
        output = subprocess.run(
            [sys.executable, "-S", "-m", "siskinpier.platform", str(link)],
            cwd=tmp_path,
            env={"PYTHONPATH": str(link)},
            capture_output=True,
            text=True,
        )
        assert output.stdout == "old old\n", output.stderr


def read_pins(path: Path) -> dict[str, str]:
    """Return the pinned version of each library of a file."""
    return {
        name.lower().replace("_", "-"): version
        for name, version in PIN.findall(path.read_text())
    }


def list_needed(name: str) -> Iterator[str]:
    """Yield the libraries that one needs on any machine and version of Python."""
    for text in importlib.metadata.requires(name) or []:
        needed = Requirement(text)
        environments = [
            {"python_version": version, "platform_machine": machine, "extra": ""}
            for version in PYTHON_VERSIONS
            for machine in MACHINES
        ]
        if needed.marker is None or any(map(needed.marker.evaluate, environments)):
            yield needed.name.lower().replace("_", "-")


class TestRequirements:
    """Every library of a host is pinned to the version that is tested."""

    PINS: Final = read_pins(ROOT / "deploy" / "requirements.txt")

    def test_every_line_is_a_pin(self) -> None:
        lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
        assert len(self.PINS) == len([line for line in lines if line[:1] != "#"])

    def test_same_as_the_lock(self) -> None:
        lock = read_pins(ROOT / "requirements.lock")
        assert self.PINS.items() <= lock.items()

    def test_everything_that_is_needed_is_pinned(self) -> None:
        needed = {item for name in self.PINS for item in list_needed(name)}
        assert needed <= self.PINS.keys()

    def test_real_program_loads_with_the_pinned_libraries_only(
        self, tmp_path: Path
    ) -> None:
        for name in self.PINS:
            for file in importlib.metadata.files(name) or []:
                source = Path(str(file.locate()))
                if file.parts[0] == ".." or not source.is_file():
                    continue
                copy = tmp_path / file
                copy.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(source, copy)
        shutil.copytree(ROOT / "src" / "siskinpier", tmp_path / "siskinpier")
        result = subprocess.run(
            [sys.executable, "-S", "-c", RUN],
            cwd=tmp_path,
            env={"PYTHONPATH": str(tmp_path)},
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0, result.stderr
