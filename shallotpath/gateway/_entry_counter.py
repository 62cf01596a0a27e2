"""How many entries share the limits, also when a process has heard none just now."""

from __future__ import annotations

from datetime import datetime, timedelta

# Time in which every entry that sends is heard; as long as a silent one is counted.
UNSETTLED_FOR = timedelta(seconds=12)
# A process that did not look for so long stood still, or its VM did.
STOOD_STILL = timedelta(seconds=3)


class EntryCounter:
    """Count known entries in place of those heard until all can have been heard."""

    __slots__ = ("looked_at_", "settled_at_")

    def __init__(self, started_at: datetime) -> None:
        self.looked_at_ = started_at
        self.settled_at_ = started_at + UNSETTLED_FOR

    def count(self, heard: int, known: int, now: datetime) -> int:
        """Return the number of entries, the own one included."""
        if now - self.looked_at_ > STOOD_STILL:
            self.settled_at_ = now + UNSETTLED_FOR
        self.looked_at_ = now
        return max(heard, known) if now < self.settled_at_ else heard
