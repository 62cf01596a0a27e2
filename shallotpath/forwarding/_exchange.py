"""Send one request, retry it if allowed, and relay the response to the caller."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import datetime, timedelta
from functools import partial

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
from ._attempt import (
    Attempt,
    AttemptError,
    encode_request,
    release_frames,
    wait_for_task,
)
from ._caller import CallerDisconnectedError, CallerResponse
from ._deadlines import expire
from ._events import EndlessEventError, EventSplitter
from ._failures import FailureRecorder
from ._idle_limit import IdleLimit
from ._journal import RequestJournal
from ._measurements import record_answer_time, record_first_token
from ._memory import FREE_SHARE, MIN_ALLOWANCE_BYTES, HeldKind, Lease
from ._parts import ForwarderParts
from ._responses import BufferedResponse, refusal, relayed_headers
from ._wire import OutgoingFields

# The upstream stops work at the deadline; this leaves time for its response to arrive.
DEADLINE_GRACE = timedelta(milliseconds=60)
# A repeatable request is retried elsewhere if its upstream sends nothing for this many
# target latencies of the route.
SILENCE_IN_TARGET_LATENCIES = 3
MIN_SILENCE_LIMIT = timedelta(milliseconds=300)
# A stream is resumed elsewhere if its upstream completes no event for this many gap
# targets of the route.
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
# A connect takes up to 400 ms. A placement that is older when its request could be sent
# was delayed, and its upstream may have left meanwhile.
MAX_PLACEMENT_AGE = timedelta(milliseconds=800)
_OK = 200
_REDIRECT = 300
_SERVER_ERROR = 500


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
        self.attempt_: Attempt | None = None
        self.caller_ = CallerResponse(request, lease)
        self.events_ = EventSplitter()
        self.error_response_: BufferedResponse | None = None
        self.may_have_run_ = False
        # Already chosen for a request whose upstream is silent.
        self.next_placement_: Placement | None = None
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
                release_frames(error)
            self._note_failure(failure)
            next_placement, self.next_placement_ = self.next_placement_, None
            next_placement = next_placement or self._choose_retry(failure)
            if next_placement is None:
                return await self._final_failure_response(failure)
            decision = next_placement

    def _choose_upstream(self) -> Placement | Rejection:
        return self.parts.dispatcher.choose(
            self.call, self.tried_ids_, self.parts.clock.now()
        )

    def _choose_retry(self, failure: Failure) -> Placement | None:
        """Return where to retry, charged to the retry budget; None if not allowed."""
        if self.caller_.started and not self._resumable:
            return None
        if self._crashes_upstreams(failure):
            return None
        if failure.kind in (FailureKind.UNREACHABLE, FailureKind.EXPIRED):
            self.unsent_attempts_ += 1
            if self.unsent_attempts_ > MAX_UNSENT_RETRIES:
                return None
        next_placement = self._choose_upstream()
        if isinstance(next_placement, Rejection):
            self.journal.rejected(next_placement, self.parts.clock.now())
            self.rejection_ = next_placement
            return None
        # A request that reached no upstream needs no retry from the budget.
        if self.send_count_ == 0:
            return next_placement
        now = self.parts.clock.now()
        allowed = self.parts.retries.try_acquire(
            self.call, failure, self.send_count_, now
        )
        return next_placement if allowed else None

    def _crashes_upstreams(self, failure: Failure) -> bool:
        """Check whether a part of the prompt may crash the next upstream too."""
        suspects, shared_parts = self.parts.suspects.parts, self.call.shared_parts
        if suspects.find_refused(shared_parts, self.parts.clock.now()):
            return True
        lost_unanswered = (
            failure.kind is FailureKind.LOST and not self.attempt_.answer_begun
        )
        return lost_unanswered and suspects.is_suspected(shared_parts)

    @property
    def _resumable(self) -> bool:
        route = self.call.route
        return route.kind is RouteKind.STREAM and route.resumable

    async def _attempt(self, placement: Placement) -> web.StreamResponse:
        upstream = placement.upstream
        self.tried_ids_.add(upstream.id)
        upstreams = self.parts.dispatcher.upstreams
        attempt = Attempt(
            placement,
            self.parts.pool,
            self.parts.header_codec,
            upstreams.notices,
            self.parts.dispatcher.loads.completions,
            journal=self.journal,
            lease=self.lease,
        )
        self.attempt_ = attempt
        loads = self.parts.dispatcher.loads
        # Callers choose the ids of requests and may use one twice at a time.
        key = f"{next(self.parts.attempt_numbers)}"
        now = self.parts.clock.now()
        loads.sent(
            key,
            upstream.id,
            self.call.prompt_tokens,
            now,
            yielding=placement.yielding,
            rank_priority=placement.rank_priority,
        )
        try:
            await attempt.connect(
                self.call.request_id, repeatable=self.call.route.repeatable
            )
            self._check_deadline()
            self._check_placement(placement, now)
            self.send_count_ += 1
            await self._exchange(attempt, placement)
            response = await self._relay(attempt, key)
            self._record_answer(attempt)
            record_answer_time(self.parts, self.call, attempt)
            attempt.finish()
            self.parts.dispatcher.breaker.record_success(upstream.id)
            self.parts.suspects.completed(self.call.fingerprint)
            return response
        finally:
            loads.ended(key)
            attempt.abort()
            self._return_memory()

    def _return_memory(self) -> None:
        """Give back what an attempt held, but for a kept server error."""
        self.lease.drop(HeldKind.EVENT, HeldKind.RESPONSE, HeldKind.ERROR)
        if self.error_response_ is not None:
            self.lease.hold(HeldKind.ERROR, len(self.error_response_.body))

    def _check_deadline(self) -> None:
        """Raise `TimeoutError` if the deadline of the request has passed."""
        if self.call.time_left(self.parts.clock.now()) <= timedelta():
            raise TimeoutError

    def _check_placement(self, placement: Placement, placed_at: datetime) -> None:
        """Raise `AttemptError` if the decision to send does not hold any more."""
        now = self.parts.clock.now()
        start_deadline = placement.start_deadline
        outdated = start_deadline is not None and now >= start_deadline
        if outdated or now - placed_at > MAX_PLACEMENT_AGE:
            raise AttemptError(
                Failure(FailureKind.EXPIRED, f"placed {now - placed_at} ago")
            )
        if not self.parts.dispatcher.upstreams.is_current(placement.upstream, now):
            raise AttemptError(Failure(FailureKind.EXPIRED, "the upstream has left"))

    async def _exchange(self, attempt: Attempt, placement: Placement) -> None:
        now = self.parts.clock.now()
        outgoing_fields = OutgoingFields(
            upstream_id=placement.upstream.id,
            time_left=self.call.time_left(now),
            team=self.call.team,
            version=placement.version,
            priority=placement.priority if self.call.model else None,
            last_event_id=self.events_.last_id,
        )
        headers = self.parts.header_codec.outgoing(
            self.request.raw_headers, outgoing_fields
        )
        payload = encode_request(
            self.request.method, self.request.raw_path, headers, self.body
        )
        task = asyncio.ensure_future(attempt.exchange(payload, self.call.request_id))
        try:
            async with self._start_timeout(placement, now):
                if not await wait_for_task(task, self._head_limit(placement)):
                    self._retry_elsewhere_if_possible("no response")
                await task
        finally:
            task.cancel()

    @asynccontextmanager
    async def _start_timeout(
        self, placement: Placement, now: datetime
    ) -> AsyncIterator[None]:
        """Raise `AttemptError` if a request on outdated weights starts too late."""
        if placement.start_deadline is None:
            yield
            return
        try:
            async with self.parts.deadlines.until(placement.start_deadline, now):
                yield
        except TimeoutError as error:
            detail = "not started before its weights were outdated"
            raise AttemptError(Failure(FailureKind.OUTDATED, detail)) from error

    def _head_limit(self, placement: Placement) -> float | None:
        if not self.call.route.repeatable:
            return None
        targets = SILENCE_IN_TARGET_LATENCIES * self.call.route.target_latency
        limit = max(MIN_SILENCE_LIMIT, targets) + placement.prediction.first_token
        return limit.total_seconds()

    def _retry_elsewhere_if_possible(self, detail: str) -> None:
        """Raise if a retry is allowed; otherwise the upstream may still respond."""
        failure = Failure(FailureKind.SILENT, detail)
        self.next_placement_ = self._choose_retry(failure)
        if self.next_placement_ is not None:
            raise AttemptError(failure)

    async def _relay(self, attempt: Attempt, key: str) -> web.StreamResponse:
        is_stream = self.call.route.kind is RouteKind.STREAM and attempt.is_event_stream
        if attempt.status == _OK and is_stream:
            return await self._relay_stream(attempt, key)
        if self.caller_.started:
            detail = f"status {attempt.status}, no events, to a resumed stream"
            raise AttemptError(Failure(FailureKind.FAILED, detail))
        self._record_begun(attempt)
        return await self._relay_plain(attempt)

    async def _relay_plain(self, attempt: Attempt) -> web.StreamResponse:
        chunks: deque[bytes] = deque()
        size = 0
        limit = max(
            MIN_STALL_LIMIT,
            SILENCE_IN_TARGET_LATENCIES * self.call.route.target_latency,
        )
        idle_limit = IdleLimit(limit, self.parts.clock, "body is not complete")
        is_error = attempt.status >= _SERVER_ERROR
        kind = HeldKind.ERROR if is_error else HeldKind.RESPONSE
        while size <= MIN_ALLOWANCE_BYTES or size <= self._buffer_limit():
            chunk = await self._read_or_retry(attempt, idle_limit)
            if not chunk:
                return self._respond_buffered(attempt, b"".join(chunks))
            chunks.append(chunk)
            size += len(chunk)
            self.lease.hold(kind, size)
        if is_error and self.call.route.repeatable:
            detail = f"status {attempt.status} with a long body"
            raise AttemptError(Failure(FailureKind.FAILED, detail))
        await self._start_response(attempt)
        while chunks:
            size -= len(chunks[0])
            self.lease.hold(kind, size)
            await self.caller_.write(chunks.popleft())
        while chunk := await attempt.read():
            await self.caller_.write(chunk)
        return await self.caller_.end()

    def _buffer_limit(self) -> int:
        """Return how much of a response may be held before it is passed on."""
        return min(MAX_BUFFERED_BYTES, self.lease.budget.allowance(FREE_SHARE))

    def _respond_buffered(self, attempt: Attempt, body: bytes) -> web.StreamResponse:
        buffered = BufferedResponse(
            attempt.status,
            attempt.message_.reason,
            relayed_headers(attempt.message_.headers),
            body,
        )
        if buffered.status >= _SERVER_ERROR:
            self.error_response_ = buffered
            if self.call.route.repeatable:
                attempt.finish()
                detail = f"status {buffered.status}"
                raise AttemptError(Failure(FailureKind.FAILED, detail))
            self.outcome_ = "upstream_failed"
        return self._build_response(buffered)

    async def _relay_stream(self, attempt: Attempt, key: str) -> web.StreamResponse:
        self.events_.discard_pending()
        stall = max(MIN_STALL_LIMIT, STALL_IN_GAP_TARGETS * self.call.route.gap_target)
        idle_limit = IdleLimit(stall, self.parts.clock, "pause in the stream")
        while chunk := await self._read_or_retry(attempt, idle_limit):
            complete = self._complete_events(chunk)
            self.lease.hold(HeldKind.EVENT, self.events_.pending_bytes)
            if complete:
                if not attempt.events:
                    record_first_token(self.parts, self.call, attempt)
                attempt.count_events(complete)
                if attempt.answer_begun:
                    self._record_answer(attempt)
                self.parts.dispatcher.loads.first_token(key)
                self._record_begun(attempt)
                await self._start_response(attempt)
                await self.caller_.write(complete)
                # The time in which a slow caller blocked the write does not count.
                idle_limit.renew()
        rest = self.events_.take_pending()
        attempt.check_stream_end(rest)
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

    def _complete_events(self, chunk: bytes) -> bytes:
        try:
            return self.events_.feed(chunk)
        except EndlessEventError as error:
            raise AttemptError(Failure(FailureKind.GARBLED, str(error))) from error

    async def _read_or_retry(self, attempt: Attempt, idle_limit: IdleLimit) -> bytes:
        task = asyncio.ensure_future(attempt.read())
        try:
            if not self.call.route.repeatable:
                return await task
            while not await wait_for_task(task, idle_limit.remaining_s):
                idle_limit.renew()
                self._retry_elsewhere_if_possible(idle_limit.detail)
            return await task
        finally:
            task.cancel()

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

    def _note_failure(self, failure: Failure) -> None:
        now = self.parts.clock.now()
        self.journal.failed(failure, self.attempt_.events, now)
        if failure.run is not RunState.NO:
            self.may_have_run_ = True
        self.failures.record(self.call, self.attempt_, failure, now)

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
