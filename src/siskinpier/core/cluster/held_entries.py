"""Holding of registry entries that disappear around a platform outage.

Entries expire while the platform is down; servers that are alive write them again soon
after it is back. Until then, each host holds such entries on its own: their servers
stay in use. If the platform rejected only this host, the host holds nothing: other
hosts of its failure domain got answers and informed it of removed entries.
"""

from collections.abc import Iterable
from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..messages import HeldEntry
from ..state import HostState, RelayState
from ..timers import HeldEntryExpiryDue

# Time after an outage in which servers can write their expired entries again. It is a
# little less than the 2 s that they may take, because a server that really left must
# get no calls 2 s after its entry disappeared.
HOLD_GRACE_S: Final = 1.6
# Added to a timer so that it fires just after the time it is meant for.
TIMER_MARGIN_S: Final = 0.01


def hold_missing(
    state: HostState, gone: Iterable[str], now: float, out: list[Effect]
) -> list[str]:
    """Hold entries that disappeared around an outage; return the others."""
    until = _get_outage_end(state.relay, now) + HOLD_GRACE_S
    not_held = []
    for name in gone:
        if name in state.registry.held_until:
            continue
        if until < now or not _hold(state, name, until, now, out):
            not_held.append(name)
    return not_held


def merge_held(
    state: HostState, held: Iterable[HeldEntry], now: float, out: list[Effect]
) -> None:
    """Hold the entries that another host holds, if they are known here."""
    for entry in held:
        if entry.name not in state.registry.held_until:
            _hold(state, entry.name, now + entry.for_s, now, out)


def list_held(state: HostState, now: float) -> tuple[HeldEntry, ...]:
    """Return the entries held here and for how much longer, in seconds."""
    return tuple(
        HeldEntry(name=name, for_s=round(max(0.0, until - now), 3))
        for name, until in state.registry.held_until.items()
    )


def remove_expired_holds(state: HostState, now: float) -> list[str]:
    """Remove the holds that have expired; return the names of their entries."""
    held_until = state.registry.held_until
    expired = [name for name, until in held_until.items() if until <= now]
    for name in expired:
        del held_until[name]
    return expired


def _hold(
    state: HostState, name: str, until: float, now: float, out: list[Effect]
) -> bool:
    """Hold an entry; return False for an unknown or draining one."""
    server = state.registry.servers.get(name)
    if server is None or server.is_draining:
        return False
    state.registry.held_until[name] = until
    fields: dict[str, object] = {
        "service": server.service,
        "server": name,
        "for_s": round(until - now, 3),
    }
    out.append(LogDecision(event="held", fields=fields))
    next_at = min(state.registry.held_until.values()) + TIMER_MARGIN_S
    out.append(SetTimer(timer=HeldEntryExpiryDue(), at=next_at))
    return True


def _get_outage_end(relay: RelayState, now: float) -> float:
    """Return when the last platform outage ended, or `now` if it has not."""
    if relay.lost_at is None:
        return relay.regained_at
    if relay.other_relay_heard_at > relay.lost_at:
        return relay.other_relay_heard_at
    return now
