"""Retry budget of a service, divided among all entries without coordination."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from math import floor

from ._subsets import EntrySubsets

# Share of the budget that is spent; the rest covers entries that are not known yet.
PLANNED_SHARE = 0.8


@dataclass(slots=True, frozen=True)
class BudgetLimit:
    """Limit the retries of a service within a time window.

    A service may get `ratio` retries for each request of a caller, plus `extra`.
    """

    ratio: float
    extra: float
    window: timedelta


@dataclass(slots=True)
class _Usage:
    requests: deque[datetime] = field(default_factory=deque)
    retries: deque[datetime] = field(default_factory=deque)


class RetryBudget:
    """Allow retries within a ratio of this entry's requests and its share of the extra.

    The extra is divided into whole retries, so that none is lost to rounding. What this
    entry spent before a restart is not known, so it gets none of the extra until one
    window after its start.
    """

    __slots__ = ("limit", "started_at", "subsets", "uses_by_service_")

    def __init__(
        self, limit: BudgetLimit, subsets: EntrySubsets, started_at: datetime
    ) -> None:
        self.limit = limit
        self.subsets = subsets
        self.started_at = started_at
        self.uses_by_service_: dict[str, _Usage] = {}

    def record_request(self, service: str, now: datetime) -> None:
        """Count a request from a caller."""
        usage = self._recent_usage(service, now)
        usage.requests.append(now)

    def try_spend(self, service: str, now: datetime) -> bool:
        """Spend one retry if the budget allows it, and return whether it did."""
        usage = self._recent_usage(service, now)
        allowed = PLANNED_SHARE * self.limit.ratio * len(usage.requests)
        if now - self.started_at >= self.limit.window:
            extra = floor(PLANNED_SHARE * self.limit.extra)
            allowed += self.subsets.share(service, extra)
        if len(usage.retries) + 1 > allowed:
            return False
        usage.retries.append(now)
        return True

    def give_back(self, service: str) -> None:
        """Give back the retry that was spent last."""
        self.uses_by_service_[service].retries.pop()

    def _recent_usage(self, service: str, now: datetime) -> _Usage:
        usage = self.uses_by_service_.setdefault(service, _Usage())
        start = now - self.limit.window
        for times in (usage.requests, usage.retries):
            while times and times[0] <= start:
                times.popleft()
        return usage
