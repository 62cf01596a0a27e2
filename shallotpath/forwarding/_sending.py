"""Send a request to the upstream that was chosen for it, until its answer is read."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import datetime, timedelta

from aiohttp import web

from ..gateway import Failure, FailureKind, GatewayCall, Placement, RouteKind
from ._attempt import Attempt, AttemptError, encode_request
from ._journal import RequestJournal
from ._memory import HeldKind, Lease
from ._parts import ForwarderParts
from ._responses import BufferedResponse, relayed_headers
from ._wire import OutgoingFields

# A connect takes up to 400 ms. A placement that is older when its request could be sent
# was delayed, and its upstream may have left meanwhile.
MAX_PLACEMENT_AGE = timedelta(milliseconds=800)
_OK = 200


@dataclass(slots=True, frozen=True)
class Outgoing:
    """Hold what is sent for a request, whichever upstream gets it."""

    parts: ForwarderParts
    request: web.BaseRequest
    call: GatewayCall
    body: bytes
    journal: RequestJournal


class Sending:
    """Send a request to one upstream and read its answer."""

    def __init__(
        self, outgoing: Outgoing, placement: Placement, lease: Lease, last_event_id: str
    ) -> None:
        self.outgoing = outgoing
        self.parts = parts = outgoing.parts
        self.call = call = outgoing.call
        self.placement = placement
        self.lease = lease
        # The stream is resumed behind this event.
        self.last_event_id = last_event_id
        self.attempt = Attempt(
            placement,
            parts.pool,
            parts.header_codec,
            parts.dispatcher.upstreams.notices,
            parts.dispatcher.loads.completions,
            journal=outgoing.journal,
            lease=lease,
        )
        # Callers choose the ids of requests and may use one twice at a time.
        self.key = f"{next(parts.attempt_numbers)}"
        # Parts of the body that were read ahead.
        self.chunks_: deque[bytes] = deque()
        self.chunk_bytes_ = 0
        self.ended_ = False
        self.placed_at_ = parts.clock.now()
        parts.dispatcher.loads.sent(
            self.key,
            placement.upstream.id,
            call.prompt_tokens,
            self.placed_at_,
            yielding=placement.yielding,
            rank_priority=placement.rank_priority,
        )

    @property
    def upstream_id(self) -> str:
        """Return the id of the upstream."""
        return self.placement.upstream.id

    @property
    def chunk_bytes(self) -> int:
        """Return the bytes of the body that were read ahead."""
        return self.chunk_bytes_

    @property
    def has_chunks(self) -> bool:
        """Check whether parts were read ahead."""
        return bool(self.chunks_)

    @property
    def ended(self) -> bool:
        """Check whether the whole body was read ahead."""
        return self.ended_

    @property
    def has_head(self) -> bool:
        """Check whether the head of the answer was read."""
        return self.attempt.message_ is not None

    @property
    def is_stream(self) -> bool:
        """Check whether the answer is a stream of events."""
        return (
            self.attempt.status == _OK
            and self.call.route.kind is RouteKind.STREAM
            and self.attempt.is_event_stream
        )

    async def connect(self) -> None:
        """Connect to the upstream; raise if the decision does not hold any more."""
        await self.attempt.connect(
            self.call.request_id, repeatable=self.call.route.repeatable
        )
        self._check_deadline()
        self._check_placement()

    async def send(self) -> None:
        """Send the request and read the head of the answer."""
        now = self.parts.clock.now()
        placement, request = self.placement, self.outgoing.request
        outgoing_fields = OutgoingFields(
            upstream_id=placement.upstream.id,
            time_left=self.call.time_left(now),
            team=self.call.team,
            version=placement.version,
            priority=placement.priority if self.call.model else None,
            last_event_id=self.last_event_id,
        )
        headers = self.parts.header_codec.outgoing(request.raw_headers, outgoing_fields)
        payload = encode_request(
            request.method, request.raw_path, headers, self.outgoing.body
        )
        async with self._start_timeout(now):
            await self.attempt.exchange(payload, self.call.request_id)

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""
        if self.chunks_:
            chunk = self.chunks_.popleft()
            self.chunk_bytes_ -= len(chunk)
            return chunk
        return b"" if self.ended_ else await self.attempt.read()

    async def read_ahead(self) -> bytes:
        """Return the next bytes of the body and keep them for `read`."""
        chunk = await self.attempt.read()
        if chunk:
            self.chunks_.append(chunk)
            self.chunk_bytes_ += len(chunk)
            self.lease.hold(HeldKind.RESPONSE, self.chunk_bytes_)
        else:
            self.ended_ = True
        return chunk

    def take_all(self) -> bytes:
        """Return what was read ahead."""
        self.chunk_bytes_ = 0
        body = b"".join(self.chunks_)
        self.chunks_.clear()
        return body

    def buffered(self, body: bytes) -> BufferedResponse:
        """Return the answer with its whole body."""
        message = self.attempt.message_
        return BufferedResponse(
            message.code, message.reason, relayed_headers(message.headers), body
        )

    def adopt(self, lease: Lease) -> None:
        """Count what the answer holds for another lease from now on."""
        own, self.lease = self.lease, lease
        self.attempt.count_for(lease)
        if self.chunk_bytes_:
            lease.hold(HeldKind.RESPONSE, self.chunk_bytes_)
        own.close()

    def close(self) -> None:
        """End the request at the upstream unless its answer is complete."""
        self.parts.dispatcher.loads.ended(self.key)
        self.attempt.abort()
        self.lease.drop(HeldKind.EVENT, HeldKind.RESPONSE, HeldKind.ERROR)

    def _check_deadline(self) -> None:
        """Raise `TimeoutError` if the deadline of the request has passed."""
        if self.call.time_left(self.parts.clock.now()) <= timedelta():
            raise TimeoutError

    def _check_placement(self) -> None:
        """Raise `AttemptError` if the decision to send does not hold any more."""
        now = self.parts.clock.now()
        age = now - self.placed_at_
        start_deadline = self.placement.start_deadline
        outdated = start_deadline is not None and now >= start_deadline
        if outdated or age > MAX_PLACEMENT_AGE:
            raise AttemptError(Failure(FailureKind.EXPIRED, f"placed {age} ago"))
        if not self.parts.dispatcher.upstreams.is_current(self.placement.upstream, now):
            raise AttemptError(Failure(FailureKind.EXPIRED, "the upstream has left"))

    @asynccontextmanager
    async def _start_timeout(self, now: datetime) -> AsyncIterator[None]:
        """Raise `AttemptError` if a request on outdated weights starts too late."""
        start_deadline = self.placement.start_deadline
        if start_deadline is None:
            yield
            return
        try:
            async with self.parts.deadlines.until(start_deadline, now):
                yield
        except TimeoutError as error:
            detail = "not started before its weights were outdated"
            raise AttemptError(Failure(FailureKind.OUTDATED, detail)) from error
