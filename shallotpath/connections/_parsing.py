"""Share processor time among connections whose bytes are costly to parse."""

from __future__ import annotations

from collections import deque
from datetime import datetime, timedelta
from typing import Protocol

# Reads that cost less are not counted; one of plain bytes takes a hundredth of it.
MIN_COST = timedelta(microseconds=100)
# Share of the time that costly reads of all connections may take, and how far they may
# be ahead of it. What was parsed is read by handlers, which takes as long again.
SHARE = 1 / 8
CREDIT = timedelta(milliseconds=20)
# A request that has taken less than this never waits.
MIN_USED = timedelta(milliseconds=5)
# Connections that wait for their turn; more of them would not get anywhere.
MAX_WAITING = 16


class ParsingAccount:
    """Count the parsing time of the current request of a connection."""

    __slots__ = ("used",)

    def __init__(self) -> None:
        self.used = timedelta()

    def reset(self) -> None:
        """Start the count of another request."""
        self.used = timedelta()


class Waiting(Protocol):
    """Describe a connection that waits for its turn."""

    @property
    def parsing(self) -> ParsingAccount:
        """Return the count of its parsing time."""
        ...


class ParsingQueue:
    """Decide which of the connections with costly bytes is read next, and when."""

    __slots__ = ("charged_at_", "debt_", "last_cost_", "waiting_")

    def __init__(self) -> None:
        self.waiting_: deque[Waiting] = deque()
        self.last_cost_ = MIN_COST
        # Time of costly reads beyond their share.
        self.debt_ = timedelta()
        self.charged_at_: datetime | None = None

    def __len__(self) -> int:
        return len(self.waiting_)

    def charge(self, account: ParsingAccount, cost: timedelta, now: datetime) -> bool:
        """Add the cost of a read; return whether the connection has to wait."""
        if self.charged_at_ is not None:
            earned = SHARE * (now - self.charged_at_)
            self.debt_ = max(self.debt_ - earned, timedelta())
        self.charged_at_ = now
        self.debt_ += cost
        account.used += cost
        return self.debt_ > CREDIT and account.used > MIN_USED

    def add(self, connection: Waiting, cost: timedelta) -> Waiting | None:
        """Let a connection wait; return one to refuse if too many do so."""
        self.last_cost_ = cost
        self.waiting_.append(connection)
        if len(self.waiting_) <= MAX_WAITING:
            return None
        return max(self.waiting_, key=lambda waiting: waiting.parsing.used)

    def remove(self, connection: Waiting) -> None:
        """Forget a connection that has closed."""
        if connection in self.waiting_:
            self.waiting_.remove(connection)

    def pause(self) -> timedelta:
        """Return the time until the next connection is read."""
        # A connection that waits alone takes up to half of the time.
        return self.last_cost_ / SHARE if len(self.waiting_) > 1 else self.last_cost_

    def next(self) -> Waiting | None:
        """Return the connection whose turn it is."""
        return self.waiting_.popleft() if self.waiting_ else None
