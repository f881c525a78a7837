"""Acting as one of many hosts: membership, placement, registry, relays."""
