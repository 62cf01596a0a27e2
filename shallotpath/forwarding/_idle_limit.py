"""Limit of the wait for the next part of a response."""

from __future__ import annotations

from datetime import timedelta

from ..core import Clock


class IdleLimit:
    """Limit the wait for the next part of a response."""

    __slots__ = ("clock", "detail", "limit", "expires_at_")

    def __init__(self, limit: timedelta, clock: Clock, detail: str) -> None:
        self.limit = limit
        self.clock = clock
        # Reported as the failure when the time is over.
        self.detail = detail
        self.expires_at_ = clock.now() + limit

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the limit."""
        return max(0.0, (self.expires_at_ - self.clock.now()).total_seconds())

    def renew(self) -> None:
        """Restart the wait."""
        self.expires_at_ = self.clock.now() + self.limit
