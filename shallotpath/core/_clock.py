"""Clocks that are injected into the code that needs the time."""

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

    Reducers compare and subtract these times, so steps of the wall clock must not
    affect them. Time in which the VM is suspended counts if the operating system
    measures it (`CLOCK_BOOTTIME`), because information from peers and the store ages
    meanwhile. The timers of the event loop do not count it.
    """

    __slots__ = ("_clock_id", "_start_s", "_wall_start")

    def __init__(self) -> None:
        self._clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
        self._wall_start = datetime.now(UTC)
        self._start_s = time.clock_gettime(self._clock_id)

    def now(self) -> datetime:
        """Return the current time in UTC."""
        elapsed_s = time.clock_gettime(self._clock_id) - self._start_s
        return self._wall_start + timedelta(seconds=elapsed_s)


class ManualClock:
    """Advance only when `advance` is called, for tests and scenarios."""

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
