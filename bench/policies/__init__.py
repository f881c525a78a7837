"""Baseline policies for comparison; they are used in benchmarks only."""

from .baselines import BaselineHost, Policy

__all__ = ["BaselineHost", "Policy"]
