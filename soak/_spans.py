"""Spans of time in which something was disturbed."""

from __future__ import annotations

from datetime import datetime, timedelta


class Spans:
    """Hold spans; one without an end still lasts."""

    __slots__ = ("spans_",)

    def __init__(self) -> None:
        self.spans_: list[list[datetime | None]] = []

    def begin(self, at: datetime) -> list[datetime | None]:
        """Open a span and return it; its second item takes the end."""
        span = [at, None]
        self.spans_.append(span)
        return span

    def add(self, start: datetime, end: datetime) -> None:
        """Add a span that has ended."""
        self.spans_.append([start, end])

    def touch(self, start: datetime, end: datetime) -> bool:
        """Tell whether a span has a part between two times."""
        return any(
            begin <= end and (finish is None or finish >= start)
            for begin, finish in self.spans_
        )

    def longest_calm(
        self, start: datetime, end: datetime, settling: timedelta
    ) -> timedelta:
        """Return the longest stretch without a span, each settled before it counts."""
        calm_from, longest = start, timedelta()
        for begin, finish in sorted(self.spans_, key=lambda span: span[0]):
            if begin >= end:
                break
            longest = max(longest, begin - calm_from)
            settled = end if finish is None else finish + settling
            calm_from = max(calm_from, settled)
        return max(longest, end - calm_from)
