"""Spans of time in which something was disturbed."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import datetime, timedelta

from shallotpath.core import Clock


class Spans:
    """Hold pairs of begin and end; the end of one that still lasts is `None`."""

    __slots__ = ("spans_",)

    def __init__(self) -> None:
        self.spans_: list[list[datetime | None]] = []

    @contextmanager
    def lasting(self, clock: Clock) -> Iterator[None]:
        """Add a span that lasts as long as the context."""
        span = [clock.now(), None]
        self.spans_.append(span)
        yield
        span[1] = clock.now()

    def add(self, start: datetime, end: datetime | None = None) -> None:
        """Add a span."""
        self.spans_.append([start, end])

    def touch(self, start: datetime, end: datetime) -> bool:
        """Check whether a span has a part between two times."""
        return any(
            begin <= end and (finish is None or finish >= start)
            for begin, finish in self.spans_
        )

    def begin_of(self, at: datetime) -> datetime | None:
        """Return when the span that a time is in began."""
        for begin, end in self.spans_:
            if begin <= at and (end is None or at < end):
                return begin
        return None

    def longest_calm(
        self, start: datetime, end: datetime, settling: timedelta
    ) -> timedelta:
        """Return the longest stretch without a span, each settled before it counts."""
        calm_from, longest = start, timedelta()
        for begin, finish in sorted(self.spans_, key=lambda span: span[0]):
            if begin >= end:
                break
            longest = max(longest, begin - calm_from)
            calm_from = max(calm_from, finish + settling if finish else end)
        return max(longest, end - calm_from)
