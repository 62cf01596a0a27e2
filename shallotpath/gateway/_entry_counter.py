"""How many entries share the limits, also when a process has heard none just now."""

from __future__ import annotations

from datetime import datetime, timedelta

# Time in which every entry that sends is heard; as long as a silent one is counted.
DISCOVERY_TIME = timedelta(seconds=12)
# A process that did not look for so long stood still, or its VM did.
STALL_THRESHOLD = timedelta(seconds=3)


class EntryCounter:
    """Count known entries in place of those heard until all can have been heard."""

    __slots__ = ("last_counted_at_", "discovery_ends_at_")

    def __init__(self, started_at: datetime) -> None:
        self.last_counted_at_ = started_at
        self.discovery_ends_at_ = started_at + DISCOVERY_TIME

    def count(self, live_entries: int, known_entries: int, now: datetime) -> int:
        """Return the number of entries, the own one included."""
        if now - self.last_counted_at_ > STALL_THRESHOLD:
            self.discovery_ends_at_ = now + DISCOVERY_TIME
        self.last_counted_at_ = now
        return (
            max(live_entries, known_entries)
            if now < self.discovery_ends_at_
            else live_entries
        )
