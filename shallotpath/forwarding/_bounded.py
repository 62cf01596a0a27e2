"""HTTP client connections that limit the bytes received for one request."""

from __future__ import annotations

import asyncio

from aiohttp import ClientError, ClientPayloadError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from ..connections import SmallReads
from ..httpheads import describe_fault, is_other_protocol

# Longest status line or header field that an upstream may send.
MAX_HEADER_BYTES = 32768
# Bytes outside of response bodies: the response's head, interim responses and heads
# of responses to other requests. Chunked framing may add as many bytes as the body
# has, which is what chunks of four bytes need.
MAX_OVERHEAD_BYTES = 2 * MAX_HEADER_BYTES
# The final response, interim (1xx) ones, and late responses to other requests.
MAX_RESPONSES_PER_REQUEST = 16
# Bytes that are parsed before the limits are checked, as parsing many response heads
# takes long.
MAX_PARSE_BYTES = 16 * 1024
_HEAD_END = b"\r\n\r\n"
# First bytes of a head that are kept; they hold the name of its protocol.
_HEAD_START_BYTES = 8
MAX_CONTENT_LENGTH_DIGITS = 19


class MalformedAnswerError(ClientError):
    """Report bytes that are not one whole answer to one request."""


class EndlessAnswerError(MalformedAnswerError):
    """Report more bytes or responses than one request may receive."""


class BoundedConnection(SmallReads, ResponseHandler):
    """Limit responses and non-body bytes received for one request.

    The connection closes at the limit; the body itself is limited by its reader.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        # Bytes received since the request was sent.
        self.received_bytes_ = 0
        self.bodies_: list[StreamReader] = []
        self.status_ = 0
        # The first bytes of the head that is being received.
        self.head_start_ = b""
        # Bytes received after the last response that began no other one yet.
        self.trailing_bytes_ = 0
        self.chunked_ = False
        # Content-Length of the last response, if it has a valid one.
        self.content_length_: int | None = None

    def restart(self) -> None:
        """Reset the counters for a new request."""
        self.received_bytes_ = self.trailing_bytes_ = 0
        self.head_start_ = b""
        self.bodies_.clear()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on incomplete bodies, also for reads that begin later."""
        super().connection_lost(exc)
        for body in self.bodies_:
            if not body.is_eof() and body.exception() is None:
                body.set_exception(ClientPayloadError("connection closed in a body"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and close the connection once a limit is exceeded."""
        if not data:
            # aiohttp passes no data to resume parsing of bytes that were held back
            # for a slow reader.
            super().data_received(data)
            self._close_if_oversized()
            return
        start = 0
        while start < len(data):
            if self.transport is None or self.transport.is_closing():
                return
            end = self.parse_end(data, start)
            self.received_bytes_ += end - start
            if self.ended:
                self.trailing_bytes_ += end - start
            if self.in_head and len(self.head_start_) < _HEAD_START_BYTES:
                head_start = (self.head_start_ + data[start:end]).lstrip(_HEAD_END)
                self.head_start_ = head_start[:_HEAD_START_BYTES]
            self.parse(data[start:end])
            start = end
            self._close_if_oversized()

    def parse(self, data: bytes) -> None:
        """Parse bytes that contain the end of one head or one body at the most."""
        super().data_received(data)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], *sizes: int
    ) -> None:
        """Record a parsed response head and its body; fail if it is no answer."""
        message, body = data
        fault = describe_fault(message)
        if is_other_protocol(self.head_start_):
            fault = f"a head that begins with {self.head_start_!r}"
        self.head_start_ = b""
        if fault:
            self.fail_and_close(MalformedAnswerError(fault))
            return
        self.bodies_.append(body)
        self.trailing_bytes_ = 0
        self.status_ = message.code
        self.chunked_ = message.chunked
        length = message.headers.get("Content-Length", "")
        is_valid = length.isdecimal() and len(length) <= MAX_CONTENT_LENGTH_DIGITS
        self.content_length_ = int(length) if is_valid else None
        super().feed_data(data, *sizes)

    @property
    def ended(self) -> bool:
        """Check whether the body of the last response is complete."""
        return bool(self.bodies_) and self.bodies_[-1].is_eof()

    @property
    def has_surplus(self) -> bool:
        """Check whether bytes have followed the last response that was read."""
        return bool(self.trailing_bytes_ or self._buffer)

    @property
    def in_head(self) -> bool:
        """Check whether the next bytes belong to the head of a response."""
        return not self.bodies_ or self.ended

    @property
    def body_bytes(self) -> int:
        """Return the bytes of all bodies received since the request was sent."""
        if len(self.bodies_) == 1:
            return self.bodies_[0].total_bytes
        return sum(body.total_bytes for body in self.bodies_)

    def parse_end(self, data: bytes, start: int) -> int:
        """Return where to stop parsing, at the end of a head or a body at the latest.

        If one call contains a response followed by malformed bytes, the parser raises
        and loses the response.
        """
        end = min(start + MAX_PARSE_BYTES, len(data))
        if self.in_head:
            is_line_break = data[start] in _HEAD_END
            head_end = -1 if is_line_break else data.find(_HEAD_END, start, end)
            return end if head_end < 0 else head_end + len(_HEAD_END)
        left_bytes = (self.content_length_ or 0) - self.bodies_[-1].total_bytes
        return min(end, start + left_bytes) if left_bytes > 0 else end

    def _close_if_oversized(self) -> None:
        """Close the connection if a limit is exceeded."""
        excess = self._describe_excess()
        if excess and self.transport is not None:
            self.fail_and_close(EndlessAnswerError(excess))

    def _describe_excess(self) -> str:
        """Describe the limit that is exceeded; return an empty string if none is."""
        if len(self.bodies_) > MAX_RESPONSES_PER_REQUEST:
            return f"more than {MAX_RESPONSES_PER_REQUEST} responses"
        if self.transport is None or not self.transport.is_reading():
            # Reading is paused for a slow reader, so some received bytes are not parsed
            # yet and would count as overhead.
            return ""
        body_bytes = self.body_bytes
        overhead_bytes = self.received_bytes_ - body_bytes
        if overhead_bytes > MAX_OVERHEAD_BYTES + body_bytes:
            return f"{overhead_bytes} bytes of overhead for {body_bytes} bytes of body"
        return ""

    def fail_and_close(self, error: MalformedAnswerError) -> None:
        """Close the connection and set the error on incomplete bodies."""
        for body in self.bodies_:
            if not body.is_eof():
                body.set_exception(error)
        self.abort()
        # abort() clears an exception that was set before it.
        self.set_exception(error)
