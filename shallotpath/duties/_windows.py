"""Windows of the wall clock for which usage is reported."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# Counts of a window are complete this share of the time that is left for the report
# after its end. Entries need the time to answer, and slow ones to be asked again.
SETTLE_SHARE = 0.1
# Later candidates wait for this share each, so that four of them come in time.
STEP_SHARE = 0.15
# Shares of the time in which a report still has to be sent and to arrive.
RESERVE_SHARE = 0.03
# Processes that may report a window, in order. Bounds the reads of the log.
CANDIDATES = 4


@dataclass(slots=True, frozen=True)
class UsageRules:
    """Hold the length of a window and when its report is due after its end."""

    window: timedelta
    due: timedelta

    def number(self, at: datetime) -> int:
        """Return the number of the window that a time is in."""
        return (at - UNIX_EPOCH) // self.window

    def end(self, window: int) -> datetime:
        """Return the end of a window."""
        return UNIX_EPOCH + (window + 1) * self.window

    def due_at(self, window: int) -> datetime:
        """Return when the report of a window must have been sent."""
        return self.end(window) + self.due * (1 - RESERVE_SHARE)

    def act_at(self, window: int, rank: int) -> datetime:
        """Return when the candidate of a rank, 0 first, reports a window."""
        share = SETTLE_SHARE + STEP_SHARE * rank
        return self.end(window) + self.due * share

    def newest_settled(self, now: datetime) -> int:
        """Return the newest window whose counts are complete."""
        return self.number(now - self.due * SETTLE_SHARE) - 1

    def reportable(self, now: datetime) -> range:
        """Return the windows whose counts are complete and whose report is not late."""
        newest = oldest = self.newest_settled(now)
        while self.due_at(oldest - 1) > now:
            oldest -= 1
        return range(oldest, newest + 1)

    @property
    def kept_windows(self) -> int:
        """Return how many windows an entry keeps counts of."""
        return -(-self.due // self.window) + 2
