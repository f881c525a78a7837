"""Build `target/deps`: the libraries of a host and the package itself.

Each build is a folder of its own in `target/builds`, and `target/deps` is a symbolic
link to the current one. A build changes no folder that a host may be running from, and
other processes see either the old build or the new one.
"""

import csv
import fcntl
import filecmp
import hashlib
import os
import re
import shutil
import subprocess
import sys
import sysconfig
import time
from base64 import urlsafe_b64encode
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[1]
SOURCE: Final = ROOT / "src" / "siskinpier"
REQUIREMENTS: Final = ROOT / "deploy" / "requirements.txt"
TARGET: Final = ROOT / "target"
BUILDS: Final = TARGET / "builds"
DEPS: Final = TARGET / "deps"
# Written last, so a folder without it is incomplete.
STAMP_NAME: Final = "built-for.txt"
# Number of earlier builds that are kept for hosts that still run from them.
KEPT_BUILDS: Final = 3
PROGRAM: Final = "siskinpier.platform.process"
NO_CACHE: Final = shutil.ignore_patterns("__pycache__")


class BuildError(Exception):
    """The build failed; `target/deps` is unchanged."""


def main() -> None:
    """Build `target/deps` unless it is complete and up to date."""
    try:
        if is_up_to_date():
            return
        BUILDS.mkdir(parents=True, exist_ok=True)
        with lock_builds():
            build()
    except (BuildError, OSError, subprocess.CalledProcessError) as exc:
        raise SystemExit(f"deploy/build: {exc}") from exc


def is_up_to_date() -> bool:
    """Return True if the current build can be used; nothing is written then."""
    return DEPS.is_symlink() and DEPS.exists() and find_fault(DEPS.resolve()) is None


@contextmanager
def lock_builds() -> Iterator[None]:
    """Wait for other builds; the lock ends with the process that holds it."""
    with (TARGET / "build.lock").open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def build() -> None:
    """Use a build that is complete and up to date, or make one."""
    candidates = list_candidates()
    for folder in candidates:
        fault = find_fault(folder)
        if fault is None:
            switch_to(folder)
            return
        print(f"deploy/build: {folder.name} is not used: {fault}")
    folder = make_build(candidates)
    switch_to(folder)
    remove_old_builds()


def list_candidates() -> list[Path]:
    """Return all builds, the current one first, then from new to old."""
    builds = sorted(BUILDS.iterdir(), reverse=True)
    if not DEPS.exists():
        return builds
    current = DEPS.resolve()
    return [current, *(folder for folder in builds if folder != current)]


def find_fault(folder: Path) -> str | None:
    """Return why a build cannot be used, or None."""
    return (
        find_library_fault(folder)
        or find_package_fault(folder)
        or find_import_fault(folder)
    )


def find_library_fault(folder: Path) -> str | None:
    """Return why the libraries of a build cannot be used, or None."""
    stamp = folder / STAMP_NAME
    if not stamp.is_file():
        return "it is incomplete"
    if stamp.read_text(errors="replace") != make_stamp():
        return "it was built for something else"
    return find_pin_fault(folder) or find_damaged_file(folder)


