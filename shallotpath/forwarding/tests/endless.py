"""Upstreams whose bytes never end, and what they could send."""

import asyncio
import socket

from .helpers import Upstream, answer, stream_head

# Bytes that the kernel holds for a sender; larger ones would hide a reader's bound.
SEND_BUFFER_BYTES = 64 * 1024
BLOCK_BYTES = 64 * 1024


class EndlessUpstream(Upstream):
    """Answer each request with a beginning and then one part again and again."""

    def __init__(self, begin, part, *, pause=None):
        super().__init__(self._flood)
        self.begin = begin
        self.part = part
        # Seconds between parts; none means a flood.
        self.pause = pause
        self.sent_bytes = 0

    async def _flood(self, reader, writer, head):
        own = writer.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        begin = self.begin(head) if callable(self.begin) else self.begin
        part = self.part(head) if callable(self.part) else self.part
        try:
            writer.write(begin)
            if self.pause is None:
                part *= max(1, BLOCK_BYTES // len(part))
            while True:
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
                await asyncio.sleep(self.pause or 0)
        except ConnectionError:
            self.lost.set()
        return False


def chunked(head):
    """Return the head of an answer in chunks."""
    return answer(head, b"", extra=["Transfer-Encoding: chunked"], length=False)


def unframed(head):
    """Return the head of an answer that ends with its connection."""
    return answer(head, b"", length=False)


def foreign(head):
    """Return the head of an unframed answer to another request."""
    return answer(head, b"", length=False).replace(b"Request-Id: q", b"Request-Id: z")


def complete(head):
    """Return a whole answer."""
    return answer(head, b"whole")


def empty(head):
    """Return a whole answer to another request."""
    return answer(head, b"").replace(b"Request-Id: q", b"Request-Id: z")


def begun(line):
    """Return a beginning that goes on after the head of an answer in chunks."""
    return lambda head: chunked(head) + line


def event_begun(head):
    """Return a stream with one event whose next one has begun."""
    first = b"id: 1\ndata: token\n\n"
    return stream_head(head) + b"%x\r\n%s\r\n" % (len(first), first)


# Beginning and part of bytes that never become the head of an answer.
ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header name": (b"HTTP/1.1 200 OK\r\n", b"a"),
    "header value": (b"HTTP/1.1 200 OK\r\nX: ", b"a"),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"X: a\r\n"),
    "long header fields": (b"HTTP/1.1 200 OK\r\n", b"X: " + b"a" * 8000 + b"\r\n"),
    "length": (b"HTTP/1.1 200 OK\r\nContent-Length: ", b"0"),
    "blank lines": (b"", b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "no protocol": (b"", b"\x00\xff\r\n"),
    "other answers": (b"", empty),
    "body of another answer": (foreign, b"a"),
}
# The same for a body.
ENDLESS_BODIES = {
    "chunk size": (begun(b""), b"0"),
    "chunk extension": (begun(b"5;"), b"a"),
    "trailer": (begun(b"0\r\nX: "), b"a"),
    "trailers": (begun(b"0\r\n"), b"X: a\r\n"),
    "chunks of a byte": (begun(b""), b"1\r\nx\r\n"),
}
# What may follow a complete answer.
ENDLESS_REST = {
    "blank lines": b"\r\n",
    "answers": lambda head: answer(head, b"more"),
    "text": b"a",
}
