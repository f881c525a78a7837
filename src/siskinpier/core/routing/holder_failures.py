"""Failures that say more about the host that reports them than about a server.

A host that loses its path to the servers fails at one after the other. Its home must
not take that for the servers' failure, or it would eject servers that serve all others.
"""

from typing import Final

from ..state import HostState

# Servers at which a host must have failed since its last success.
MIN_FAILED_SERVERS: Final = 2


def record_holder_success(state: HostState, holder: str) -> None:
    """Record that a host that holds slots granted here got an answer from a server."""
    state.failed_by_holder.pop(holder, None)


def is_failure_of_holder(state: HostState, holder: str, server: str) -> bool:
    """Record a failure that a host reports; return True if it is likely its own."""
    failed = state.failed_by_holder.setdefault(holder, set())
    failed.add(server)
    return len(failed) >= MIN_FAILED_SERVERS
