"""Availability of the log as this process sees it."""

from __future__ import annotations

from datetime import datetime, timedelta


class LogHealth:
    """Record when the log last answered and whether a call failed since."""

    __slots__ = ("answered_at_", "failing_")

    def __init__(self) -> None:
        self.answered_at_: datetime | None = None
        self.failing_ = False

    @property
    def answered(self) -> bool:
        """Check whether the log has answered this incarnation at least once."""
        return self.answered_at_ is not None

    def succeed(self, now: datetime) -> None:
        """Record a successful append or read."""
        self.answered_at_ = now
        self.failing_ = False

    def fail(self) -> None:
        """Record a failed append or read."""
        self.failing_ = True

    def unavailable_for(self, now: datetime, period: timedelta) -> bool:
        """Check whether the log failed and has not answered for a period.

        A missing answer alone is not an outage: a read waits for seconds if the log
        has no new records.
        """
        if self.answered_at_ is None or not self.failing_:
            return False
        return now - self.answered_at_ >= period
