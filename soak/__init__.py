"""Fault-injection tests on real processes, with a checker of the observed history."""
