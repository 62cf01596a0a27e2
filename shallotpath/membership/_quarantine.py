"""Quarantine updates that are piggybacked on gossip."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from ..core import QuarantineUpdate
from ._spread import GossipQueue

MAX_QUARANTINES_PER_MESSAGE = 16
# Known updates only serve to detect duplicates; the limits package decides which
# fingerprints are quarantined.
MAX_KNOWN_UPDATES = 1000


@dataclass(slots=True, frozen=True)
class KnownUpdate:
    """Hold the merged updates of a fingerprint until they expire."""

    update: QuarantineUpdate
    expires_at: datetime


class QuarantineGossip:
    """Send each new update a limited number of times."""

    __slots__ = ("fresh_by_fingerprint_", "known_by_fingerprint_", "gossip_queue_")

    def __init__(self) -> None:
        self.gossip_queue_: GossipQueue[KnownUpdate] = GossipQueue()
        self.fresh_by_fingerprint_: dict[str, KnownUpdate] = {}
        self.known_by_fingerprint_: dict[str, KnownUpdate] = {}

    def merge(
        self, updates: list[QuarantineUpdate], sends: int, now: datetime
    ) -> list[QuarantineUpdate]:
        """Apply updates and return those that were new."""
        fresh = [update for update in updates if self._is_new(update, now)]
        for update in fresh:
            known = self._merge_known(update, now)
            self.known_by_fingerprint_[update.fingerprint] = known
            self.fresh_by_fingerprint_[update.fingerprint] = known
            self.gossip_queue_.put(update.fingerprint, known, sends)
        self._drop_excess(now)
        return fresh

    def take(self, now: datetime) -> list[QuarantineUpdate]:
        """Return updates to send, with the time left as of now."""
        return [
            _remaining(item, now)
            for item in self.gossip_queue_.take(MAX_QUARANTINES_PER_MESSAGE)
        ]

    def take_fresh(self, now: datetime) -> list[QuarantineUpdate]:
        """Return the updates that are new since the last call."""
        items = list(self.fresh_by_fingerprint_.items())[:MAX_QUARANTINES_PER_MESSAGE]
        for fingerprint, _ in items:
            del self.fresh_by_fingerprint_[fingerprint]
        return [_remaining(item, now) for _, item in items]

    def _is_new(self, update: QuarantineUpdate, now: datetime) -> bool:
        if update.time_left <= timedelta(0):
            return False
        known = self._known(update.fingerprint, now)
        if known is None:
            return True
        return not (
            set(update.crash_ids) <= set(known.update.crash_ids)
            and set(update.cleared_ids) <= set(known.update.cleared_ids)
        )

    def _merge_known(self, update: QuarantineUpdate, now: datetime) -> KnownUpdate:
        # Both id sets only grow, so the order of arrival does not matter.
        expires_at = now + update.time_left
        known = self._known(update.fingerprint, now)
        if known is None:
            return KnownUpdate(update, expires_at)
        merged = replace(
            update,
            crashes=max(update.crashes, known.update.crashes),
            crash_ids=sorted({*update.crash_ids, *known.update.crash_ids}),
            cleared_ids=sorted({*update.cleared_ids, *known.update.cleared_ids}),
        )
        return KnownUpdate(merged, max(expires_at, known.expires_at))

    def _known(self, fingerprint: str, now: datetime) -> KnownUpdate | None:
        known = self.known_by_fingerprint_.get(fingerprint)
        return None if known is None or now >= known.expires_at else known

    def _drop_excess(self, now: datetime) -> None:
        entries = self.known_by_fingerprint_
        if len(entries) <= MAX_KNOWN_UPDATES:
            return
        by_expiry = sorted(entries, key=lambda key: entries[key].expires_at)
        for key in by_expiry[: len(entries) - MAX_KNOWN_UPDATES]:
            del entries[key]


def _remaining(item: KnownUpdate, now: datetime) -> QuarantineUpdate:
    return replace(item.update, time_left=max(timedelta(0), item.expires_at - now))
