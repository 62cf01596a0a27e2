"""Sender of one response: sequence numbers, credit and a bounded resend buffer."""

from __future__ import annotations

from collections import deque
from hashlib import sha256

from ..core import Data, End, Head, Load, Message

# Keeps a large body from delaying the frames of other requests on the connection.
MAX_FRAME_PAYLOAD_BYTES = 16 * 1024


class ResponseWriter:
    """Split a response into frames and resend those that the reader missed.

    A credit of `total_bytes` implies that the reader consumed all of them but one
    window, so the frames held for a resend never exceed one window.
    """

    __slots__ = (
        "acknowledged_bytes_",
        "attempt",
        "confirmed_",
        "end_",
        "granted_bytes_",
        "hash_",
        "head_",
        "head_sent_",
        "next_send_seq_",
        "next_seq_",
        "pending_bytes_",
        "pending_payloads_",
        "request_id",
        "sent_bytes_",
        "unacknowledged_",
        "unacknowledged_bytes_",
        "window_bytes",
        "written_bytes_",
    )

    def __init__(self, request_id: str, attempt: int, window_bytes: int) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.window_bytes = window_bytes
        self.granted_bytes_ = window_bytes
        self.head_: Head | None = None
        self.head_sent_ = False
        self.pending_payloads_: deque[bytes] = deque()
        self.pending_bytes_ = 0
        self.unacknowledged_: deque[tuple[Data, int]] = deque()
        self.unacknowledged_bytes_ = 0
        self.next_seq_ = 0
        self.next_send_seq_ = 0
        self.sent_bytes_ = 0
        self.acknowledged_bytes_ = 0
        self.written_bytes_ = 0
        self.hash_ = sha256()
        self.end_: End | None = None
        self.confirmed_ = False

    @property
    def held_bytes(self) -> int:
        """Return the pending and the unacknowledged bytes."""
        return self.pending_bytes_ + self.unacknowledged_bytes_

    @property
    def pending_bytes(self) -> int:
        """Return the bytes that have not been split into frames."""
        return self.pending_bytes_

    @property
    def length(self) -> int:
        """Return the bytes written so far."""
        return self.written_bytes_

    @property
    def room(self) -> int:
        """Return the bytes that may still be written; negative beyond the credit."""
        return self.granted_bytes_ - self.sent_bytes_ - self.pending_bytes_

    @property
    def ended(self) -> bool:
        """Check whether the response has been written completely."""
        return self.end_ is not None

    @property
    def settled(self) -> bool:
        """Check whether the reader confirmed the whole response."""
        return self.confirmed_

    @property
    def next_seq(self) -> int:
        """Return the sequence number of the next new frame."""
        return self.next_seq_

    def begin(self, status: int, content_type: str, digest: str) -> None:
        """Open the response."""
        self.head_ = Head(self.request_id, self.attempt, status, content_type, digest)

    def write(self, payload: bytes) -> None:
        """Add a part of the response."""
        if payload:
            self.pending_payloads_.append(payload)
            self.pending_bytes_ += len(payload)
            self.written_bytes_ += len(payload)
            self.hash_.update(payload)

    def finish(self, load: Load) -> None:
        """Close the response; the end frame is sent after the last data frame."""
        head = self.head_
        self.end_ = End(
            self.request_id,
            self.attempt,
            frames=0,
            length=self.written_bytes_,
            checksum=self.hash_.hexdigest(),
            digest=head.digest,
            load=load,
            status=head.status,
            content_type=head.content_type,
        )

    def credit(self, total_bytes: int) -> None:
        """Apply a credit; one that is older than the last has no effect."""
        if self.ended and total_bytes > self.written_bytes_ + self.window_bytes:
            self.confirmed_ = True
        # The cap keeps a wrong credit from raising the limit of unacknowledged bytes.
        total = min(total_bytes, self.sent_bytes_ + self.window_bytes)
        self.granted_bytes_ = max(self.granted_bytes_, total)
        self._acknowledge(total - self.window_bytes)

    def resume(self, from_seq: int, total_bytes: int) -> bool:
        """Resend from a sequence number and return whether its frame is still held.

        A late request may name frames that the reader has consumed in the meantime;
        it has no effect.
        """
        first = self.next_seq_ - len(self.unacknowledged_)
        if not first <= from_seq <= self.next_seq_:
            return False
        self.next_send_seq_ = from_seq
        self.head_sent_ = self.head_sent_ and from_seq > 0
        self.credit(total_bytes)
        return True

    def drop(self) -> None:
        """Release all held bytes; nothing more of the response is sent."""
        self.head_ = None
        self.pending_payloads_.clear()
        self.unacknowledged_.clear()
        self.pending_bytes_ = 0
        self.unacknowledged_bytes_ = 0

    def frames(self) -> list[Message]:
        """Return the frames to send now, within the credit."""
        if self.head_ is None:
            return []
        messages: list[Message] = []
        if not self.head_sent_:
            messages.append(self.head_)
            self.head_sent_ = True
        messages.extend(self._resent_frames())
        messages.extend(self._new_frames())
        if (
            self.end_ is not None
            and not self.pending_payloads_
            and not self._end_sent()
        ):
            messages.append(self._end_message())
        return messages

    def _resent_frames(self) -> list[Data]:
        first = self.next_seq_ - len(self.unacknowledged_)
        if self.next_send_seq_ >= self.next_seq_:
            return []
        skip = max(0, self.next_send_seq_ - first)
        self.next_send_seq_ = self.next_seq_
        return [
            data
            for index, (data, _) in enumerate(self.unacknowledged_)
            if index >= skip
        ]

    def _new_frames(self) -> list[Data]:
        frames = []
        while self.pending_payloads_ and self.granted_bytes_ > self.sent_bytes_:
            limit_bytes = min(
                MAX_FRAME_PAYLOAD_BYTES, self.granted_bytes_ - self.sent_bytes_
            )
            payload = self._next_payload(limit_bytes)
            data = Data(self.request_id, self.attempt, self.next_seq_, payload)
            self.next_seq_ += 1
            self.next_send_seq_ = self.next_seq_
            self.sent_bytes_ += len(payload)
            self.unacknowledged_.append((data, self.sent_bytes_))
            self.unacknowledged_bytes_ += len(payload)
            frames.append(data)
        return frames

    def _next_payload(self, limit_bytes: int) -> bytes:
        payload = self.pending_payloads_.popleft()
        if self.pending_payloads_ and len(payload) < limit_bytes:
            payload = self._join_payloads(payload, limit_bytes)
        if len(payload) > limit_bytes:
            self.pending_payloads_.appendleft(payload[limit_bytes:])
            payload = payload[:limit_bytes]
        self.pending_bytes_ -= len(payload)
        return payload

    def _join_payloads(self, payload: bytes, limit_bytes: int) -> bytes:
        # Joining pays off because each frame costs the reader far more than its bytes.
        parts = [payload]
        size = len(payload)
        while (
            self.pending_payloads_
            and size + len(self.pending_payloads_[0]) <= limit_bytes
        ):
            parts.append(self.pending_payloads_.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _end_sent(self) -> bool:
        # The end frame has the sequence number after the last data frame, so that a
        # resume from any sequence number resends it.
        return self.next_send_seq_ > self.next_seq_

    def _end_message(self) -> End:
        self.next_send_seq_ = self.next_seq_ + 1
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

    def _acknowledge(self, consumed_bytes: int) -> None:
        while self.unacknowledged_ and self.unacknowledged_[0][1] <= consumed_bytes:
            data, _ = self.unacknowledged_.popleft()
            self.unacknowledged_bytes_ -= len(data.payload)
