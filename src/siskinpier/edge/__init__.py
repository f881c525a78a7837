"""I/O of a host: sockets, the platform's object API, the operators' interface."""
