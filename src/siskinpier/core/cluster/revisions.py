"""Look-up of the hosts that have a revision of the routing intents in force."""

from ..state import HostState
from .members import is_live


def list_hosts_behind(state: HostState, revision: int, now: float) -> list[str]:
    """Return the live hosts not known to have a revision in force, sorted by name."""
    behind = [
        member.name
        for member in state.members.values()
        if is_live(member, now, state.settings.heartbeat_s)
        and member.revision < revision
    ]
    if state.intents.revision < revision:
        behind.append(state.identity.name)
    return sorted(behind)
