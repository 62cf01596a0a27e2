"""Prediction of how long a queued call waits."""

from __future__ import annotations

from datetime import datetime, timedelta

from ._model import Call

FACTOR_SMOOTHING = 0.05
MIN_FACTOR = 0.8
MAX_FACTOR = 3.0
# Predictions below this are too short to learn the factor from.
MIN_WAIT_S = 0.02


class WaitEstimate:
    """Predict waits and learn for each team the ratio of actual to predicted wait.

    Calls of other teams that arrive later may run first, so a team above its fair
    share waits longer than the number of calls ahead of it suggests.
    """

    __slots__ = ("wait_factor_by_team_", "waiting_by_id_")

    def __init__(self) -> None:
        self.wait_factor_by_team_: dict[str, float] = {}
        self.waiting_by_id_: dict[str, tuple[datetime, float]] = {}

    def predict(self, team: str, ahead: int, run_s: float, limit: int) -> timedelta:
        """Return the expected wait of a team's call behind `ahead` others."""
        factor = self.wait_factor_by_team_.get(team, 1.0)
        return timedelta(seconds=factor * _base_wait_s(ahead, run_s, limit))

    def queued(
        self, call: Call, ahead: int, run_s: float, limit: int, now: datetime
    ) -> None:
        """Record that a call starts to wait."""
        self.waiting_by_id_[call.request_id] = (now, _base_wait_s(ahead, run_s, limit))

    def stopped_waiting(self, call: Call, now: datetime) -> None:
        """Update the wait factor of the team of a call that started or expired."""
        since, base_s = self.waiting_by_id_.pop(call.request_id, (now, 0.0))
        if base_s < MIN_WAIT_S:
            return
        ratio = (now - since).total_seconds() / base_s
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, ratio))
        known = self.wait_factor_by_team_.get(call.team, 1.0)
        self.wait_factor_by_team_[call.team] = known + FACTOR_SMOOTHING * (
            ratio - known
        )

    def dropped(self, call: Call) -> None:
        """Forget a call that left the queue for another reason."""
        self.waiting_by_id_.pop(call.request_id, None)

    def forget(self) -> None:
        """Reset the wait factors after the speed of the upstream changed."""
        self.wait_factor_by_team_.clear()


def _base_wait_s(ahead: int, run_s: float, limit: int) -> float:
    return run_s * (ahead + 1) / max(1, limit)
