"""Windows of the wall clock for which usage is reported."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# Shares of the time that is left for a report after the end of its window.
# Entries have counted their last requests, and a holder asks for them.
SETTLE_SHARE = 0.1
# A holder reports without the entries that have not answered by then.
COMPLETE_SHARE = 0.5
# First standby, and the next ones after it; without a live holder they start earlier.
STANDBY_SHARE = 0.55
TAKEOVER_SHARE = 0.3
STEP_SHARE = 0.07
# A report that is sent later may arrive late.
RESERVE_SHARE = 0.03
# Processes besides the holder that look after a window. Bounds the reads of the log.
CANDIDATES = 3


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

    def settled_at(self, window: int) -> datetime:
        """Return when the counts of a window are complete at the entries."""
        return self.end(window) + self.due * SETTLE_SHARE

    def complete_by(self, window: int) -> datetime:
        """Return until when a report waits for entries that do not answer."""
        return self.end(window) + self.due * COMPLETE_SHARE

    def act_at(self, window: int, rank: int, *, holder_lives: bool) -> datetime:
        """Return when a candidate that is not the holder reports a window."""
        first = STANDBY_SHARE if holder_lives else TAKEOVER_SHARE
        return self.end(window) + self.due * (first + STEP_SHARE * rank)

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
