"""Connections that close once what they receive cannot belong to an answer."""

from __future__ import annotations

import asyncio

from aiohttp import ClientError, ClientPayloadError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

# Largest response header that an upstream may send.
MAX_HEADER_BYTES = 32768
# Bytes around an answer's body: its head, interim responses and heads of answers to
# other requests. Beyond them framing may take as much as the body itself, as chunks
# of four bytes do.
MAX_OVERHEAD_BYTES = 2 * MAX_HEADER_BYTES
# Responses to one request: its answer, interim ones, and late answers to others.
MAX_RESPONSES_PER_REQUEST = 16
# Bytes that are parsed before their effect is looked at; a read may bring 256 KiB, and
# that many heads occupy the event loop for 0.1 s.
MAX_PARSE_BYTES = 16 * 1024
_HEAD_END = b"\r\n\r\n"
MAX_CONTENT_LENGTH_DIGITS = 19


class OversizedResponseError(ClientError):
    """Report bytes beyond what an answer may take."""


class BoundedConnection(ResponseHandler):
    """Bound what is received for one request beside the body of its answer."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        # Received since the request was sent.
        self.received_bytes_ = 0
        self.bodies_: list[StreamReader] = []
        self.status_ = 0
        # Length of the last body, where its head tells.
        self.content_length_: int | None = None

    def restart(self) -> None:
        """Begin to count for a new request."""
        self.received_bytes_ = 0
        self.bodies_.clear()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail bodies that did not end, also for a reader that comes later."""
        super().connection_lost(exc)
        for body in self.bodies_:
            if not body.is_eof() and body.exception() is None:
                body.set_exception(ClientPayloadError("connection closed in a body"))

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and close once they cannot belong to an answer."""
        if not data:
            # The library's way to go on with bytes that waited for a slow reader.
            super().data_received(data)
            self._close_if_oversized()
            return
        start = 0
        while start < len(data):
            if self.transport is None or self.transport.is_closing():
                return
            end = self._parse_end(data, start)
            self.received_bytes_ += end - start
            super().data_received(data[start:end])
            start = end
            self._close_if_oversized()

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], *sizes: int
    ) -> None:
        """Receive a parsed head and its body."""
        message, body = data
        self.bodies_.append(body)
        self.status_ = message.code
        length = message.headers.get("Content-Length", "")
        is_valid = length.isdecimal() and len(length) <= MAX_CONTENT_LENGTH_DIGITS
        self.content_length_ = int(length) if is_valid else None
        super().feed_data(data, *sizes)

    @property
    def ended(self) -> bool:
        """Check whether the last body that began is complete."""
        return bool(self.bodies_) and self.bodies_[-1].is_eof()

    def _parse_end(self, data: bytes, start: int) -> int:
        """Return where to stop parsing, at the end of a head or a body at the latest.

        The parser drops an answer that stands before bytes which it cannot read.
        """
        end = min(start + MAX_PARSE_BYTES, len(data))
        if not self.bodies_ or self.ended:
            is_line_break = data[start] in _HEAD_END
            head_end = -1 if is_line_break else data.find(_HEAD_END, start, end)
            return end if head_end < 0 else head_end + len(_HEAD_END)
        left_bytes = (self.content_length_ or 0) - self.bodies_[-1].total_bytes
        return min(end, start + left_bytes) if left_bytes > 0 else end

    def _close_if_oversized(self) -> None:
        """Close if more was received than belongs to an answer."""
        excess = self._describe_excess()
        if excess and self.transport is not None:
            self._fail_and_close(OversizedResponseError(excess))

    def _describe_excess(self) -> str:
        """Return what is too much, or nothing."""
        if len(self.bodies_) > MAX_RESPONSES_PER_REQUEST:
            return f"more than {MAX_RESPONSES_PER_REQUEST} responses"
        if self.transport is None or not self.transport.is_reading():
            # Bytes that wait for a slow reader are not parsed yet.
            return ""
        body_bytes = sum(body.total_bytes for body in self.bodies_)
        overhead_bytes = self.received_bytes_ - body_bytes
        if overhead_bytes > MAX_OVERHEAD_BYTES + body_bytes:
            return f"{overhead_bytes} bytes around {body_bytes} of a body"
        return ""

    def _fail_and_close(self, error: OversizedResponseError) -> None:
        """Close; an answer that is not complete by now fails."""
        for body in self.bodies_:
            if not body.is_eof():
                body.set_exception(error)
        self.abort()
        # The library forgets an error that was set before the close.
        self.set_exception(error)
