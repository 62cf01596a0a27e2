"""Enforce request deadlines, also across a suspension of the VM."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import datetime, timedelta

# A jump of the clock against the event loop's time by this much counts as a suspension.
MIN_SUSPENSION = timedelta(milliseconds=50)


def expire(timeout: asyncio.Timeout) -> None:
    """Let a timeout expire now."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


class Deadlines:
    """Time out requests and adjust their timers after a suspension.

    The event loop's clock stops while the VM is suspended, so its timers fire late.
    """

    __slots__ = ("clock_offset_s_", "ends_at_by_timeout_")

    def __init__(self) -> None:
        self.ends_at_by_timeout_: dict[asyncio.Timeout, datetime] = {}
        # The clock's time minus the event loop's time.
        self.clock_offset_s_: float | None = None

    @asynccontextmanager
    async def until(
        self, ends_at: datetime, now: datetime
    ) -> AsyncIterator[asyncio.Timeout]:
        """Raise `TimeoutError` if the block has not ended at `ends_at`.

        The yielded timeout may be rescheduled to end the block earlier.
        """
        timeout = asyncio.timeout(max(0.0, (ends_at - now).total_seconds()))
        self.ends_at_by_timeout_[timeout] = ends_at
        try:
            async with timeout:
                yield timeout
        finally:
            del self.ends_at_by_timeout_[timeout]

    def expire(self) -> None:
        """Time out all pending requests now."""
        for timeout in self.ends_at_by_timeout_:
            expire(timeout)

    def adjust_timers(self, now: datetime) -> timedelta:
        """Reschedule the timers after a suspension and return its duration."""
        loop_s = asyncio.get_running_loop().time()
        clock_offset_s = now.timestamp() - loop_s
        if self.clock_offset_s_ is None:
            self.clock_offset_s_ = clock_offset_s
        suspended = timedelta(seconds=clock_offset_s - self.clock_offset_s_)
        # A delay between reading the clock and the loop's time only makes the offset
        # smaller, so the largest one is the most exact.
        self.clock_offset_s_ = max(self.clock_offset_s_, clock_offset_s)
        if suspended < MIN_SUSPENSION:
            return timedelta()
        for timeout, ends_at in self.ends_at_by_timeout_.items():
            if not timeout.expired():
                timeout.reschedule(loop_s + (ends_at - now).total_seconds())
        return suspended
