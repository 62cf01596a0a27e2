"""Limit of the chunks that a member requests at once, adapted to its link."""

from __future__ import annotations

from datetime import timedelta

INITIAL_REQUESTS = 3.0
# Requests of callers share the link and wait behind the chunks that were requested.
MAX_CHUNK_TIME = timedelta(seconds=1)


class RequestWindow:
    """Adapt the number of requests in flight to the time that chunks take.

    A link that has become narrow would otherwise delay requests of callers by seconds.
    """

    __slots__ = ("maximum", "size_")

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.size_ = INITIAL_REQUESTS

    @property
    def size(self) -> int:
        """Return the number of requests that may be in flight."""
        return min(self.maximum, int(self.size_))

    def record_received(self, elapsed: timedelta) -> None:
        """Record the time from the request of a chunk to its arrival."""
        if elapsed > MAX_CHUNK_TIME:
            self.size_ = max(1.0, self.size_ / 2)
        else:
            self.size_ = min(self.maximum, self.size_ + 1)