def make_stamp() -> str:
    """Return what libraries are installed for: Python, machine and requirements."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    suffix = sysconfig.get_config_var("EXT_SUFFIX")
    tag = sys.implementation.cache_tag
    return f"{tag}\n{sysconfig.get_platform()}\n{suffix}\n{digest}\n"


def find_pin_fault(folder: Path) -> str | None:
    """Return how the installed libraries differ from the pinned ones, or None."""
    names = [path.stem.rpartition("-") for path in list_libraries(folder)]
    installed = {f"{normalize(name)}=={version}" for name, _, version in names}
    different = installed ^ read_pins()
    return f"not as pinned: {', '.join(sorted(different))}" if different else None


def list_libraries(folder: Path) -> list[Path]:
    """Return the folders that describe the installed libraries."""
    return sorted(folder.glob("*.dist-info"))


def read_pins() -> set[str]:
    """Return the pins of the requirements, as `name==version`."""
    lines = [line.strip() for line in REQUIREMENTS.read_text().splitlines()]
    pins = [line.partition("==") for line in lines if line and line[0] != "#"]
    return {f"{normalize(name)}=={version}" for name, _, version in pins}


def normalize(name: str) -> str:
    """Return the name of a library in its normal form."""
    return re.sub(r"[-_.]+", "-", name).lower()


def find_damaged_file(folder: Path) -> str | None:
    """Return what is wrong with a file that the libraries list, or None."""
    for library in list_libraries(folder):
        record = library / "RECORD"
        if not record.is_file():
            return f"{library.name} lists no files"
        rows = csv.reader(record.read_text(errors="replace").splitlines())
        # Compiled files have no digest; programs are installed elsewhere.
        digests = {row[0]: row[1] for row in rows if len(row) == 3 and row[1]}
        for name, digest in digests.items():
            if not name.startswith("..") and digest != make_digest(folder / name):
                return f"{name} is missing or damaged"
    return None


def make_digest(path: Path) -> str | None:
    """Return the digest of a file as `RECORD` files have it; None without a file."""
    if not path.is_file():
        return None
    digest = hashlib.sha256(path.read_bytes()).digest()
    return "sha256=" + urlsafe_b64encode(digest).rstrip(b"=").decode()


def find_package_fault(folder: Path) -> str | None:
    """Return how the package differs from the source, or None."""
    names = list_files(SOURCE)
    package = folder / SOURCE.name
    if list_files(package) != names:
        return "the package has other files than the source"
    _, different, unreadable = filecmp.cmpfiles(SOURCE, package, names, shallow=False)
    changed = [*different, *unreadable]
    return f"the source changed: {changed[0]}" if changed else None


def list_files(folder: Path) -> list[str]:
    """Return the names of all files below a folder, compiled ones excepted."""
    paths = [path.relative_to(folder) for path in folder.rglob("*") if path.is_file()]
    return sorted(str(path) for path in paths if "__pycache__" not in path.parts)


def find_import_fault(folder: Path) -> str | None:
    """Return why the program cannot be loaded, or None; it is loaded as hosts do."""
    result = subprocess.run(
        [sys.executable, "-S", "-c", f"import {PROGRAM}"],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
    )
    if result.returncode == 0:
        return None
    return f"the program cannot be loaded: {result.stderr.strip()}"


def make_build(candidates: list[Path]) -> Path:
    """Return a new build; libraries are copied from an earlier one where possible."""
    for earlier in candidates:
        if find_library_fault(earlier) is None:
            folder = make_folder()
            shutil.copytree(
                earlier,
                folder,
                ignore=shutil.ignore_patterns(SOURCE.name, STAMP_NAME),
                dirs_exist_ok=True,
            )
            if complete(folder) is None:
                return folder
    folder = make_folder()
    install_libraries(folder)
    fault = complete(folder)
    if fault is not None:
        raise BuildError(fault)
    return folder


def make_folder() -> Path:
    """Return a new empty folder; the names of later ones sort after it."""
    folder = BUILDS / f"{time.time_ns():020}"
    folder.mkdir()
    return folder


def install_libraries(folder: Path) -> None:
    """Install the pinned libraries, and nothing else."""
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
    subprocess.run([*pip, "--target", folder, "-r", REQUIREMENTS], check=True)


def complete(folder: Path) -> str | None:
    """Add the package to the libraries; return why the build fails, or None."""
    shutil.copytree(SOURCE, folder / SOURCE.name, ignore=NO_CACHE)
    # Some libraries hold files for other versions of Python, which do not compile.
    subprocess.run([sys.executable, "-m", "compileall", "-q", folder])
    (folder / STAMP_NAME).write_text(make_stamp())
    fault = find_fault(folder)
    if fault is not None:
        shutil.rmtree(folder)
    return fault


def switch_to(folder: Path) -> None:
    """Make `target/deps` a link to a build, in one step if it is a link already."""
    if DEPS.resolve() == folder:
        return
    link = TARGET / "deps.new"
    link.unlink(missing_ok=True)
    link.symlink_to(folder.relative_to(TARGET))
    if DEPS.is_dir() and not DEPS.is_symlink():
        DEPS.rename(BUILDS / f"{time.time_ns():020}")
    link.replace(DEPS)


def remove_old_builds() -> None:
    """Remove incomplete builds, and all but the latest of the others."""
    builds = sorted(BUILDS.iterdir(), reverse=True)
    unused = [folder for folder in builds if folder != DEPS.resolve()]
    complete_ones = [folder for folder in unused if (folder / STAMP_NAME).is_file()]
    for folder in unused:
        if folder not in complete_ones[:KEPT_BUILDS]:
            remove(folder)


def remove(folder: Path) -> None:
    """Remove a build that is not used; the build succeeds without this."""
    try:
        shutil.rmtree(folder)
    except OSError as exc:
        print(f"deploy/build: {folder.name} is not removed: {exc}")


if __name__ == "__main__":
    main()
