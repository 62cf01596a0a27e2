"""Quarantined fingerprints that are carried along with gossip."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from ..core import QuarantineUpdate
from ._spread import SpreadQueue

MAX_PER_MESSAGE = 16
# Fingerprints are remembered for duplicates only; the limits package decides.
MAX_REMEMBERED = 1000


@dataclass(slots=True, frozen=True)
class Remembered:
    """Newest update of a fingerprint until it expires."""

    update: QuarantineUpdate
    until: datetime


class QuarantineSpread:
    """Pass each new update on a limited number of times."""

    __slots__ = ("fresh_by_fingerprint_", "remembered_by_fingerprint_", "spread_")

    def __init__(self) -> None:
        self.spread_: SpreadQueue[Remembered] = SpreadQueue()
        self.fresh_by_fingerprint_: dict[str, Remembered] = {}
        self.remembered_by_fingerprint_: dict[str, Remembered] = {}

    def merge(
        self, updates: list[QuarantineUpdate], sends: int, now: datetime
    ) -> list[QuarantineUpdate]:
        """Apply updates and return those that were new."""
        fresh = [update for update in updates if self._is_new(update, now)]
        for update in fresh:
            remembered = self._join(update, now)
            self.remembered_by_fingerprint_[update.fingerprint] = remembered
            self.fresh_by_fingerprint_[update.fingerprint] = remembered
            self.spread_.put(update.fingerprint, remembered, sends)
        self._bound(now)
        return fresh

    def take(self, now: datetime) -> list[QuarantineUpdate]:
        """Return updates to send, with the time that is left now."""
        return [_remaining(item, now) for item in self.spread_.take(MAX_PER_MESSAGE)]

    def take_fresh(self, now: datetime) -> list[QuarantineUpdate]:
        """Return the updates that are new since the last call."""
        items = list(self.fresh_by_fingerprint_.items())[:MAX_PER_MESSAGE]
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

    def _join(self, update: QuarantineUpdate, now: datetime) -> Remembered:
        # Both id sets only grow, so the order of arrival does not matter.
        until = now + update.time_left
        known = self._known(update.fingerprint, now)
        if known is None:
            return Remembered(update, until)
        joined = replace(
            update,
            crashes=max(update.crashes, known.update.crashes),
            crash_ids=sorted({*update.crash_ids, *known.update.crash_ids}),
            cleared_ids=sorted({*update.cleared_ids, *known.update.cleared_ids}),
        )
        return Remembered(joined, max(until, known.until))

    def _known(self, fingerprint: str, now: datetime) -> Remembered | None:
        known = self.remembered_by_fingerprint_.get(fingerprint)
        return None if known is None or now >= known.until else known

    def _bound(self, now: datetime) -> None:
        remembered = self.remembered_by_fingerprint_
        if len(remembered) <= MAX_REMEMBERED:
            return
        by_expiry = sorted(remembered, key=lambda key: remembered[key].until)
        for key in by_expiry[: len(remembered) - MAX_REMEMBERED]:
            del remembered[key]


def _remaining(item: Remembered, now: datetime) -> QuarantineUpdate:
    return replace(item.update, time_left=max(timedelta(0), item.until - now))
