"""Rules that adapt the number of concurrent calls of an upstream."""

from __future__ import annotations

from math import sqrt
from typing import Protocol


class LimitRule(Protocol):
    """Adapt a concurrency limit between 1 and `ceiling` to completed calls."""

    @property
    def limit(self) -> int:
        """Return the current limit."""
        ...

    def reset(self, limit: int) -> None:
        """Start again from a limit."""
        ...

    def completed(self, pace: float, baseline: float, in_flight: int) -> None:
        """Record a call's seconds per unit and those of a lightly loaded engine."""
        ...


class FixedRule:
    """Set the limit to the ceiling after warm-up; serves for comparison."""

    __slots__ = ("ceiling", "limit_")

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.limit_ = 1

    @property
    def limit(self) -> int:
        """Return the current limit."""
        return self.limit_

    def reset(self, limit: int) -> None:
        """Start again from a limit."""
        self.limit_ = limit

    def completed(self, pace: float, baseline: float, in_flight: int) -> None:
        """Set the limit to the ceiling."""
        self.limit_ = self.ceiling


class AimdRule:
    """Increase the limit additively; decrease it by a factor when calls slow down."""

    __slots__ = ("backoff", "ceiling", "limit_", "slow_start_", "tolerance")

    def __init__(
        self, ceiling: int, *, tolerance: float = 1.8, backoff: float = 0.85
    ) -> None:
        self.ceiling = ceiling
        self.tolerance = tolerance
        self.backoff = backoff
        self.limit_ = 1.0
        self.slow_start_ = True

    @property
    def limit(self) -> int:
        """Return the current limit."""
        return int(self.limit_)

    def reset(self, limit: int) -> None:
        """Start again from a limit."""
        self.limit_ = float(limit)
        self.slow_start_ = True

    def completed(self, pace: float, baseline: float, in_flight: int) -> None:
        """Record the pace of a completed call."""
        if pace > baseline * self.tolerance:
            self.slow_start_ = False
            self.limit_ = max(1.0, self.limit_ * self.backoff)
        elif in_flight + 1 >= self.limit:
            # Raise the limit only while it is reached: otherwise nothing shows that the
            # engine could run more calls.
            step = 1.0 if self.slow_start_ else 1.0 / self.limit_
            self.limit_ = min(float(self.ceiling), self.limit_ + step)


class GradientRule:
    """Scale the limit by the ratio of unloaded to current pace, plus headroom."""

    __slots__ = ("ceiling", "limit_", "smoothing", "tolerance")

    def __init__(
        self, ceiling: int, *, tolerance: float = 1.5, smoothing: float = 0.2
    ) -> None:
        self.ceiling = ceiling
        self.tolerance = tolerance
        self.smoothing = smoothing
        self.limit_ = 1.0

    @property
    def limit(self) -> int:
        """Return the current limit."""
        return int(self.limit_)

    def reset(self, limit: int) -> None:
        """Start again from a limit."""
        self.limit_ = float(limit)

    def completed(self, pace: float, baseline: float, in_flight: int) -> None:
        """Record the pace of a completed call."""
        gradient = min(1.0, max(0.5, self.tolerance * baseline / max(pace, 1e-9)))
        if gradient >= 1.0 and in_flight + 1 < self.limit:
            return
        target = gradient * self.limit_ + sqrt(self.limit_)
        smoothed = self.limit_ + self.smoothing * (target - self.limit_)
        self.limit_ = min(float(self.ceiling), max(1.0, smoothed))
