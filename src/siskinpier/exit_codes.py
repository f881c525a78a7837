"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The result of a command, for scripts."""

    OK = 0
    INTERNAL = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNKNOWN_OUTCOME = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6
