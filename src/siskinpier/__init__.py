"""A load balancer for backend servers whose load changes within milliseconds."""

from typing import Final

__version__: Final = "0.1.0"
