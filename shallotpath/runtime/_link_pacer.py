"""Rate limit for chunks on the VM's link."""

from __future__ import annotations

import asyncio


class LinkPacer:
    """Limit chunks to a rate in bytes per second; a rate of 0 means no limit."""

    __slots__ = ("free_at_", "rate")

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at_ = 0.0

    async def __call__(self, peer: str, size: int) -> None:
        """Wait until the link has room for a chunk."""
        if self.rate <= 0:
            return
        now = asyncio.get_running_loop().time()
        start = max(self.free_at_, now)
        self.free_at_ = start + size / self.rate
        await asyncio.sleep(start - now)
