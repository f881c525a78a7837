"""Rendezvous hashing: equal views give equal results without coordination.

This is highest random weight hashing (Thaler and Ravishankar, 1998). It uses xxHash, so
that results do not depend on the hash seed of the process.
"""

from collections.abc import Iterable, Mapping

import xxhash


def compute_weight(key: str, node: str) -> int:
    """Return the weight of a node for a key as a 64-bit unsigned integer."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{node}".encode())


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes by decreasing weight for the key, ties by name."""
    return sorted(nodes, key=lambda node: (-compute_weight(key, node), node))


def rank_strongest(key: str, strengths: Mapping[str, float]) -> list[str]:
    """Return the nodes by decreasing strength, ties by weight for the key."""
    ranked = rank_nodes(key, strengths)
    return sorted(ranked, key=lambda node: -strengths[node])


def choose_node(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest weight for the key, or None without nodes."""
    return max(nodes, key=lambda node: (compute_weight(key, node), node), default=None)
