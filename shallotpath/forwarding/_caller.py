"""Write a response to a caller while it is received."""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict


class CallerDisconnectedError(Exception):
    """Report that the caller closed its connection."""


class CallerResponse:
    """Write a response to the caller in parts."""

    __slots__ = ("request", "response_")

    def __init__(self, request: web.BaseRequest) -> None:
        self.request = request
        self.response_: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Check whether the caller may have received the first byte."""
        return self.response_ is not None

    async def start(
        self, status: int, reason: str, headers: CIMultiDict, *, close: bool
    ) -> None:
        """Write the head, and close the connection after the response if asked to."""
        response = web.StreamResponse(status=status, reason=reason, headers=headers)
        response.enable_chunked_encoding()
        if close:
            response.force_close()
        self.response_ = response
        try:
            await response.prepare(self.request)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    async def write(self, data: bytes) -> None:
        """Write a part of the body; wait while the caller reads slowly."""
        if not data:
            return
        try:
            await self.response_.write(data)
            # The response itself waits only once more than 64 KiB were written since
            # the last wait.
            await self.request.writer.drain()
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    async def end(self) -> web.StreamResponse:
        """Write the end of the body and return the response."""
        try:
            await self.response_.write_eof()
        except ConnectionError as error:
            raise CallerDisconnectedError from error
        return self.response_

    def abort(self) -> web.StreamResponse:
        """Abort the connection so that the response is seen as truncated."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()
        return self.response_ or web.Response(status=502)
