"""The network and the parties of one run in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from siskinpier.core.routing.calls import Call
from siskinpier.core.verdict import Verdict

from .platform import VirtualPlatform
from .servers import VirtualServer
from .timeline import Timeline

if TYPE_CHECKING:
    # A host knows its world, and the world its hosts.
    from .host import VirtualHost

SAME_DOMAIN_S: Final = 0.0002
OTHER_DOMAIN_S: Final = 0.0015


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The final answer that a caller got; `run_of` names the run it carries."""

    call_id: str
    at: float
    status: int
    verdict: Verdict
    whole: bool = True
    run_of: str | None = None
    retry_after_s: float | None = None


@dataclass(slots=True, kw_only=True)
class Network:
    """Delays between failure domains, and one-way cuts between parties."""

    same_s: float = SAME_DOMAIN_S
    other_s: float = OTHER_DOMAIN_S
    cuts: set[tuple[str, str]] = field(default_factory=set)
    # Added to messages between hosts, calls excepted; a fall reorders them.
    message_delay_s: float = 0.0

    def is_cut(self, source: str, target: str) -> bool:
        """Return True if nothing sent from `source` reaches `target`."""
        return (source, target) in self.cuts

    def cut(self, source: str, target: str) -> None:
        """Lose everything that `source` sends to `target`."""
        self.cuts.add((source, target))

    def mend(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def get_delay_s(self, domain: str, other: str) -> float:
        """Return the one-way delay."""
        return self.same_s if domain == other else self.other_s


class World(Timeline):
    """One run: the same seed and the same calls give the same run."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self.network = Network()
        self.hosts: dict[str, VirtualHost] = {}
        self.servers: dict[str, VirtualServer] = {}
        self.platform: VirtualPlatform | None = None
        self.answers: dict[str, Answer] = {}
        self.answer_hooks: list[Callable[[Answer], None]] = []

    def add_server(self, server: VirtualServer) -> VirtualServer:
        """Let hosts reach a server at its address."""
        self.servers[server.address] = server
        return server

    def get_host_by_address(self, address: str) -> "VirtualHost | None":
        """Return the host with this caller or peer address."""
        for host in self.hosts.values():
            if address in (host.identity.callers, host.identity.peers):
                return host
        return None

    def call(self, host: str, call: Call, delay_s: float = 0.0) -> None:
        """Send a caller's call to a host; the answer goes to `answers`."""
        self.after(delay_s, lambda: self.hosts[host].accept_call(call, None))

    def take_answer(self, answer: Answer) -> None:
        """Keep a caller's final answer and tell the hooks."""
        self.answers[answer.call_id] = answer
        for hook in self.answer_hooks:
            hook(answer)
