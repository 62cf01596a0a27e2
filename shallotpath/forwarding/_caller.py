"""Write a response to a caller while it is received."""

from __future__ import annotations

import asyncio

from aiohttp import web
from multidict import CIMultiDict

from ._memory import HeldKind, Lease

# Time between checks whether a caller has read enough while memory is short.
SLOWED_READ_INTERVAL_S = 0.1


class CallerDisconnectedError(Exception):
    """Report that the caller closed its connection."""


class CallerResponse:
    """Write a response to the caller in parts."""

    __slots__ = ("lease", "request", "response_")

    def __init__(self, request: web.BaseRequest, lease: Lease) -> None:
        self.request = request
        self.lease = lease
        self.response_: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Check whether the caller may have received the first byte."""
        return self.response_ is not None

    async def start(
        self, status: int, reason: str, headers: CIMultiDict, *, close: bool
    ) -> None:
        """Write the head, and close the connection after the response if asked to.

        It stays open for a request that has arrived already.
        """
        response = web.StreamResponse(status=status, reason=reason, headers=headers)
        response.enable_chunked_encoding()
        if close and not self.request.protocol.has_next:
            response.force_close()
        self.response_ = response
        try:
            await response.prepare(self.request)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    async def write(self, data: bytes) -> None:
        """Write a part of the body; wait while the caller reads slowly.

        While memory is short, wait until the request holds no more than its share.
        """
        if not data:
            return
        self._count_unsent(len(data))
        try:
            await self.response_.write(data)
            # The response itself waits only once more than 64 KiB were written since
            # the last wait.
            await self.request.writer.drain()
        except ConnectionError as error:
            raise CallerDisconnectedError from error
        if self._must_wait():
            self.lease.budget.slowed_reads += 1
            while self._must_wait():  # noqa: ASYNC110
                await asyncio.sleep(SLOWED_READ_INTERVAL_S)

    async def end(self) -> web.StreamResponse:
        """Write the end of the body and return the response."""
        try:
            await self.response_.write_eof()
        except ConnectionError as error:
            raise CallerDisconnectedError from error
        return self.response_

    def _must_wait(self) -> bool:
        """Check whether the caller must take more before the upstream is read."""
        return self._count_unsent() > 0 and self.lease.exceeds_allowance

    def _count_unsent(self, new_bytes: int = 0) -> int:
        """Count the bytes that the caller has not taken and return their number."""
        transport = self.request.transport
        unsent_bytes = new_bytes
        if transport is not None:
            unsent_bytes += transport.get_write_buffer_size()
        self.lease.hold(HeldKind.UNSENT, unsent_bytes)
        return unsent_bytes

    def abort(self, reason: str = "memory") -> web.StreamResponse:
        """Abort the connection so that the response is seen as truncated."""
        self.request.protocol.cut(reason)
        return self.response_ or web.Response(status=502)
