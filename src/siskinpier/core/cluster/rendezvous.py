"""Rendezvous hashing: equal answers from equal views, with no agreement.

Highest random weight as described by Thaler and Ravishankar (1998), with
xxHash so that results do not depend on the hash seed of a process.
"""

from collections.abc import Iterable, Mapping

import xxhash


def get_weight(key: str, node: str) -> int:
    """Return the weight of a node for a key, a 64-bit unsigned integer."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{node}".encode())


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes by falling weight for the key; ties go by name."""
    return sorted(nodes, key=lambda node: (-get_weight(key, node), node))


def rank_strongest(key: str, strengths: Mapping[str, float]) -> list[str]:
    """Return the nodes by falling strength; equal ones by weight for the key."""
    ranked = rank_nodes(key, strengths)
    return sorted(ranked, key=lambda node: -strengths[node])


def pick_node(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node of the highest weight, or None when there are none."""
    return max(nodes, key=lambda node: (get_weight(key, node), node), default=None)
