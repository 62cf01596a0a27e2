"""What upstream processes say of themselves in their responses."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta

from ._upstream_record import UpstreamRecord

# A process that was unregistered for this time has ended. One that is alive registers
# again within seconds of the store's recovery.
FORGOTTEN_AFTER = timedelta(minutes=10)


@dataclass(slots=True)
class _Notice:
    """Hold what the process with a start time has said."""

    started_ms: int
    unregistered_since: datetime | None = None


class UpstreamNotices:
    """Remember which upstream processes said that they leave.

    An id may be registered again, by the same process after a lapsed lease or by its
    successor. Only the successor, which has another start time, is used.
    """

    __slots__ = ("notices_by_id_", "on_leaving")

    def __init__(self) -> None:
        self.notices_by_id_: dict[str, _Notice] = {}
        # Called once for each process that says that it leaves.
        self.on_leaving: Callable[[UpstreamRecord], None] | None = None

    def record_leaving(self, record: UpstreamRecord) -> None:
        """Record that a process leaves and wants no new requests."""
        known = self.notices_by_id_.get(record.id)
        if known is not None and known.started_ms >= record.started_ms:
            return
        self.notices_by_id_[record.id] = _Notice(record.started_ms)
        if self.on_leaving is not None:
            self.on_leaving(record)

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Check whether the process of a record said that it leaves."""
        known = self.notices_by_id_.get(record.id)
        return known is not None and known.started_ms == record.started_ms

    def prune(self, registered_ids: Collection[str], now: datetime) -> None:
        """Forget processes that have been unregistered for long."""
        for upstream_id, notice in list(self.notices_by_id_.items()):
            if upstream_id in registered_ids:
                notice.unregistered_since = None
            elif notice.unregistered_since is None:
                notice.unregistered_since = now
            elif now - notice.unregistered_since > FORGOTTEN_AFTER:
                del self.notices_by_id_[upstream_id]
