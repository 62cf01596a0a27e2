"""The number of calls that an upstream may run, with cold start."""

from __future__ import annotations

from datetime import datetime

from ..core import EngineObserved
from ._limit_rules import LimitRule
from ._pace import Pace
from ._settings import GateSettings

# After this many times the warm-up runs a slow engine counts as warm: its pace is
# the new normal, and holding it at the cold limit would never end.
MAX_WARM_UP_FACTOR = 4
# Expected slow-down of a cold engine, used until its first calls completed.
COLD_SLOWDOWN = 3.0
PACE_WEIGHT = 0.3


class AdaptiveLimit:
    """Hold a cold engine at a small limit and a warm one at that of a rule."""

    __slots__ = (
        "incarnation_",
        "pace",
        "pace_",
        "reported_cold_",
        "rule",
        "runs_",
        "settings",
        "warm_",
    )

    def __init__(self, settings: GateSettings, rule: LimitRule) -> None:
        self.settings = settings
        self.rule = rule
        self.pace = Pace(settings.cold_jump)
        self.pace_: float | None = None
        self.incarnation_ = ""
        self.reported_cold_ = False
        self.runs_ = 0
        self.warm_ = False

    @property
    def limit(self) -> int:
        """Return the current limit."""
        if not self.warm_:
            return self.settings.cold_limit
        return min(self.rule.limit, self.settings.max_limit)

    def reset(self) -> None:
        """Start cold."""
        self.warm_ = False
        self.runs_ = 0
        self.rule.reset(self.settings.cold_limit)
        self.pace.forget()
        if self.pace.baseline_ is not None:
            self.pace_ = self.pace.baseline_ * COLD_SLOWDOWN

    def observe(self, event: EngineObserved) -> bool:
        """Take a report and tell whether the limit was reset.

        A late report of the warm-up that just ended resets it once more, which
        costs some throughput but never a crash.
        """
        changed = event.incarnation != self.incarnation_
        turned_cold = event.cold and (self.warm_ or changed)
        self.incarnation_ = event.incarnation
        self.reported_cold_ = event.cold
        if changed or turned_cold:
            self.reset()
            return True
        return False

    def look(self, streaming: int, now: datetime) -> bool:
        """Check the progress of the streams and tell whether the limit was reset."""
        if not self.warm_ or not streaming or not self.pace.silent(now):
            return False
        self.reset()
        return True

    def completed(self, pace: float, in_flight: int) -> bool:
        """Take a completed call and tell whether the limit was reset."""
        known = self.pace_ or pace
        self.pace_ = known + PACE_WEIGHT * (pace - known)
        if not self.warm_:
            self._warm_up(pace)
            return False
        if self.pace.completed(pace):
            self.reset()
            return True
        self.rule.completed(pace, self.pace.baseline_ or pace, in_flight)
        return False

    def _warm_up(self, pace: float) -> None:
        self.runs_ += 1
        if self.runs_ < self.settings.warm_up_runs or self.reported_cold_:
            return
        exhausted = self.runs_ >= MAX_WARM_UP_FACTOR * self.settings.warm_up_runs
        if exhausted:
            self.pace.baseline_ = None
        if exhausted or self.pace.warm(pace):
            self.warm_ = True
            self.pace.forget()
            self.rule.reset(self.settings.cold_limit)
