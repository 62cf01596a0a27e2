"""Synthetic weights with reproducible content."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec

from ..core import sha256_hex


@dataclass(slots=True, frozen=True)
class Manifest:
    """List the chunk digests of one version."""

    model: str
    version: str
    size: int
    chunk_bytes: int
    chunks: list[str]

    @property
    def digest(self) -> str:
        """Return the digest that pins this version."""
        return sha256_hex(msgspec.json.encode(self))


def make_chunk(seed: int, index: int, size: int) -> bytes:
    """Return the bytes of one chunk."""
    return Random(f"{seed}/{index}").randbytes(size)


def make_manifest(
    model: str, version: str, size: int, chunk_bytes: int, seeds: list[int]
) -> Manifest:
    """Return the manifest of a version whose chunks use the given seeds."""
    digests = [
        sha256_hex(make_chunk(seed, index, chunk_size(size, chunk_bytes, index)))
        for index, seed in enumerate(seeds)
    ]
    return Manifest(model, version, size, chunk_bytes, digests)


def chunk_count(size: int, chunk_bytes: int) -> int:
    """Return the number of chunks of a version."""
    return -(-size // chunk_bytes)


def chunk_size(size: int, chunk_bytes: int, index: int) -> int:
    """Return the size of one chunk; the last one may be shorter."""
    return min(chunk_bytes, size - index * chunk_bytes)
