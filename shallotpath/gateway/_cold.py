"""Rate limit for cold upstreams, divided among all entries."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import datetime, timedelta
from math import floor

# Share of the limit that the entries use together; the rest covers entries that do not
# know of each other yet.
PLANNED_SHARE = 0.75
# The limit holds for each second in which requests are sent. The slack covers the time
# from a decision until its request is sent.
COLD_WINDOW = timedelta(milliseconds=1050)


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

    @property
    def planned(self) -> int:
        """Return the requests that the entries divide among each other."""
        return floor(PLANNED_SHARE * self.total)


class ColdLimiter:
    """Limit the requests that one entry sends to each upstream in a second.

    The limit applies to all upstreams because one may become cold without reporting it.
    """

    __slots__ = ("sent_by_id_", "started_at_")

    def __init__(self) -> None:
        self.sent_by_id_: dict[str, deque[datetime]] = {}
        self.started_at_: datetime | None = None

    def started(self, now: datetime) -> None:
        """Send nothing for one window, as requests before a restart are not known."""
        self.started_at_ = now

    def try_acquire(self, upstream_id: str, share: int, now: datetime) -> bool:
        """Count a request to an upstream and return whether its share allowed it."""
        if not self.has_capacity(upstream_id, share, now):
            return False
        self.sent_by_id_.setdefault(upstream_id, deque()).append(now)
        return True

    def has_capacity(self, upstream_id: str, share: int, now: datetime) -> bool:
        """Check whether this entry may send an upstream one more request."""
        if self.started_at_ is not None and now - self.started_at_ < COLD_WINDOW:
            return False
        return self._recent(upstream_id, now) < share

    def prune(self, known_ids: set[str], now: datetime) -> None:
        """Forget upstreams that are gone once their last window has passed.

        Until then a window is kept, since its upstream may register again.
        """
        for upstream_id in self.sent_by_id_.keys() - known_ids:
            if not self._recent(upstream_id, now):
                del self.sent_by_id_[upstream_id]

    def _recent(self, upstream_id: str, now: datetime) -> int:
        sent = self.sent_by_id_.get(upstream_id)
        if sent is None:
            return 0
        while sent and now - sent[0] >= COLD_WINDOW:
            sent.popleft()
        return len(sent)
