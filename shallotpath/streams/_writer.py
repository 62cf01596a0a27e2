"""Sender of one answer: sequence numbers, credit and a bounded tail."""

from __future__ import annotations

from collections import deque
from hashlib import sha256

from ..core import Data, End, Head, Load, Message

# One frame carries at most this much, so that a large body does not hold up the
# frames of other requests on the same connection.
MAX_FRAME_PAYLOAD_BYTES = 16 * 1024


class AnswerWriter:
    """Cut an answer into frames and send again what the reader missed.

    A credit of `total_bytes` tells that the reader consumed all but one window
    of them, so the tail never holds more than one window.
    """

    __slots__ = (
        "acknowledged_",
        "attempt",
        "end_",
        "granted_",
        "hash_",
        "head_",
        "head_sent_",
        "length_",
        "next_seq_",
        "pending_",
        "pending_bytes_",
        "request_id",
        "send_seq_",
        "sent_bytes_",
        "settled_",
        "tail_",
        "tail_bytes_",
        "window_bytes",
    )

    def __init__(self, request_id: str, attempt: int, window_bytes: int) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.window_bytes = window_bytes
        self.granted_ = window_bytes
        self.head_: Head | None = None
        self.head_sent_ = False
        self.pending_: deque[bytes] = deque()
        self.pending_bytes_ = 0
        self.tail_: deque[tuple[Data, int]] = deque()
        self.tail_bytes_ = 0
        self.next_seq_ = 0
        self.send_seq_ = 0
        self.sent_bytes_ = 0
        self.acknowledged_ = 0
        self.length_ = 0
        self.hash_ = sha256()
        self.end_: End | None = None
        self.settled_ = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes kept for the reader."""
        return self.pending_bytes_ + self.tail_bytes_

    @property
    def pending_bytes(self) -> int:
        """Return the bytes that have not been cut into frames."""
        return self.pending_bytes_

    @property
    def length(self) -> int:
        """Return the bytes written so far."""
        return self.length_

    @property
    def room(self) -> int:
        """Return how many bytes may be written before the window is used up."""
        return self.granted_ - self.sent_bytes_ - self.pending_bytes_

    @property
    def ended(self) -> bool:
        """Check whether the answer is complete on this side."""
        return self.end_ is not None

    @property
    def settled(self) -> bool:
        """Check whether the reader confirmed the whole answer."""
        return self.settled_

    @property
    def next_seq(self) -> int:
        """Return the sequence number of the next new frame."""
        return self.next_seq_

    def begin(self, status: int, content_type: str, digest: str) -> None:
        """Open the answer."""
        self.head_ = Head(self.request_id, self.attempt, status, content_type, digest)

    def write(self, payload: bytes) -> None:
        """Add a part of the answer."""
        if payload:
            self.pending_.append(payload)
            self.pending_bytes_ += len(payload)
            self.length_ += len(payload)
            self.hash_.update(payload)

    def finish(self, load: Load) -> None:
        """Close the answer; the end is sent after the last frame."""
        head = self.head_
        self.end_ = End(
            self.request_id,
            self.attempt,
            frames=0,
            length=self.length_,
            checksum=self.hash_.hexdigest(),
            digest=head.digest,
            load=load,
            status=head.status,
            content_type=head.content_type,
        )

    def credit(self, total_bytes: int) -> None:
        """Apply a credit; one that arrives late changes nothing."""
        if self.ended and total_bytes > self.length_ + self.window_bytes:
            self.settled_ = True
        # The cap keeps a wrong credit from lifting the bound on held bytes.
        total = min(total_bytes, self.sent_bytes_ + self.window_bytes)
        self.granted_ = max(self.granted_, total)
        self._acknowledge(total - self.window_bytes)

    def resume(self, from_seq: int, total_bytes: int) -> bool:
        """Resend from a sequence number and return whether the tail reaches it.

        A request that arrives late may name frames that the reader has
        consumed since; it changes nothing.
        """
        first = self.next_seq_ - len(self.tail_)
        if not first <= from_seq <= self.next_seq_:
            return False
        self.send_seq_ = from_seq
        self.head_sent_ = self.head_sent_ and from_seq > 0
        self.credit(total_bytes)
        return True

    def drop(self) -> None:
        """Release everything held; the answer cannot be sent any more."""
        self.head_ = None
        self.pending_.clear()
        self.tail_.clear()
        self.pending_bytes_ = 0
        self.tail_bytes_ = 0

    def frames(self) -> list[Message]:
        """Return the frames to send now, within the credit."""
        if self.head_ is None:
            return []
        messages: list[Message] = []
        if not self.head_sent_:
            messages.append(self.head_)
            self.head_sent_ = True
        messages.extend(self._repeated())
        messages.extend(self._fresh())
        if self.end_ is not None and not self.pending_ and not self._end_sent():
            messages.append(self._end())
        return messages

    def _repeated(self) -> list[Data]:
        first = self.next_seq_ - len(self.tail_)
        if self.send_seq_ >= self.next_seq_:
            return []
        skip = max(0, self.send_seq_ - first)
        self.send_seq_ = self.next_seq_
        return [data for index, (data, _) in enumerate(self.tail_) if index >= skip]

    def _fresh(self) -> list[Data]:
        frames = []
        while self.pending_ and self.granted_ > self.sent_bytes_:
            limit = min(MAX_FRAME_PAYLOAD_BYTES, self.granted_ - self.sent_bytes_)
            payload = self._cut(limit)
            data = Data(self.request_id, self.attempt, self.next_seq_, payload)
            self.next_seq_ += 1
            self.send_seq_ = self.next_seq_
            self.sent_bytes_ += len(payload)
            self.tail_.append((data, self.sent_bytes_))
            self.tail_bytes_ += len(payload)
            frames.append(data)
        return frames

    def _cut(self, limit: int) -> bytes:
        payload = self.pending_.popleft()
        if self.pending_ and len(payload) < limit:
            payload = self._join(payload, limit)
        if len(payload) > limit:
            self.pending_.appendleft(payload[limit:])
            payload = payload[:limit]
        self.pending_bytes_ -= len(payload)
        return payload

    def _join(self, payload: bytes, limit: int) -> bytes:
        # Each frame costs the reader far more than its bytes.
        parts = [payload]
        size = len(payload)
        while self.pending_ and size + len(self.pending_[0]) <= limit:
            parts.append(self.pending_.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _end_sent(self) -> bool:
        # The end takes the place after the last frame, so that a resume from any
        # sequence number sends it again.
        return self.send_seq_ > self.next_seq_

    def _end(self) -> End:
        self.send_seq_ = self.next_seq_ + 1
        end = self.end_
        return End(
            end.request_id,
            end.attempt,
            self.next_seq_,
            end.length,
            end.checksum,
            end.digest,
            end.load,
            end.status,
            end.content_type,
        )

    def _acknowledge(self, consumed: int) -> None:
        while self.tail_ and self.tail_[0][1] <= consumed:
            data, _ = self.tail_.popleft()
            self.tail_bytes_ -= len(data.payload)
