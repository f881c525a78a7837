"""Calls that must not run twice: holders, owners, shards and their objects."""
