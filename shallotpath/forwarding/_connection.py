"""Pool connections to upstreams, built on aiohttp's client protocol."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial

from aiohttp import ClientError, StreamReader
from aiohttp.http import RawResponseMessage

from ..connections import READER_LOW_WATER_BYTES, limit_kernel_buffer
from ..core import Clock
from ..settings import check_host_port
from ._bounded import MAX_HEADER_BYTES, BoundedConnection, MalformedAnswerError
from ._journal import Reporter
from ._memory import HeldKind, Lease

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
# Bounds the request ids that a connection remembers.
MAX_REQUESTS_PER_CONNECTION = 64
# Time in which the connections of an upstream are used for one request each, after it
# sent a response that no request was waiting for.
SINGLE_USE_PERIOD = timedelta(seconds=30)
# An upstream from which bytes came within this time is not silent as a whole.
RECENTLY_HEARD = timedelta(milliseconds=300)
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
_LINE_BREAKS = b"\r\n"
# End of a body in chunks without trailers, and of any body in chunks.
_LAST_CHUNK = b"0\r\n\r\n"
_BLANK_LINE = b"\r\n\r\n"
# Ends of bodies that are looked for in one read; a body may hold the same bytes.
MAX_SPLITS_PER_READ = 64


class UnreachableError(Exception):
    """Report that no connection to an upstream was established."""


class JoinedAnswersError(MalformedAnswerError):
    """Report a head that begins in one response and ends in another."""


class UpstreamConnection(BoundedConnection):
    """Carry one request at a time to an upstream."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        upstream_id: str,
        address: str,
        number: int,
        reporter: Reporter,
        on_stutter: Callable[[str], None],
        on_heard: Callable[[str], None],
    ) -> None:
        super().__init__(loop)
        self.upstream_id = upstream_id
        self.address = address
        # Identifies the connection in logs.
        self.number = number
        self.reporter = reporter
        self.on_stutter = on_stutter
        self.on_heard = on_heard
        self.request_count_ = 0
        # Hashes of the ids of all requests that the connection has carried.
        self.carried_ids_: set[int] = set()
        self.awaiting_response_ = False
        # Bytes of the head that is being received, if the connection is in use again.
        self.head_ = bytearray()
        # The last bytes that were parsed, up to the length of a blank line.
        self.last_bytes_ = b""
        self.splits_left_ = 0
        self.in_body_ = False
        # Set if the beginning of a head may have come with the end of a body in chunks.
        self.rest_unknown_ = False
        # The request whose bytes the connection holds.
        self.lease: Lease | None = None
        self.held_kind_ = HeldKind.UNREAD
        # Bytes of bodies that were read since the request was sent.
        self.read_bytes_ = 0
        # Set if a response or other bytes belonged to no waiting request.
        self.stuttered_ = False
        self.close_error_: BaseException | None = None
        self.idle_since_: datetime | None = None
        self.idle_until_: datetime | None = None
        self.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READER_LOW_WATER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what the kernel holds of a response that is read slowly."""
        limit_kernel_buffer(transport, socket.SO_RCVBUF)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Keep the error, as a body that ends with a reset is incomplete."""
        self.close_error_ = exc
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; abort if any arrive while the connection is idle."""
        self.on_heard(self.upstream_id)
        if data and not self.awaiting_response_:
            self._report_unexpected(data)
            self.abort()
            self.record_stutter()
            return
        self.splits_left_ = MAX_SPLITS_PER_READ
        super().data_received(data)
        if data:
            self.count_unread()

    def consumed(self, size: int) -> None:
        """Count bytes of a body as read."""
        self.read_bytes_ += size
        self.count_unread()

    def count_unread(self) -> None:
        """Count the bytes of bodies that are not read yet for the request."""
        if self.lease is not None and self.bodies_:
            self.lease.hold(self.held_kind_, self.body_bytes - self.read_bytes_)

    def set_held_kind(self, kind: HeldKind) -> None:
        """Count unread bytes as another kind."""
        if self.lease is not None:
            self.lease.hold(self.held_kind_, 0)
        self.held_kind_ = kind
        self.count_unread()

    def return_lease(self) -> None:
        """Count nothing for the request any more."""
        if self.lease is not None:
            self.lease.drop(self.held_kind_)
        self.lease, self.held_kind_ = None, HeldKind.UNREAD

    def parse_end(self, data: bytes, start: int) -> int:
        """Return where to stop parsing, at the last chunk of a body at the latest."""
        end = super().parse_end(data, start)
        if self.in_head or not self.chunked_ or not self.splits_left_:
            return end
        joint = self.last_bytes_ + data[start:end]
        last_chunk = joint.find(_LAST_CHUNK)
        if last_chunk < 0:
            return end
        self.splits_left_ -= 1
        return start + last_chunk + len(_LAST_CHUNK) - len(self.last_bytes_)

    def parse(self, data: bytes) -> None:
        """Parse bytes; fail if the head of an earlier response is cut off in them.

        The next response would complete it: the status would be that of one response
        and the id that of the other.
        """
        self.in_body_ = not self.in_head
        if not self.in_body_ and self.reused and self._joins_heads(data):
            self.fail_and_close(JoinedAnswersError("a head in two parts"))
            return
        super().parse(data)
        self.last_bytes_ = (self.last_bytes_ + data)[-len(_BLANK_LINE) :]
        if self.in_body_ and self.ended:
            self.rest_unknown_ = self.may_hold_head

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], *sizes: int
    ) -> None:
        """Record a parsed head, unless it began behind a body in the same part."""
        self.head_.clear()
        if self.in_body_:
            self.fail_and_close(JoinedAnswersError("a head after the last chunk"))
            return
        super().feed_data(data, *sizes)

    def _joins_heads(self, data: bytes) -> bool:
        """Check whether a head that goes on with these bytes holds a status line."""
        self.head_ += data
        begin = len(self.head_) - len(self.head_.lstrip(_LINE_BREAKS))
        inside = _STATUS_LINE.search(self.head_, begin + 1)
        return self.rest_unknown_ or inside is not None

    def record_stutter(self) -> None:
        """Record that the upstream sent bytes that belong to no waiting request."""
        self.stuttered_ = True
        self.on_stutter(self.upstream_id)

    def may_carry(self, request_id: str) -> bool:
        """Check whether a response with an id can only belong to a new request.

        An upstream may write a response a second time, so a connection carries each id
        once. Requests without an id need a connection of their own.
        """
        if not self.request_count_:
            return True
        return bool(request_id) and hash(request_id) not in self.carried_ids_

    def send(self, payload: bytes, request_id: str) -> None:
        """Write a whole request."""
        if self.transport is None:
            raise ClientError("connection closed before the request was sent")
        self.restart()
        self.head_.clear()
        self.last_bytes_ = b""
        self.read_bytes_ = 0
        self.awaiting_response_ = True
        self.request_count_ += 1
        self.carried_ids_.add(hash(request_id))
        self.transport.write(payload)

    @property
    def may_hold_head(self) -> bool:
        """Check whether the parser may hold a part of a head behind a body in chunks.

        A head that ends in a blank line is complete, so the parser holds none.
        """
        return self.chunked_ and self.last_bytes_ != _BLANK_LINE

    @property
    def reused(self) -> bool:
        """Check whether the connection carried a request before."""
        return self.request_count_ > 1

    @property
    def is_reusable(self) -> bool:
        """Check whether the connection may carry another request."""
        return self.is_connected() and not self.should_close and not self.stuttered_

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
            upstream=self.upstream_id,
            address=self.address,
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
        self.single_use_until_by_id_: dict[str, datetime] = {}
        self.idle_by_id_: dict[str, deque[UpstreamConnection]] = {}
        # When the last bytes of each upstream arrived, on any connection.
        self.heard_at_by_id_: dict[str, datetime] = {}

    async def acquire(
        self, upstream_id: str, address: str, request_id: str, *, repeatable: bool
    ) -> UpstreamConnection:
        """Return an idle connection that may carry a request, or open one."""
        now = self.clock.now()
        idle = self.idle_by_id_.get(upstream_id, deque())
        # The most recently used one first.
        for connection in reversed(list(idle)):
            if not repeatable and now - connection.idle_since_ > MAX_TRUSTED_IDLE:
                break
            if connection.address != address or not self._usable(connection, now):
                idle.remove(connection)
                connection.close()
            elif connection.may_carry(request_id):
                idle.remove(connection)
                return connection
        return await self.open(upstream_id, address)

    def release(
        self,
        upstream_id: str,
        connection: UpstreamConnection,
        keep_alive: timedelta | None,
    ) -> None:
        """Return a connection to the pool after its response was read completely."""
        idle = self.idle_by_id_.setdefault(upstream_id, deque())
        full = len(idle) >= MAX_IDLE_PER_UPSTREAM
        worn_out = connection.request_count_ >= MAX_REQUESTS_PER_CONNECTION
        now = self.clock.now()
        connection.awaiting_response_ = False
        if connection.has_surplus:
            connection.record_stutter()
        if (
            full
            or worn_out
            or connection.may_hold_head
            or not connection.is_reusable
            or self.is_single_use(upstream_id, now)
        ):
            connection.close()
            return
        reuse_period = KEEP_ALIVE_FRACTION * (keep_alive or DEFAULT_KEEP_ALIVE)
        connection.idle_since_ = now
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
        for upstream_id in self.heard_at_by_id_.keys() - known_ids:
            del self.heard_at_by_id_[upstream_id]
        for upstream_id, until in list(self.single_use_until_by_id_.items()):
            if now >= until:
                del self.single_use_until_by_id_[upstream_id]

    def drop(self, upstream_id: str) -> None:
        """Abort the idle connections of an upstream that may have crashed."""
        for connection in self.idle_by_id_.pop(upstream_id, ()):
            connection.abort()

    def is_silent(self, upstream_id: str) -> bool:
        """Check whether an upstream has sent nothing on any connection lately."""
        heard_at = self.heard_at_by_id_.get(upstream_id)
        return heard_at is None or self.clock.now() - heard_at >= RECENTLY_HEARD

    def drop_unheard(self, upstream_id: str, since: datetime) -> None:
        """Abort the idle connections on which nothing has come since a time.

        A connection may have fallen silent for good while others of its upstream work.
        """
        idle = self.idle_by_id_.get(upstream_id, deque())
        for connection in list(idle):
            if connection.idle_since_ <= since:
                idle.remove(connection)
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(set())

    def is_single_use(self, upstream_id: str, now: datetime) -> bool:
        """Check whether an upstream has sent responses that nobody waited for."""
        until = self.single_use_until_by_id_.get(upstream_id)
        return until is not None and now < until

    def record_stutter(self, upstream_id: str) -> None:
        """Use the connections of an upstream once each for a time.

        Its next response may come late or in parts on any connection in use again.
        """
        until = self.clock.now() + SINGLE_USE_PERIOD
        self.single_use_until_by_id_[upstream_id] = until
        self.drop(upstream_id)

    def _record_heard(self, upstream_id: str) -> None:
        self.heard_at_by_id_[upstream_id] = self.clock.now()

    def _usable(self, connection: UpstreamConnection, now: datetime) -> bool:
        return connection.is_reusable and now < connection.idle_until_

    async def open(self, upstream_id: str, address: str) -> UpstreamConnection:
        """Open a connection or raise `UnreachableError`."""
        loop = asyncio.get_running_loop()
        self.opened_ += 1
        make_connection = partial(
            UpstreamConnection,
            loop,
            upstream_id=upstream_id,
            address=address,
            number=self.opened_,
            reporter=self.reporter,
            on_stutter=self.record_stutter,
            on_heard=self._record_heard,
        )
        try:
            host, port = check_host_port(address)
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, connection = await loop.create_connection(
                    make_connection, host, port
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise UnreachableError(f"{address}: {error!r}") from error
        return connection
