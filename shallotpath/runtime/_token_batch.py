"""Batches of tokens that an agent sends together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._inbound import InboundCall

# Tokens after the first wait this long for tokens of other streams, so that one
# wake-up of the entry handles several frames.
NORMAL_DELAY_S = 0.005
# Tokens of a fast stream wait until two of them share a frame. The sum of the delay
# and the interval is below the 68 ms that are allowed between tokens.
FAST_DELAY_S = 0.022
FAST_INTERVAL_S = 0.025
# Weight of the latest interval in the moving average of a stream's intervals.
INTERVAL_WEIGHT = 0.2


class TokenBatch:
    """Flush calls together, a fixed delay after the first of them was added."""

    __slots__ = ("calls_by_id_", "delay_s", "flush")

    def __init__(self, flush: Callable[[InboundCall], None], delay_s: float) -> None:
        self.flush = flush
        self.delay_s = delay_s
        self.calls_by_id_: dict[str, InboundCall] = {}

    def add(self, call: InboundCall) -> None:
        """Add a call to the batch."""
        if not self.calls_by_id_:
            asyncio.get_running_loop().call_later(self.delay_s, self._flush_all)
        self.calls_by_id_[call.run_id] = call

    def _flush_all(self) -> None:
        calls = list(self.calls_by_id_.values())
        self.calls_by_id_.clear()
        for call in calls:
            # A call that ended has already flushed or dropped its tokens.
            if call.active:
                self.flush(call)


class TokenBatches:
    """Choose a batch for each stream by the average interval of its tokens."""

    __slots__ = ("fast", "normal")

    def __init__(self, flush: Callable[[InboundCall], None]) -> None:
        self.normal = TokenBatch(flush, NORMAL_DELAY_S)
        self.fast = TokenBatch(flush, FAST_DELAY_S)

    def add(self, call: InboundCall) -> None:
        """Schedule the flush of a call that has just received tokens."""
        now = asyncio.get_running_loop().time()
        if call.token_at:
            deviation = now - call.token_at - call.token_interval
            call.token_interval += INTERVAL_WEIGHT * deviation
        call.token_at = now
        fast = call.token_interval < FAST_INTERVAL_S
        (self.fast if fast else self.normal).add(call)
