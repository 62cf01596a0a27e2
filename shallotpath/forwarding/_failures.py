"""Record failed attempts with the parts of an entry that avoid failing upstreams."""

from __future__ import annotations

import asyncio
from datetime import datetime

from ..core import Clock
from ..gateway import (
    Breaker,
    CrashSuspects,
    Failure,
    FailureKind,
    GatewayCall,
    LostRequest,
    Upstream,
    UpstreamTable,
)
from ._attempt import Attempt
from ._connection import ConnectionPool, UnreachableError
from ._journal import Reporter, report_crash


class FailureRecorder:
    """Record failures of upstreams and find out which of them have crashed."""

    def __init__(
        self,
        *,
        upstreams: UpstreamTable,
        breaker: Breaker,
        pool: ConnectionPool,
        suspects: CrashSuspects,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self.upstreams = upstreams
        self.breaker = breaker
        self.pool = pool
        self.suspects = suspects
        self.clock = clock
        self.reporter = reporter
        self.checks_by_id_: dict[str, asyncio.Task[None]] = {}

    def record(
        self, call: GatewayCall, attempt: Attempt, failure: Failure, now: datetime
    ) -> None:
        """Record how an attempt failed."""
        upstream = attempt.placement.upstream
        match failure.kind:
            case FailureKind.UNREACHABLE:
                self._record_gone(upstream.id, failure.kind, now)
            case FailureKind.REPLACED:
                # The old upstream's record expires only seconds later; until then
                # requests sent to its address would waste time.
                self.upstreams.drop(upstream.id)
                self.pool.drop(upstream.id)
                self._record_crash(upstream.id, failure.kind, now)
            case FailureKind.SILENT:
                self._record_silence(upstream.id, attempt.heard_at, now)
            case FailureKind.LOST:
                self.breaker.record_failure(upstream.id, now)
                self._record_loss(call, attempt, now)
            case FailureKind.GARBLED | FailureKind.FAILED:
                self.breaker.record_failure(upstream.id, now)
            case _:
                pass

    def _record_silence(self, upstream_id: str, since: datetime, now: datetime) -> None:
        """Record that an upstream sends nothing, unless only one answer is late."""
        if self.pool.is_silent(upstream_id):
            self.breaker.record_unreachable(upstream_id, now)
        self.pool.drop_unheard(upstream_id, since)

    def _record_loss(self, call: GatewayCall, attempt: Attempt, now: datetime) -> None:
        record = attempt.placement.upstream.record
        unanswered_parts = () if attempt.answer_begun else call.shared_parts
        self.suspects.record_lost_connection(
            LostRequest(
                call.fingerprint,
                record.id,
                f"{record.id}/{record.started_ms}",
                now,
                unanswered_parts,
            )
        )
        if unanswered_parts and record.id not in self.checks_by_id_:
            self._start_check(attempt.placement.upstream, now)

    def _start_check(self, upstream: Upstream, now: datetime) -> None:
        """Find out by a connect whether an upstream has crashed."""
        task = asyncio.ensure_future(self._check(upstream, now))
        self.checks_by_id_[upstream.id] = task
        task.add_done_callback(lambda _: self.checks_by_id_.pop(upstream.id))

    async def _check(self, upstream: Upstream, started_at: datetime) -> None:
        try:
            connection = await self.pool.open(upstream.id, upstream.record.address)
        except UnreachableError:
            self._record_gone(upstream.id, "connect", self.clock.now())
            return
        self.pool.release(upstream.id, connection, None)
        self.suspects.clear_losses(upstream.id, started_at)

    def _record_gone(self, upstream_id: str, evidence: str, now: datetime) -> None:
        self.breaker.record_unreachable(upstream_id, now)
        self.pool.drop(upstream_id)
        self._record_crash(upstream_id, evidence, now)

    def _record_crash(self, upstream_id: str, evidence: str, now: datetime) -> None:
        losses = self.suspects.record_crash(upstream_id, now)
        if losses:
            report_crash(self.reporter, upstream_id, evidence, losses)
