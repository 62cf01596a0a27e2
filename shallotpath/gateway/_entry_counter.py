"""Number of entries that share the limits, also right after a start or a stall."""

from __future__ import annotations

from datetime import datetime, timedelta

# Time within which every running entry has sent gossip. A silent entry is counted as
# live for as long.
DISCOVERY_TIME = timedelta(seconds=12)
# A longer gap between counts means that the process or its VM was suspended.
STALL_THRESHOLD = timedelta(seconds=3)


class EntryCounter:
    """Count all known entries until every live one has had time to send gossip."""

    __slots__ = ("last_counted_at_", "discovery_ends_at_")

    def __init__(self, started_at: datetime) -> None:
        self.last_counted_at_ = started_at
        self.discovery_ends_at_ = started_at + DISCOVERY_TIME

    def count(self, live_entries: int, known_entries: int, now: datetime) -> int:
        """Return the number of entries, including this one."""
        if now - self.last_counted_at_ > STALL_THRESHOLD:
            self.discovery_ends_at_ = now + DISCOVERY_TIME
        self.last_counted_at_ = now
        return (
            max(live_entries, known_entries)
            if now < self.discovery_ends_at_
            else live_entries
        )
