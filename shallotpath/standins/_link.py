"""Network link with a limited rate."""

from __future__ import annotations

import asyncio


class RateLimiter:
    """Delay senders so that together they do not exceed the rate of a link."""

    __slots__ = ("bytes_per_second", "free_at_", "sent_bytes_")

    def __init__(self, bytes_per_second: float = 0) -> None:
        self.bytes_per_second = bytes_per_second
        self.free_at_ = 0.0
        self.sent_bytes_ = 0

    async def send(self, size: int) -> None:
        """Wait until a message of this size has left the link."""
        self.sent_bytes_ += size
        if self.bytes_per_second <= 0:
            return
        now = asyncio.get_running_loop().time()
        self.free_at_ = max(self.free_at_, now) + size / self.bytes_per_second
        await asyncio.sleep(self.free_at_ - now)
