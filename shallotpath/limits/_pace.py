"""Speed of an engine and the signs that it turned cold."""

from __future__ import annotations

from datetime import datetime

RECENT_WEIGHT = 0.2
GAP_WEIGHT = 0.1
# Follows a lasting change, such as a slower version, within about 700 calls; a
# faster rise takes the pace of a loaded engine for that of an idle one.
BASELINE_RISE = 1.001
# One slow call of a plain service proves nothing; several in a row do.
JUMPS_IN_A_ROW = 3
# Shorter silences also come from the event loop of the agent.
MIN_SILENCE_S = 0.010
# A token shows that the engine is warm only for an instant. In 8 runs of the burst
# model below saturation, proof of any age lost 3 engines that had just turned cold,
# proof of up to 0.3 of a gap lost 1, and proof of up to 0.5 ms none.
FRESH_S = 0.0005


class Pace:
    """Track seconds per unit (a token, or a call of a plain service) and token gaps."""

    __slots__ = ("baseline_", "fresh_at_", "gap_", "jump", "jumps_", "recent_")

    def __init__(self, jump: float) -> None:
        self.jump = jump
        self.recent_: float | None = None
        self.baseline_: float | None = None
        self.gap_: float | None = None
        self.fresh_at_: datetime | None = None
        self.jumps_ = 0

    def completed(self, pace: float) -> bool:
        """Record a completed call's pace and return whether it jumped as if cold."""
        if self.baseline_ is None:
            self.baseline_ = pace
        if self.recent_ is None:
            self.recent_ = pace
        slow = pace > self.recent_ * self.jump
        self.jumps_ = self.jumps_ + 1 if slow else 0
        if not slow:
            self.recent_ += RECENT_WEIGHT * (pace - self.recent_)
        self.baseline_ = min(pace, self.baseline_ * BASELINE_RISE)
        return self.jumps_ >= JUMPS_IN_A_ROW

    def warm(self, pace: float) -> bool:
        """Check whether a pace is near that of the warm engine."""
        return self.baseline_ is None or pace <= self.baseline_ * self.jump

    def began(self, now: datetime) -> None:
        """Record the first token after a time without any stream."""
        self.fresh_at_ = now

    def progressed(self, gap: float, now: datetime) -> None:
        """Record the seconds between two tokens of a stream."""
        if self.gap_ is None:
            self.gap_ = gap
        if gap <= self.gap_ * self.jump:
            self.gap_ += GAP_WEIGHT * (gap - self.gap_)
            self.fresh_at_ = now

    def silent(self, now: datetime) -> bool:
        """Check whether no stream progressed at its usual pace for too long."""
        if self.gap_ is None or self.fresh_at_ is None:
            return False
        silence = (now - self.fresh_at_).total_seconds()
        return silence > max(self.gap_ * self.jump, MIN_SILENCE_S)

    def proven(self, now: datetime) -> bool:
        """Check whether a token came just now at the usual pace."""
        if self.gap_ is None or self.fresh_at_ is None:
            return True
        return (now - self.fresh_at_).total_seconds() <= FRESH_S

    def forget(self) -> None:
        """Reset the recent pace; the warm baseline stays."""
        self.recent_ = None
        self.gap_ = None
        self.fresh_at_ = None
        self.jumps_ = 0
