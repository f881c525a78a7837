"""A host of the product as the soak starts it, perhaps with a planted fault.

Its clock may be moved. Without either it is the program that the platform starts.
"""

import os
import time

from siskinpier.platform.process import main

from .planted import plant
from .processes import CLOCK_VARIABLE, PLANTED_VARIABLE


def move_clock(offset_s: float) -> None:
    """Let this process read another wall clock than the machine's."""
    read_s, read_ns = time.time, time.time_ns
    time.time = lambda: read_s() + offset_s
    time.time_ns = lambda: read_ns() + int(offset_s * 1e9)


if __name__ == "__main__":
    move_clock(float(os.environ.get(CLOCK_VARIABLE, "0")))
    plant(os.environ.get(PLANTED_VARIABLE, ""))
    main()
