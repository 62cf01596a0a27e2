"""Concurrency limit of an upstream that accounts for cold starts."""

from __future__ import annotations

from datetime import datetime, timedelta

from ..core import EngineObserved
from ._limit_rules import LimitRule
from ._pace import PaceTracker
from ._settings import GateSettings

# After this many times the warm-up runs even a slow engine counts as warm. Its pace is
# taken as the new baseline, or it would stay at the cold limit for ever.
MAX_WARM_UP_FACTOR = 4
# Expected slowdown of a cold engine, used until its first calls have completed.
COLD_SLOWDOWN = 3.0
PACE_SMOOTHING = 0.1
REPORT_PERIOD = timedelta(seconds=1)


class AdaptiveLimit:
    """Apply a small fixed limit to a cold engine and that of a rule to a warm one."""

    __slots__ = (
        "incarnation_",
        "pace_tracker",
        "pace_",
        "reported_cold_",
        "rule",
        "run_s_",
        "completed_runs_",
        "settings",
        "slowest_pace_",
        "reports_trusted_from_",
        "warm_",
    )

    def __init__(self, settings: GateSettings, rule: LimitRule) -> None:
        self.settings = settings
        self.rule = rule
        self.pace_tracker = PaceTracker(settings.cold_pace_ratio)
        self.pace_: float | None = None
        self.run_s_: float | None = None
        self.incarnation_ = ""
        self.reported_cold_ = False
        self.completed_runs_ = 0
        self.slowest_pace_ = 0.0
        self.reports_trusted_from_: datetime | None = None
        self.warm_ = False

    @property
    def limit(self) -> int:
        """Return the current limit."""
        if not self.warm_:
            return self.settings.cold_limit
        return min(self.rule.limit, self.settings.max_limit)

    def reset(self) -> None:
        """Treat the engine as cold."""
        if self.warm_ and self.pace_tracker.baseline_ is not None:
            self.pace_ = self.pace_tracker.baseline_ * COLD_SLOWDOWN
            self.run_s_ = (self.run_s_ or 0.0) * COLD_SLOWDOWN
        self.warm_ = False
        self.completed_runs_ = 0
        self.slowest_pace_ = 0.0
        self.rule.reset(self.settings.cold_limit)
        self.pace_tracker.forget()

    def observe(self, event: EngineObserved, now: datetime) -> bool:
        """Apply a report of the engine; return whether the limit was reset."""
        changed = event.incarnation != self.incarnation_
        # A delayed report may still describe the warm-up that has just ended.
        late = (
            self.reports_trusted_from_ is not None and now < self.reports_trusted_from_
        )
        turned_cold = event.cold and self.warm_ and not late
        self.incarnation_ = event.incarnation
        self.reported_cold_ = event.cold
        if changed or turned_cold:
            self.reset()
            return True
        return False

    def check_progress(self, streaming: int, now: datetime) -> bool:
        """Reset the limit if all streams stall; return whether it was reset."""
        if not self.warm_ or not streaming or not self.pace_tracker.silent(now):
            return False
        self.reset()
        return True

    def completed(
        self, elapsed: float, units: float, in_flight: int, now: datetime
    ) -> bool:
        """Record a completed call; return whether the limit was reset."""
        pace = elapsed / units
        self.pace_ = _smooth(self.pace_, pace)
        self.run_s_ = _smooth(self.run_s_, elapsed)
        if not self.warm_:
            self._warm_up(pace, now)
            return False
        if self.pace_tracker.completed(pace):
            self.reset()
            return True
        self.rule.completed(pace, self.pace_tracker.baseline_ or pace, in_flight)
        return False

    def _warm_up(self, pace: float, now: datetime) -> None:
        self.completed_runs_ += 1
        self.slowest_pace_ = max(self.slowest_pace_, pace)
        if self.completed_runs_ < self.settings.warm_up_runs:
            return
        if self.completed_runs_ >= MAX_WARM_UP_FACTOR * self.settings.warm_up_runs:
            self.pace_tracker.baseline_ = None
        elif not self._seems_warm(pace):
            return
        self.warm_ = True
        self.reports_trusted_from_ = now + self.settings.report_lag + REPORT_PERIOD
        self.pace_tracker.forget()
        self.rule.reset(self.settings.cold_limit)

    def _seems_warm(self, pace: float) -> bool:
        """Check whether the engine is warm, by its pace first, since reports lag."""
        cold_ratio = self.settings.cold_pace_ratio
        if pace * cold_ratio <= self.slowest_pace_:
            return True
        if self.pace_tracker.baseline_ is not None:
            return pace <= self.pace_tracker.baseline_ * cold_ratio
        return not self.reported_cold_


def _smooth(known: float | None, value: float) -> float:
    return value if known is None else known + PACE_SMOOTHING * (value - known)
