"""Reservations of engine memory for the admitted calls."""

from __future__ import annotations

from collections import deque
from datetime import datetime, timedelta

# Factor per report; unaccounted bytes that are no longer reported halve in about 14.
CORRECTION_DECAY = 0.95


class MemoryLedger:
    """Reserve the estimated bytes of each call and correct the sum by reports."""

    __slots__ = (
        "capacity_",
        "reserved_history_",
        "lag",
        "reserved_",
        "reserved_by_id_",
        "share",
        "unaccounted_",
    )

    def __init__(self, capacity: int, share: float, lag: timedelta) -> None:
        self.share = share
        self.lag = lag
        self.capacity_ = capacity
        self.reserved_by_id_: dict[str, int] = {}
        self.reserved_ = 0
        self.unaccounted_ = 0.0
        self.reserved_history_: deque[tuple[datetime, int]] = deque(maxlen=512)

    @property
    def usable(self) -> int:
        """Return the bytes that calls may hold, or 0 if the capacity is unknown."""
        return int(self.capacity_ * self.share)

    @property
    def held(self) -> int:
        """Return the reserved bytes plus those that only the engine reports."""
        return self.reserved_ + int(self.unaccounted_)

    def fits(self, size: int) -> bool:
        """Check whether a call of an estimated size fits in addition to the others."""
        return not self.capacity_ or self.held + size <= self.usable

    def reserve(self, request_id: str, size: int, now: datetime) -> None:
        """Reserve bytes for a call."""
        self.reserved_by_id_[request_id] = size
        self.reserved_ += size
        self.reserved_history_.append((now, self.reserved_))

    def grow(self, request_id: str, size: int) -> None:
        """Raise the reservation of a call that holds more than estimated."""
        reserved = self.reserved_by_id_.get(request_id)
        if reserved is not None and size > reserved:
            self.reserved_by_id_[request_id] = size
            self.reserved_ += size - reserved

    def free(self, request_id: str, now: datetime) -> None:
        """Release the reservation of a call."""
        self.reserved_ -= self.reserved_by_id_.pop(request_id, 0)
        self.reserved_history_.append((now, self.reserved_))

    def observe(self, held: int, capacity: int, now: datetime) -> None:
        """Apply a report of the engine, which may be late by up to the lag.

        The report describes some moment within the lag, so only bytes above the
        largest reservation of that time count as unaccounted.
        """
        self.capacity_ = capacity or self.capacity_
        while (
            len(self.reserved_history_) > 1
            and self.reserved_history_[1][0] <= now - self.lag
        ):
            self.reserved_history_.popleft()
        peak = max((size for _, size in self.reserved_history_), default=0)
        excess = max(0, held - max(peak, self.reserved_))
        self.unaccounted_ = max(float(excess), self.unaccounted_ * CORRECTION_DECAY)

    def clear(self) -> None:
        """Drop all reservations after the engine lost its calls."""
        self.reserved_by_id_.clear()
        self.reserved_ = 0
        self.unaccounted_ = 0.0
        self.reserved_history_.clear()
