"""Messages sent directly to all other hosts, or to some of a failure domain."""

from ..effects import Effect, SendMessage
from ..messages import Message
from ..state import HostState
from .members import is_live
from .rendezvous import rank_nodes


def send_to_domain(state: HostState, message: Message, out: list[Effect]) -> None:
    """Send a message to every other known host of this host's failure domain."""
    own = state.identity
    for member in state.members.values():
        if member.name != own.name and member.failure_domain == own.failure_domain:
            out.append(
                SendMessage(host=member.name, address=member.peers, message=message)
            )


def send_to_other_domains(
    state: HostState, message: Message, key: str, now: float, out: list[Effect]
) -> None:
    """Send a message to one live host of each other failure domain.

    Equal keys lead to the same hosts.
    """
    own = state.identity.failure_domain
    names_by_domain: dict[str, list[str]] = {}
    for member in state.members.values():
        is_remote = member.failure_domain != own
        if is_remote and is_live(member, now, state.settings.heartbeat_s):
            names_by_domain.setdefault(member.failure_domain, []).append(member.name)
    for names in names_by_domain.values():
        member = state.members[rank_nodes(key, names)[0]]
        out.append(SendMessage(host=member.name, address=member.peers, message=message))


def send_to_all(state: HostState, message: Message, out: list[Effect]) -> None:
    """Send a message to every other known host, without retransmission."""
    for member in state.members.values():
        if member.name != state.identity.name:
            out.append(
                SendMessage(host=member.name, address=member.peers, message=message)
            )
