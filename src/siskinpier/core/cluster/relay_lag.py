"""What a relay reports to have, and does not arrive at this host.

Its messages may be too long for this host, or unreadable, however often they are sent.
"""

from dataclasses import replace
from typing import Final

from ..messages import RelayReport
from ..positions import StorePosition
from ..state import HostState, RelayLag

# How long a host may lack what a relay reports to have: three reports, each of which
# makes it ask for that.
MAX_RELAY_LAG_S: Final = 0.9


def update_lag(state: HostState, report: RelayReport, now: float) -> None:
    """Record since when this host lacks what a relay has.

    It ends when that arrives, or when no relay reports to be ahead of this host.
    """
    relay, lag = state.relay, state.relay.lag
    if lag is not None and (
        _has(state, lag.intents_revision, lag.servers_position)
        or now - lag.reported_at > MAX_RELAY_LAG_S
    ):
        lag = relay.lag = None
    is_ahead = not _has(state, report.intents_revision, report.servers_position)
    if not is_ahead:
        if lag is not None and lag.relay == report.host:
            relay.lag = None
    elif lag is not None:
        relay.lag = replace(lag, reported_at=now)
    else:
        relay.lag = RelayLag(
            relay=report.host,
            intents_revision=report.intents_revision,
            servers_position=report.servers_position,
            since=now,
            reported_at=now,
        )


def is_lagging(state: HostState, now: float) -> bool:
    """Return True if what a relay has does not arrive here."""
    lag = state.relay.lag
    return lag is not None and now - lag.since >= MAX_RELAY_LAG_S


def _has(state: HostState, revision: int, position: StorePosition) -> bool:
    """Return True if this host has the routing intents and the registry of a relay."""
    return revision <= state.intents.revision and position <= state.registry.position
