"""Load of upstreams as one entry knows it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..core import Load

# Reports come only with answers to own calls. One that nobody renews would keep an
# upstream unused that was closed for a moment.
REPORT_TTL = timedelta(seconds=2)


@dataclass(slots=True)
class _Known:
    limit: int
    reported_at: datetime | None = None
    reported: int = 0
    own: int = 0
    own_at_report: int = 0


class Loads:
    """Combine the last report of each upstream with this entry's own calls."""

    __slots__ = ("capacity", "known_by_id_", "now_", "unknown_limit")

    def __init__(self, capacity: int, unknown_limit: int) -> None:
        self.capacity = capacity
        self.unknown_limit = unknown_limit
        self.known_by_id_: OrderedDict[str, _Known] = OrderedDict()
        self.now_: datetime | None = None

    def advance(self, now: datetime) -> None:
        """Set the time by which reports are judged."""
        self.now_ = now

    def observe(self, member_id: str, load: Load, now: datetime) -> list[str]:
        """Record a report and return the upstreams that were evicted."""
        self.now_ = now
        known, evicted = self._touch(member_id)
        known.reported_at = now
        known.limit = load.limit
        known.reported = load.in_flight
        known.own_at_report = known.own
        return evicted

    def started(self, member_id: str) -> list[str]:
        """Count an own call and return the upstreams that were evicted."""
        known, evicted = self._touch(member_id)
        known.own += 1
        return evicted

    def ended(self, member_id: str) -> None:
        """Count the end of an own call."""
        known = self.known_by_id_.get(member_id)
        if known is not None:
            known.own = max(0, known.own - 1)

    def forget(self, member_id: str) -> None:
        """Drop a report; own calls are still counted until they end."""
        known = self.known_by_id_.get(member_id)
        if known is not None:
            known.limit = self.unknown_limit
            known.reported = known.own_at_report = 0

    def reported(self, member_id: str) -> float:
        """Return the reported calls per admitted call."""
        known = self._fresh(member_id)
        return 0.0 if known is None else known.reported / max(0.5, known.limit)

    def utilisation(self, member_id: str) -> float:
        """Return the estimated calls per admitted call after one more call."""
        known = self._fresh(member_id)
        if known is None:
            return 1 / self.unknown_limit
        in_flight = known.reported + known.own - known.own_at_report
        # An upstream with limit 0 is closed and sorts behind all open ones.
        return (max(in_flight, known.own) + 1) / max(0.01, known.limit)

    def _fresh(self, member_id: str) -> _Known | None:
        """Return what is known of an upstream, without a report that is too old."""
        known = self.known_by_id_.get(member_id)
        if known is None or known.reported_at is None:
            return known
        if self.now_ - known.reported_at >= REPORT_TTL:
            known.reported_at = None
            self.forget(member_id)
        return known

    def _touch(self, member_id: str) -> tuple[_Known, list[str]]:
        known = self.known_by_id_.get(member_id)
        if known is None:
            known = self.known_by_id_[member_id] = _Known(self.unknown_limit)
        self.known_by_id_.move_to_end(member_id)
        evicted = []
        if len(self.known_by_id_) > self.capacity:
            oldest = next(iter(self.known_by_id_))
            if self.known_by_id_[oldest].own:
                self.known_by_id_.move_to_end(oldest)
            else:
                del self.known_by_id_[oldest]
                evicted.append(oldest)
        return known, evicted
