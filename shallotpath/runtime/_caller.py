"""Response to one caller: writing, buffered bytes and errors."""

from __future__ import annotations

import socket

from aiohttp import web

from ._problem import ProblemError

# A small buffer reveals a slow caller early and limits the memory that it uses.
WRITE_BUFFER_BYTES = 16 * 1024
# Without a limit the kernel buffers megabytes for each caller that does not read.
SOCKET_BUFFER_BYTES = 64 * 1024


class CallerStream:
    """Write one response and track how much of it the connection has taken."""

    __slots__ = ("blocked_", "drained_", "request", "response_", "sse", "written_")

    def __init__(self, request: web.Request, *, sse: bool) -> None:
        self.request = request
        self.sse = sse
        self.response_: web.StreamResponse | None = None
        self.written_ = 0
        self.drained_ = 0
        self.blocked_ = False

    @property
    def started(self) -> bool:
        """Check whether the response has started."""
        return self.response_ is not None

    @property
    def blocked(self) -> bool:
        """Check whether a write is waiting for the caller to read."""
        return self.blocked_

    @property
    def held_bytes(self) -> int:
        """Return the bytes in the write buffer of the caller's connection."""
        transport = self.request.transport
        return transport.get_write_buffer_size() if transport else 0

    def progressed(self) -> bool:
        """Check whether the connection has taken bytes since the previous call."""
        drained = self.written_ - self.held_bytes
        progressed = drained > self.drained_
        self.drained_ = drained
        return progressed

    async def start(
        self, status: int, content_type: str, version: str, digest: str
    ) -> None:
        """Send the status and the headers."""
        headers = {"Content-Type": content_type}
        if version:
            headers["X-Weights-Version"] = version
            headers["X-Weights-Digest"] = digest
        if self.sse:
            headers["Cache-Control"] = "no-cache"
        response = web.StreamResponse(status=status, headers=headers)
        transport = self.request.transport
        if transport is None:
            raise ConnectionResetError("the caller closed the connection")
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        self.response_ = response
        await response.prepare(self.request)

    async def write(self, payload: bytes) -> None:
        """Write a part of the body; wait while the write buffer is full."""
        self.written_ += len(payload)
        self.blocked_ = True
        try:
            await self.response_.write(payload)
        finally:
            self.blocked_ = False

    async def finish(self) -> web.StreamResponse:
        """End the response."""
        await self.response_.write_eof()
        return self.response_

    async def fail(self, problem: ProblemError) -> web.StreamResponse:
        """Report an error as a response, as an event of the stream or by an abort."""
        if not self.started:
            return problem.response()
        if self.sse:
            await self.write(problem.event())
            return await self.finish()
        # Without its last chunk the body cannot be mistaken for a complete one.
        self.abort()
        return self.response_

    def abort(self) -> None:
        """Close the caller's connection without sending the buffered bytes."""
        if self.request.transport is not None:
            self.request.transport.abort()
