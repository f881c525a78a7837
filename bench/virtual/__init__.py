"""Real cores in virtual time, with small fakes at their interfaces.

`World` holds the event heap; `VirtualHost` drives one core; the fakes stand
in for the network, the platform, backend servers and callers.
"""

from .environment import Answer, Network
from .host import VirtualHost
from .platform import VirtualPlatform
from .servers import Run, VirtualServer
from .world import World

__all__ = [
    "Answer",
    "Network",
    "Run",
    "VirtualHost",
    "VirtualPlatform",
    "VirtualServer",
    "World",
]
