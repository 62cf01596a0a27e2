"""Send one request, retry it if allowed, and relay the response to the caller."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from datetime import timedelta
from functools import partial
from typing import TypeVar

from aiohttp import web

from ..core import RunState
from ..gateway import (
    Failure,
    FailureKind,
    GatewayCall,
    Placement,
    Rejection,
    RouteKind,
)
from ._attempt import Attempt, AttemptError, release_frames
from ._caller import CallerDisconnectedError, CallerResponse
from ._deadlines import expire
from ._events import EndlessEventError, EventSplitter
from ._failures import FailureRecorder
from ._hedges import HedgeEnd, Hedges, discard
from ._idle_limit import IdleLimit
from ._journal import RequestJournal
from ._measurements import record_answer_time, record_first_token
from ._memory import FREE_SHARE, MIN_ALLOWANCE_BYTES, HeldKind, Lease
from ._parts import ForwarderParts
from ._responses import BufferedResponse, refusal, relayed_headers
from ._sending import Outgoing, Sending

# The upstream stops work at the deadline; this leaves time for its response to arrive.
DEADLINE_GRACE = timedelta(milliseconds=60)
# A repeatable request is sent elsewhere too if its upstream sends nothing for this many
# target latencies of the route.
SILENCE_IN_TARGET_LATENCIES = 3
MIN_SILENCE_LIMIT = timedelta(milliseconds=300)
# A stream is asked for elsewhere too if its upstream completes no event for this many
# gap targets of the route.
STALL_IN_GAP_TARGETS = 2
MIN_STALL_LIMIT = timedelta(milliseconds=800)
# Responses up to this size are buffered before the first byte is sent to the caller,
# so that the request can be retried if the response is truncated.
MAX_BUFFERED_BYTES = 256 * 1024
# Retry-After of a request that ran nowhere; short, as another upstream can take it at
# once.
REFUSED_RETRY_AFTER = timedelta(milliseconds=100)
# Upstreams that are tried after a failed connect or an expired placement. They do not
# count as attempts, as the request reached no upstream.
MAX_UNSENT_RETRIES = 4
_OK = 200
_REDIRECT = 300
_SERVER_ERROR = 500
_T = TypeVar("_T")


class Exchange:
    """Forward one request to an upstream and its response to the caller."""

    def __init__(
        self,
        *,
        parts: ForwarderParts,
        request: web.BaseRequest,
        call: GatewayCall,
        body: bytes,
        journal: RequestJournal,
        failures: FailureRecorder,
        lease: Lease,
    ) -> None:
        self.parts = parts
        self.request = request
        self.call = call
        self.body = body
        self.journal = journal
        self.failures = failures
        self.lease = lease
        self.send_count_ = 0
        self.unsent_attempts_ = 0
        self.tried_ids_: set[str] = set()
        self.outgoing_ = Outgoing(parts, request, call, body, journal)
        self.sending_: Sending | None = None
        self.hedges_ = Hedges()
        self.caller_ = CallerResponse(request, lease)
        self.events_ = EventSplitter()
        self.error_response_: BufferedResponse | None = None
        self.may_have_run_ = False
        # Whether an upstream was lost to a part of the prompt that is suspected.
        self.crashing_ = False
        # Why there was no other upstream for the last retry.
        self.rejection_: Rejection | None = None
        self.outcome_ = "served"

    @property
    def outcome(self) -> str:
        """Return how the request ended, for logs and metrics."""
        return self.outcome_

    async def run(self) -> web.StreamResponse:
        """Return the response for the caller."""
        now = self.parts.clock.now()
        try:
            async with self.parts.deadlines.until(
                self.call.ends_at + DEADLINE_GRACE, now
            ) as timeout:
                self.lease.on_shed = partial(expire, timeout)
                return await self._run()
        except TimeoutError:
            return self._timeout_response()
        except CallerDisconnectedError:
            self.outcome_ = "caller_gone"
            return self.caller_.abort(self.outcome_)
        finally:
            # The caller may still read a whole response slowly.
            self.lease.on_shed = self.caller_.abort

    async def _run(self) -> web.StreamResponse:
        decision = self._choose_upstream()
        while True:
            if isinstance(decision, Rejection):
                return self._rejection_response(decision)
            self.journal.placed(decision, self.parts.clock.now())
            try:
                return await self._attempt(decision)
            except AttemptError as error:
                failure = error.failure
                self._note_failure(error, self.sending_)
                release_frames(error)
            next_placement = self._choose_retry(failure, self.sending_)
            if next_placement is None:
                return await self._final_failure_response(failure)
            decision = next_placement

    def _choose_upstream(self) -> Placement | Rejection:
        return self.parts.dispatcher.choose(
            self.call, self.tried_ids_, self.parts.clock.now()
        )

    def _choose_retry(self, failure: Failure, failed: Sending) -> Placement | None:
        """Return where to retry, charged to the retry budget; None if not allowed."""
        if self.caller_.started and not self._resumable:
            return None
        if self._crashes_upstreams(failure, failed):
            return None
        if failure.kind in (FailureKind.UNREACHABLE, FailureKind.EXPIRED):
            self.unsent_attempts_ += 1
            if self.unsent_attempts_ > MAX_UNSENT_RETRIES:
                return None
        now, retries = self.parts.clock.now(), self.parts.retries
        # A request that reached no upstream needs no retry from the budget.
        charged = self.send_count_ > 0
        attempts = self.send_count_ + self.hedges_.unsent
        # A placement counts against the limits of its upstream, so this comes first.
        if charged and not retries.try_acquire(self.call, failure, attempts, now):
            return None
        next_placement = self._choose_upstream()
        if isinstance(next_placement, Placement):
            return next_placement
        if charged:
            retries.give_back(self.call)
        self.journal.rejected(next_placement, now)
        self.rejection_ = next_placement
        return None

    def _crashes_upstreams(self, failure: Failure, failed: Sending) -> bool:
        """Check whether a part of the prompt may crash the next upstream too."""
        suspects, shared_parts = self.parts.suspects.parts, self.call.shared_parts
        if suspects.find_refused(shared_parts, self.parts.clock.now()):
            return True
        if failure.kind is FailureKind.LOST and not failed.attempt.answer_begun:
            # Another attempt may fail later, in a way that would allow a retry.
            self.crashing_ |= suspects.is_suspected(shared_parts)
        return self.crashing_

    @property
    def _resumable(self) -> bool:
        route = self.call.route
        return route.kind is RouteKind.STREAM and route.resumable

    async def _attempt(self, placement: Placement) -> web.StreamResponse:
        self.events_.discard_pending()
        self.sending_ = self._make_sending(placement, self.lease)
        try:
            await self.sending_.connect()
            self.send_count_ += 1
            response = await self._relay_answer()
            sending, attempt = self.sending_, self.sending_.attempt
            self._record_answer(attempt)
            record_answer_time(self.parts, self.call, attempt)
            attempt.finish()
            self.parts.dispatcher.breaker.record_success(sending.upstream_id)
            self.parts.suspects.completed(self.call.fingerprint)
            return response
        finally:
            self.hedges_.close()
            self._close_sending()

    def _make_sending(self, placement: Placement, lease: Lease) -> Sending:
        self.tried_ids_.add(placement.upstream.id)
        return Sending(self.outgoing_, placement, lease, self.events_.last_id)

    async def _relay_answer(self) -> web.StreamResponse:
        """Relay the answer of the upstream, or of a hedge that answers before it."""
        limit = self._make_head_limit() if self.call.route.repeatable else None
        response = None
        while response is None:
            try:
                if not self.sending_.has_head:
                    await self._wait(self.sending_.send(), limit)
                response = await self._relay(self.sending_)
            except AttemptError as error:
                await self._fall_back(error)
        return response

    async def _wait(
        self, part: Coroutine[None, None, _T], limit: IdleLimit | None
    ) -> _T | None:
        """Return the next part of the answer; `None` if a hedge has answered.

        With a limit, start a hedge whenever it is reached, if a retry is allowed.
        """
        task = asyncio.ensure_future(part)
        try:
            while not task.done():
                limit_s = None if limit is None else limit.remaining_s
                ended = await self.hedges_.wait(task, limit_s)
                if ended is not None:
                    if self._take(ended):
                        return None
                elif not task.done():
                    limit.renew()
                    failure = Failure(FailureKind.SILENT, limit.detail)
                    if self._start_hedge(failure, self.sending_):
                        self._note_failure(AttemptError(failure), self.sending_)
            return task.result()
        finally:
            discard(task)

    async def _fall_back(self, error: AttemptError) -> None:
        """Take the answer of a hedge after a failure; raise if none answers."""
        self._note_failure(error, self.sending_)
        release_frames(error)
        self._close_sending()
        limit = self._make_head_limit()
        while not self.hedges_.is_empty:
            ended = await self.hedges_.wait(None, limit.remaining_s)
            if ended is None:
                limit.renew()
                failure = Failure(FailureKind.SILENT, limit.detail)
                self._start_hedge(failure, self.sending_)
            elif self._take(ended):
                return
            else:
                # The last failure decides on a retry.
                error, self.sending_ = ended.error, ended.sending
        raise error

    def _take(self, ended: HedgeEnd) -> bool:
        """Switch to a hedge that has answered; try another one if it has failed."""
        if ended.error is None:
            self._switch_to(ended.sending)
            return True
        self._note_failure(ended.error, ended.sending)
        self._start_hedge(ended.error.failure, ended.sending)
        return False

    def _start_hedge(self, failure: Failure, failed: Sending) -> bool:
        """Send the request to another upstream too, if a retry is allowed."""
        placement = self._choose_retry(failure, failed)
        if placement is None:
            return False
        self.journal.placed(placement, self.parts.clock.now())
        hedge = self._make_sending(placement, self.lease.budget.open())
        self.hedges_.start(hedge, self._open_hedge)
        return True

    async def _open_hedge(self, sending: Sending) -> None:
        """Send the request as a hedge and read until the answer has begun."""
        await sending.connect()
        self.send_count_ += 1
        await sending.send()
        if sending.is_stream:
            events = EventSplitter()
            while chunk := await sending.read_ahead():
                if self._complete_events(events, chunk):
                    return
            sending.attempt.check_stream_end(events.take_pending())
            return
        self._check_resumable(sending.attempt)
        while not sending.ended and sending.chunk_bytes <= self._buffer_limit():
            await sending.read_ahead()
        if sending.attempt.status >= _SERVER_ERROR:
            if sending.ended:
                self.error_response_ = sending.buffered(sending.take_all())
            detail = f"status {sending.attempt.status}"
            raise AttemptError(Failure(FailureKind.FAILED, detail))

    def _switch_to(self, sending: Sending) -> None:
        """Take the answer of a hedge in place of that of a silent upstream."""
        self.hedges_.close()
        self._close_sending()
        self.events_.discard_pending()
        sending.adopt(self.lease)
        self.sending_ = sending

    def _close_sending(self) -> None:
        """End the request at its upstream; keep the memory of a server error."""
        self.sending_.close()
        if self.error_response_ is not None:
            self.lease.hold(HeldKind.ERROR, len(self.error_response_.body))

    def _make_head_limit(self) -> IdleLimit:
        targets = SILENCE_IN_TARGET_LATENCIES * self.call.route.target_latency
        predicted = self.sending_.placement.prediction.first_token
        limit = max(MIN_SILENCE_LIMIT, targets) + predicted
        return IdleLimit(limit, self.parts.clock, "no response")

    async def _relay(self, sending: Sending) -> web.StreamResponse | None:
        """Relay an answer; return `None` if a hedge has taken its place."""
        if sending.is_stream:
            return await self._relay_stream(sending)
        self._check_resumable(sending.attempt)
        self._record_begun(sending.attempt)
        return await self._relay_plain(sending)

    def _check_resumable(self, attempt: Attempt) -> None:
        """Raise `AttemptError` if an answer cannot continue a stream that has begun."""
        if self.caller_.started:
            detail = f"status {attempt.status}, no events, to a resumed stream"
            raise AttemptError(Failure(FailureKind.FAILED, detail))

    async def _relay_plain(self, sending: Sending) -> web.StreamResponse | None:
        chunks: deque[bytes] = deque()
        attempt, size = sending.attempt, 0
        limit = max(
            MIN_STALL_LIMIT,
            SILENCE_IN_TARGET_LATENCIES * self.call.route.target_latency,
        )
        idle_limit = IdleLimit(limit, self.parts.clock, "body is not complete")
        is_error = attempt.status >= _SERVER_ERROR
        kind = HeldKind.ERROR if is_error else HeldKind.RESPONSE
        while size <= MIN_ALLOWANCE_BYTES or size <= self._buffer_limit():
            chunk = await self._read(sending, idle_limit)
            if chunk is None:
                return None
            if not chunk:
                return self._respond_buffered(sending, b"".join(chunks))
            chunks.append(chunk)
            size += len(chunk)
            self.lease.hold(kind, size + sending.chunk_bytes)
        if is_error and self.call.route.repeatable:
            detail = f"status {attempt.status} with a long body"
            raise AttemptError(Failure(FailureKind.FAILED, detail))
        self.hedges_.close()
        await self._start_response(attempt)
        while chunks:
            size -= len(chunks[0])
            self.lease.hold(kind, size + sending.chunk_bytes)
            await self.caller_.write(chunks.popleft())
        while chunk := await sending.read():
            await self.caller_.write(chunk)
        return await self.caller_.end()

    def _buffer_limit(self) -> int:
        """Return how much of a response may be held before it is passed on."""
        return min(MAX_BUFFERED_BYTES, self.lease.budget.allowance(FREE_SHARE))

    def _respond_buffered(self, sending: Sending, body: bytes) -> web.StreamResponse:
        buffered = sending.buffered(body)
        if buffered.status >= _SERVER_ERROR:
            self.error_response_ = buffered
            if self.call.route.repeatable:
                sending.attempt.finish()
                detail = f"status {buffered.status}"
                raise AttemptError(Failure(FailureKind.FAILED, detail))
            self.outcome_ = "upstream_failed"
        return self._build_response(buffered)

    async def _relay_stream(self, sending: Sending) -> web.StreamResponse | None:
        attempt = sending.attempt
        stall = max(MIN_STALL_LIMIT, STALL_IN_GAP_TARGETS * self.call.route.gap_target)
        idle_limit = IdleLimit(stall, self.parts.clock, "pause in the stream")
        while chunk := await self._read(sending, idle_limit):
            complete = self._complete_events(self.events_, chunk)
            self.lease.hold(HeldKind.EVENT, self.events_.pending_bytes)
            if complete:
                self.hedges_.close()
                if not attempt.events:
                    record_first_token(self.parts, self.call, attempt)
                attempt.count_events(complete)
                if attempt.answer_begun:
                    self._record_answer(attempt)
                self.parts.dispatcher.loads.first_token(sending.key)
                self._record_begun(attempt)
                await self._start_response(attempt)
                await self.caller_.write(complete)
                # The time in which a slow caller blocked the write does not count.
                idle_limit.renew()
        if chunk is None:
            return None
        rest = self.events_.take_pending()
        attempt.check_stream_end(rest)
        self.hedges_.close()
        await self._start_response(attempt)
        await self.caller_.write(rest)
        return await self.caller_.end()

    def _record_begun(self, attempt: Attempt) -> None:
        """Tell once that the upstream of an attempt has begun to run the request."""
        if not attempt.begun_recorded and self.parts.on_begun is not None:
            attempt.begun_recorded = True
            self.parts.on_begun(self.call.team)

    def _record_answer(self, attempt: Attempt) -> None:
        """Record once that the upstream of an attempt did not crash."""
        if not attempt.answer_recorded and _OK <= attempt.status < _REDIRECT:
            attempt.answer_recorded = True
            now = self.parts.clock.now()
            self.parts.suspects.parts.record_answer(self.call.shared_parts, now)

    def _complete_events(self, events: EventSplitter, chunk: bytes) -> bytes:
        try:
            return events.feed(chunk)
        except EndlessEventError as error:
            raise AttemptError(Failure(FailureKind.GARBLED, str(error))) from error

    async def _read(self, sending: Sending, idle_limit: IdleLimit) -> bytes | None:
        """Return the next bytes; `None` if a hedge has answered in their place."""
        if not self.call.route.repeatable or sending.has_chunks:
            return await sending.read()
        return await self._wait(sending.read(), idle_limit)

    async def _start_response(self, attempt: Attempt) -> None:
        if self.caller_.started:
            return
        self.journal.first_byte_at = self.parts.clock.now()
        await self.caller_.start(
            attempt.status,
            attempt.message_.reason,
            relayed_headers(attempt.message_.headers),
            close=self.parts.stopping,
        )

    def _build_response(self, buffered: BufferedResponse) -> web.Response:
        self.journal.first_byte_at = self.parts.clock.now()
        # The body and its copy in the buffer of the caller's connection.
        self.lease.hold(HeldKind.UNSENT, 2 * len(buffered.body))
        return buffered.build()

    def _note_failure(self, error: AttemptError, sending: Sending) -> None:
        """Record a failure once."""
        if error.recorded:
            return
        error.recorded = True
        now, failure = self.parts.clock.now(), error.failure
        self.journal.failed(failure, sending.attempt.events, now)
        if failure.run is not RunState.NO:
            self.may_have_run_ = True
        self.failures.record(self.call, sending.attempt, failure, now)

    async def _final_failure_response(self, failure: Failure) -> web.StreamResponse:
        """Return the response for a request that is not retried any more."""
        if self.caller_.started:
            self.outcome_ = "broken_off"
            return self.caller_.abort(failure.kind)
        if self.error_response_ is not None:
            self.outcome_ = "upstream_failed"
            return self._build_response(self.error_response_)
        if not self.may_have_run_:
            self.outcome_ = "refused"
            if failure.kind is FailureKind.EXPIRED and self.rejection_ is not None:
                return refusal(503, self.rejection_.reason, self.rejection_.retry_after)
            wait = failure.retry_after or REFUSED_RETRY_AFTER
            return refusal(503, f"upstream: {failure.kind}", wait)
        self.outcome_ = "failed"
        return refusal(502, f"upstream: {failure.kind}")

    def _rejection_response(self, rejection: Rejection) -> web.StreamResponse:
        self.journal.rejected(rejection, self.parts.clock.now())
        self.outcome_ = "refused"
        return refusal(503, rejection.reason, rejection.retry_after)

    def _timeout_response(self) -> web.StreamResponse:
        self.outcome_ = "timed_out"
        detail = "no answer within the route's timeout"
        if self.lease.is_shed:
            detail = "ended for want of memory"
            self.outcome_ = "shed"
            self.journal.shed(self.parts.clock.now())
        if self.caller_.started:
            return self.caller_.abort(self.outcome_)
        if self.send_count_ == 0:
            return refusal(503, "no upstream could be reached in time")
        return refusal(504, detail)
