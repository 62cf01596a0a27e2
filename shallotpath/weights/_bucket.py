"""Token bucket for transfer rates and control traffic."""

from __future__ import annotations

from datetime import datetime


class TokenBucket:
    """Limit bytes per second, with a bounded burst; a rate of 0 means no limit."""

    __slots__ = ("burst", "filled_at_", "rate", "tokens_")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens_ = burst
        self.filled_at_: datetime | None = None

    def has(self, size: int, now: datetime) -> bool:
        """Check whether there are enough tokens.

        A size above the burst needs a full bucket.
        """
        if self.rate <= 0:
            return True
        self._fill(now)
        return self.tokens_ >= min(size, self.burst)

    def take(self, size: int, now: datetime) -> bool:
        """Spend tokens if there are enough."""
        if not self.has(size, now):
            return False
        self.tokens_ -= size
        return True

    def _fill(self, now: datetime) -> None:
        if self.filled_at_ is not None and now > self.filled_at_:
            elapsed = (now - self.filled_at_).total_seconds()
            self.tokens_ = min(self.burst, self.tokens_ + elapsed * self.rate)
        self.filled_at_ = now
