"""Cooperation with the other hosts: membership, placement, registry, relays."""
