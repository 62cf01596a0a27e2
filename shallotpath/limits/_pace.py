"""Pace of an engine and detection of an engine that turned cold."""

from __future__ import annotations

from datetime import datetime

RECENT_PACE_SMOOTHING = 0.2
TOKEN_GAP_SMOOTHING = 0.1
# Follows a lasting change, such as a slower version, within about 700 calls. A faster
# growth would mistake the pace of a loaded engine for that of an idle one.
BASELINE_GROWTH_PER_CALL = 1.001
# A single slow call of a plain service does not show a cold engine.
COLD_CALLS_IN_A_ROW = 3
# Shorter gaps are also caused by delays in the event loop of the agent.
MIN_SILENCE_S = 0.010
# A token shows that the engine is warm only for an instant: starting a call after an
# older token can crash an engine that has just turned cold.
MAX_PROGRESS_AGE_S = 0.0005


class PaceTracker:
    """Track the seconds per unit, a token or a plain call, and the token gaps."""

    __slots__ = (
        "baseline_",
        "progressed_at_",
        "token_gap_s_",
        "cold_ratio",
        "consecutive_cold_",
        "recent_pace_",
    )

    def __init__(self, cold_ratio: float) -> None:
        self.cold_ratio = cold_ratio
        self.recent_pace_: float | None = None
        self.baseline_: float | None = None
        self.token_gap_s_: float | None = None
        self.progressed_at_: datetime | None = None
        self.consecutive_cold_ = 0

    def completed(self, pace: float) -> bool:
        """Record a call's pace; return whether recent calls show a cold engine."""
        if self.baseline_ is None:
            self.baseline_ = pace
        if self.recent_pace_ is None:
            self.recent_pace_ = pace
        is_cold = pace > self.recent_pace_ * self.cold_ratio
        self.consecutive_cold_ = self.consecutive_cold_ + 1 if is_cold else 0
        if not is_cold:
            self.recent_pace_ += RECENT_PACE_SMOOTHING * (pace - self.recent_pace_)
        self.baseline_ = min(pace, self.baseline_ * BASELINE_GROWTH_PER_CALL)
        return self.consecutive_cold_ >= COLD_CALLS_IN_A_ROW

    def warm(self, pace: float) -> bool:
        """Check whether a pace is close to that of the warm engine."""
        return self.baseline_ is None or pace <= self.baseline_ * self.cold_ratio

    def began(self, now: datetime) -> None:
        """Record the first token after a time without streams."""
        self.progressed_at_ = now

    def progressed(self, gap_s: float, now: datetime) -> None:
        """Record the time between two tokens of a stream."""
        if self.token_gap_s_ is None:
            self.token_gap_s_ = gap_s
        if gap_s <= self.token_gap_s_ * self.cold_ratio:
            self.token_gap_s_ += TOKEN_GAP_SMOOTHING * (gap_s - self.token_gap_s_)
            self.progressed_at_ = now

    def silent(self, now: datetime) -> bool:
        """Check whether no stream has progressed at the usual pace for too long."""
        if self.token_gap_s_ is None or self.progressed_at_ is None:
            return False
        silence_s = (now - self.progressed_at_).total_seconds()
        return silence_s > max(self.token_gap_s_ * self.cold_ratio, MIN_SILENCE_S)

    def progressed_recently(self, now: datetime) -> bool:
        """Check whether a token arrived just now at the usual pace."""
        if self.token_gap_s_ is None or self.progressed_at_ is None:
            return True
        return (now - self.progressed_at_).total_seconds() <= MAX_PROGRESS_AGE_S

    def forget(self) -> None:
        """Reset the recent pace and the token gaps but keep the warm baseline."""
        self.recent_pace_ = None
        self.token_gap_s_ = None
        self.progressed_at_ = None
        self.consecutive_cold_ = 0
