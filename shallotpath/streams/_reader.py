"""Receiver of one response: order, gaps, credit and the final check."""

from __future__ import annotations

from collections import deque
from datetime import datetime, timedelta
from functools import singledispatch
from hashlib import sha256

from ..core import Credit, Data, End, Head, Message, Resume

# Silence on a stream after which the reader requests a resume. Only silence reveals
# that the last frame was lost, because no later frame shows a gap.
RESUME_AFTER = timedelta(seconds=1)


class ResponseReader:
    """Accept the frames of one attempt in order and verify the complete response."""

    __slots__ = (
        "attempt",
        "broken_",
        "chunks_",
        "complete_",
        "consumed_bytes_",
        "duplicate_frames_",
        "granted_bytes_",
        "hash_",
        "head_",
        "held_bytes_",
        "next_seq_",
        "received_at_",
        "received_bytes_",
        "request_id",
        "resumed_seq_",
        "window_bytes",
    )

    def __init__(
        self, request_id: str, attempt: int, window_bytes: int, now: datetime
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.window_bytes = window_bytes
        self.received_at_ = now
        self.head_: Head | None = None
        self.next_seq_ = 0
        self.resumed_seq_ = -1
        self.received_bytes_ = 0
        self.consumed_bytes_ = 0
        self.granted_bytes_ = window_bytes
        self.hash_ = sha256()
        self.chunks_: deque[bytes] = deque()
        self.held_bytes_ = 0
        self.complete_ = False
        self.broken_ = False
        self.duplicate_frames_ = 0

    @property
    def head(self) -> Head | None:
        """Return the head of the response, or `None` before it arrives."""
        return self.head_

    @property
    def complete(self) -> bool:
        """Check whether the whole response arrived and matches its end frame."""
        return self.complete_

    @property
    def broken(self) -> bool:
        """Check whether the response contradicts its end frame or its credit."""
        return self.broken_

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the caller has not consumed."""
        return self.held_bytes_

    @property
    def next_seq(self) -> int:
        """Return the sequence number of the next expected frame."""
        return self.next_seq_

    def receive(self, message: Message, now: datetime) -> list[Message]:
        """Receive a frame and return the messages to send back."""
        return _receive(message, self, now)

    def read(self) -> bytes:
        """Return the next part of the response, or `b""` if none is held."""
        return self.chunks_.popleft() if self.chunks_ else b""

    def consume(self, size: int) -> Credit | None:
        """Release bytes that the caller consumed and return a credit if one is due."""
        self.held_bytes_ -= size
        self.consumed_bytes_ += size
        total = self.consumed_bytes_ + self.window_bytes
        # Granting at least half a window at a time limits the number of credits.
        if total - self.granted_bytes_ < self.window_bytes // 2 or self.complete_:
            return None
        self.granted_bytes_ = total
        return Credit(self.request_id, self.attempt, total)

    def poll(self, now: datetime) -> list[Message]:
        """Request a resume if the stream has been silent for too long."""
        if self.complete_ or self.broken_ or now - self.received_at_ < RESUME_AFTER:
            return []
        self.received_at_ = now
        return [self.resume()]

    def resume(self) -> Resume:
        """Return a request to resend everything from the next expected frame."""
        return Resume(
            self.request_id, self.attempt, self.next_seq_, self.granted_bytes_
        )

    def _accepts(self, message: Head | Data | End) -> bool:
        return (
            message.request_id == self.request_id
            and message.attempt == self.attempt
            and not self.complete_
            and not self.broken_
        )

    def _receive_head(self, head: Head, now: datetime) -> list[Message]:
        if self._accepts(head) and self.head_ is None:
            self.received_at_ = now
            self.head_ = head
        return []

    def _receive_data(self, data: Data, now: datetime) -> list[Message]:
        if not self._accepts(data):
            return []
        if data.seq < self.next_seq_:
            self.duplicate_frames_ += 1
            return []
        if data.seq > self.next_seq_ or self.head_ is None:
            return self._request_resume_once()
        if self.received_bytes_ + len(data.payload) > self.granted_bytes_:
            self.broken_ = True
            return []
        self._append(data.payload, now)
        return []

    def _receive_end(self, end: End, now: datetime) -> list[Message]:
        if not self._accepts(end):
            return []
        if end.frames > self.next_seq_:
            return self._request_resume_once()
        self.received_at_ = now
        if self.head_ is None:
            self.head_ = _head_from_end(end)
        self.complete_ = (
            end.frames == self.next_seq_
            and end.length == self.received_bytes_
            and end.checksum == self.hash_.hexdigest()
            and end.digest == self.head_.digest
        )
        self.broken_ = not self.complete_
        return [self._confirming_credit()] if self.complete_ else []

    def _append(self, payload: bytes, now: datetime) -> None:
        self.received_at_ = now
        self.next_seq_ += 1
        self.received_bytes_ += len(payload)
        self.held_bytes_ += len(payload)
        self.hash_.update(payload)
        self.chunks_.append(payload)

    def _confirming_credit(self) -> Credit:
        # A credit beyond the end confirms the response, so the sender can release it.
        total = self.received_bytes_ + self.window_bytes + 1
        return Credit(self.request_id, self.attempt, total)

    def _request_resume_once(self) -> list[Message]:
        # Every frame after a gap reveals the same gap; one request is enough.
        if self.resumed_seq_ == self.next_seq_:
            return []
        self.resumed_seq_ = self.next_seq_
        return [self.resume()]


def _head_from_end(end: End) -> Head:
    return Head(end.request_id, end.attempt, end.status, end.content_type, end.digest)


# A singledispatchmethod builds a new wrapper on each access, which costs more than
# the remaining work per frame.
@singledispatch
def _receive(message: Message, reader: ResponseReader, now: datetime) -> list[Message]:
    raise TypeError(f"{type(message).__name__} is not a frame of a response")


@_receive.register
def _(message: Head, reader: ResponseReader, now: datetime) -> list[Message]:
    return reader._receive_head(message, now)


@_receive.register
def _(message: Data, reader: ResponseReader, now: datetime) -> list[Message]:
    return reader._receive_data(message, now)


@_receive.register
def _(message: End, reader: ResponseReader, now: datetime) -> list[Message]:
    return reader._receive_end(message, now)
