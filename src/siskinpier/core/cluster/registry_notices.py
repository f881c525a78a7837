"""What hosts tell one another of the registry: changes, or all of it when asked."""

from collections.abc import Iterable

import xxhash

from ..effects import Effect, SendMessage
from ..messages import RegisteredServer, ServersNotice, ServersRequest
from ..positions import StorePosition
from ..state import HostState, RegistryState
from .broadcast import tell_domain
from .lapses import list_held


def request_servers(state: HostState, host: str, out: list[Effect]) -> None:
    """Ask a peer for its whole registry."""
    member = state.members.get(host)
    if member is not None:
        message = ServersRequest(host=state.identity.name)
        out.append(SendMessage(host=host, address=member.peers, message=message))


def answer_servers_request(
    state: HostState, request: ServersRequest, now: float, out: list[Effect]
) -> None:
    """Tell a peer the whole registry."""
    member = state.members.get(request.host)
    registry = state.registry
    if member is None or registry.position.revision == 0:
        return
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


def pass_on_changes(
    state: HostState,
    base_position: StorePosition,
    servers: Iterable[RegisteredServer],
    gone: Iterable[str],
    now: float,
    out: list[Effect],
) -> None:
    """Tell the hosts of the failure domain what the platform told this one."""
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
    tell_domain(state, notice, out)


def hash_names(registry: RegistryState) -> int:
    """Return a number that is equal where the same entries stand at the platform."""
    result = 0
    for name in registry.servers:
        if name not in registry.held_until:
            result ^= xxhash.xxh3_64_intdigest(name.encode())
    return result
