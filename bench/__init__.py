"""Benchmarks and load tests of real processes and of the simulated core."""
