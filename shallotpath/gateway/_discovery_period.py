"""Time after a start or a stall in which running entries may not have been heard."""

from __future__ import annotations

from datetime import datetime, timedelta

# Time within which every running entry is heard, that is, its gossip arrives.
DISCOVERY_TIME = timedelta(seconds=12)
# A longer gap between checks means that the process or its VM was suspended.
STALL_THRESHOLD = timedelta(seconds=3)


class DiscoveryPeriod:
    """Tell whether entries that are known but silent still share the limits."""

    __slots__ = ("checked_at_", "ends_at_")

    def __init__(self, started_at: datetime) -> None:
        self.checked_at_ = started_at
        self.ends_at_ = started_at + DISCOVERY_TIME

    def active(self, now: datetime) -> bool:
        """Check whether the period after the last start or stall goes on."""
        if now - self.checked_at_ > STALL_THRESHOLD:
            self.ends_at_ = now + DISCOVERY_TIME
        self.checked_at_ = now
        return now < self.ends_at_
