"""Pacing of uploads on a link that is shared with live responses."""

from __future__ import annotations

from datetime import datetime, timedelta

# Uploads leave the rest of the link to the responses of the engine.
UPLOAD_LINK_FRACTION = 0.97
# Uploads that would wait longer are refused, so that the receiver asks another source.
MAX_UPLOAD_WAIT = timedelta(milliseconds=200)


class UploadPacer:
    """Schedule uploads one after the other so that they never share the link."""

    __slots__ = ("bytes_per_s", "free_at_")

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at_: datetime | None = None

    def reserve(self, size: int, now: datetime) -> timedelta | None:
        """Return how long to wait before an upload, or `None` to refuse it."""
        starts_at = max(now, self.free_at_ or now)
        if starts_at - now > MAX_UPLOAD_WAIT:
            return None
        duration = timedelta(seconds=size / (UPLOAD_LINK_FRACTION * self.bytes_per_s))
        self.free_at_ = starts_at + duration
        return starts_at - now
