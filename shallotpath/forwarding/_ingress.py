"""HTTP listeners for callers, health checks and peers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from aiohttp import web

from ..connections import (
    ConnectionTable,
    GuardedConnection,
    Phase,
    limit_kernel_buffer,
    release_body,
)
from ._memory import HeldKind, Lease, MemoryBudget, head_bytes

# The lease of a request among its values.
LEASE = web.RequestKey("lease", Lease)
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
# Called with who ended a connection on which an answer was owed, and why.
CutReport = Callable[[str, str], None]

BACKLOG = 1024
# Connections accepted in one iteration of the event loop. Each one brings a request,
# and other requests wait until the iteration has ended.
ACCEPT_BATCH = 16
DEFAULT_IDLE_TIMEOUT = timedelta(seconds=75)
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
# Time for connections that are still in use when a listener stops; not 0, which
# aiohttp takes as no limit.
SHUTDOWN_TIMEOUT = timedelta(milliseconds=10)


class _CallerConnection(GuardedConnection):
    """Track whether a request has arrived that is not answered yet."""

    __slots__ = (
        "caller_ended_",
        "cut_reason_",
        "idle_timeout",
        "kept_",
        "on_cut",
        "request_pending_",
        "written_",
    )

    def __init__(
        self,
        *args: object,
        on_cut: CutReport | None = None,
        idle_timeout: Callable[[], timedelta],
        **options: object,
    ) -> None:
        super().__init__(*args, **options)
        self.on_cut = on_cut
        # Returns the limit that is in force.
        self.idle_timeout = idle_timeout
        self.request_pending_ = False
        # Whether the whole answer has been written; a part of it may be unsent.
        self.written_ = False
        # Lease of the last request, whose head aiohttp keeps until the next one.
        self.kept_: Lease | None = None
        # Whether the caller closed its side first, and why this process closed its own.
        self.caller_ended_ = False
        self.cut_reason_ = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what the kernel holds for a caller that reads slowly."""
        limit_kernel_buffer(transport, socket.SO_SNDBUF)
        super().connection_made(transport)

    @property
    def owes_answer(self) -> bool:
        """Check whether a whole request has arrived that is not answered."""
        request = self._current_request
        if request is not None:
            return request.content.is_eof()
        return self.has_next

    @property
    def has_next(self) -> bool:
        """Check whether another request has arrived behind the one in progress."""
        return bool(self._messages)

    @property
    def is_pending(self) -> bool:
        """Check whether a request is in progress or a part of its answer is unsent."""
        return self.request_pending_ or self.unsent_bytes > 0

    def eof_received(self) -> None:
        """Record that the caller ends the connection."""
        self.caller_ended_ = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report an answer that the connection still owes."""
        # A transport that closes by itself has sent everything.
        sent = self.written_ and exc is None and not self.has_next
        if self.owes_answer and not sent and not self.cut_reason_:
            by_caller = self.caller_ended_ or exc is not None
            self._report_cut("caller" if by_caller else "entry", "closed")
        self.release_kept()
        super().connection_lost(exc)

    def cut(self, reason: str) -> None:
        """Abort the connection, so that its answer is seen as truncated."""
        transport = self.tcp_transport_
        if transport is None or (transport.is_closing() and not self.unsent_bytes):
            return
        self.cut_reason_ = reason
        self._report_cut("entry", reason)
        transport.abort()

    def end(self, reason: str) -> None:
        """Report an answer that is cut off because its client does not take it."""
        if self.phase in (Phase.UNREAD, Phase.DISCARDED) and self.unsent_bytes:
            self.cut(reason)
        else:
            super().end(reason)

    def cut_unsent(self, reason: str) -> None:
        """Abort the connection if it closes with an answer that is not sent."""
        if self.unsent_bytes:
            self.cut(reason)

    def _report_cut(self, by: str, reason: str) -> None:
        if self.on_cut is not None:
            self.on_cut(by, reason)

    def data_received(self, data: bytes) -> None:
        """Record that bytes of a request have arrived."""
        self.request_pending_ = True
        super().data_received(data)

    def mark_begun(self) -> None:
        """Record that a request is in progress; it may have come before an answer."""
        self.request_pending_ = True
        self.written_ = False
        self.release_kept()

    def keep(self, lease: Lease) -> None:
        """Count the head of a request until the next one, or until the end."""
        if self.transport is None:
            lease.close()
            return
        lease.keep_head(on_shed=self.close_if_idle)
        self.kept_ = lease

    def release_kept(self) -> None:
        """Give back what the last request holds."""
        if self.kept_ is not None:
            self.kept_.close()
            self.kept_ = None

    def mark_answered(self) -> None:
        """Record the end of a request; others may have arrived behind it."""
        self.request_pending_ = self.has_next or self.is_in_head

    async def wait_sent(self) -> None:
        """Wait until the kernel has taken the whole answer, which has been written.

        The kernel delivers what it holds even if the process ends.
        """
        self.written_ = True
        transport = self.transport
        if transport is None or not self.unsent_bytes:
            return
        # Writing resumes only once nothing is left.
        transport.set_write_buffer_limits(high=0)
        try:
            await self._drain_helper()
        finally:
            transport.set_write_buffer_limits()

    def _process_keepalive(self) -> None:
        """Close the connection if it is idle, unless a longer limit is in force by now.

        aiohttp knows the limit of the time at which the connection was opened.
        """
        longer_s = self.idle_timeout().total_seconds() - self._keepalive_timeout
        close_at_s = self._next_keepalive_close_time + longer_s
        if longer_s > 0 and self._loop.time() < close_at_s:
            self._keepalive_handle = self._loop.call_at(
                close_at_s, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def close_if_idle(self) -> None:
        """Close the connection unless a request may be in progress."""
        if not self.request_pending_ and self.transport is not None:
            self.transport.close()


class Listener:
    """Serve HTTP on one address."""

    def __init__(
        self,
        handler: Handler,
        *,
        idle_timeout: timedelta = DEFAULT_IDLE_TIMEOUT,
        max_body: int = DEFAULT_MAX_BODY_BYTES,
        memory: MemoryBudget | None = None,
        table: ConnectionTable | None = None,
        on_cut: CutReport | None = None,
    ) -> None:
        self.handler = handler
        self.on_cut = on_cut
        self.memory = memory or MemoryBudget()
        self.table = table or ConnectionTable()
        self.idle_timeout = idle_timeout
        self.max_body = max_body
        self.server_: web.Server | None = None
        self.tcp_server_: asyncio.Server | None = None
        self.active_ = 0
        self.closing_ = False

    @property
    def active(self) -> int:
        """Return the number of requests whose answer is not sent yet.

        A request counts from its arrival, as its handler starts one iteration of the
        event loop later, until the kernel has taken its answer.
        """
        if self.server_ is None:
            return self.active_
        arrived = sum(connection.is_pending for connection in self.server_.connections)
        return max(self.active_, arrived)

    async def start(self, host: str, port: int) -> int:
        """Start accepting connections and return the port."""
        loop = asyncio.get_running_loop()
        self.server_ = web.Server(
            self._serve, request_factory=self._build_request, handler_cancellation=True
        )
        listening = socket.create_server((host, port), backlog=BACKLOG)
        self.tcp_server_ = await loop.create_server(
            self._build_connection, sock=listening, backlog=ACCEPT_BATCH
        )
        # The server listens with the size of its batch.
        listening.listen(BACKLOG)
        return listening.getsockname()[1]

    def set_limits(
        self,
        idle_timeout: timedelta,
        max_body: int,
        *,
        max_header: int,
        header_timeout: timedelta,
    ) -> None:
        """Set new limits; a longer idle timeout also holds for open connections."""
        self.max_body = max_body
        self.idle_timeout = idle_timeout
        self.table.set_client_limits(max_header, header_timeout, idle_timeout)

    def close(self) -> None:
        """Stop accepting connections; open ones stay usable."""
        if self.tcp_server_ is not None:
            self.tcp_server_.close()

    def close_idle(self) -> None:
        """Close idle connections now and others after their current request."""
        self.closing_ = True
        if self.server_ is not None:
            for connection in self.server_.connections:
                connection.close_if_idle()

    async def stop(self) -> None:
        """Close all connections."""
        self.close()
        if self.server_ is None:
            return
        connections = list(self.server_.connections)
        await self.server_.shutdown(SHUTDOWN_TIMEOUT.total_seconds())
        for connection in connections:
            connection.cut_unsent("stopped")

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request; it counts as answered once its response is sent."""
        self.active_ += 1
        request.protocol.mark_begun()
        request[LEASE] = lease = self.memory.open()
        lease.hold(HeldKind.HEAD, head_bytes(request.raw_headers, request.raw_path))
        answered = False
        try:
            response = await self.handler(request)
            transport = request.transport
            if transport is not None and not transport.is_closing():
                await response.prepare(request)
                await response.write_eof()
                release_body(response)
                # The caller may take the rest slowly.
                lease.keep_unsent(
                    request.protocol.unsent_bytes,
                    on_shed=partial(request.protocol.cut, "memory"),
                )
                await request.protocol.wait_sent()
            answered = True
            return response
        except Exception:
            # aiohttp closes the connection without a word if the answer has begun.
            if request.writer.output_size > 0:
                request.protocol.cut("error")
            raise
        finally:
            self.active_ -= 1
            request.protocol.mark_answered()
            if not answered:
                # aiohttp closes the connection, after a 500 if there is no answer yet.
                lease.close()
            else:
                request.protocol.keep(lease)
                if self.closing_:
                    request.protocol.close_if_idle()

    def _build_connection(self) -> _CallerConnection:
        return _CallerConnection(
            self.server_,
            self.table,
            on_cut=self.on_cut,
            idle_timeout=lambda: self.idle_timeout,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=self.idle_timeout.total_seconds(),
        )

    def _build_request(
        self, message, payload, protocol, writer, task
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            loop,
            client_max_size=self.max_body,
        )
