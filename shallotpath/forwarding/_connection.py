"""Pool connections to upstreams, built on aiohttp's client protocol."""

from __future__ import annotations

import asyncio
from collections import deque
from datetime import datetime, timedelta

from aiohttp import ClientError, StreamReader
from aiohttp.http import RawResponseMessage

from ..core import Clock
from ..settings import check_host_port
from ._bounded import MAX_HEADER_BYTES, BoundedConnection
from ._journal import Reporter

# Round trips take up to about 4 ms; a lost SYN is only retransmitted after 1 s.
CONNECT_TIMEOUT = timedelta(milliseconds=400)
# Keep-alive time for an upstream that announces none.
DEFAULT_KEEP_ALIVE = timedelta(seconds=2)
# Part of the keep-alive time in which a connection is reused, so that no request is
# sent while the upstream is closing the connection.
KEEP_ALIVE_FRACTION = 0.6
# An upstream may drop an idle connection without notice; whether a request sent on it
# ran is then unknown. A request that is not repeatable therefore only reuses a
# connection that has been idle for at most this long. A new connection costs the
# upstream 1 ms.
MAX_TRUSTED_IDLE = timedelta(milliseconds=200)
MAX_IDLE_PER_UPSTREAM = 16


class UnreachableError(Exception):
    """Report that no connection to an upstream was established."""


class UpstreamConnection(BoundedConnection):
    """Carry one request at a time to an upstream."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, number: int, reporter: Reporter
    ) -> None:
        super().__init__(loop)
        # Identifies the connection in logs.
        self.number = number
        self.reporter = reporter
        self.request_count_ = 0
        self.close_error_: BaseException | None = None
        self.idle_since_: datetime | None = None
        self.idle_until_: datetime | None = None
        self.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Keep the error, as a body that ends with a reset is incomplete."""
        self.close_error_ = exc
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; abort if any arrive while the connection is idle."""
        if data and self.idle_until_ is not None:
            self._report_unexpected(data)
            self.abort()
            return
        super().data_received(data)

    def send(self, payload: bytes) -> None:
        """Write a whole request."""
        if self.transport is None:
            raise ClientError("connection closed before the request was sent")
        self.restart()
        self.idle_until_ = None
        self.request_count_ += 1
        self.transport.write(payload)

    @property
    def reused(self) -> bool:
        """Check whether the connection carried a request before."""
        return self.idle_since_ is not None

    @property
    def request_written(self) -> bool:
        """Check whether the whole request was handed to the kernel."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() == 0

    async def next_response(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head and body of the next response."""
        return await self.read()

    def _report_unexpected(self, data: bytes) -> None:
        """Log bytes that came while no request was waiting for a response."""
        self.reporter.count("unexpected_bytes")
        self.reporter.event(
            "unexpected_bytes",
            connection=self.number,
            requests=self.request_count_,
            size=len(data),
        )


class ConnectionPool:
    """Keep idle connections by upstream id and open new ones."""

    def __init__(self, clock: Clock, reporter: Reporter) -> None:
        self.clock = clock
        self.reporter = reporter
        self.opened_ = 0
        self.idle_by_id_: dict[str, deque[UpstreamConnection]] = {}

    async def acquire(
        self, upstream_id: str, address: str, *, repeatable: bool
    ) -> UpstreamConnection:
        """Return an idle connection, or open one."""
        now = self.clock.now()
        idle = self.idle_by_id_.get(upstream_id, ())
        while idle:
            # The most recently used one.
            connection = idle[-1]
            if not repeatable and now - connection.idle_since_ > MAX_TRUSTED_IDLE:
                break
            idle.pop()
            if self._usable(connection, now):
                return connection
            connection.close()
        return await self.open(address)

    def release(
        self,
        upstream_id: str,
        connection: UpstreamConnection,
        keep_alive: timedelta | None,
    ) -> None:
        """Return a connection to the pool after its response was read completely."""
        idle = self.idle_by_id_.setdefault(upstream_id, deque())
        full = len(idle) >= MAX_IDLE_PER_UPSTREAM
        if full or connection.should_close or not connection.is_connected():
            connection.close()
            return
        reuse_period = KEEP_ALIVE_FRACTION * (keep_alive or DEFAULT_KEEP_ALIVE)
        connection.idle_since_ = self.clock.now()
        connection.idle_until_ = connection.idle_since_ + reuse_period
        idle.append(connection)

    def prune(self, known_ids: set[str]) -> None:
        """Close idle connections that expired or whose upstream is not known."""
        now = self.clock.now()
        for upstream_id, idle in list(self.idle_by_id_.items()):
            for _ in range(len(idle)):
                connection = idle.popleft()
                if upstream_id in known_ids and self._usable(connection, now):
                    idle.append(connection)
                else:
                    connection.close()
            if not idle:
                del self.idle_by_id_[upstream_id]

    def drop(self, upstream_id: str) -> None:
        """Abort the idle connections of an upstream that may have crashed."""
        for connection in self.idle_by_id_.pop(upstream_id, ()):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(set())

    def _usable(self, connection: UpstreamConnection, now: datetime) -> bool:
        return (
            connection.is_connected()
            and not connection.should_close
            and connection.idle_until_ is not None
            and now < connection.idle_until_
        )

    async def open(self, address: str) -> UpstreamConnection:
        """Open a connection or raise `UnreachableError`."""
        loop = asyncio.get_running_loop()
        self.opened_ += 1
        number = self.opened_
        try:
            host, port = check_host_port(address)
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(loop, number, self.reporter), host, port
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise UnreachableError(f"{address}: {error!r}") from error
        return connection
