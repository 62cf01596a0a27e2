"""HTTP connection that keeps to the limits of its listener's table."""

from __future__ import annotations

from datetime import datetime
from functools import singledispatch
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http import HttpProcessingError

from ._limits import READ_TIMEOUT, Phase
from ._parsing import ParsingAccount
from ._reads import READER_LOW_WATER_BYTES, SmallReads

if TYPE_CHECKING:
    import asyncio

    from ._table import ConnectionTable

# Requests that may wait behind the one in progress before reading pauses. The parser
# itself stops at 32 only.
MAX_PIPELINED = 4
# The statuses promise that the request has not run.
STATUS_BY_REASON = {
    "slow_head": "408 Request Timeout",
    "large_head": "431 Request Header Fields Too Large",
}
BODY_STATUS_BY_REASON = {"slow_body": 408}


@singledispatch
def release_body(response: web.StreamResponse) -> None:
    """Let go of the body of a response that has been written.

    aiohttp keeps the response until the connection brings another request.
    """


@release_body.register
def _(response: web.Response) -> None:
    response.body = None


class BodyRefusedError(Exception):
    """Report that the rest of a body is not received; the request has not run."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class GuardedConnection(SmallReads, web.RequestHandler):
    """Measure what a client holds, and end the connection when the table asks for it.

    It reads attributes of aiohttp's handler that are not public, as the handler does
    not tell an idle connection from one with an incomplete head.
    """

    __slots__ = (
        "held_",
        "incomplete_since_",
        "last_received_at_",
        "overdue_",
        "parsing",
        "payload_",
        "read_buffer_",
        "received_bytes_",
        "table",
        "tcp_transport_",
        "unread_since_",
        "was_held_",
    )

    def __init__(self, manager: web.Server, table: ConnectionTable, **options) -> None:
        limit = table.max_header_bytes
        defaults = {
            "max_line_size": limit,
            "max_field_size": limit,
            "read_bufsize": READER_LOW_WATER_BYTES,
        }
        super().__init__(manager, **(defaults | options))
        self._max_msg_queue_size = MAX_PIPELINED
        self._msg_queue_resume_size = MAX_PIPELINED // 2
        self.table = table
        now = table.clock.now()
        self.parsing = ParsingAccount()
        self.payload_ = None
        # aiohttp forgets its transport when it closes, which takes until a client has
        # taken what is left of its answer.
        self.tcp_transport_: asyncio.BaseTransport | None = None
        self.unread_since_: datetime | None = None
        self.received_bytes_ = 0
        self.last_received_at_ = now
        # Start of the incomplete head or body.
        self.incomplete_since_: datetime | None = None
        # Whether reading waits for the turn of this connection, and whether it did so
        # during the current head or body.
        self.held_ = False
        self.was_held_ = False
        # Whether the head or body was too slow when it was checked last.
        self.overdue_ = False

    @property
    def phase(self) -> Phase:
        """Return what the connection waits for."""
        request = self._current_request
        if self.transport is None:
            return Phase.DISCARDED
        if self._is_answer_unread():
            return Phase.UNREAD
        if request is not None:
            return Phase.BUSY if request.content.is_eof() else Phase.BODY
        return self._phase_without_request()

    def _phase_without_request(self) -> Phase:
        if self._messages:
            return Phase.BUSY
        if self._is_body_incomplete():
            return Phase.DISCARDED
        if self._request_count and self._waiter is None:
            # A request was taken from the queue and its handler has not begun.
            return Phase.BUSY
        if self.transport.get_write_buffer_size():
            return Phase.BUSY
        if self.incomplete_since_ is not None:
            return Phase.HEAD
        return Phase.KEPT if self._request_count else Phase.SILENT

    def _is_answer_unread(self) -> bool:
        since = self.unread_since_
        return since is not None and self.table.clock.now() - since > READ_TIMEOUT

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers that the kernel has not taken yet."""
        transport = self.tcp_transport_
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def is_in_head(self) -> bool:
        """Check whether the head of a request has arrived in part."""
        return self.incomplete_since_ is not None and not self._is_body_incomplete()

    @property
    def held_since(self) -> datetime:
        """Return when the phase began."""
        return self.incomplete_since_ or self.last_received_at_

    @property
    def received_bytes(self) -> int:
        """Return the bytes of the incomplete head or body."""
        return self.received_bytes_

    @property
    def last_received_at(self) -> datetime:
        """Return when the last bytes arrived."""
        return self.last_received_at_

    @property
    def was_held(self) -> bool:
        """Check whether the process itself has delayed the bytes."""
        return self.was_held_

    @property
    def waits_for_client(self) -> bool:
        """Check whether bytes are read as soon as they arrive."""
        return self.transport is not None and self.transport.is_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enter the connection in the table."""
        self.tcp_transport_ = transport
        super().connection_made(transport)
        self.table.opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.table.lost(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Note that the client takes its answer more slowly than it comes."""
        self.unread_since_ = self.table.clock.now()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Note that the client has taken a part of its answer."""
        self.unread_since_ = None
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Parse bytes and note how far the head or body has come."""
        clock = self.table.clock
        begun_at = clock.now()
        requests = self._request_count
        in_body = self._is_body_incomplete()
        super().data_received(data)
        now = clock.now()
        if data:
            self.last_received_at_ = now
        if self._request_count != requests:
            # The parser is at the body of the newest request or behind it.
            self.payload_ = self._messages[-1][1] if self._messages else None
            self._begin(now if self._is_body_incomplete() else None)
        elif in_body:
            if not self._is_body_incomplete():
                self._begin(None)
            self.received_bytes_ += len(data)
        elif data:
            if self.incomplete_since_ is None:
                self._begin(begun_at)
            self.received_bytes_ += len(data)
            if self.received_bytes_ > self.table.limits.header_bytes:
                self.table.end(self, "large_head")
        self.table.parsed(self, now - begun_at)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: object
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response and let go of its body."""
        result = await super().finish_response(request, resp, start_time)
        release_body(result[0])
        return result

    def log_exception(self, *args: object, **options: object) -> None:
        """Log a failure of a handler; count requests that cannot be parsed."""
        if isinstance(options.get("exc_info"), HttpProcessingError):
            self.table.record_closed("malformed")
        else:
            super().log_exception(*args, **options)

    def end(self, reason: str) -> None:
        """Refuse the incomplete request, or close the connection if there is none."""
        phase, transport = self.phase, self.tcp_transport_
        if transport is None or phase is Phase.BUSY:
            return
        if phase is Phase.BODY:
            self.refuse_body(BODY_STATUS_BY_REASON.get(reason, 503), reason)
            return
        status = STATUS_BY_REASON.get(reason)
        if phase is Phase.HEAD and status is not None:
            transport.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            self.force_close()
        else:
            transport.abort()

    def refuse_body(self, status: int, reason: str) -> None:
        """Let the handler answer; the rest of the body is not awaited."""
        if self._current_request is not None:
            self._lingering_time = 0.0
            error = BodyRefusedError(status, reason)
            self._current_request.content.set_exception(error)

    def refuse_for_memory(self) -> None:
        """Refuse the incomplete body because others need its memory."""
        self.table.record_closed("no_memory")
        self.refuse_body(503, "memory is short")

    def hold(self) -> None:
        """Stop reading until `release`."""
        self.held_ = self.was_held_ = True
        self._pause_transport_reading()

    def release(self) -> None:
        """Read again unless aiohttp has paused the connection as well."""
        self.held_ = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self.held_:
            super()._resume_transport_reading()

    def _is_body_incomplete(self) -> bool:
        return self.payload_ is not None and not self.payload_.is_eof()

    def _begin(self, since: datetime | None) -> None:
        """Note the start of a head or body, or that there is none."""
        self.incomplete_since_ = since
        self.received_bytes_ = 0
        self.was_held_ = self.overdue_ = False
        self.parsing.reset()
        self.table.set_incomplete(self, incomplete=since is not None)
