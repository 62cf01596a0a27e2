"""Memory budget of a process for bytes held for slow readers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

# Share of the budget reserved for frames that arrive between two checks.
RESERVED_SHARE = 1 / 16


@dataclass(slots=True)
class HeldStream:
    """Record the bytes that one stream holds and when its reader last read some."""

    held_bytes: int
    progress_at: datetime


class SlowReaderBudget:
    """Choose the streams to cancel when the held bytes exceed the budget."""

    __slots__ = ("budget_bytes", "held_bytes_", "streams_by_id_")

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes = budget_bytes
        self.streams_by_id_: dict[str, HeldStream] = {}
        self.held_bytes_ = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for all readers."""
        return self.held_bytes_

    @property
    def excess(self) -> int:
        """Return the bytes held above the unreserved budget; negative if below it."""
        reserved = int(self.budget_bytes * RESERVED_SHARE)
        return self.held_bytes_ - (self.budget_bytes - reserved)

    def update(
        self, stream_id: str, held_bytes: int, now: datetime, *, progress: bool = False
    ) -> None:
        """Record the bytes that a stream holds and whether its reader made progress."""
        stream = self.streams_by_id_.get(stream_id)
        if stream is None:
            stream = self.streams_by_id_[stream_id] = HeldStream(0, now)
        if progress or stream.held_bytes == 0:
            stream.progress_at = now
        self.held_bytes_ += held_bytes - stream.held_bytes
        stream.held_bytes = held_bytes

    def grow(self, stream_id: str, added_bytes: int, now: datetime) -> None:
        """Add bytes that arrived for a stream, without progress of its reader."""
        stream = self.streams_by_id_.get(stream_id)
        if stream is None:
            stream = self.streams_by_id_[stream_id] = HeldStream(0, now)
        if stream.held_bytes == 0:
            stream.progress_at = now
        self.held_bytes_ += added_bytes
        stream.held_bytes += added_bytes

    def remove(self, stream_id: str) -> None:
        """Forget a stream."""
        stream = self.streams_by_id_.pop(stream_id, None)
        if stream is not None:
            self.held_bytes_ -= stream.held_bytes

    def streams_to_cancel(self, now: datetime) -> list[str]:
        """Return the streams to cancel so that the rest fits the unreserved budget.

        Streams with the largest product of held bytes and stalled time come first.
        """
        excess = self.excess
        if excess <= 0:
            return []
        chosen_ids = []
        for stream_id in sorted(self.streams_by_id_, key=self._sort_key_at(now)):
            if excess <= 0:
                break
            chosen_ids.append(stream_id)
            excess -= self.streams_by_id_[stream_id].held_bytes
        return chosen_ids

    def stalled(self, since: datetime) -> list[str]:
        """Return the streams that hold bytes and made no progress after `since`."""
        return [
            stream_id
            for stream_id, stream in self.streams_by_id_.items()
            if stream.held_bytes and stream.progress_at <= since
        ]

    def _sort_key_at(self, now: datetime):
        def sort_key(stream_id: str) -> tuple[float, int]:
            stream = self.streams_by_id_[stream_id]
            stalled_s = (now - stream.progress_at).total_seconds()
            return -stream.held_bytes * stalled_s, -stream.held_bytes

        return sort_key
