"""Discrete-event simulation that runs the decision code on a simulated clock."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from heapq import heappop, heappush

from ..core import EPOCH


class Simulation:
    """Run callbacks in the order of their times."""

    __slots__ = ("events_", "seconds_", "sequence_")

    def __init__(self) -> None:
        self.events_: list[tuple[float, int, Callable, tuple]] = []
        self.seconds_ = 0.0
        self.sequence_ = 0

    @property
    def now(self) -> datetime:
        """Return the simulated time."""
        return EPOCH + timedelta(seconds=self.seconds_)

    def call_in(self, delay: float, callback: Callable, *arguments: object) -> None:
        """Run a callback after a delay in seconds."""
        self.sequence_ += 1
        heappush(
            self.events_, (self.seconds_ + delay, self.sequence_, callback, arguments)
        )

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self.events_ and self.events_[0][0] <= until:
            self.seconds_, _, callback, arguments = heappop(self.events_)
            callback(*arguments)
        self.seconds_ = until
