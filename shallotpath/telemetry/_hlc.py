"""Hybrid logical clock that orders the events of all processes."""

from __future__ import annotations

from datetime import datetime

from ..core import Clock

# With 10 bits a stamp fits the signed 64-bit field of a frame until the year 2255.
LOGICAL_BITS = 10


class HybridClock:
    """Issue time stamps that follow the clock and the stamps of other processes.

    A stamp holds microseconds in the upper bits and a counter in the lower 10 bits,
    so stamps are compared as integers.
    """

    __slots__ = ("clock", "last_")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_ = 0

    def tick(self) -> int:
        """Return a stamp later than all issued and observed ones."""
        self.last_ = max(self.last_ + 1, make_stamp(self.clock.now()))
        return self.last_

    def observe(self, stamp: int) -> None:
        """Advance to a stamp that another process sent."""
        self.last_ = max(self.last_, stamp)


def make_stamp(moment: datetime) -> int:
    """Return the first stamp of a moment."""
    return int(moment.timestamp() * 1e6) << LOGICAL_BITS


def stamp_seconds(stamp: int) -> float:
    """Return the time of a stamp in seconds since 1970."""
    return (stamp >> LOGICAL_BITS) / 1e6
