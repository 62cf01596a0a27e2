"""Policy that decides whether and when to retry a call."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from ..config import ConfigurationView
from ..core import Code, RunState
from ..limits import Call

BASE_DELAY = timedelta(milliseconds=20)
MAX_DELAY = timedelta(seconds=1)
MAX_ATTEMPTS = 4
# Retries available to a team with little traffic, and the time to regain one.
FLOOR_RETRIES = 3.0
FLOOR_REFILL_PERIOD = timedelta(seconds=10)
# Caps the unused budget, so that retries not used in quiet times cannot add up to a
# retry storm.
MAX_SAVED_RETRIES = 100.0

FINAL_CODES = frozenset(
    {
        Code.MALFORMED_REQUEST,
        Code.BODY_TOO_LARGE,
        Code.UNAUTHORIZED,
        Code.UNKNOWN_SERVICE,
        Code.TEAM_LIMIT,
        Code.QUARANTINED,
        Code.DEADLINE_EXCEEDED,
        Code.SLOW_READER,
        Code.CANCELLED,
        Code.CLAIM_IN_PROGRESS,
        Code.CLAIM_UNKNOWN,
    }
)


@dataclass(slots=True)
class _Budget:
    retries: float = FLOOR_RETRIES
    refilled_at: datetime | None = None


class RetryPolicy:
    """Allow retries that are safe, before the deadline and within the team's budget."""

    __slots__ = ("budgets_by_team_", "configuration", "rng")

    def __init__(self, configuration: ConfigurationView, rng: Random) -> None:
        self.configuration = configuration
        self.rng = rng
        self.budgets_by_team_: dict[str, _Budget] = {}

    def started(self, call: Call) -> None:
        """Count a first attempt."""
        budget = self._budget(call.team)
        share = self.configuration.preset.retry_share
        budget.retries = min(MAX_SAVED_RETRIES, budget.retries + share)

    def next(
        self,
        call: Call,
        code: Code,
        run: RunState,
        attempts: int,
        now: datetime,
        *,
        retry_after: timedelta | None = None,
    ) -> timedelta | None:
        """Return the delay before another attempt, or `None` to give up.

        Pass `retry_after` if the next attempt goes to the upstream that sent it.
        """
        if not self._allowed(call, code, run) or attempts >= MAX_ATTEMPTS:
            return None
        delay = max(self._back_off(attempts), retry_after or timedelta())
        if now + delay >= call.deadline or not self._spend(call.team, now):
            return None
        return delay

    def _allowed(self, call: Call, code: Code, run: RunState) -> bool:
        if code in FINAL_CODES or run is RunState.YES:
            return False
        return run is RunState.NO or call.repeatable

    def _back_off(self, attempts: int) -> timedelta:
        ceiling = min(MAX_DELAY, BASE_DELAY * 2 ** (attempts - 1))
        return ceiling * self.rng.uniform(0.5, 1.0)

    def _spend(self, team: str, now: datetime) -> bool:
        budget = self._budget(team)
        if budget.refilled_at is not None and budget.retries < FLOOR_RETRIES:
            earned = (now - budget.refilled_at) / FLOOR_REFILL_PERIOD
            budget.retries = min(FLOOR_RETRIES, budget.retries + earned)
        budget.refilled_at = now
        if budget.retries < 1.0:
            return False
        budget.retries -= 1.0
        return True

    def _budget(self, team: str) -> _Budget:
        return self.budgets_by_team_.setdefault(team, _Budget())
