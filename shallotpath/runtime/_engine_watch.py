"""Polling of the engine: its state, crashes and new incarnations."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from ..core import Clock, EngineObserved
from ._engine_client import EngineBusyError, EngineClient, EngineDownError

POLL_INTERVAL_S = 0.25
# The engine counts as unavailable for new work once its last state is this old.
STALE_AFTER = timedelta(seconds=3)


class EngineWatch:
    """Poll the engine's state and report each loss once."""

    __slots__ = (
        "client",
        "clock",
        "lock_",
        "observed_",
        "observed_at_",
        "on_lost",
        "on_observed",
    )

    def __init__(
        self,
        client: EngineClient,
        clock: Clock,
        on_observed: Callable[[EngineObserved], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self.client = client
        self.clock = clock
        self.on_observed = on_observed
        self.on_lost = on_lost
        self.observed_: EngineObserved | None = None
        self.observed_at_: datetime | None = None
        self.lock_ = asyncio.Lock()

    @property
    def incarnation(self) -> str:
        """Return the last reported incarnation, or `""` while the engine is down."""
        return self.observed_.incarnation if self.observed_ else ""

    @property
    def digest(self) -> str:
        """Return the last reported digest, or `""` while the engine is down."""
        return self.observed_.digest if self.observed_ else ""

    def available(self, now: datetime) -> bool:
        """Check whether the engine reported its state recently."""
        return self.observed_ is not None and now - self.observed_at_ < STALE_AFTER

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.observe()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def observe(self) -> None:
        """Read the engine's state once."""
        async with self.lock_:
            try:
                observed = await self.client.observe()
            except EngineDownError:
                self._record_loss("")
            except EngineBusyError:
                return
            else:
                self._record_state(observed)

    def _record_state(self, observed: EngineObserved) -> None:
        if self.observed_ and self.observed_.incarnation != observed.incarnation:
            self._record_loss(observed.incarnation)
        self.observed_ = observed
        self.observed_at_ = self.clock.now()
        self.on_observed(observed)

    def _record_loss(self, new_incarnation: str) -> None:
        if self.observed_ is not None:
            self.observed_ = None
            self.on_lost(new_incarnation)
