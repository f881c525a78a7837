"""Runs the deployed program with a shifted clock, a planted bug or without servers.

It loads nothing else before, so that the program's own start is the same.
"""

import os
import runpy
import time

from .host_environment import CLOCK_VARIABLE, ISOLATION_VARIABLE, PLANTED_VARIABLE


def shift_clock(offset_s: float) -> None:
    """Shift the wall clock that this process reads, by an offset in seconds."""
    read_s, read_ns = time.time, time.time_ns
    time.time = lambda: read_s() + offset_s
    time.time_ns = lambda: read_ns() + int(offset_s * 1e9)


if __name__ == "__main__":
    shift_clock(float(os.environ.get(CLOCK_VARIABLE, "0")))
    if name := os.environ.get(PLANTED_VARIABLE, ""):
        from siskinpier.signals import SIGNALS

        SIGNALS.open()
        from .planted import plant

        plant(name)
    if os.environ.get(ISOLATION_VARIABLE):
        from siskinpier.signals import SIGNALS

        SIGNALS.open()
        from .isolated_host import isolate_while_file_exists

        isolate_while_file_exists()
    runpy.run_module("siskinpier.platform", run_name="__main__", alter_sys=True)
