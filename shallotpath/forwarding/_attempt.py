"""Send a request once, to one upstream, and read the response."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from datetime import datetime

from aiohttp import ClientError, StreamReader
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError

from ..gateway import (
    CompletionModel,
    Failure,
    FailureKind,
    Placement,
    UpstreamNotices,
)
from ..httpheads import is_interim
from ._bounded import EndlessAnswerError, MalformedAnswerError
from ._connection import ConnectionPool, UnreachableError, UpstreamConnection
from ._events import count_events
from ._journal import RequestJournal
from ._memory import HeldKind, Lease
from ._wire import HeaderCodec, ResponseFields

# Statuses that mean a refusal if the upstream also marks the request as not executed.
_REFUSAL_STATUSES = frozenset({400, 429, 503})
_MISDIRECTED_REQUEST = 421
_UNAVAILABLE = 503
_SERVER_ERROR = 500
_EVENT_STREAM = "text/event-stream"
# Responses to other requests that are discarded before the attempt fails.
MAX_MISMATCHED_RESPONSES = 3
# Body bytes of such a response that are discarded before the attempt fails.
MAX_MISMATCHED_BODY_BYTES = 256 * 1024
# Largest response body that is relayed: 16 times the default limit for request bodies.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MIN_EVENTS_OF_ANSWER = 2
# Statuses that tell a caller that its request did not run. Unless the upstream marks
# the request as not executed, that is unproven and they are not relayed.
_NOT_EXECUTED_STATUSES = frozenset({408, 429, 503})


class AttemptError(Exception):
    """Report the failure of an attempt."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure
        # Whether the failure has been recorded.
        self.recorded = False


def release_frames(error: BaseException) -> None:
    """Drop the frames that a handled error and its causes refer to.

    Tasks and readers keep the errors that end them, and the frames refer back to tasks,
    readers and what they hold. Such a cycle stays until a full garbage collection.
    """
    cause: BaseException | None = error
    while cause is not None:
        cause.__traceback__ = None
        cause = cause.__context__


