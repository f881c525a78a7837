"""The hosts of one run in virtual time, with their environment."""

from siskinpier.core.routing.calls import Call

from .environment import Environment
from .host import VirtualHost


class World(Environment):
    """One simulated run, determined by the seed and the calls made."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self.hosts: dict[str, VirtualHost] = {}

    def add_host(self, *, name: str, failure_domain: str, seed: int) -> VirtualHost:
        """Add a host without starting it; hosts find each other by address."""
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
        """Send a call to a host after a delay; its answer is stored in `answers`."""
        self.after(delay_s, lambda: self.hosts[host].accept_call(call, None))
