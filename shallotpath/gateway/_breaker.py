"""Circuit breaker for upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

INITIAL_PAUSE = timedelta(milliseconds=250)
# A crashed upstream restarts within seconds, and each request that probes it too early
# costs a retry.
MAX_PAUSE = timedelta(seconds=2)
# Failure ratio of recent requests above which an upstream counts as faulty.
FAULTY_FAILURE_RATIO = 0.3
# Weight of the newest outcome in the moving average.
FAILURE_RATIO_WEIGHT = 0.15
# Time for which a faulty upstream gets no requests. It doubles with each failure after
# such a time, since each entry finds out by itself whether the upstream has recovered.
INITIAL_FAULTY_TIME = timedelta(seconds=4)
MAX_FAULTY_TIME = timedelta(seconds=32)


@dataclass(slots=True)
class _State:
    paused_until: datetime
    failures: int = 0
    failure_ratio: float = 0.0
    # Times that the upstream was found faulty since it was last sound.
    faults: int = 0
    faulty_until: datetime | None = None


class Breaker:
    """Track which upstreams are unreachable or fail many of their requests."""

    __slots__ = ("states_by_id_",)

    def __init__(self) -> None:
        self.states_by_id_: dict[str, _State] = {}

    def is_available(self, upstream_id: str, now: datetime) -> bool:
        """Check whether an upstream may be tried."""
        state = self.states_by_id_.get(upstream_id)
        return state is None or now >= state.paused_until

    def faulty(self, upstream_id: str, now: datetime) -> bool:
        """Check whether an upstream failed many of its requests recently."""
        state = self.states_by_id_.get(upstream_id)
        if state is None or state.faulty_until is None:
            return False
        return now < state.faulty_until

    def record_unreachable(self, upstream_id: str, now: datetime) -> timedelta:
        """Record that an upstream was unreachable and return the pause."""
        state = self._state(upstream_id, now)
        pause = min(MAX_PAUSE, INITIAL_PAUSE * 2 ** min(state.failures, 8))
        state.failures += 1
        state.paused_until = max(state.paused_until, now + pause)
        return pause

    def record_failure(self, upstream_id: str, now: datetime) -> None:
        """Record an invalid or missing answer."""
        state = self._state(upstream_id, now)
        state.failure_ratio += FAILURE_RATIO_WEIGHT * (1 - state.failure_ratio)
        if state.failure_ratio <= FAULTY_FAILURE_RATIO:
            return
        # Requests that were sent before the upstream was found faulty fail once more.
        if state.faulty_until is None or now >= state.faulty_until:
            pause = min(
                MAX_FAULTY_TIME, INITIAL_FAULTY_TIME * 2 ** min(state.faults, 8)
            )
            state.faults += 1
            state.faulty_until = now + pause

    def record_success(self, upstream_id: str) -> None:
        """Record a valid answer."""
        state = self.states_by_id_.get(upstream_id)
        if state is not None:
            state.failures = 0
            state.failure_ratio -= FAILURE_RATIO_WEIGHT * state.failure_ratio
            if state.failure_ratio <= FAULTY_FAILURE_RATIO:
                state.faults, state.faulty_until = 0, None

    def prune(self, known_ids: set[str]) -> None:
        """Drop the state of upstreams that are no longer registered."""
        for upstream_id in self.states_by_id_.keys() - known_ids:
            del self.states_by_id_[upstream_id]

    def _state(self, upstream_id: str, now: datetime) -> _State:
        return self.states_by_id_.setdefault(upstream_id, _State(now))
