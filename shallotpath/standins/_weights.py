"""Generate synthetic weights with reproducible content."""

from __future__ import annotations

from random import Random

from ..core import sha256_hex
from ..weights import Manifest


def make_chunk(seed: int, index: int, size: int) -> bytes:
    """Return the bytes of one chunk."""
    return Random(f"{seed}/{index}").randbytes(size)


def make_manifest(
    model: str, version: str, size: int, chunk_bytes: int, seeds: list[int]
) -> Manifest:
    """Return the manifest of a version whose chunks use the given seeds."""
    empty = Manifest(model, version, size, chunk_bytes, [])
    digests = [
        sha256_hex(make_chunk(seed, index, empty.chunk_size(index)))
        for index, seed in enumerate(seeds)
    ]
    return Manifest(model, version, size, chunk_bytes, digests)


def chunk_count(size: int, chunk_bytes: int) -> int:
    """Return the number of chunks of a version."""
    return -(-size // chunk_bytes)
