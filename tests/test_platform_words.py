"""The users' platform is known to one folder of the package and to nothing else."""

import re
from pathlib import Path
from typing import Final

PACKAGE: Final = Path(__file__).resolve().parents[1] / "src" / "siskinpier"
FOLDER: Final = PACKAGE / "platform"
# Names of the platform's interfaces that no other field uses.
WORDS: Final = (
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


class TestWords:
    """No word of the platform stands outside its folder."""

    def test_no_word_outside(self) -> None:
        pattern = re.compile("|".join(map(re.escape, WORDS)), re.IGNORECASE)
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if FOLDER not in path.parents
            for match in pattern.finditer(path.read_text(encoding="utf-8"))
        ]
        assert found == []

    def test_words_are_in_use(self) -> None:
        text = "".join(path.read_text(encoding="utf-8") for path in FOLDER.glob("*.py"))
        for word in ("SISKINPIER_BOOT", "pathPrefix", "storeRevision", "nodeName"):
            assert word in text
