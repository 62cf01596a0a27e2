"""Speed of an engine and the detection that it turned cold."""

from __future__ import annotations

from datetime import datetime

# Enough units that a chance gap does not look like a slower engine.
MIN_EXPECTED_UNITS = 12.0
RECENT_WEIGHT = 0.2
BASELINE_RISE = 1.01


class Pace:
    """Track seconds per unit of work (a token, or a call of a plain service).

    Units counted between two looks show a cold engine before any call ends.
    """

    __slots__ = (
        "baseline_",
        "busy_",
        "interval_",
        "jump",
        "recent_",
        "seen_",
        "units_",
    )

    def __init__(self, jump: float) -> None:
        self.jump = jump
        self.recent_: float | None = None
        self.baseline_: float | None = None
        self.interval_: float | None = None
        self.seen_: datetime | None = None
        self.busy_ = 0.0
        self.units_ = 0.0

    def completed(self, pace: float) -> bool:
        """Take the pace of a completed call; tell whether it jumped as if cold."""
        if self.baseline_ is None:
            self.baseline_ = pace
        if self.recent_ is None:
            self.recent_ = pace
        jumped = pace > self.recent_ * self.jump
        self.recent_ += RECENT_WEIGHT * (pace - self.recent_)
        # The slow rise follows a lasting change, such as a version that runs slower.
        self.baseline_ = min(pace, self.baseline_ * BASELINE_RISE)
        return jumped

    def warm(self, pace: float) -> bool:
        """Tell whether a pace is near that of the warm engine."""
        return self.baseline_ is None or pace <= self.baseline_ * self.jump

    def progressed(self, units: float) -> None:
        """Count units that running calls produced."""
        self.units_ += units

    def advance(self, running: int, now: datetime) -> None:
        """Add the time that calls ran; to be called before their number changes."""
        learning = self.interval_ is None and not self.units_
        if self.seen_ is not None and not learning:
            self.busy_ += running * (now - self.seen_).total_seconds()
        self.seen_ = now

    def stalled(self) -> bool:
        """Tell whether calls progress much more slowly than before."""
        if self.interval_ is None:
            if self.units_ >= MIN_EXPECTED_UNITS:
                self.interval_ = self.busy_ / self.units_
                self._restart()
            return False
        expected = self.busy_ / max(self.interval_, 1e-9)
        if expected < MIN_EXPECTED_UNITS:
            return False
        slow = self.units_ * self.jump < expected
        if self.units_:
            measured = self.busy_ / self.units_
            self.interval_ += RECENT_WEIGHT * (measured - self.interval_)
        self._restart()
        return slow

    def forget(self) -> None:
        """Learn the recent pace anew; the warm baseline stays."""
        self.recent_ = None
        self.interval_ = None
        self._restart()

    def _restart(self) -> None:
        self.busy_ = 0.0
        self.units_ = 0.0
