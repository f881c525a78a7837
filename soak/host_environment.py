"""What the processes of a soak run agree on: variables of a host, and its memory.

This module imports nothing of the package, so that a host loads nothing else with it.
"""

from typing import Final

CLOCK_VARIABLE: Final = "SOAK_CLOCK_OFFSET_S"
PLANTED_VARIABLE: Final = "SOAK_PLANTED"
# Path of the file while which exists the host reaches no backend server.
ISOLATION_VARIABLE: Final = "SOAK_ISOLATION_FILE"
# The smallest memory limit of the users' machines, bytes.
MEMORY_LIMIT_BYTES: Final = 200_000_000
