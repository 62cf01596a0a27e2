"""Open requests for chunks and manifests."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

from ._limits import TransferLimits


@dataclass(slots=True, frozen=True)
class Request:
    """Identify a chunk (or the manifest) and the source to request it from."""

    peer: str
    index: int
    digest: str


class Requests:
    """Keep at most one open request per chunk, with its deadline."""

    __slots__ = ("limits", "open_by_index_")

    def __init__(self, limits: TransferLimits) -> None:
        self.limits = limits
        self.open_by_index_: dict[int, tuple[str, datetime]] = {}

    @property
    def open(self) -> int:
        """Return the number of open requests."""
        return len(self.open_by_index_)

    def __contains__(self, index: int) -> bool:
        return index in self.open_by_index_

    def start(self, peer: str, index: int, now: datetime) -> None:
        """Open a request."""
        self.open_by_index_[index] = (peer, now + self.limits.chunk_timeout)

    def end(self, peer: str, index: int) -> bool:
        """Close a request and return whether this peer had one open."""
        if self.open_by_index_.get(index, ("",))[0] != peer:
            return False
        del self.open_by_index_[index]
        return True

    def expired(self, now: datetime) -> list[tuple[str, int]]:
        """Return the requests that have passed their deadline."""
        return [
            (peer, index)
            for index, (peer, deadline) in self.open_by_index_.items()
            if deadline <= now
        ]

    def clear(self) -> None:
        """Forget all requests."""
        self.open_by_index_.clear()
