"""Random faults on real processes, and a checker of what callers and servers see."""
