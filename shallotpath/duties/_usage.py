"""Counts of requests by team and window, at entries and at the holder."""

from __future__ import annotations

from collections import Counter
from datetime import datetime

import msgspec

from ._record import WindowReport
from ._windows import UsageRules


class EntryUsage(msgspec.Struct, frozen=True, array_like=True, tag="runs"):
    """Carry the counts of an entry so far; they only rise within an incarnation."""

    entry: str
    incarnation: int
    counts_by_window: dict[int, dict[str, int]]


class RunCounter:
    """Count the requests that began to run, by window and team."""

    __slots__ = ("counts_by_window_", "rules")

    def __init__(self, rules: UsageRules) -> None:
        self.rules = rules
        self.counts_by_window_: dict[int, Counter[str]] = {}

    def count(self, team: str, at: datetime) -> None:
        """Count a request of a team that began to run at a time."""
        window = self.rules.number(at)
        counts = self.counts_by_window_.get(window)
        if counts is None:
            counts = self.counts_by_window_[window] = Counter()
            self._prune(window)
        counts[team] += 1

    def usage(self, entry: str, incarnation: int, oldest: int = 0) -> EntryUsage:
        """Return the counts from a window on, to send to the holder."""
        counts = {
            window: dict(counts)
            for window, counts in self.counts_by_window_.items()
            if window >= oldest
        }
        return EntryUsage(entry, incarnation, counts)

    def _prune(self, newest: int) -> None:
        oldest = newest - self.rules.kept_windows
        for window in [w for w in self.counts_by_window_ if w < oldest]:
            del self.counts_by_window_[window]


class UsageLedger:
    """Sum the counts of all entries; repeated and late parts count once."""

    __slots__ = ("counts_by_source_", "rules")

    def __init__(self, rules: UsageRules) -> None:
        self.rules = rules
        self.counts_by_source_: dict[tuple[str, int], dict[int, dict[str, int]]] = {}

    def merge(self, usage: EntryUsage, now: datetime) -> None:
        """Take over the counts of an entry unless higher ones are known."""
        oldest = self.rules.number(now) - self.rules.kept_windows
        known = self.counts_by_source_.setdefault((usage.entry, usage.incarnation), {})
        for window, counts in usage.counts_by_window.items():
            if window < oldest:
                continue
            merged = known.setdefault(window, {})
            for team, count in counts.items():
                merged[team] = max(count, merged.get(team, 0))

    def report(self, window: int) -> WindowReport:
        """Return the counts of a window."""
        total: Counter[str] = Counter()
        for counts_by_window in self.counts_by_source_.values():
            total.update(counts_by_window.get(window, {}))
        return WindowReport(window, dict(sorted(total.items())))

    def prune(self, now: datetime) -> None:
        """Drop windows whose report is past due."""
        oldest = self.rules.number(now) - self.rules.kept_windows
        for source, counts_by_window in list(self.counts_by_source_.items()):
            for window in [w for w in counts_by_window if w < oldest]:
                del counts_by_window[window]
            if not counts_by_window:
                del self.counts_by_source_[source]
