"""Chooses the directory that the binary unpacks itself to.

Runs inside the archive before everything else, and sets `SHIV_ROOT`, which the
bootstrap of the archive reads. Hosts have no disks, so the default is the
in-memory runtime directory of the user that runs the process.
"""

import os
import stat
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

ROOT_VARIABLE: Final = "SHIV_ROOT"
DIRECTORY_VARIABLE: Final = "SISKINPIER_UNPACK"
PRIVATE_MODE: Final = 0o700
DIRECTORY_NAME: Final = "siskinpier"


class UnpackError(Exception):
    """The directory is not usable or not safe; the message is for the operator."""


def prepare(archive: str) -> None:
    """Choose the directory and pass it to the bootstrap of the archive.

    Exits with a message if the directory is not usable or not safe.
    """
    try:
        root = choose_directory(sys.argv[1:], os.environ, archive)
    except UnpackError as exc:
        sys.exit(f"siskinpier: {exc}")
    os.environ[ROOT_VARIABLE] = str(root)


def choose_directory(
    args: Sequence[str], env: Mapping[str, str], archive: str = ""
) -> Path:
    """Return a private directory, created if it is missing.

    The first of these that is available is used: `SISKINPIER_UNPACK`, the
    settings of `serve`, `XDG_RUNTIME_DIR`, `/run` for the superuser, and the
    directory for temporary files. Raises `UnpackError` if it is not usable or not safe.
    """
    configured = env.get(DIRECTORY_VARIABLE) or _read_unpack_setting(args, archive)
    if configured:
        return _make_private_directory(Path(configured))
    runtime = env.get("XDG_RUNTIME_DIR")
    if runtime:
        return _make_private_directory(Path(runtime) / DIRECTORY_NAME)
    if os.geteuid() == 0 and os.access("/run", os.W_OK):
        return _make_private_directory(Path("/run") / DIRECTORY_NAME)
    name = f"{DIRECTORY_NAME}-{os.geteuid()}"
    return _make_private_directory(Path(tempfile.gettempdir()) / name)


def _read_unpack_setting(args: Sequence[str], archive: str) -> str:
    """Return `unpack_directory` from the settings of `serve`, or an empty string.

    Invalid settings are ignored here, because `serve` reports them itself.
    """
    if len(args) < 2 or args[0] != "serve":
        return ""
    sys.path.insert(0, f"{archive}/site-packages")
    try:
        import json5

        document = json5.loads(Path(args[1]).read_text())
        return str(document.get("unpack_directory", ""))
    except (OSError, ValueError, AttributeError):
        return ""
    finally:
        sys.path.pop(0)


def _make_private_directory(path: Path) -> Path:
    """Create the directory if missing; raise `UnpackError` if others can write to it.

    Code in it is executed, so no other user may be able to change it.
    """
    try:
        path.mkdir(mode=PRIVATE_MODE, parents=True, exist_ok=True)
        status = path.lstat()
    except OSError as exc:
        raise UnpackError(f"cannot unpack to {path}: {exc.strerror}") from exc
    if not stat.S_ISDIR(status.st_mode) or status.st_uid != os.geteuid():
        raise UnpackError(
            f"cannot unpack to {path}: it is not a directory owned by this user"
        )
    if status.st_mode & (stat.S_IWGRP | stat.S_IWOTH):
        raise UnpackError(f"cannot unpack to {path}: other users can write to it")
    return path
