"""Guards against dependencies on the users' platform outside one package.

A name of the platform's interfaces in another package would tie it to this platform.
"""

import re
from pathlib import Path
from typing import Final

PACKAGE: Final = Path(__file__).resolve().parents[1] / "src" / "siskinpier"
FOLDER: Final = PACKAGE / "platform"
# Names of the platform's interfaces that are in no general use.
PLATFORM_NAMES: Final = (
    "SISKINPIER_BOOT",
    "X-Expected-Instance",
    "X-Not-Executed",
    "X-Server-Load",
    "X-Response-Signature",
    "X-Deadline-Ms",
    "pathPrefix",
    "weightedServices",
    "targetLatencyS",
    "storeRevision",
    "staleOk",
    "warmupLeftS",
    "listenAddresses",
    "nodeName",
    "healthPath",
    "tenant",
)


class TestPlatformNames:
    """Names of the platform's interfaces occur only in `siskinpier.platform`."""

    def test_not_outside_the_folder(self) -> None:
        pattern = re.compile("|".join(map(re.escape, PLATFORM_NAMES)), re.IGNORECASE)
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if FOLDER not in path.parents
            for match in pattern.finditer(path.read_text(encoding="utf-8"))
        ]
        assert found == []

    def test_names_are_in_use(self) -> None:
        text = "".join(path.read_text(encoding="utf-8") for path in FOLDER.glob("*.py"))
        for name in ("SISKINPIER_BOOT", "pathPrefix", "storeRevision", "nodeName"):
            assert name in text
