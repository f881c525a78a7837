"""Routing, claim and cluster logic without I/O: a reducer from events to effects."""
