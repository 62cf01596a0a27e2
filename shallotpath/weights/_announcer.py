"""Announcement of chunk maps to neighbours, within the rate of control traffic."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime

from ..core import EPOCH, ChunkMap, Effect, Send
from ._bucket import TokenBucket
from ._layout import Layout
from ._limits import TransferLimits
from ._sources import Source, interval_passed

# Envelope, message kind, digest and TCP/IP headers of one chunk map.
MAP_OVERHEAD_BYTES = 160


class Announcer:
    """Send the newest chunk map to each neighbour that has not seen it."""

    __slots__ = ("control", "limits", "sent_bytes_", "unannounced_")

    def __init__(self, limits: TransferLimits) -> None:
        self.limits = limits
        self.control = TokenBucket(limits.control_rate, limits.control_burst)
        self.sent_bytes_ = 0
        self.unannounced_: set[str] = set()

    def queue(self, peers: Iterable[str]) -> None:
        """Queue peers for the newest map."""
        self.unannounced_.update(peers)

    def queue_new_chunk(
        self, neighbours: Iterable[str], digest: str, source: Callable[[str], Source]
    ) -> None:
        """Queue the new map for neighbours that do not hold the whole version."""
        self.queue(
            peer for peer in neighbours if not source(peer).holds_version(digest)
        )

    def queue_refreshes(
        self,
        neighbours: Iterable[str],
        digest: str,
        source: Callable[[str], Source],
        now: datetime,
    ) -> None:
        """Queue the map again for neighbours not known to hold the whole version."""
        for peer in neighbours:
            known = source(peer)
            due = interval_passed(now, self.limits.refresh_interval, known.announced_at)
            if due and not known.holds_version(digest):
                self.unannounced_.add(peer)

    def send(
        self,
        message: ChunkMap,
        layout: Layout,
        source: Callable[[str], Source],
        now: datetime,
        first: str,
    ) -> list[Effect]:
        """Return messages within the rate; `first` gets its map even beyond the rate.

        `first` is the sender of a chunk, which holds an upload slot until it
        receives this map.
        """
        size = len(message.bitmap) + MAP_OVERHEAD_BYTES
        members = layout.topology_.members_by_id if layout.topology_ else {}
        effects: list[Effect] = []
        if first in members:
            self.unannounced_.add(first)
        for peer in sorted(
            self.unannounced_,
            key=lambda peer: (peer != first, source(peer).announced_at or EPOCH, peer),
        ):
            member = members.get(peer)
            if member is None:
                self.unannounced_.discard(peer)
                continue
            if not self.control.take(size, now) and peer != first:
                break
            self.unannounced_.discard(peer)
            source(peer).announced_at = now
            self.sent_bytes_ += size
            effects.append(Send(member.address, message))
        return effects
