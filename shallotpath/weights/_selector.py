"""Rarest-first selection of the next chunk and its source."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from random import Random
from typing import TYPE_CHECKING

from ._events import MANIFEST_INDEX, ORIGIN
from ._sources import Source

if TYPE_CHECKING:
    from ._plan import TransferPlan

# Limits the missing chunks that one choice considers, so that it costs the same for
# a model of 64 chunks and for one of 20,000.
MAX_CANDIDATES = 64


class Selector:
    """Choose the missing chunk that the fewest neighbours of the region hold."""

    __slots__ = ("holder_counts_", "queue_", "random")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.queue_: list[int] = []
        self.holder_counts_: list[int] = []

    def restart(self, missing: Iterable[int], count: int) -> None:
        """Replace the missing chunks, in random order."""
        self.queue_ = list(missing)
        self.random.shuffle(self.queue_)
        if len(self.holder_counts_) != count:
            self.holder_counts_ = [0] * count

    def recount(self, bitmaps: Iterable[int]) -> None:
        """Count anew how many neighbours in the region hold each chunk."""
        self.holder_counts_ = [0] * len(self.holder_counts_)
        for bitmap in bitmaps:
            self.update_counts(0, bitmap)

    def update_counts(self, old: int, new: int) -> None:
        """Update the counts for a changed chunk map of a neighbour in the region."""
        count = len(self.holder_counts_)
        difference = old ^ new
        while difference:
            index = (difference & -difference).bit_length() - 1
            difference &= difference - 1
            if index < count:
                self.holder_counts_[index] += 1 if new >> index & 1 else -1

    def sole(self, bitmap: int) -> int:
        """Return how many held chunks no neighbour in the region has announced."""
        return sum(
            1
            for index, holders in enumerate(self.holder_counts_)
            if not holders and bitmap >> index & 1
        )

    def choose(self, plan: TransferPlan, now: datetime) -> tuple[int, str] | None:
        """Return the rarest chunk that a source can deliver now, and the source."""
        local: list[tuple[str, Source]] = []
        remote: list[tuple[str, Source]] = []
        for peer, source in usable_sources(plan, now):
            (remote if plan.layout_.crosses(peer) else local).append((peer, source))
        local_bitmap = remote_bitmap = 0
        for _, source in local:
            local_bitmap |= source.bitmap
        if plan.rates_.region_bucket_.has(plan.manifest_.chunk_bytes, now):
            for _, source in remote:
                remote_bitmap |= source.bitmap
        origin = origin_usable(plan, now)
        best: tuple[float, int] | None = None
        for index in self._candidates(plan):
            holders = self.holder_counts_[index]
            if holders:
                found = local_bitmap >> index & 1
            else:
                found = (
                    origin or remote_bitmap >> index & 1
                ) and plan.layout_.designated(index)
            if found:
                rank = (holders + self.random.random(), index)
                best = rank if best is None else min(best, rank)
        if best is None:
            return None
        return best[1], self._source(best[1], local, remote, origin)

    def choose_for_manifest(self, plan: TransferPlan, now: datetime) -> str | None:
        """Return the source of the manifest, which is chosen like that of a chunk."""
        designated = plan.layout_.designated(MANIFEST_INDEX)
        manifest_peers = [
            peer
            for peer, source in usable_sources(plan, now)
            if source.count and (designated or not plan.layout_.crosses(peer))
        ]
        if manifest_peers:
            return self.random.choice(manifest_peers)
        return ORIGIN if designated and origin_usable(plan, now) else None

    def _source(
        self,
        index: int,
        local: list[tuple[str, Source]],
        remote: list[tuple[str, Source]],
        origin: bool,
    ) -> str:
        if not self.holder_counts_[index] and origin:
            return ORIGIN
        peers = local if self.holder_counts_[index] else remote
        return min(
            (source.open_requests, self.random.random(), peer)
            for peer, source in peers
            if source.holds(index)
        )[2]

    def _candidates(self, plan: TransferPlan) -> Iterable[int]:
        missing, pending = plan.missing_, plan.requests_
        if len(self.queue_) > 2 * len(missing):
            self.queue_ = [index for index in self.queue_ if index in missing]
        length = len(self.queue_)
        start = self.random.randrange(length) if length else 0
        seen = 0
        for step in range(length):
            index = self.queue_[(start + step) % length]
            if index in missing and index not in pending:
                seen += 1
                yield index
            if seen >= MAX_CANDIDATES:
                return


def usable_sources(plan: TransferPlan, now: datetime) -> Iterable[tuple[str, Source]]:
    """Yield the neighbours that chunks may be requested from now."""
    for peer in plan.neighbours:
        source = plan.sources_by_id_.get(peer)
        if source is None or source.digest != plan.digest:
            continue
        if source.usable(plan.limits, now):
            yield peer, source


def origin_usable(plan: TransferPlan, now: datetime) -> bool:
    """Check whether this agent may request chunks from the origin now."""
    source = plan.source(ORIGIN)
    free = source.open_requests < plan.receive_slots_
    waited = source.avoid_until is None or now >= source.avoid_until
    return free and waited and plan.layout_.region_ == plan.origin_region
