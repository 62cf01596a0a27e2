"""Clocks that are passed to the code that needs the time."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class Clock(Protocol):
    """Provide the current time."""

    def now(self) -> datetime:
        """Return the current time in UTC."""
        ...


class MonotonicClock:
    """Advance with a steady clock from the wall time at construction.

    Reducers compare and subtract these times, so a step of the wall clock must
    not reach them. A suspension of the VM counts where the system measures it, since
    what peers and the store say grows old meanwhile; the event loop's timers leave it
    out.
    """

    __slots__ = ("_clock_id", "_offset", "_started")

    def __init__(self) -> None:
        self._clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
        self._started = datetime.now(UTC)
        self._offset = time.clock_gettime(self._clock_id)

    def now(self) -> datetime:
        """Return the current time in UTC."""
        elapsed = time.clock_gettime(self._clock_id) - self._offset
        return self._started + timedelta(seconds=elapsed)


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
