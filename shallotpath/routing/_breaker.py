"""A circuit breaker whose state the entries share, as a rule for upstream health."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from ..core import Code
from ._health import FAILURE_CODES

DEFAULT_THRESHOLD = 5
DEFAULT_BREAK = timedelta(seconds=2)
DEFAULT_STALENESS = timedelta(milliseconds=500)


@dataclass(slots=True)
class Circuit:
    """Hold the shared state of one upstream."""

    failures: int = 0
    open_until: datetime | None = None
    trial_until: datetime | None = None


@dataclass(slots=True)
class _Cached:
    read_at: datetime
    open_until: datetime | None


class SharedBreaker:
    """Open after consecutive failures; allow one trial call when the break is over.

    Entries share `circuits_by_id` and may read a state that is up to `staleness`
    old, after the README of Polly.Contrib.AzureFunctions.CircuitBreaker.
    """

    __slots__ = (
        "break_for",
        "cached_by_id_",
        "circuits_by_id",
        "staleness",
        "threshold",
    )

    def __init__(
        self,
        circuits_by_id: dict[str, Circuit],
        *,
        threshold: int = DEFAULT_THRESHOLD,
        break_for: timedelta = DEFAULT_BREAK,
        staleness: timedelta = DEFAULT_STALENESS,
    ) -> None:
        self.circuits_by_id = circuits_by_id
        self.threshold = threshold
        self.break_for = break_for
        self.staleness = staleness
        self.cached_by_id_: dict[str, _Cached] = {}

    def available(self, member_id: str, now: datetime) -> bool:
        """Tell whether the circuit is closed or a trial is due."""
        cached = self.cached_by_id_.get(member_id)
        if cached is None or now - cached.read_at >= self.staleness:
            circuit = self.circuits_by_id.get(member_id)
            open_until = None if circuit is None else circuit.open_until
            cached = self.cached_by_id_[member_id] = _Cached(now, open_until)
        if cached.open_until is None:
            return True
        return now >= cached.open_until and self._trial(member_id, now)

    def failed(
        self, member_id: str, code: Code, now: datetime, retry_after: timedelta | None
    ) -> None:
        """Count a failure or refusal; open the circuit at the threshold."""
        circuit = self.circuits_by_id.setdefault(member_id, Circuit())
        circuit.failures += 1
        if circuit.failures >= self.threshold or code in FAILURE_CODES:
            circuit.open_until = now + self.break_for
            circuit.trial_until = None

    def succeeded(self, member_id: str) -> None:
        """Close the circuit."""
        circuit = self.circuits_by_id.get(member_id)
        if circuit is not None:
            circuit.failures = 0
            circuit.open_until = circuit.trial_until = None

    def forget(self, member_id: str) -> None:
        """Drop the state of an upstream."""
        self.circuits_by_id.pop(member_id, None)
        self.cached_by_id_.pop(member_id, None)

    def _trial(self, member_id: str, now: datetime) -> bool:
        circuit = self.circuits_by_id.setdefault(member_id, Circuit())
        if circuit.trial_until is not None and now < circuit.trial_until:
            return False
        circuit.trial_until = now + self.break_for
        return True
