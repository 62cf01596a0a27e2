"""Manifests: the chunk digests of one version, identified by the manifest's digest."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

import msgspec

from ..core import DECODING_ERRORS, Code, ShallotError, sha256_hex

DIGEST_CHARS = 64
# One chunk to receive, one to send within the region and one to another region.
MIN_CHUNKS_BUFFERED = 3


class ManifestError(ShallotError):
    """Report a manifest that cannot be used."""

    code: ClassVar[Code] = Code.WEIGHTS_NOT_READY


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
        """Return the digest by which the configuration names this version."""
        return sha256_hex(encode_manifest(self))

    def chunk_size(self, index: int) -> int:
        """Return the size of one chunk; the last one may be shorter."""
        return min(self.chunk_bytes, self.size - index * self.chunk_bytes)

    def matches(self, index: int, payload: bytes) -> bool:
        """Check whether a payload has the digest of the chunk at this index."""
        known = 0 <= index < len(self.chunks)
        return known and sha256_hex(payload) == self.chunks[index]


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest in the form that its digest covers."""
    return msgspec.json.encode(manifest)


def decode_manifest(payload: bytes) -> Manifest:
    """Decode a manifest or raise `ManifestError`."""
    try:
        return msgspec.json.decode(payload, type=Manifest)
    except DECODING_ERRORS as error:
        raise ManifestError(
            f"manifest does not decode: {error}; publish the version again"
        ) from error


def check_manifest(manifest: Manifest, digest: str, buffer_bytes: int) -> None:
    """Raise `ManifestError` unless the manifest has the digest and is usable."""
    if manifest.digest != digest:
        raise ManifestError(
            f"manifest of {manifest.model}/{manifest.version} has another digest "
            "than the configuration names; publish it as a new version"
        )
    if manifest.size <= 0 or manifest.chunk_bytes <= 0:
        raise ManifestError("manifest has no content; publish the version again")
    count = -(-manifest.size // manifest.chunk_bytes)
    if len(manifest.chunks) != count:
        raise ManifestError(
            f"manifest lists {len(manifest.chunks)} chunks in place of {count}; "
            "publish the version again"
        )
    if any(len(chunk) != DIGEST_CHARS for chunk in manifest.chunks):
        raise ManifestError("a chunk digest is malformed; publish the version again")
    if manifest.chunk_bytes * MIN_CHUNKS_BUFFERED > buffer_bytes:
        raise ManifestError(
            f"chunks of {manifest.chunk_bytes} bytes exceed a third of the buffer of "
            f"{buffer_bytes} bytes; raise chunk_buffer or publish smaller chunks"
        )
