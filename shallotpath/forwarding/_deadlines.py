"""Times at which requests end, also where the VM was suspended meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import datetime, timedelta

# A larger difference between the clock and the event loop's time is a suspension.
MIN_SUSPENSION = timedelta(milliseconds=50)


class Deadlines:
    """Move the timers of requests that fell behind the clock.

    The event loop's timers leave out the time in which the VM was suspended.
    """

    __slots__ = ("clock_offset_s_", "ends_at_by_timeout_")

    def __init__(self) -> None:
        self.ends_at_by_timeout_: dict[asyncio.Timeout, datetime] = {}
        # The clock's time less that of the event loop.
        self.clock_offset_s_: float | None = None

    @asynccontextmanager
    async def until(self, ends_at: datetime, now: datetime) -> AsyncIterator[None]:
        """Raise `TimeoutError` if the block has not ended by a time."""
        timeout = asyncio.timeout(max(0.0, (ends_at - now).total_seconds()))
        self.ends_at_by_timeout_[timeout] = ends_at
        try:
            async with timeout:
                yield
        finally:
            del self.ends_at_by_timeout_[timeout]

    def adjust_timers(self, now: datetime) -> timedelta:
        """Set the timers anew after a suspension; return how long it was."""
        loop_s = asyncio.get_running_loop().time()
        clock_offset_s = now.timestamp() - loop_s
        if self.clock_offset_s_ is None:
            self.clock_offset_s_ = clock_offset_s
        suspended = timedelta(seconds=clock_offset_s - self.clock_offset_s_)
        # A pause between the two readings only makes the difference smaller.
        self.clock_offset_s_ = max(self.clock_offset_s_, clock_offset_s)
        if suspended < MIN_SUSPENSION:
            return timedelta()
        for timeout, ends_at in self.ends_at_by_timeout_.items():
            if not timeout.expired():
                timeout.reschedule(loop_s + (ends_at - now).total_seconds())
        return suspended