def encode_request(
    method: str, target: str, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Return an encoded request; the target and headers are not normalized."""
    lines = [f"{method} {target} HTTP/1.1".encode("utf-8", "surrogateescape")]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in ("GET", "HEAD"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Attempt:
    """Send one request and read the head and body of its response."""

    def __init__(
        self,
        placement: Placement,
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        notices: UpstreamNotices,
        completions: CompletionModel,
        *,
        journal: RequestJournal,
        lease: Lease,
    ) -> None:
        self.placement = placement
        self.pool = pool
        self.header_codec = header_codec
        self.notices = notices
        self.completions = completions
        self.journal = journal
        self.lease = lease
        self.connection_: UpstreamConnection | None = None
        self.message_: RawResponseMessage | None = None
        self.payload_: StreamReader | None = None
        self.fields_: ResponseFields | None = None
        self.body_bytes_ = 0
        # Complete events of a stream that this attempt has relayed.
        self.events_ = 0
        self.answer_recorded = False
        self.sent_at: datetime | None = None
        self.head_at: datetime | None = None
        # When the last part of the answer was read, or the request was sent.
        self.heard_at: datetime | None = None
        self.begun_recorded = False

    @property
    def events(self) -> int:
        """Return the number of complete events received."""
        return self.events_

    @property
    def answer_begun(self) -> bool:
        """Check whether the upstream has begun to answer without crashing.

        An upstream may still send an event while it crashes.
        """
        return self.events_ >= MIN_EVENTS_OF_ANSWER

    @property
    def status(self) -> int:
        """Return the status of the response."""
        return self.message_.code

    async def connect(self, request_id: str, *, repeatable: bool) -> None:
        """Take a connection from the pool or open one."""
        record = self.placement.upstream.record
        try:
            self.connection_ = await self.pool.acquire(
                record.id, record.address, request_id, repeatable=repeatable
            )
        except UnreachableError as error:
            raise AttemptError(Failure(FailureKind.UNREACHABLE, str(error))) from error
        self.connection_.lease = self.lease

    async def exchange(self, payload: bytes, request_id: str) -> None:
        """Send the request and read the head of its response."""
        if not self.connection_.is_connected():
            detail = "the connection closed before the request was sent"
            raise AttemptError(Failure(FailureKind.EXPIRED, detail))
        try:
            self.sent_at = self.heard_at = self.pool.clock.now()
            self.connection_.send(payload, request_id)
            self.journal.sent(self.connection_.number, self.connection_.request_count_)
            await self._read_head(request_id)
        except (HttpProcessingError, MalformedAnswerError) as error:
            # The rest of an earlier response may have come before this one.
            self.connection_.record_stutter()
            raise AttemptError(Failure(FailureKind.GARBLED, repr(error))) from error
        except (ClientError, OSError) as error:
            raise AttemptError(Failure(FailureKind.LOST, repr(error))) from error
        self._check_status()

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""
        try:
            chunk = await self.payload_.readany()
        except MalformedAnswerError as error:
            raise AttemptError(Failure(FailureKind.GARBLED, repr(error))) from error
        except (ClientError, HttpProcessingError, OSError) as error:
            raise AttemptError(Failure(FailureKind.LOST, repr(error))) from error
        if not chunk and self.connection_.close_error_ is not None:
            # A body without a length ends when the connection closes; a reset means
            # that it was truncated.
            raise AttemptError(
                Failure(FailureKind.LOST, repr(self.connection_.close_error_))
            )
        if chunk:
            self.heard_at = self.pool.clock.now()
            self.connection_.consumed(len(chunk))
        self.body_bytes_ += len(chunk)
        if self.body_bytes_ > MAX_RESPONSE_BYTES:
            raise AttemptError(
                Failure(FailureKind.GARBLED, f"body over {MAX_RESPONSE_BYTES} bytes")
            )
        return chunk

    def count_events(self, complete: bytes) -> None:
        """Count the complete events of a stream."""
        self.events_ += count_events(complete)

    @property
    def is_event_stream(self) -> bool:
        """Check whether the response is a stream of events; assume so by default."""
        content_type = self.message_.headers.get("Content-Type", _EVENT_STREAM)
        return content_type.partition(";")[0].strip().lower() == _EVENT_STREAM

    def check_stream_end(self, pending: bytes) -> None:
        """Raise `AttemptError` if a stream ended before its last event was complete."""
        headers = self.message_.headers
        is_framed = self.message_.chunked or "Content-Length" in headers
        if pending.strip():
            detail = "stream ended inside an event"
        elif not self.events_ and not is_framed:
            detail = "stream ended before its first event"
        else:
            return
        raise AttemptError(Failure(FailureKind.LOST, detail))

    def finish(self) -> None:
        """Return the connection to the pool after the whole body was read."""
        connection, self.connection_ = self.connection_, None
        if connection is None:
            return
        connection.return_lease()
        # An upstream that responded before it had read the whole request still
        # expects the rest of it, so the connection cannot be reused.
        if not connection.request_written:
            connection.abort()
            return
        record = self.placement.upstream.record
        self.pool.release(record.id, connection, self.fields_.keep_alive)

    def count_for(self, lease: Lease) -> None:
        """Count unread bytes for another lease from now on."""
        self.lease = lease
        if self.connection_ is not None:
            self.connection_.return_lease()
            self.connection_.lease = lease
            self.connection_.count_unread()

    def abort(self) -> None:
        """Close the connection, which makes the upstream cancel the request."""
        connection, self.connection_ = self.connection_, None
        if connection is not None:
            connection.return_lease()
            connection.abort()

    async def _read_head(self, request_id: str) -> None:
        mismatched_count = 0
        while mismatched_count <= MAX_MISMATCHED_RESPONSES:
            message, payload = await self.connection_.next_response()
            # The connection limits the number of interim (1xx) responses.
            if is_interim(message.code):
                continue
            fields = self.header_codec.read_response(message.headers)
            # Without an id, only the first response on a connection is certain to
            # belong to its request.
            is_unlabelled = not fields.request_id and not self.connection_.reused
            if fields.request_id == request_id or is_unlabelled:
                self.message_, self.payload_, self.fields_ = message, payload, fields
                self.head_at = self.pool.clock.now()
                self._record_notice(fields)
                return
            # A late response to an earlier request on this connection.
            self.journal.discarded(message.code, fields.request_id)
            mismatched_count += 1
            self.connection_.record_stutter()
            await self._discard_body(payload)
        raise AttemptError(
            Failure(FailureKind.GARBLED, "responses belong to other requests")
        )

    async def _discard_body(self, payload: StreamReader) -> None:
        """Read and drop the body of a response to another request."""
        connection = self.connection_
        connection.set_held_kind(HeldKind.DISCARDED)
        discarded_bytes = 0
        while chunk := await payload.readany():
            connection.consumed(len(chunk))
            discarded_bytes += len(chunk)
            if discarded_bytes > MAX_MISMATCHED_BODY_BYTES:
                raise EndlessAnswerError("long body of a response to another request")
        connection.set_held_kind(HeldKind.UNREAD)

    def _record_notice(self, fields: ResponseFields) -> None:
        """Record what the upstream says of itself, unless another one responded."""
        record = self.placement.upstream.record
        is_misdirected = self.status == _MISDIRECTED_REQUEST
        answered_by = fields.upstream_id or ("" if is_misdirected else record.id)
        if answered_by != record.id:
            return
        now = self.head_at
        if fields.load is not None:
            self.completions.record_report(record.id, fields.load, now)
        elif fields.load_unreadable:
            self.journal.unreadable_load(record.id)
        if fields.leaving:
            self.notices.record_leaving(record)
        if self.status == _UNAVAILABLE and fields.retry_after is not None:
            self.notices.record_closed(record, fields.retry_after, now)

    def _check_status(self) -> None:
        status, fields = self.status, self.fields_
        if status == _MISDIRECTED_REQUEST:
            raise AttemptError(self._misdirected_failure(fields))
        if fields.not_executed and status in _REFUSAL_STATUSES:
            raise AttemptError(
                Failure(FailureKind.REFUSED, f"status {status}", fields.retry_after)
            )
        if status in _NOT_EXECUTED_STATUSES:
            raise AttemptError(Failure(FailureKind.GARBLED, f"status {status}"))
        if status < _SERVER_ERROR and not fields.sealed:
            raise AttemptError(
                Failure(FailureKind.GARBLED, f"status {status} without a server seal")
            )

    def _misdirected_failure(self, fields: ResponseFields) -> Failure:
        answered_by = fields.upstream_id
        if answered_by and answered_by != self.placement.upstream.id:
            detail = f"address belongs to {answered_by}"
            return Failure(FailureKind.REPLACED, detail, fields.retry_after)
        detail = f"status {self.status}"
        return Failure(FailureKind.MISDIRECTED, detail, fields.retry_after)


async def wait_for_task(task: asyncio.Task[None], limit_s: float | None) -> bool:
    """Wait for a task and return whether it ended within the time limit."""
    done, _ = await asyncio.wait({task}, timeout=limit_s)
    return bool(done)
