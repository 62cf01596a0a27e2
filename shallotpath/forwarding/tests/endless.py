"""Upstreams that send bytes without end, and the bytes that they send."""

import asyncio
import socket

from .helpers import Upstream, answer, stream_head

# Kernel send buffer of the upstream; a larger one would hide where the reader stopped.
SEND_BUFFER_BYTES = 64 * 1024
BLOCK_BYTES = 64 * 1024


class EndlessUpstream(Upstream):
    """Answer each request with a prefix and then one part repeated without end."""

    def __init__(self, prefix, part, *, pause=None):
        super().__init__(self._flood)
        self.prefix = prefix
        self.part = part
        # Seconds between parts; None sends as fast as the connection allows.
        self.pause = pause
        self.sent_bytes = 0

    async def _flood(self, reader, writer, head):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        prefix = self.prefix(head) if callable(self.prefix) else self.prefix
        part = self.part(head) if callable(self.part) else self.part
        try:
            writer.write(prefix)
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
    """Return the head of a chunked answer."""
    return answer(head, b"", extra=["Transfer-Encoding: chunked"], length=False)


def unframed(head):
    """Return the head of an answer that ends when the connection closes."""
    return answer(head, b"", length=False)


def unframed_to_another_request(head):
    """Return the head of an unframed answer to another request."""
    return answer(head, b"", length=False).replace(b"Request-Id: q", b"Request-Id: z")


def complete(head):
    """Return a complete answer."""
    return answer(head, b"whole")


def empty_to_another_request(head):
    """Return a complete answer with an empty body to another request."""
    return answer(head, b"").replace(b"Request-Id: q", b"Request-Id: z")


def chunked_start(data):
    """Return a function that adds bytes to the head of a chunked answer."""
    return lambda head: chunked(head) + data


def stream_with_one_event(head):
    """Return the head of a stream and its first event."""
    first = b"id: 1\ndata: token\n\n"
    return stream_head(head) + b"%x\r\n%s\r\n" % (len(first), first)


# Prefix and repeated part of bytes that never complete the head of an answer.
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
    "other answers": (b"", empty_to_another_request),
    "body of another answer": (unframed_to_another_request, b"a"),
}
# Prefix and repeated part of bytes that never complete a body.
ENDLESS_BODIES = {
    "chunk size": (chunked_start(b""), b"0"),
    "chunk extension": (chunked_start(b"5;"), b"a"),
    "trailer": (chunked_start(b"0\r\nX: "), b"a"),
    "trailers": (chunked_start(b"0\r\n"), b"X: a\r\n"),
    "chunks of a byte": (chunked_start(b""), b"1\r\nx\r\n"),
}
# Repeated part of bytes that follow a complete answer.
ENDLESS_REST = {
    "blank lines": b"\r\n",
    "answers": lambda head: answer(head, b"more"),
    "text": b"a",
}
