"""Batches of tokens that leave an agent together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._inbound import InboundCall

# Tokens after the first wait this long for tokens of other streams, so that the
# entry is woken once for several frames.
NORMAL_DELAY_S = 0.005
# Tokens of a fast stream wait until two of them share a frame. Together with the
# interval the delay stays below the 68 ms that are allowed between tokens.
FAST_DELAY_S = 0.022
FAST_INTERVAL_S = 0.025
# Weight of the last interval in a stream's mean interval.
INTERVAL_WEIGHT = 0.2


class TokenBatch:
    """Flush calls together, at most a fixed delay after the first of them."""

    __slots__ = ("calls_by_id_", "delay_s", "flush")

    def __init__(self, flush: Callable[[InboundCall], None], delay_s: float) -> None:
        self.flush = flush
        self.delay_s = delay_s
        self.calls_by_id_: dict[str, InboundCall] = {}

    def add(self, call: InboundCall) -> None:
        """Flush a call with the batch."""
        if not self.calls_by_id_:
            asyncio.get_running_loop().call_later(self.delay_s, self._flush_all)
        self.calls_by_id_[call.run_id] = call

    def _flush_all(self) -> None:
        calls = list(self.calls_by_id_.values())
        self.calls_by_id_.clear()
        for call in calls:
            # The end of a call has flushed or dropped what it held.
            if call.active:
                self.flush(call)


class TokenBatches:
    """Choose a batch for each stream by the pace of its tokens."""

    __slots__ = ("fast", "normal")

    def __init__(self, flush: Callable[[InboundCall], None]) -> None:
        self.normal = TokenBatch(flush, NORMAL_DELAY_S)
        self.fast = TokenBatch(flush, FAST_DELAY_S)

    def add(self, call: InboundCall) -> None:
        """Flush a call whose tokens have just arrived soon."""
        now = asyncio.get_running_loop().time()
        if call.token_at:
            deviation = now - call.token_at - call.token_interval
            call.token_interval += INTERVAL_WEIGHT * deviation
        call.token_at = now
        fast = call.token_interval < FAST_INTERVAL_S
        (self.fast if fast else self.normal).add(call)
