"""Number of entries that share the limits, also right after a start or a stall."""

from __future__ import annotations

from datetime import datetime, timedelta

# Time within which every running entry is heard, that is, its gossip arrives. A silent
# entry is counted as live for as long.
DISCOVERY_TIME = timedelta(seconds=12)
# A longer gap between counts means that the process or its VM was suspended.
STALL_THRESHOLD = timedelta(seconds=3)


class EntryCounter:
    """Count known entries in place of those heard until all can have been heard."""

    __slots__ = ("last_counted_at_", "discovery_ends_at_")

    def __init__(self, started_at: datetime) -> None:
        self.last_counted_at_ = started_at
        self.discovery_ends_at_ = started_at + DISCOVERY_TIME

    def count(self, heard: int, known: int, now: datetime) -> int:
        """Return the number of entries, the own one included."""
        if now - self.last_counted_at_ > STALL_THRESHOLD:
            self.discovery_ends_at_ = now + DISCOVERY_TIME
        self.last_counted_at_ = now
        return max(heard, known) if now < self.discovery_ends_at_ else heard
