"""Time intervals in which something was disturbed."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import datetime, timedelta

from shallotpath.core import Clock


class Intervals:
    """Hold intervals as pairs of start and end; an open interval ends with `None`."""

    __slots__ = ("intervals_",)

    def __init__(self) -> None:
        self.intervals_: list[list[datetime | None]] = []

    @contextmanager
    def recording(self, clock: Clock) -> Iterator[None]:
        """Add an interval that lasts as long as the context."""
        interval = [clock.now(), None]
        self.intervals_.append(interval)
        yield
        interval[1] = clock.now()

    def add(self, start: datetime, end: datetime | None = None) -> None:
        """Add an interval, open if it has no end."""
        self.intervals_.append([start, end])

    def overlaps(self, start: datetime, end: datetime) -> bool:
        """Check whether an interval overlaps the time between `start` and `end`."""
        return any(
            begin <= end and (finish is None or finish >= start)
            for begin, finish in self.intervals_
        )

    def start_of_interval_at(self, at: datetime) -> datetime | None:
        """Return the start of the interval that contains a time, if there is one."""
        for begin, end in self.intervals_:
            if begin <= at and (end is None or at < end):
                return begin
        return None

    def longest_gap(
        self, start: datetime, end: datetime, settling: timedelta
    ) -> timedelta:
        """Return the longest time without an interval.

        The settling time after each interval does not count.
        """
        gap_start, longest = start, timedelta()
        for begin, finish in sorted(self.intervals_, key=lambda interval: interval[0]):
            if begin >= end:
                break
            longest = max(longest, begin - gap_start)
            gap_start = max(gap_start, finish + settling if finish else end)
        return max(longest, end - gap_start)
