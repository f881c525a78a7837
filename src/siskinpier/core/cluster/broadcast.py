"""Messages sent directly to all other hosts, or to those of the failure domain."""

from ..effects import Effect, SendMessage
from ..messages import Message
from ..state import HostState


def send_to_domain(state: HostState, message: Message, out: list[Effect]) -> None:
    """Send a message to every other known host of this host's failure domain."""
    own = state.identity
    for member in state.members.values():
        if member.name != own.name and member.failure_domain == own.failure_domain:
            out.append(
                SendMessage(host=member.name, address=member.peers, message=message)
            )


def send_to_all(state: HostState, message: Message, out: list[Effect]) -> None:
    """Send a message to every other known host, without retransmission."""
    for member in state.members.values():
        if member.name != state.identity.name:
            out.append(
                SendMessage(host=member.name, address=member.peers, message=message)
            )
