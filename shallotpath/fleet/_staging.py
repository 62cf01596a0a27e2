"""Staging area of an engine: chunks of one version, verified before their load."""

from __future__ import annotations

from asyncio import gather
from datetime import datetime, timedelta

from ..core import Clock, sha256_hex
from ..platform import CallError, EngineClient, HttpCaller, open_chunk_session
from ..swarm import SwarmPlan
from ._reporter import LineReporter

# Staged chunks may turn corrupt at any time, and one that has been corrupt for 3 s must
# not be loaded. The rest of the 3 s is left for the engine to accept the order.
MAX_VERIFICATION_AGE = timedelta(seconds=2)
# A verification that takes longer than that age can never be followed by an order, so
# it must not wait for each read of a slow engine in turn.
PARALLEL_READS = 4
NOT_FOUND_STATUS = 404


class VerificationExpiredError(CallError):
    """Report that an order to load was withheld as its chunks must be read again."""


class EngineStaging:
    """Stage the chunks of a transfer at the engine and order their load."""

    def __init__(
        self, engine: EngineClient, clock: Clock, reporter: LineReporter
    ) -> None:
        self.engine = engine
        self.clock = clock
        self.reporter = reporter
        self.plan_: SwarmPlan | None = None
        # Indices of the chunks that were staged or found intact.
        self.staged_: set[int] = set()
        # When the oldest of the reads that verified the chunks began.
        self.verified_at_: datetime | None = None

    def begin(self, plan: SwarmPlan, *, staged: bool = False) -> None:
        """Begin with the chunks of a version; some or all may be staged already."""
        self.plan_ = plan
        self.staged_ = set(range(len(plan.digests))) if staged else set()
        self.verified_at_ = None

    def forget(self) -> None:
        """Forget what was staged, as the engine has restarted."""
        self.staged_.clear()
        self.verified_at_ = None

    async def recover(self, plan: SwarmPlan) -> int:
        """Reuse chunks staged by an earlier process here and return their number."""
        try:
            held = await self.engine.staged_indices(plan.model)
            chunks = [await self.engine.staged(plan.model, index) for index in held]
        except CallError as error:
            self.reporter.event("staging_unread", detail=error.message)
            return 0
        return plan.reuse(chunks)

    async def add(self, plan: SwarmPlan, index: int) -> None:
        """Stage a received chunk; a failed one is staged again before the load."""
        chunk = plan.chunk(index)
        if chunk is None or index in self.staged_:
            return
        try:
            await self.engine.stage(plan.model, index, chunk)
        except CallError as error:
            self.reporter.event("staging_failed", index=index, detail=error.message)
        else:
            if plan is self.plan_:
                self.staged_.add(index)

    async def verify(self, plan: SwarmPlan) -> bool:
        """Stage all chunks and read them back; return whether all are intact."""
        self.verified_at_ = None
        for index in range(len(plan.digests)):
            chunk = plan.chunk(index)
            if chunk is None:
                return False
            if index not in self.staged_:
                await self.engine.stage(plan.model, index, chunk)
                self.staged_.add(index)
        started_at = self.clock.now()
        # A connection that is kept from an earlier verification may still bring a late
        # copy of what was staged then.
        async with open_chunk_session() as session:
            engine = self.engine.with_chunk_caller(HttpCaller(session))
            for first in range(0, len(plan.digests), PARALLEL_READS):
                indices = range(first, min(first + PARALLEL_READS, len(plan.digests)))
                reads = (_is_intact(engine, plan, index) for index in indices)
                for index, intact in zip(indices, await gather(*reads), strict=True):
                    if not intact:
                        self.staged_.discard(index)
                        self.reporter.event("staged_chunk_spoilt", index=index)
        if len(self.staged_) != len(plan.digests):
            return False
        self.verified_at_ = started_at
        return True

    async def load(self, plan: SwarmPlan, orders_accepted: int) -> None:
        """Order the load of verified chunks or raise `CallError`."""
        self._check_verification()
        await self.engine.load(plan.model, plan.version, orders_accepted)

    def _check_verification(self) -> None:
        """Raise `VerificationExpiredError` if the chunks were read too long ago.

        The process may have been paused since then.
        """
        verified_at = self.verified_at_
        age = None if verified_at is None else self.clock.now() - verified_at
        if age is None or age > MAX_VERIFICATION_AGE:
            raise VerificationExpiredError(
                f"staged chunks were verified {age} ago, more than "
                f"{MAX_VERIFICATION_AGE}; they will be read again before the load"
            )


async def _is_intact(engine: EngineClient, plan: SwarmPlan, index: int) -> bool:
    """Check whether a staged chunk is still there and has the right digest."""
    try:
        staged = await engine.staged(plan.model, index)
    except CallError as error:
        if error.status == NOT_FOUND_STATUS:
            return False
        raise
    return sha256_hex(staged) == plan.digests[index]
