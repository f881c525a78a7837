"""Registry messages between hosts: changes, and the whole registry on request."""

from collections.abc import Iterable

import xxhash

from ..effects import Effect, SendMessage
from ..messages import RegisteredServer, ServersNotice, ServersRequest
from ..positions import StorePosition
from ..state import HostState, RegistryState
from .broadcast import send_to_domain
from .evacuations import send_evacuations
from .held_entries import list_held


def send_servers_request(state: HostState, host: str, out: list[Effect]) -> None:
    """Request the whole registry from a peer."""
    member = state.members.get(host)
    if member is not None:
        message = ServersRequest(host=state.identity.name)
        out.append(SendMessage(host=host, address=member.peers, message=message))


def handle_servers_request(
    state: HostState, request: ServersRequest, now: float, out: list[Effect]
) -> None:
    """Send the whole registry to a peer."""
    member = state.members.get(request.host)
    registry = state.registry
    if member is None or registry.position.revision == 0:
        return
    if state.evacuations.domains:
        # It must arrive before the servers that it keeps calls from.
        send_evacuations(state, member, out)
    held = registry.held_until
    notice = ServersNotice(
        base_position=StorePosition(),
        position=registry.position,
        servers=tuple(s for s in registry.servers.values() if s.name not in held),
        gone=(),
        is_complete=True,
        names_hash=hash_names(registry),
        held=list_held(state, now),
    )
    out.append(SendMessage(host=member.name, address=member.peers, message=notice))


def send_changes(
    state: HostState,
    base_position: StorePosition,
    servers: Iterable[RegisteredServer],
    gone: Iterable[str],
    now: float,
    out: list[Effect],
) -> None:
    """Send registry changes from the platform to the hosts of the failure domain."""
    registry = state.registry
    notice = ServersNotice(
        base_position=base_position,
        position=registry.position,
        servers=tuple(servers),
        gone=tuple(gone),
        is_complete=False,
        names_hash=hash_names(registry),
        held=list_held(state, now),
    )
    send_to_domain(state, notice, out)


def hash_names(registry: RegistryState) -> int:
    """Return an order-independent hash of the names of all entries but held ones.

    Held entries are missing on the platform, so hosts that know the same entries of the
    platform get equal results.
    """
    result = 0
    for name in registry.servers:
        if name not in registry.held_until:
            result ^= xxhash.xxh3_64_intdigest(name.encode())
    return result
