"""What upstream processes say of themselves in their responses."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta

from ._upstream_record import UpstreamRecord

# A process that was unregistered for this time has ended. One that is alive registers
# again within seconds of the store's recovery.
FORGOTTEN_AFTER = timedelta(minutes=10)
# Longest time for which an upstream is left alone at its request. A longer one may be
# corrupt, and only a new process of the upstream would end it.
MAX_CLOSED_TIME = timedelta(minutes=10)
# Time in which the requests to an upstream that was left alone grow to its slots.
MIN_RETURN_TIME = timedelta(seconds=1)
MAX_RETURN_TIME = timedelta(seconds=5)


@dataclass(slots=True)
class _Notice:
    """Hold what the process with a start time has said."""

    started_ms: int
    leaving: bool = False
    # When it wants requests again, and when as many as it has slots.
    closed_until: datetime | None = None
    returned_at: datetime | None = None
    unregistered_since: datetime | None = None


class UpstreamNotices:
    """Remember which upstream processes leave or want no requests for a time.

    An id may be registered again, by the same process after a lapsed lease or by its
    successor. Only the successor, which has another start time, begins anew.
    """

    __slots__ = ("notices_by_id_", "on_notice")

    def __init__(self) -> None:
        self.notices_by_id_: dict[str, _Notice] = {}
        # Called when a process says something new, with the end of the time for which
        # it wants no requests, `None` if it leaves.
        self.on_notice: Callable[[UpstreamRecord, datetime | None], None] | None = None

    def record_leaving(self, record: UpstreamRecord) -> None:
        """Record that a process leaves and wants no new requests."""
        notice = self._notice(record)
        if notice is None or notice.leaving:
            return
        notice.leaving = True
        if self.on_notice is not None:
            self.on_notice(record, None)

    def record_closed(
        self, record: UpstreamRecord, delay: timedelta, now: datetime
    ) -> None:
        """Record that a process wants no requests for some time."""
        notice = self._notice(record)
        if notice is None or delay <= timedelta():
            return
        delay = min(delay, MAX_CLOSED_TIME)
        closed_until = now + delay
        if notice.closed_until is not None and notice.closed_until >= closed_until:
            return
        was_open = notice.closed_until is None or notice.closed_until <= now
        notice.closed_until = closed_until
        return_time = min(max(delay, MIN_RETURN_TIME), MAX_RETURN_TIME)
        notice.returned_at = closed_until + return_time
        if was_open and self.on_notice is not None:
            self.on_notice(record, closed_until)

    def is_closed(self, record: UpstreamRecord, now: datetime) -> bool:
        """Check whether the process of a record wants no requests now."""
        notice = self._known(record)
        if notice is None:
            return False
        closed_until = notice.closed_until
        return notice.leaving or (closed_until is not None and now < closed_until)

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Check whether the process of a record said that it leaves."""
        notice = self._known(record)
        return notice is not None and notice.leaving

    def opens_at(self, record: UpstreamRecord) -> datetime | None:
        """Return when a process wants requests again, `None` if it never does."""
        notice = self._known(record)
        return None if notice is None or notice.leaving else notice.closed_until

    def max_requests(self, record: UpstreamRecord, now: datetime) -> int | None:
        """Return how many requests a process may have, `None` if it has returned."""
        notice = self._known(record)
        if notice is None or notice.returned_at is None or now >= notice.returned_at:
            return None
        elapsed = max(timedelta(), now - notice.closed_until)
        share = elapsed / (notice.returned_at - notice.closed_until)
        return 1 + int(share * record.slots)

    def prune(self, registered_ids: Collection[str], now: datetime) -> None:
        """Forget processes that have been unregistered for long."""
        for upstream_id, notice in list(self.notices_by_id_.items()):
            if upstream_id in registered_ids:
                notice.unregistered_since = None
            elif notice.unregistered_since is None:
                notice.unregistered_since = now
            elif now - notice.unregistered_since > FORGOTTEN_AFTER:
                del self.notices_by_id_[upstream_id]

    def _known(self, record: UpstreamRecord) -> _Notice | None:
        notice = self.notices_by_id_.get(record.id)
        if notice is None or notice.started_ms != record.started_ms:
            return None
        return notice

    def _notice(self, record: UpstreamRecord) -> _Notice | None:
        """Return the notice to change, `None` if a later process has one."""
        notice = self.notices_by_id_.get(record.id)
        if notice is None or notice.started_ms < record.started_ms:
            notice = self.notices_by_id_[record.id] = _Notice(record.started_ms)
        return notice if notice.started_ms == record.started_ms else None
