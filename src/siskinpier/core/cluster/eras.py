"""Handling of a platform store that was restored from an older copy.

Each restore starts a new era of the store. A registry entry that is missing from the
copy is held as after an outage, since its server writes it again. An entry that
reappears although its server had been removed is ignored until that server writes it
anew.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from ..effects import Effect, LogDecision
from ..messages import RegisteredServer
from ..positions import StorePosition
from ..state import DepartedServer, HostState

# How long removed servers are remembered; a restored copy is only some seconds old.
DEPARTED_TTL_S: Final = 60.0


def record_new_era(
    state: HostState, position: StorePosition, now: float, out: list[Effect]
) -> None:
    """Detect a listing from a later era than the known registry.

    The change of era counts as the end of an outage, so missing entries are held.
    """
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


def record_departed(state: HostState, entry: RegisteredServer, now: float) -> None:
    """Remember a removed server, and discard older ones whose TTL has passed."""
    departed = state.registry.departed
    for name, old in list(departed.items()):
        if now - old.at > DEPARTED_TTL_S:
            del departed[name]
    departed[entry.name] = DepartedServer(
        entry=entry, era=state.registry.position.era, at=now
    )


def exclude_departed(
    state: HostState,
    servers: Iterable[RegisteredServer],
    position: StorePosition,
    out: list[Effect],
    *,
    is_from_watch: bool,
) -> list[RegisteredServer]:
    """Return the entries, except those that only the older copy brought back.

    With `is_from_watch`, the entries come from a watch, so their servers wrote them in
    the era of `position`.
    """
    departed = state.registry.departed
    kept = []
    for server in servers:
        old = departed.get(server.name)
        if old is None or is_from_watch or _has_rewritten_entry(old, server, position):
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


def _has_rewritten_entry(
    old: DepartedServer, server: RegisteredServer, position: StorePosition
) -> bool:
    """Return True if a removed server has certainly written its entry since."""
    if old.era >= position.era or server.started != old.entry.started:
        return True
    return old.is_restored and server.sequence > old.entry.sequence
