"""Build `dist/siskinpier`, a single-file executable.

The file is a zipapp, built by shiv from this package and its installed
dependencies at the versions of the lock file. Nothing is downloaded.
"""

import shutil
import subprocess
import sys
import tempfile
import tomllib
import zipfile
from importlib.metadata import Distribution, distribution
from pathlib import Path
from typing import Final

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT: Final = Path(__file__).resolve().parents[1]
PACKAGE: Final = ROOT / "src" / "siskinpier"
TARGET: Final = ROOT / "dist" / "siskinpier"
INTERPRETER: Final = "/usr/bin/env python3.11"
ENTRY_POINT: Final = "siskinpier.cli:main"
MAIN_SOURCE: Final = """\
import sys
import unpacking
import _bootstrap

if __name__ == "__main__":
    unpacking.prepare(sys.argv[0])
    _bootstrap.bootstrap()
"""
SKIPPED_SUFFIXES: Final = (".pyc", ".pyi", ".pxd", ".pyx", ".c", ".h")


def main() -> int:
    """Build the executable and print its size; return the exit code."""
    target = Path(sys.argv[1]) if len(sys.argv) > 1 else TARGET
    build(target)
    print(f"{target}: {target.stat().st_size / 1e6:.1f} MB")
    return 0


def build(target: Path) -> None:
    """Build the executable and write it to `target`."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        site = Path(name) / "site"
        archive = Path(name) / "siskinpier"
        _copy_package(site)
        for dist in _list_distributions():
            _copy_distribution(dist, site)
        subprocess.run(
            [
                *(sys.executable, "-m", "shiv", "--reproducible"),
                *("--site-packages", str(site), "--entry-point", ENTRY_POINT),
                *("--python", INTERPRETER, "--output-file", str(archive)),
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )
        _replace_main(archive, target)


def _copy_package(site: Path) -> None:
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(PACKAGE, site / "siskinpier", ignore=ignore)


def _list_distributions() -> list[Distribution]:
    """Return the installed distributions that the package requires, sorted by name."""
    pending = _read_dependencies((ROOT / "pyproject.toml").read_text())
    found: dict[str, Distribution] = {}
    while pending:
        req = Requirement(pending.pop())
        name = canonicalize_name(req.name)
        if name in found or not (req.marker is None or req.marker.evaluate()):
            continue
        found[name] = distribution(name)
        pending += found[name].requires or []
    return [found[name] for name in sorted(found)]


def _read_dependencies(text: str) -> list[str]:
    dependencies: list[str] = tomllib.loads(text)["project"]["dependencies"]
    return dependencies


def _copy_distribution(dist: Distribution, site: Path) -> None:
    for file in dist.files or []:
        is_skipped = file.parts[0] == ".." or file.parts[0] == "__pycache__"
        if is_skipped or file.suffix in SKIPPED_SUFFIXES:
            continue
        source = Path(str(dist.locate_file(file)))
        copy = site / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, copy)


def _replace_main(archive: Path, target: Path) -> None:
    """Copy the archive with a `__main__.py` that chooses the directory to unpack to."""
    with zipfile.ZipFile(archive) as old, target.open("wb") as file:
        file.write(f"#!{INTERPRETER}\n".encode())
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as new:
            for info in old.infolist():
                if info.filename != "__main__.py":
                    new.writestr(info, old.read(info))
            new.writestr("__main__.py", MAIN_SOURCE)
            new.writestr("unpacking.py", (PACKAGE / "unpacking.py").read_bytes())
    target.chmod(0o755)


if __name__ == "__main__":
    sys.exit(main())
