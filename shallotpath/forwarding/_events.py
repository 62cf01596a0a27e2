"""Split a stream of server-sent events into complete events."""

from __future__ import annotations

_EVENT_END = b"\n\n"
# An event holds a few tokens. Engines behind this project's own protocol have the same
# limit.
MAX_EVENT_BYTES = 256 * 1024


def count_events(complete: bytes) -> int:
    """Return the number of events in a whole number of them."""
    return complete.count(_EVENT_END)


class EndlessEventError(Exception):
    """Report an event that is longer than `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Return only complete events and remember the id of the last one.

    An upstream may fail in the middle of an event. The incomplete event is dropped,
    so a resumed stream continues after the last event that the caller received.
    """

    __slots__ = ("last_id_", "pending_")

    def __init__(self) -> None:
        self.pending_ = bytearray()
        self.last_id_ = ""

    @property
    def last_id(self) -> str:
        """Return the id of the last complete event."""
        return self.last_id_

    @property
    def pending_bytes(self) -> int:
        """Return the bytes of the incomplete event."""
        return len(self.pending_)

    def feed(self, chunk: bytes) -> bytes:
        """Buffer bytes and return the events that are complete."""
        pending = self.pending_
        # The end of an event may be split between two chunks.
        searched = max(0, len(pending) - len(_EVENT_END) + 1)
        pending += chunk
        end = pending.rfind(_EVENT_END, searched)
        if end < 0:
            if len(pending) > MAX_EVENT_BYTES:
                raise EndlessEventError(f"event over {MAX_EVENT_BYTES} bytes")
            return b""
        end += len(_EVENT_END)
        complete = bytes(pending[:end])
        del pending[:end]
        self._remember_last_id(complete)
        return complete

    def take_pending(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        rest = bytes(self.pending_)
        self.pending_.clear()
        return rest

    def discard_pending(self) -> None:
        """Drop the incomplete event of an upstream that failed."""
        self.pending_.clear()

    def _remember_last_id(self, complete: bytes) -> None:
        start = complete.rfind(b"id:")
        while start > 0 and complete[start - 1 : start] != b"\n":
            start = complete.rfind(b"id:", 0, start)
        if start >= 0:
            end = complete.find(b"\n", start)
            value = complete[start + 3 : end]
            self.last_id_ = value.strip().decode("latin-1")
