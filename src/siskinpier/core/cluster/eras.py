"""What follows when the platform's store comes back from an older copy of itself.

An entry that the copy lacks is held as after an outage, since its server writes it
again. One that the copy has back, of a server that was gone, is not used until that
server has written since.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from ..effects import Effect, LogDecision
from ..messages import RegisteredServer
from ..positions import StorePosition
from ..state import DepartedServer, HostState

# Servers that went are remembered this long, seconds: a copy is some seconds old.
DEPARTED_KEPT_S: Final = 60.0


def begin_era(
    state: HostState, position: StorePosition, now: float, out: list[Effect]
) -> None:
    """Note that a list is of a later era than all that was known."""
    registry = state.registry
    if registry.position.revision == 0 or position.era <= registry.position.era:
        return
    state.relay.regained_at = now
    fields: dict[str, object] = {
        "era": position.era,
        "revision": position.revision,
        "known_era": registry.position.era,
        "known_revision": registry.position.revision,
        "servers": len(registry.servers),
        "departed": len(registry.departed),
    }
    out.append(LogDecision(event="era", fields=fields))


def note_departed(state: HostState, entry: RegisteredServer, now: float) -> None:
    """Remember a server that is gone, and forget those that went long ago."""
    departed = state.registry.departed
    for name, old in list(departed.items()):
        if now - old.at > DEPARTED_KEPT_S:
            del departed[name]
    departed[entry.name] = DepartedServer(
        entry=entry, era=state.registry.position.era, at=now
    )


def drop_departed(
    state: HostState,
    servers: Iterable[RegisteredServer],
    position: StorePosition,
    out: list[Effect],
    *,
    is_change: bool,
) -> list[RegisteredServer]:
    """Return entries but for those that only an older copy has back.

    With `is_change` the servers have written them in the era of `position`.
    """
    departed = state.registry.departed
    kept = []
    for server in servers:
        old = departed.get(server.name)
        if old is None or is_change or _is_alive(old, server, position):
            kept.append(server)
        elif not old.is_restored:
            departed[server.name] = replace(old, entry=server, is_restored=True)
            fields: dict[str, object] = {
                "service": server.service,
                "server": server.name,
                "sequence": server.sequence,
            }
            out.append(LogDecision(event="entry-departed", fields=fields))
    return kept


def _is_alive(
    old: DepartedServer, server: RegisteredServer, position: StorePosition
) -> bool:
    """Return True if a server that was gone has surely written its entry since."""
    if old.era >= position.era or server.started != old.entry.started:
        return True
    return old.is_restored and server.sequence > old.entry.sequence
