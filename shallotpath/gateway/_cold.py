"""Rate limit for cold upstreams, divided among all entries."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

# Share of the limit that the entries use together; the rest covers entries that do not
# know of each other yet.
PLANNED_SHARE = 0.85
# Time in which an empty bucket of any size fills up.
REFILL_TIME = timedelta(seconds=1)


@dataclass(slots=True)
class ColdLimit:
    """Limit what all entries together may send to a cold upstream in one second."""

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

    Within any second a token bucket passes its burst plus one second of its rate, so
    each of the two is half of the entry's share. The limit applies to all upstreams
    because one may become cold without reporting it.
    """

    __slots__ = ("buckets_by_id_", "started_at_")

    def __init__(self) -> None:
        self.buckets_by_id_: dict[str, _Bucket] = {}
        self.started_at_: datetime | None = None

    def started(self, now: datetime) -> None:
        """Start with empty buckets, as requests sent before a restart are not known."""
        self.started_at_ = now

    def try_take(
        self, upstream_id: str, limit: ColdLimit, entries: int, now: datetime
    ) -> bool:
        """Take a token from an upstream's bucket and return whether there was one."""
        bucket = self._refilled_bucket(upstream_id, limit, entries, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def has_token(
        self, upstream_id: str, limit: ColdLimit, entries: int, now: datetime
    ) -> bool:
        """Check whether an upstream's bucket has a token left."""
        return self._refilled_bucket(upstream_id, limit, entries, now).tokens >= 1.0

    def prune(self, known_ids: set[str], now: datetime) -> None:
        """Drop the full buckets of upstreams that are gone.

        A bucket that is not full is kept, since its upstream may register again.
        """
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
