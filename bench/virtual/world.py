"""The hosts of one run in virtual time, and what surrounds them."""

from siskinpier.core.routing.calls import Call

from .environment import Environment
from .host import VirtualHost


class World(Environment):
    """One run: the same seed and the same calls give the same run."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self.hosts: dict[str, VirtualHost] = {}

    def add_host(self, *, name: str, failure_domain: str, seed: int) -> VirtualHost:
        """Add a host that has not started yet; all hosts know one another."""
        host = VirtualHost(
            world=self,
            hosts=self.hosts,
            name=name,
            failure_domain=failure_domain,
            seed=seed,
        )
        self.hosts[name] = host
        return host

    def call(self, host: str, call: Call, delay_s: float = 0.0) -> None:
        """Send a caller's call to a host; the answer goes to `answers`."""
        self.after(delay_s, lambda: self.hosts[host].accept_call(call, None))
