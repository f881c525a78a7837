"""Environment of the hosts in virtual time: network, servers and platform."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from siskinpier.core.verdict import Verdict

from .platform import VirtualPlatform
from .scheduler import Scheduler
from .servers import VirtualServer

SAME_DOMAIN_DELAY_S: Final = 0.0002
OTHER_DOMAIN_DELAY_S: Final = 0.0015


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The final answer to a caller.

    `is_complete` is False if the body was truncated, and `run_call_id` is the id of
    the call whose run produced the answer.
    """

    call_id: str
    at: float
    status: int
    verdict: Verdict
    is_complete: bool = True
    run_call_id: str | None = None
    retry_after_s: float | None = None


@dataclass(slots=True, kw_only=True)
class Network:
    """Delays between failure domains, and one-way cuts between hosts and servers.

    Delays are one-way, in seconds.
    """

    same_domain_s: float = SAME_DOMAIN_DELAY_S
    other_domain_s: float = OTHER_DOMAIN_DELAY_S
    cuts: set[tuple[str, str]] = field(default_factory=set)
    # Added to messages between hosts except calls; decreasing it reorders messages.
    message_delay_s: float = 0.0

    def is_cut(self, source: str, target: str) -> bool:
        """Return True if nothing sent from `source` reaches `target`."""
        return (source, target) in self.cuts

    def cut(self, source: str, target: str) -> None:
        """Drop everything that `source` sends to `target`."""
        self.cuts.add((source, target))

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()

    def get_delay_s(self, domain: str, other: str) -> float:
        """Return the one-way delay between two failure domains, in seconds."""
        return self.same_domain_s if domain == other else self.other_domain_s


class Environment(Scheduler):
    """Everything that a host interacts with except other hosts."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self.network = Network()
        self.servers: dict[str, VirtualServer] = {}
        self.platform: VirtualPlatform | None = None
        self.answers: dict[str, Answer] = {}
        self.answer_hooks: list[Callable[[Answer], None]] = []

    def add_server(self, server: VirtualServer) -> VirtualServer:
        """Make a server reachable at its address and return it."""
        self.servers[server.address] = server
        return server

    def record_answer(self, answer: Answer) -> None:
        """Store a final answer and call the hooks."""
        self.answers[answer.call_id] = answer
        for hook in self.answer_hooks:
            hook(answer)
