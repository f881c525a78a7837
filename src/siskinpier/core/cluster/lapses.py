"""Registry entries that went around an outage of the platform.

Entries lapse while the platform is away; servers that live write them again soon
after its return. Until then such an entry is held, by each host for itself. A host
that the platform turned away alone holds nothing: others of its failure domain were
answered, and told it what went.
"""

from collections.abc import Iterable
from typing import Final

from ..effects import Effect, LogDecision, SetTimer
from ..messages import HeldEntry
from ..state import HostState, RelayState
from ..timers import HeldEntryExpiryDue

# Time after an outage for servers whose entries lapsed in it to write them again,
# seconds. A little less than the two that they may take, as one that left in truth must
# get no calls two seconds after its entry went.
LAPSE_GRACE_S: Final = 1.6
# Makes a timer fire just after the moment it is for, seconds.
LEAST_S: Final = 0.01


def hold_lapsed(
    state: HostState, gone: Iterable[str], now: float, out: list[Effect]
) -> list[str]:
    """Hold entries that went around an outage; return those that are not held."""
    until = _get_returned_at(state.relay, now) + LAPSE_GRACE_S
    dropped = []
    for name in gone:
        if name in state.registry.held_until:
            continue
        if until < now or not _hold(state, name, until, now, out):
            dropped.append(name)
    return dropped


def take_held(
    state: HostState, held: Iterable[HeldEntry], now: float, out: list[Effect]
) -> None:
    """Hold what another host holds, if its entry is known here."""
    for entry in held:
        if entry.name not in state.registry.held_until:
            _hold(state, entry.name, now + entry.for_s, now, out)


def list_held(state: HostState, now: float) -> tuple[HeldEntry, ...]:
    """Return what is held here, and for how much longer."""
    return tuple(
        HeldEntry(name=name, for_s=round(max(0.0, until - now), 3))
        for name, until in state.registry.held_until.items()
    )


def end_due_holds(state: HostState, now: float) -> list[str]:
    """Forget the holds that are over; return their entries."""
    held_until = state.registry.held_until
    due = [name for name, until in held_until.items() if until <= now]
    for name in due:
        del held_until[name]
    return due


def _hold(
    state: HostState, name: str, until: float, now: float, out: list[Effect]
) -> bool:
    """Hold an entry; return False for one that is unknown or had said it leaves."""
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
    next_at = min(state.registry.held_until.values()) + LEAST_S
    out.append(SetTimer(timer=HeldEntryExpiryDue(), at=next_at))
    return True


def _get_returned_at(relay: RelayState, now: float) -> float:
    """Return when the platform was last back from an outage, as far as is known."""
    if relay.lost_at is None:
        return relay.regained_at
    if relay.other_relay_heard_at > relay.lost_at:
        return relay.other_relay_heard_at
    return now
