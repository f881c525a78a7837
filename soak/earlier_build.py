"""Extracts the source of an earlier build, which hosts of a run may start from."""

import io
import subprocess
import tarfile
from pathlib import Path

from tests.standins.process import ROOT


def extract_build(commit: str, folder: Path) -> Path:
    """Extract the source of a commit and return the path to import it from."""
    archive = subprocess.run(
        ["git", "archive", commit, "src"], cwd=ROOT, capture_output=True, check=True
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    return folder / "src"
