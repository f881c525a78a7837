"""Deterministic simulation: production cores in virtual time.

`World` holds the event heap and `VirtualHost` runs one core. Fakes replace the
network, the platform, backend servers and callers.
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
