"""Rendezvous hashing and content digests."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b, sha256


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 digest as lower-case hexadecimal."""
    return sha256(data).hexdigest()


def rendezvous_score(key: str, node: str) -> int:
    """Return the weight of a node for a key."""
    digest = blake2b(f"{key}\x00{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes from the highest to the lowest weight for a key."""
    return sorted(nodes, key=lambda node: (rendezvous_score(key, node), node))[::-1]


def rendezvous_choice(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest weight for a key, if there is any."""
    return max(
        nodes, key=lambda node: (rendezvous_score(key, node), node), default=None
    )
