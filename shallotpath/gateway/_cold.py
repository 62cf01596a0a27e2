"""Share of one entry in what a cold upstream bears."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

# Part of the limit over one second that the entries plan to use together; the rest
# absorbs entries that do not know each other yet.
PLANNED_SHARE = 0.85
# Time in which an empty bucket fills, whatever its size.
REFILL_TIME = timedelta(seconds=1)


@dataclass(slots=True)
class ColdLimit:
    """Hold what all entries together may send to a cold upstream in one second."""

    requests_per_s: float
    excess: float
    slack: float

    @property
    def total(self) -> float:
        """Return the requests that may arrive within any second."""
        return self.requests_per_s * self.excess + self.slack


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: datetime


class ColdBuckets:
    """Limit the requests that one entry sends to each upstream in a second.

    Within any second a bucket lets through its burst plus one second of its rate,
    so each gets half of the entry's share. The buckets are always on: an upstream
    may turn cold without saying so.
    """

    __slots__ = ("buckets_by_id_", "started_at_")

    def __init__(self) -> None:
        self.buckets_by_id_: dict[str, _Bucket] = {}
        self.started_at_: datetime | None = None

    def started(self, now: datetime) -> None:
        """Begin with empty buckets; what was sent before the start is not known."""
        self.started_at_ = now

    def try_take(
        self, upstream_id: str, limit: ColdLimit, entries: int, now: datetime
    ) -> bool:
        """Spend one request of an upstream's bucket if there is any."""
        bucket = self._refilled_bucket(upstream_id, limit, entries, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def has_token(
        self, upstream_id: str, limit: ColdLimit, entries: int, now: datetime
    ) -> bool:
        """Check whether an upstream's bucket has room for a request."""
        return self._refilled_bucket(upstream_id, limit, entries, now).tokens >= 1.0

    def prune(self, known_ids: set[str], now: datetime) -> None:
        """Drop the full buckets of upstreams that are gone; they may come back."""
        for upstream_id in self.buckets_by_id_.keys() - known_ids:
            if now - self.buckets_by_id_[upstream_id].refilled_at >= REFILL_TIME:
                del self.buckets_by_id_[upstream_id]

    def _refilled_bucket(
        self, upstream_id: str, limit: ColdLimit, entries: int, now: datetime
    ) -> _Bucket:
        burst = max(1.0, PLANNED_SHARE * limit.total / (2 * max(1, entries)))
        bucket = self.buckets_by_id_.get(upstream_id)
        if bucket is None:
            bucket = _Bucket(burst, now)
            if self.started_at_ is not None:
                bucket = _Bucket(0.0, self.started_at_)
            self.buckets_by_id_[upstream_id] = bucket
        elapsed = (now - bucket.refilled_at).total_seconds()
        bucket.tokens = min(burst, bucket.tokens + elapsed * burst)
        bucket.refilled_at = now
        return bucket
