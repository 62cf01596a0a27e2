"""Detection of requests that are sent again before a first copy completed."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..limits import Call


@dataclass(slots=True)
class _SeenRequest:
    request_id: str
    expires_at: datetime
    completed: bool = False


class RepeatTracker:
    """Remember fingerprints of recent calls.

    A repeated request may be crashing its upstreams, so it must not spread to more.
    """

    __slots__ = ("capacity", "seen_by_fingerprint_", "window")

    def __init__(self, capacity: int, window: timedelta) -> None:
        self.capacity = capacity
        self.window = window
        self.seen_by_fingerprint_: OrderedDict[str, _SeenRequest] = OrderedDict()

    def repeated(self, call: Call, now: datetime) -> bool:
        """Record a call and check whether it repeats one that has not completed."""
        if not call.fingerprint:
            return False
        seen = self.seen_by_fingerprint_.get(call.fingerprint)
        if seen is None or seen.expires_at <= now:
            seen = _SeenRequest(call.request_id, now)
            self.seen_by_fingerprint_[call.fingerprint] = seen
        seen.expires_at = now + self.window
        self.seen_by_fingerprint_.move_to_end(call.fingerprint)
        if len(self.seen_by_fingerprint_) > self.capacity:
            self.seen_by_fingerprint_.popitem(last=False)
        return not seen.completed and seen.request_id != call.request_id

    def completed(self, call: Call) -> None:
        """Record a completed call, which shows that the request crashes no upstream."""
        seen = self.seen_by_fingerprint_.get(call.fingerprint)
        if seen is not None:
            seen.completed = True
