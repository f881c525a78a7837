"""A load balancer for backend servers whose load changes within milliseconds."""

# Nothing is imported here: until `signals` is, a signal ends a starting host.
__version__ = "0.1.0"
