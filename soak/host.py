"""Runs a host process, optionally with a shifted wall clock or a planted bug.

Without either, this is the same program that the platform starts.
"""

import os
import time

from siskinpier.platform.process import main

from .planted import plant
from .processes import CLOCK_VARIABLE, PLANTED_VARIABLE


def shift_clock(offset_s: float) -> None:
    """Shift the wall clock that this process reads, by an offset in seconds."""
    read_s, read_ns = time.time, time.time_ns
    time.time = lambda: read_s() + offset_s
    time.time_ns = lambda: read_ns() + int(offset_s * 1e9)


if __name__ == "__main__":
    shift_clock(float(os.environ.get(CLOCK_VARIABLE, "0")))
    plant(os.environ.get(PLANTED_VARIABLE, ""))
    main()
