"""Clocks that are passed to the code that needs the time."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from time import monotonic
from typing import Protocol

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class Clock(Protocol):
    """Tell the time."""

    def now(self) -> datetime:
        """Return the current time in UTC."""
        ...


class MonotonicClock:
    """Advance with the monotonic clock from the wall time at construction.

    Reducers compare and subtract these times, so a step of the wall clock must
    not reach them.
    """

    __slots__ = ("_offset", "_started")

    def __init__(self) -> None:
        self._started = datetime.now(UTC)
        self._offset = monotonic()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return self._started + timedelta(seconds=monotonic() - self._offset)


class ManualClock:
    """Advance only when told to, for tests and scenarios."""

    __slots__ = ("now_",)

    def __init__(self, start: datetime = EPOCH) -> None:
        self.now_ = start

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return self.now_

    def advance(self, delta: timedelta) -> datetime:
        """Move the clock forward and return the new time."""
        self.now_ += delta
        return self.now_
