"""Decision whether a failed request is sent to another upstream."""

from __future__ import annotations

from datetime import datetime, timedelta

from ..core import RunState
from ._budget import RetryBudget
from ._call import GatewayCall
from ._outcomes import Failure

# An attempt with less time left cannot finish and would only use up the budget.
MIN_TIME_LEFT = timedelta(milliseconds=150)


class Retries:
    """Allow retries that are safe, within the timeout and within the budget."""

    __slots__ = ("budget",)

    def __init__(self, budget: RetryBudget) -> None:
        self.budget = budget

    def try_acquire(
        self,
        call: GatewayCall,
        failure: Failure,
        attempts: int,
        now: datetime,
    ) -> bool:
        """Return whether to retry; if so, spend a retry of the budget."""
        if failure.run is not RunState.NO and not call.route.repeatable:
            return False
        if attempts >= max(1, call.route.max_attempts):
            return False
        if call.time_left(now) < MIN_TIME_LEFT:
            return False
        return self.budget.try_spend(call.service, now)

    def give_back(self, call: GatewayCall) -> None:
        """Give back the last retry, as there is no upstream for it."""
        self.budget.give_back(call.service)
