"""Load of upstreams as estimated by one entry."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..core import Load

# Reports arrive only with responses to this entry's own calls. Without an expiry, an
# upstream that closed briefly would get no calls, hence no new report, and stay unused.
REPORT_TTL = timedelta(seconds=2)


@dataclass(slots=True)
class _LoadRecord:
    limit: int
    reported_at: datetime | None = None
    reported_in_flight: int = 0
    own_in_flight: int = 0
    own_in_flight_at_report: int = 0


class Loads:
    """Combine the last report of each upstream with this entry's own calls."""

    __slots__ = ("capacity", "now_", "records_by_id_", "unknown_limit")

    def __init__(self, capacity: int, unknown_limit: int) -> None:
        self.capacity = capacity
        self.unknown_limit = unknown_limit
        self.records_by_id_: OrderedDict[str, _LoadRecord] = OrderedDict()
        self.now_: datetime | None = None

    def advance(self, now: datetime) -> None:
        """Set the current time, which determines whether reports have expired."""
        self.now_ = now

    def observe(self, member_id: str, load: Load, now: datetime) -> list[str]:
        """Record a report and return the upstreams that were evicted."""
        self.now_ = now
        record, evicted = self._mark_used(member_id)
        record.reported_at = now
        record.limit = load.limit
        record.reported_in_flight = load.in_flight
        record.own_in_flight_at_report = record.own_in_flight
        return evicted

    def started(self, member_id: str) -> list[str]:
        """Count a call of this entry and return the upstreams that were evicted."""
        record, evicted = self._mark_used(member_id)
        record.own_in_flight += 1
        return evicted

    def ended(self, member_id: str) -> None:
        """Count the end of a call of this entry."""
        record = self.records_by_id_.get(member_id)
        if record is not None:
            record.own_in_flight = max(0, record.own_in_flight - 1)

    def forget(self, member_id: str) -> None:
        """Drop a report; this entry's calls are still counted until they end."""
        record = self.records_by_id_.get(member_id)
        if record is not None:
            record.limit = self.unknown_limit
            record.reported_in_flight = record.own_in_flight_at_report = 0

    def reported_utilisation(self, member_id: str) -> float:
        """Return the reported calls in flight divided by the limit."""
        record = self._without_expired_report(member_id)
        return (
            0.0
            if record is None
            else record.reported_in_flight / max(0.5, record.limit)
        )

    def utilisation(self, member_id: str) -> float:
        """Return the estimated calls in flight, plus one, divided by the limit."""
        record = self._without_expired_report(member_id)
        if record is None:
            return 1 / self.unknown_limit
        in_flight = (
            record.reported_in_flight
            + record.own_in_flight
            - record.own_in_flight_at_report
        )
        # An upstream with limit 0 is closed; the small divisor sorts it last.
        return (max(in_flight, record.own_in_flight) + 1) / max(0.01, record.limit)

    def _without_expired_report(self, member_id: str) -> _LoadRecord | None:
        """Return the record of an upstream after dropping an expired report."""
        record = self.records_by_id_.get(member_id)
        if record is None or record.reported_at is None:
            return record
        if self.now_ - record.reported_at >= REPORT_TTL:
            record.reported_at = None
            self.forget(member_id)
        return record

    def _mark_used(self, member_id: str) -> tuple[_LoadRecord, list[str]]:
        record = self.records_by_id_.get(member_id)
        if record is None:
            record = self.records_by_id_[member_id] = _LoadRecord(self.unknown_limit)
        self.records_by_id_.move_to_end(member_id)
        evicted = []
        if len(self.records_by_id_) > self.capacity:
            oldest = next(iter(self.records_by_id_))
            if self.records_by_id_[oldest].own_in_flight:
                self.records_by_id_.move_to_end(oldest)
            else:
                del self.records_by_id_[oldest]
                evicted.append(oldest)
        return record, evicted
