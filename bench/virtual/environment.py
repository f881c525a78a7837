"""What surrounds the hosts of one run in virtual time: network, servers, platform."""

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
    """The final answer that a caller got; `run_call_id` names the run it carries."""

    call_id: str
    at: float
    status: int
    verdict: Verdict
    is_complete: bool = True
    run_call_id: str | None = None
    retry_after_s: float | None = None


@dataclass(slots=True, kw_only=True)
class Network:
    """Delays between failure domains, and one-way cuts between parties."""

    same_domain_s: float = SAME_DOMAIN_DELAY_S
    other_domain_s: float = OTHER_DOMAIN_DELAY_S
    cuts: set[tuple[str, str]] = field(default_factory=set)
    # Added to messages between hosts, calls excepted; a fall reorders them.
    message_delay_s: float = 0.0

    def is_cut(self, source: str, target: str) -> bool:
        """Return True if nothing sent from `source` reaches `target`."""
        return (source, target) in self.cuts

    def cut(self, source: str, target: str) -> None:
        """Lose everything that `source` sends to `target`."""
        self.cuts.add((source, target))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def get_delay_s(self, domain: str, other: str) -> float:
        """Return the one-way delay."""
        return self.same_domain_s if domain == other else self.other_domain_s


class Environment(Scheduler):
    """All that a host deals with, but for the other hosts."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self.network = Network()
        self.servers: dict[str, VirtualServer] = {}
        self.platform: VirtualPlatform | None = None
        self.answers: dict[str, Answer] = {}
        self.answer_hooks: list[Callable[[Answer], None]] = []

    def add_server(self, server: VirtualServer) -> VirtualServer:
        """Let hosts reach a server at its address."""
        self.servers[server.address] = server
        return server

    def record_answer(self, answer: Answer) -> None:
        """Keep a caller's final answer and tell the hooks."""
        self.answers[answer.call_id] = answer
        for hook in self.answer_hooks:
            hook(answer)
