"""The record of a case: what was sent, answered and run, with times."""

import time
from pathlib import Path
from typing import TextIO


class Record:
    """Writes `record.txt`; times are seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file: TextIO = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def write(self, who: str, what: str) -> None:
        """Write one line."""
        line = f"{self.now():8.3f} {who}: {what}"
        self._file.write(ascii(line)[1:-1] + "\n")
        self._file.flush()

    def say(self, what: str) -> None:
        """Write one line, and print it too."""
        self.write("case", what)
        print(f"{self.now():8.3f} {what}", flush=True)
